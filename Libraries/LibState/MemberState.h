#pragma once

#include <LibWire/MemberJoined.h>

namespace Bergamot {

/// An entry host that is a member of the region.
struct MemberState {
    MemberJoined spec {};
    int64_t joinedAtMs { 0 };
    LogPosition joinedAt { 0 };

    /// Voters count towards the majority that authorises renewals while the log cannot be read.
    bool voter { false };

    bool operator==(const MemberState&) const = default;
    MSGPACK_DEFINE_ARRAY(spec, joinedAtMs, joinedAt, voter)
};

}
