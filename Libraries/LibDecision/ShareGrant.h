#pragma once

#include <LibCore/Ids.h>
#include <LibCore/Time.h>
#include <cstdint>
#include <vector>

namespace Bergamot {

/// The share of one client's limits that a member may use on top of its base share.
struct ClientShare {
    ClientId client {};
    /// Grows with each grant of a coordinator.
    uint64_t grant { 0 };
    int64_t rateMillis { 0 };
    int64_t concurrency { 0 };

    bool operator==(const ClientShare&) const = default;
};

/// Answers the ShareReport `sequence` of `member`. The member counts `lease` from the time at which it sent that
/// report, the coordinator from the time of the grant.
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
