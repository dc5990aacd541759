#pragma once

#include <LibCore/Ids.h>
#include <LibCore/Resources.h>
#include <LibCore/Time.h>
#include <LibDecision/PlacementDelay.h>
#include <cstdint>

namespace Bergamot {

/// A step with tasks that are waiting for a worker.
struct StepWait {
    JobId job {};
    uint32_t occurrence { 0 };
    uint32_t step { 0 };

    /// Number of waiting tasks, and the longest time that one of them has waited.
    uint32_t tasks { 0 };
    Milliseconds longestWait { 0 };
    Resources size {};
    PlacementDelay reason { PlacementDelay::None };

    bool operator==(const StepWait&) const = default;
};

}
