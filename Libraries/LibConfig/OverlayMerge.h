#pragma once

#include <LibConfig/CheckedTree.h>
#include <LibConfig/Findings.h>
#include <LibConfig/SourceTree.h>

namespace Bergamot {

/// Overrides values of the base with the valid values of the overlay. An overlay may only change keys of the base, so
/// keys that the base lacks and values equal to those of the base add findings.
CheckedTree mergeOverlay(const SourceTree& baseSource, const CheckedTree& base, const SourceTree& overlaySource,
    const CheckedTree& overlay, Findings& findings);

}
