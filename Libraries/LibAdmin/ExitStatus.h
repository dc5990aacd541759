#pragma once

#include <cstdint>

namespace Bergamot {

/// The exit statuses of bergamotctl, as documented in its help text.
enum class ExitStatus : uint8_t {
    Ok = 0,
    Failed = 1,
    /// Findings in a configuration, or wrong usage.
    Findings = 2,
    /// No entry host is reachable.
    Unreachable = 3,
    /// Another operator's change came first.
    LostRace = 4,
};

}
