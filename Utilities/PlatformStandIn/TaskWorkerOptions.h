#pragma once

#include "WorkerCapacity.h"
#include <LibCore/Time.h>
#include <cstdint>
#include <string>

namespace Bergamot {

inline constexpr Milliseconds workerHeartbeatInterval { 1000 };

/// Identity, addresses, capacity and timing of a worker stand-in.
struct TaskWorkerOptions {
    std::string id {};
    std::string service {};
    std::string zone {};
    std::string rack {};
    std::string ip {};

    /// `publicPort` is the port of the worker's TcpProxy, which callers connect to. `serverPort` is the port of the
    /// HTTP server behind it.
    uint16_t publicPort { 0 };
    uint16_t serverPort { 0 };
    WorkerCapacity capacity { .cpuMillis = 8000, .memoryMb = 16000 };

    /// Whether the worker rejects a start that does not fit. Otherwise it starts whatever it is told to start.
    bool guardsCapacity { true };

    /// Speed of the worker's clock relative to the event loop's clock. The platform permits clocks that are up to 2%
    /// slow.
    double clockRate { 1.0 };
    int64_t clockOffsetMs { 0 };

    /// Longest lease; `holdMaxMs` of the nodes' settings.
    int64_t maxLeaseMs { 10000 };
    Milliseconds stopDelay { 300 };
    Milliseconds heartbeatInterval { workerHeartbeatInterval };

    /// Seed of the downtime and the worker id after a crash by a task.
    uint64_t seed { 1 };
    Milliseconds minDowntime { 1500 };
    Milliseconds maxDowntime { 4000 };

    /// Share of the crashes by a task after which the worker returns under a new id.
    int newIdPercent { 70 };
};

}
