#pragma once

#include <LibCore/Time.h>
#include <LibDecision/TaskWorkerView.h>
#include <LibWire/JobProgress.h>
#include <LibWire/JobSpec.h>
#include <cstdint>
#include <set>
#include <string>
#include <vector>

namespace Bergamot {

enum class RunPhase : uint8_t { Starting, Running, Stopping };

/// A run that may be active on a worker.
struct TrackedRun {
    uint64_t run { 0 };
    WorkerHandle worker { 0 };
    RunPhase phase { RunPhase::Starting };
    Instant startedAt { epochInstant };

    /// When the worker accepted the start, or listed the run; a later list without the run means that it is gone.
    Instant confirmedAt { neverInstant };
    Instant progressedAt { epochInstant };
    uint32_t percent { 0 };
    uint32_t pace { 100 };
    int64_t recentFigure { 0 };

    /// Of a serving task: its own estimated utilisation.
    double load { 0 };

    /// Of a filling task: since when it has been paced below the share at which it should move.
    Instant pacedDownSince { neverInstant };
};

struct TrackedTask {
    bool done { false };
    uint32_t failures { 0 };

    /// Starts by this leader.
    uint32_t starts { 0 };
    std::string checkpoint {};
    std::vector<TrackedRun> runs {};
    WorkerHandle lastFailedOn { 0 };

    /// Since when a worker has been looked for.
    Instant waitingSince { neverInstant };

    /// A run of an earlier leader may still be active until this time.
    Instant blockedUntil { neverInstant };
};

struct TrackedStep {
    std::vector<TrackedTask> tasks {};
    uint32_t remaining { 0 };

    /// Steps that this one still waits for.
    uint32_t waitsFor { 0 };

    /// Indices of tasks that are to be started.
    std::vector<uint32_t> waiting {};
};

struct TrackedOccurrence {
    std::vector<TrackedStep> steps {};
    uint32_t remainingSteps { 0 };
    int64_t dueUnixMs { 0 };
    bool due { true };
};

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

    /// Unix time by which the job is on time.
    int64_t objectiveUnixMs { 0 };

    bool hasEnded() const { return state >= JobStage::Completed; }
};

}
