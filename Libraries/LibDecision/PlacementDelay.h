#pragma once

#include <cstdint>

namespace Bergamot {

/// Why the latest plan left a task waiting.
enum class PlacementDelay : uint8_t {
    None,
    /// A run of an earlier leader may still be active.
    EarlierLeader,
    /// Short tasks have lately needed the processors that are free.
    Headroom,
    /// No worker that may get runs has the room or meets the rules of the step.
    NoWorker
};

}
