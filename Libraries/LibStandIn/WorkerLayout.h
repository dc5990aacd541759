#pragma once

#include <LibPlatform/HostEntry.h>
#include <cstdint>

namespace Bergamot {

/// Gives the workers of the stand-ins their names and addresses. The worker and the host list stand-in share it, so
/// that both derive the same list from the same options.
struct WorkerLayout {
    static constexpr int workersPerRack = 8;

    uint16_t port { 7000 };
    Resources capacity { 32000, 125000, 0 };

    /// Listens on 127.ZONE.0.NUMBER; both count from 1 and are at most 250.
    HostEntry host(int zone, int number) const;
    static std::string listenAddress(int zone, int number);
};

}
