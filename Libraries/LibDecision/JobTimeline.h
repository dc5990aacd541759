#pragma once

#include <LibDecision/StepTimeline.h>
#include <LibWire/CrashedRun.h>
#include <cstdint>
#include <string>
#include <vector>

namespace Bergamot {

/// Queue, deadline, failures, crashes and completed steps of a job, for the log.
struct JobTimeline {
    std::string queue {};
    int64_t objectiveUnixMs { 0 };
    uint32_t failedRuns { 0 };

    /// Failed runs of one task after which the job fails.
    uint32_t maxAttempts { 0 };

    /// Runs under which workers crashed, without those of tasks that were cleared.
    std::vector<CrashedRun> crashedRuns {};
    std::vector<StepTimeline> steps {};

    bool operator==(const JobTimeline&) const = default;
};

}
