#pragma once

#include <LibCore/Ids.h>
#include <LibWire/WireClientShare.h>
#include <cstdint>
#include <msgpack.hpp>
#include <vector>

namespace Bergamot {

/// The coordinator's reply to the ShareReportMessage that has the same incarnation and sequence.
struct ShareGrantMessage {
    MemberId coordinator {};
    uint64_t coordinatorIncarnation { 0 };
    uint64_t incarnation { 0 };
    uint64_t sequence { 0 };
    int64_t leaseMs { 0 };
    std::vector<WireClientShare> shares {};

    bool operator==(const ShareGrantMessage&) const = default;
    MSGPACK_DEFINE_ARRAY(coordinator, coordinatorIncarnation, incarnation, sequence, leaseMs, shares)
};

}
