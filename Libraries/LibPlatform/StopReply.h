#pragma once

#include <LibPlatform/EndedTask.h>
#include <cstdint>

namespace Bergamot {

/// A worker's reply to a stop request: the attempt no longer runs, and this worker will never start it again.
struct StopReply {
    EndedTask ended {};
    int64_t workerClockMs { 0 };

    bool operator==(const StopReply&) const = default;
};

}
