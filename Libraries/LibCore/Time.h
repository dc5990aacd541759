#pragma once

#include <chrono>
#include <cstdint>

namespace Bergamot {

using Milliseconds = std::chrono::milliseconds;

/// Tags time points of this process's monotonic clock, so that they cannot be mixed with worker or log time.
struct LocalDomain {
    using rep = int64_t;
    using period = std::milli;
    using duration = Milliseconds;
    using time_point = std::chrono::time_point<LocalDomain, Milliseconds>;
    static constexpr bool is_steady = true; // NOLINT(readability-identifier-naming): std::chrono requires this name.
};

/// A point in local monotonic time, in milliseconds.
using Instant = LocalDomain::time_point;

inline constexpr Instant epochInstant {};

/// Earlier than every reading of the clock, and far enough from the limit that ages do not overflow.
inline constexpr Instant neverInstant { Milliseconds { -(int64_t { 1 } << 50) } };

}
