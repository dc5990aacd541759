#pragma once

#include <LibCore/Ids.h>
#include <cstdint>
#include <vector>

namespace Bergamot {

/// Recent demand of one client at one member.
struct ClientDemand {
    ClientId client {};
    /// Recent arrival rate in thousandths of requests per second, rejected requests included.
    int64_t rateMillis { 0 };
    /// Recent peak of concurrent requests, rejected requests included.
    int64_t concurrency { 0 };
    /// Requests in progress.
    int64_t inUse { 0 };
    /// Newest grant that the member has applied, or 0. Older grants are no longer valid.
    uint64_t heldGrantId { 0 };

    bool operator==(const ClientDemand&) const = default;
};

/// Report of a member to the coordinator of the listed clients. `sequence` increases with each report of the
/// incarnation.
struct ShareReport {
    MemberId member {};
    uint64_t incarnation { 0 };
    MemberId coordinator {};
    uint64_t sequence { 0 };
    std::vector<ClientDemand> clients {};

    bool operator==(const ShareReport&) const = default;
};

}
