#pragma once

#include <LibCore/Time.h>
#include <cstdint>
#include <string>

namespace Bergamot {

/// What a worker stand-in is and where it listens.
struct TaskWorkerOptions {
    std::string id {};
    std::string service {};
    std::string zone {};
    std::string rack {};
    std::string ip {};

    /// Callers reach the worker through a proxy at `publicPort`.
    uint16_t publicPort { 0 };
    uint16_t serverPort { 0 };
    int64_t cpuMillis { 8000 };
    int64_t memoryMb { 16000 };

    /// A worker's clock may be slower than real time by 2%.
    double clockRate { 1.0 };
    int64_t clockOffsetMs { 0 };
    int64_t longestLeaseMs { 6000 };
    Milliseconds stopTime { 300 };
    Milliseconds heartbeat { 1000 };
};

}
