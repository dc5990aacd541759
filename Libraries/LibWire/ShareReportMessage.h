#pragma once

#include <LibCore/Ids.h>
#include <LibWire/WireClientDemand.h>
#include <cstdint>
#include <msgpack.hpp>
#include <vector>

namespace Bergamot {

/// A member's demand for the limits of the listed clients, sent to the coordinator of these clients.
struct ShareReportMessage {
    MemberId member {};
    uint64_t incarnation { 0 };
    uint64_t sequence { 0 };
    std::vector<WireClientDemand> clients {};

    bool operator==(const ShareReportMessage&) const = default;
    MSGPACK_DEFINE_ARRAY(member, incarnation, sequence, clients)
};

}
