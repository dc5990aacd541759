#pragma once

#include <LibPlatform/HostEntry.h>
#include <cstdint>

namespace Bergamot {

/// Derives the names and addresses of the simulated workers. The worker stand-in and the host list stand-in share this
/// class, so that both derive the same hosts from the same options.
struct WorkerLayout {
    static constexpr int workersPerRack = 8;

    uint16_t port { 7000 };
    Resources capacity { 32000, 125000, 0 };

    /// Zone 1 is `a`, zone 2 is `b` and so on, up to 26. The worker listens on 127.ZONE.0.NUMBER; numbers count from 1
    /// and are at most 250.
    HostEntry host(int zone, int number) const;
    static std::string zoneName(int zone);
    static std::string listenAddress(int zone, int number);
};

}
