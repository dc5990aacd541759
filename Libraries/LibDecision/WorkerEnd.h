#pragma once

#include <cstdint>

namespace Bergamot {

/// How an incarnation of a worker ended.
enum class WorkerEnd : uint8_t {
    /// Its process ended without notice.
    Crashed,
    /// It left as announced.
    Left,
    /// Its leases have expired; whether its process still runs is not known.
    LeaseExpired
};

}
