#pragma once

#include <LibCore/Time.h>
#include <LibDecision/CrashHistory.h>
#include <LibDecision/LiveOccurrences.h>
#include <LibDecision/StepTimeline.h>
#include <LibWire/JobProgress.h>
#include <LibWire/JobSpec.h>
#include <cstdint>
#include <set>
#include <vector>

namespace Bergamot {

/// State that the leader keeps for a job.
struct TrackedJob {
    JobSpec spec {};

    /// When this leader read the job.
    Instant knownAt { neverInstant };
    JobStage state { JobStage::Queued };

    /// Whether an earlier leader may have started tasks of the job.
    bool isInherited { false };

    /// The stored state. Clients see the end of the job only once it is stored.
    JobStage storedState { JobStage::Queued };
    LiveOccurrences occurrences {};

    /// The failed runs of occurrences that have not ended, and the number of the others.
    std::set<FailedRun> failedRuns {};
    uint32_t endedFailedRuns { 0 };

    /// Number of tasks that the progress names as idle.
    size_t recordedIdleTasks { 0 };

    /// The latest completed steps of ended occurrences.
    std::vector<StepTimeline> endedSteps {};
    CrashHistory crashes {};

    /// The records of `crashes` in the stored progress. A suspected task starts only once its records are stored.
    CrashHistory storedCrashes {};

    /// Number of records of the progress that were returned for storage, and of those that are stored.
    uint64_t collectedRecords { 0 };
    uint64_t storedRecords { 0 };

    /// Whether the store has a record of the progress, of this leader or of an earlier one.
    bool isProgressStored { false };
    bool started { false };

    /// Number of runs on all workers, including those that are being stopped.
    uint32_t activeRuns { 0 };

    /// When the last run on any worker ended; neverInstant before the first one.
    Instant lastRunEndedAt { neverInstant };

    /// When a search for a worker for a run at low speed last failed.
    Instant slowStartFailedAt { neverInstant };

    /// A task has used up its attempts by a limit that may be outdated. The job starts no task until the limit is
    /// known.
    bool awaitsConfiguration { false };

    /// Whether the end was returned for storage. It is the last record of the job.
    bool isEndCollected { false };

    /// Set when the task data may be freed once no run is active.
    bool detailsReleasable { false };

    /// Unix time by which the job should complete.
    int64_t objectiveUnixMs { 0 };

    bool hasEnded() const { return state >= JobStage::Completed; }
};

}
