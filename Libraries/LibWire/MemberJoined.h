#pragma once

#include <LibCore/Ids.h>
#include <cstdint>
#include <msgpack.hpp>
#include <string>

namespace Bergamot {

/// Appended by each member when it starts. A higher incarnation replaces an older one.
struct MemberJoined {
    MemberId member {};
    uint64_t incarnation { 0 };
    ZoneId zone {};
    std::string peerAddress {};
    std::string callerAddress {};

    bool operator==(const MemberJoined&) const = default;
    MSGPACK_DEFINE_ARRAY(member, incarnation, zone, peerAddress, callerAddress)
};

}
