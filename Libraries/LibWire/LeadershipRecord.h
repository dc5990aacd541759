#pragma once

#include <LibCore/Ids.h>
#include <cstdint>
#include <msgpack.hpp>
#include <string>

namespace Bergamot {

/// A record of the leadership stream. The epoch of a claim is its offset plus one, so epochs rise without being stored.
struct LeadershipRecord {
    MemberId member {};

    /// Drawn anew by each process, so that a process recognises its own claim after a lost answer.
    uint64_t incarnation { 0 };
    std::string peerAddress {};

    /// The epoch of the leader for a keepalive or a resignation; 0 for a claim.
    uint64_t epoch { 0 };
    bool resigns { false };

    bool operator==(const LeadershipRecord&) const = default;
    MSGPACK_DEFINE_ARRAY(member, incarnation, peerAddress, epoch, resigns)
};

}
