#pragma once

#include <LibPlatform/EndedTask.h>
#include <cstdint>

namespace Bergamot {

/// A worker's answer to a stop: the attempt does not run any more and will never start again on this worker.
struct StopReply {
    EndedTask ended {};
    int64_t workerClockMs { 0 };

    bool operator==(const StopReply&) const = default;
};

}
