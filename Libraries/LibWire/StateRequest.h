#pragma once

#include <LibCore/Ids.h>
#include <cstdint>
#include <msgpack.hpp>
#include <string>

namespace Bergamot {

/// Asks a peer for a snapshot of its state, used by a process that starts while the log is down.
struct StateRequest {
    MemberId member {};
    std::string peerAddress {};

    bool operator==(const StateRequest&) const = default;
    MSGPACK_DEFINE_ARRAY(member, peerAddress)
};

}
