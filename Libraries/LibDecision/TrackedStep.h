#pragma once

#include <LibCore/Time.h>
#include <LibDecision/ImageNumber.h>
#include <LibDecision/PlacementDelay.h>
#include <LibDecision/SiblingRunTimes.h>
#include <LibDecision/SuspectDelay.h>
#include <LibDecision/TaskTable.h>
#include <cstdint>
#include <vector>

namespace Bergamot {

struct TrackedStep {
    TaskTable tasks {};
    uint32_t remainingTasks { 0 };

    /// The step counts as completed in its occurrence and for its dependents.
    bool isCompleted { false };

    /// Number of dependencies that are not completed.
    uint32_t pendingDependencies { 0 };

    ImageNumber image {};

    /// Run times of the completed tasks.
    SiblingRunTimes runTimes {};

    /// When the tasks were ready to start, when a task last started, and when all tasks were done.
    Instant readyAt { neverInstant };
    Instant lastStartAt { neverInstant };
    Instant doneAt { neverInstant };

    /// Whether unrecorded runs of an earlier leader may have been lost with their workers.
    bool mayHaveLostRuns { false };

    /// Whether the tasks were ready under an earlier leader already.
    bool wasReadyBefore { false };

    /// Indices of tasks that wait for a worker.
    std::vector<uint32_t> waiting {};

    /// Why the latest plan did not start the waiting tasks.
    PlacementDelay delay { PlacementDelay::None };

    /// What holds back the suspected tasks among them.
    SuspectDelay suspectDelay { SuspectDelay::None };
};

}
