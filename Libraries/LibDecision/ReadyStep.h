#pragma once

#include <LibDecision/StepDeadlines.h>
#include <cstdint>
#include <tuple>

namespace Bergamot {

struct TrackedJob;

/// Identifies a step in the queue: its priority, the Unix time by which its job should complete, and a number.
using StepKey = std::tuple<uint32_t, int64_t, uint64_t>;

/// A step with tasks that wait for workers.
struct ReadyStep {
    TrackedJob* job { nullptr };
    uint32_t occurrence { 0 };
    uint32_t step { 0 };
    StepKey key {};
    StepDeadlines deadlines { StepDeadlines::none() };
};

}
