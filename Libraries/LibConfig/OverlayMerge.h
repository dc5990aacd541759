#pragma once

#include <LibConfig/CheckedTree.h>
#include <LibConfig/Findings.h>
#include <LibConfig/SourceTree.h>

namespace Bergamot {

/// Puts the valid values of the overlay over those of the base. An overlay may only change what the base holds, so keys
/// that the base lacks and values equal to those of the base add findings.
CheckedTree mergeOverlay(const SourceTree& baseSource, const CheckedTree& base, const SourceTree& overlaySource,
    const CheckedTree& overlay, Findings& findings);

}
