#pragma once

#include <cstdint>

namespace Bergamot {

struct TrackedJob;

/// Occurrences of a job that are due and not held in memory yet.
struct DeferredOccurrences {
    const TrackedJob* job { nullptr };
    uint32_t count { 0 };
};

}
