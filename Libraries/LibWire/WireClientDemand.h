#pragma once

#include <LibCore/Ids.h>
#include <cstdint>
#include <msgpack.hpp>

namespace Bergamot {

/// A member's demand for one client's limits; the wire form of ClientDemand.
struct WireClientDemand {
    ClientId client {};
    int64_t rateMillis { 0 };
    int64_t concurrency { 0 };
    int64_t inUse { 0 };
    uint64_t heldGrantId { 0 };

    bool operator==(const WireClientDemand&) const = default;
    MSGPACK_DEFINE_ARRAY(client, rateMillis, concurrency, inUse, heldGrantId)
};

}
