#pragma once

#include <LibCore/Ids.h>
#include <cstdint>
#include <vector>

namespace Bergamot {

/// What one member needs for one client.
struct ClientDemand {
    ClientId client {};
    /// Requests per second that arrived recently, refused ones included, in thousandths.
    int64_t rateMillis { 0 };
    /// Requests that recently wanted to run at once, refused ones included.
    int64_t concurrency { 0 };
    /// Requests that run now.
    int64_t inUse { 0 };
    /// The newest grant that the member has taken; 0 for none. Older ones are no longer in force.
    uint64_t heldGrant { 0 };

    bool operator==(const ClientDemand&) const = default;
};

/// Sent by a member to the coordinator of the listed clients. `sequence` grows with each report of the incarnation.
struct ShareReport {
    MemberId member {};
    uint64_t incarnation { 0 };
    MemberId coordinator {};
    uint64_t sequence { 0 };
    std::vector<ClientDemand> clients {};

    bool operator==(const ShareReport&) const = default;
};

}
