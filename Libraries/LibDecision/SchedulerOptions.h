#pragma once

#include <LibCore/Time.h>
#include <cstddef>
#include <cstdint>

namespace Bergamot {

/// Settings of the batch scheduler. The boolean switches exist for ablations in the benchmark.
struct SchedulerOptions {
    uint64_t seed { 1 };
    size_t maxPlacementsPerTick { 64 };
    size_t maxEvictionsPerTick { 64 };
    /// Time from a measurement at a worker until its report arrives.
    Milliseconds reportLag { 10'000 };
    /// An eviction that has not been confirmed by taskRevoking() is decided again after this time.
    Milliseconds decisionRetry { 3'000 };

    bool operator==(const SchedulerOptions&) const = default;
};

}
