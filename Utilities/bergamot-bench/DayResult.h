#pragma once

#include <cstdint>
#include <string>
#include <vector>

namespace Bergamot {

/// What the callers of one queue got on a modelled day.
struct DayQueueResult {
    std::string queue {};
    uint32_t jobs { 0 };

    /// Jobs that completed within their objective, and those that completed within three times of it.
    uint32_t onTime { 0 };
    uint32_t late { 0 };

    /// Of jobs that last: share of task time at work, and at work below the target.
    double shareAtWork { 0 };
    double shareBelowTarget { 0 };
};

/// Outcome and cost of one modelled day.
struct DayResult {
    std::vector<DayQueueResult> queues {};
    uint64_t starts { 0 };
    uint64_t plans { 0 };
    double decisionMicros { 0 };
    double longestPlanMicros { 0 };
    uint64_t throttleCommands { 0 };
    uint64_t stopOrders { 0 };
};

}
