#pragma once

#include <LibCore/Ids.h>
#include <cstdint>
#include <msgpack.hpp>

namespace Bergamot {

/// The share of one client's limits that a member may use; the wire form of ClientShare.
struct WireClientShare {
    ClientId client {};
    uint64_t grantId { 0 };
    int64_t rateMillis { 0 };
    int64_t concurrency { 0 };

    bool operator==(const WireClientShare&) const = default;
    MSGPACK_DEFINE_ARRAY(client, grantId, rateMillis, concurrency)
};

}
