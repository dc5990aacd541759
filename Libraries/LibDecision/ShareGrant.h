#pragma once

#include <LibCore/Ids.h>
#include <LibCore/Time.h>
#include <cstdint>
#include <vector>

namespace Bergamot {

/// Share of one client's limits that a coordinator leases to a member in addition to its base share.
struct ClientShare {
    ClientId client {};
    /// Increases with each grant of a coordinator.
    uint64_t grantId { 0 };
    /// Requests per second, in thousandths.
    int64_t rateMillis { 0 };
    int64_t concurrency { 0 };

    bool operator==(const ClientShare&) const = default;
};

/// Reply to the ShareReport `sequence` of `member`. The lease starts for the member when it sends that report and for
/// the coordinator when it grants the shares, so it expires at the member first.
struct ShareGrant {
    MemberId coordinator {};
    uint64_t coordinatorIncarnation { 0 };
    MemberId member {};
    uint64_t incarnation { 0 };
    uint64_t sequence { 0 };
    Milliseconds lease { 0 };
    std::vector<ClientShare> shares {};

    bool operator==(const ShareGrant&) const = default;
};

}
