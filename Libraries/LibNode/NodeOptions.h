#pragma once

#include <LibCore/Ids.h>
#include <LibCore/Time.h>
#include <cstdint>
#include <string>

namespace Bergamot {

/// What one node process knows of itself.
struct NodeOptions {
    MemberId member {};

    /// Drawn anew by each process.
    uint64_t incarnation { 0 };

    /// IP:port at which other nodes reach this one.
    std::string peerAddress {};

    /// Processor time of the host for this process, in thousandths of a core; 0 when it is not known.
    int64_t cpuMillis { 0 };

    /// Longest lease that workers grant.
    Milliseconds maxLease { 6000 };
};

}
