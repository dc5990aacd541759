#pragma once

#include <LibCore/Ids.h>
#include <cstdint>
#include <msgpack.hpp>

namespace Bergamot {

/// Makes a joined member a voter. Valid only from the current leader.
struct MemberAdmitted {
    uint64_t epoch { 0 };
    MemberId member {};
    uint64_t incarnation { 0 };

    bool operator==(const MemberAdmitted&) const = default;
    MSGPACK_DEFINE_ARRAY(epoch, member, incarnation)
};

}
