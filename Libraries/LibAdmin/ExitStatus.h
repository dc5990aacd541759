#pragma once

#include <cstdint>

namespace Bergamot {

/// The exit statuses of bergamotctl, as documented in its help text.
enum class ExitStatus : uint8_t {
    Ok = 0,
    Failed = 1,
    /// Findings in a configuration, or wrong usage.
    InvalidInput = 2,
    /// No entry host is reachable.
    Unreachable = 3,
    /// The change conflicts with an earlier change of another operator.
    Conflict = 4,
};

}
