#pragma once

#include <chrono>
#include <cstdint>

namespace Bergamot {

using Milliseconds = std::chrono::milliseconds;

/// Clock tag for time points of this process's monotonic clock. The type prevents mixing them with worker or log time.
struct LocalDomain {
    using rep = int64_t;
    using period = std::milli;
    using duration = Milliseconds;
    using time_point = std::chrono::time_point<LocalDomain, Milliseconds>;
    static constexpr bool is_steady = true; // NOLINT(readability-identifier-naming): std::chrono requires this name.
};

/// A time point of the local monotonic clock, in milliseconds.
using Instant = LocalDomain::time_point;

inline constexpr Instant epochInstant {};

/// Earlier than every reading of the clock. Its distance from the minimum of the type prevents overflow when the age of
/// such a time point is computed.
inline constexpr Instant neverInstant { Milliseconds { -(int64_t { 1 } << 50) } };

}
