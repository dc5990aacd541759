#pragma once

#include <LibCore/Ids.h>
#include <LibCore/Time.h>
#include <cstdint>
#include <string>

namespace Bergamot {

/// Identity and limits of one node process.
struct NodeOptions {
    MemberId member {};

    /// Random number, different for each start of the process.
    uint64_t incarnation { 0 };

    /// IP:port at which this node receives messages from other nodes.
    std::string peerAddress {};

    /// CPU available to this process, in thousandths of a core; 0 if unknown.
    int64_t cpuMillis { 0 };

    /// Least time of silence after which the platform removes a worker from its list; 0 if unknown.
    Milliseconds workerSilenceUntilRemoval { 0 };

    /// Maximum duration of a lease that workers grant.
    Milliseconds maxLease { 6000 };
};

}
