#pragma once

#include <LibCore/Time.h>
#include <LibDecision/TrackedRun.h>
#include <cstdint>
#include <string>
#include <vector>

namespace Bergamot {

struct TrackedTask {
    bool done { false };
    uint32_t failures { 0 };

    /// Starts by this leader.
    uint32_t starts { 0 };
    /// A further run is to be started beside the active one.
    bool wantsCopy { false };
    std::string checkpoint {};
    std::vector<TrackedRun> runs {};
    WorkerHandle lastFailedOn { 0 };

    /// When the task was last put among those that are to be started.
    Instant queuedAt { neverInstant };

    /// Since when a worker has been looked for.
    Instant waitingSince { neverInstant };

    /// A run of an earlier leader may still be active until this time.
    Instant blockedUntil { neverInstant };
};

}
