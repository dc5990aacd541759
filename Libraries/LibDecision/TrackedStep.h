#pragma once

#include <LibCore/Time.h>
#include <LibDecision/PlacementDelay.h>
#include <LibDecision/SiblingRunTimes.h>
#include <LibDecision/TrackedTask.h>
#include <cstdint>
#include <vector>

namespace Bergamot {

struct TrackedStep {
    std::vector<TrackedTask> tasks {};
    uint32_t remainingTasks { 0 };

    /// Steps that this one still waits for.
    uint32_t pendingDependencies { 0 };

    /// Number of the image in the pressure model, as a filling or as a serving image.
    uint32_t image { 0 };

    /// Run times of the tasks that are done.
    SiblingRunTimes runTimes {};

    /// When its tasks could first start, when the last of them started, and when all were done.
    Instant readyAt { neverInstant };
    Instant lastStartAt { neverInstant };
    Instant doneAt { neverInstant };

    /// Indices of tasks that are to be started.
    std::vector<uint32_t> waiting {};

    /// Why the first of them was not started in the latest plan.
    PlacementDelay delay { PlacementDelay::None };
};

}
