#pragma once

#include <LibDecision/TrackedOccurrence.h>
#include <LibWire/JobProgress.h>
#include <LibWire/JobSpec.h>
#include <cstdint>
#include <set>
#include <vector>

namespace Bergamot {

/// A job that the leader knows.
struct TrackedJob {
    JobSpec spec {};
    JobStage state { JobStage::Queued };

    /// The state that is stored; callers see an end only once it is stored.
    JobStage storedState { JobStage::Queued };
    std::vector<TrackedOccurrence> occurrences {};
    uint32_t remainingOccurrences { 0 };
    std::set<FailedRun> failedRuns {};
    bool started { false };

    /// What is kept of the tasks may be freed once no run is active.
    bool detailsReleasable { false };

    /// Unix time by which the job is on time.
    int64_t objectiveUnixMs { 0 };

    bool hasEnded() const { return state >= JobStage::Completed; }
};

}
