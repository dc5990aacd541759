#pragma once

#include <LibCore/Ids.h>
#include <cstdint>
#include <msgpack.hpp>

namespace Bergamot {

/// The leader removes a member that no longer responds. Valid only from the current leader.
struct MemberRemoved {
    uint64_t epoch { 0 };
    MemberId member {};
    uint64_t incarnation { 0 };

    bool operator==(const MemberRemoved&) const = default;
    MSGPACK_DEFINE_ARRAY(epoch, member, incarnation)
};

}
