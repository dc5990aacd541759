#pragma once

#include <cstdint>
#include <string>
#include <vector>

namespace Bergamot {

/// Results of the callers of one queue on a modelled day.
struct DayQueueResult {
    std::string queue {};
    uint32_t jobs { 0 };

    /// Jobs that completed within their objective, and jobs that completed later but within three times their
    /// objective.
    uint32_t onTime { 0 };
    uint32_t late { 0 };

    /// For long-running jobs: the share of the requested task time that was served, and the share that was served with
    /// a tail latency below the target.
    double shareServing { 0 };
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
    uint64_t stopCommands { 0 };
};

}
