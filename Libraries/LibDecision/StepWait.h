#pragma once

#include <LibCore/Ids.h>
#include <LibCore/Resources.h>
#include <LibCore/Time.h>
#include <LibDecision/PlacementDelay.h>
#include <LibDecision/SuspectDelay.h>
#include <LibDecision/TaskWorkerView.h>
#include <LibWire/CrashedRun.h>
#include <cstdint>
#include <string>
#include <vector>

namespace Bergamot {

/// A step with tasks that no worker is known to run.
struct StepWait {
    JobId job {};
    uint32_t occurrence { 0 };
    uint32_t step { 0 };

    /// Number of waiting tasks, and the index and the wait of the one that has waited longest.
    uint32_t tasks { 0 };
    uint32_t longestWaiting { 0 };
    Milliseconds longestWait { 0 };
    Resources size {};
    bool longRunning { false };

    /// The image of a best-effort step; empty for others.
    std::string bestEffortImage {};

    /// Whether no task of the job is running.
    bool isJobIdle { false };

    /// Whether the task that has waited longest has run before, or may have run under an earlier leader.
    bool hasRun { false };

    /// The worker of the run that has been unlisted longest; 0 for other reasons.
    WorkerHandle worker { 0 };
    PlacementDelay reason { PlacementDelay::None };
    SuspectDelay suspectDelay { SuspectDelay::None };

    /// The runs under which workers crashed of a task that waits because of them, and `CrashHistory::coincidence`.
    std::vector<CrashedRun> crashedRuns {};
    double coincidence { 1 };

    bool operator==(const StepWait&) const = default;
};

}
