#pragma once

#include <LibCore/Ids.h>
#include <cstdint>
#include <msgpack.hpp>

namespace Bergamot {

/// A joined member counts as a voter from here on. Valid only from the current leader.
struct MemberAdmitted {
    uint64_t epoch { 0 };
    MemberId member {};
    uint64_t incarnation { 0 };

    bool operator==(const MemberAdmitted&) const = default;
    MSGPACK_DEFINE_ARRAY(epoch, member, incarnation)
};

}
