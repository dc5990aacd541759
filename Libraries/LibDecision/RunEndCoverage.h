#pragma once

#include <cstdint>

namespace Bergamot {

/// Which of the ended runs that a worker still holds its report contains.
enum class RunEndCoverage : uint8_t {
    /// The ones with the lowest sequence numbers. The worker returns more once these are acknowledged, so a run that
    /// the report does not contain may have ended with any outcome.
    Oldest,
    All
};

}
