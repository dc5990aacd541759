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
    bool wantsSpeculativeCopy { false };
    std::string checkpoint {};
    std::vector<TrackedRun> runs {};
    WorkerHandle lastFailedOn { 0 };

    /// The first plan that found the task waiting; plans that did not look at its step count too.
    Instant waitingSince { neverInstant };

    /// A run of an earlier leader may still be active until this time.
    Instant blockedUntil { neverInstant };
};

}
