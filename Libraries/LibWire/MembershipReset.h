#pragma once

#include <cstdint>
#include <msgpack.hpp>

namespace Bergamot {

/// Makes the leader the only voter after the majority of the voters is lost. Valid only from the current leader.
struct MembershipReset {
    uint64_t epoch { 0 };

    bool operator==(const MembershipReset&) const = default;
    MSGPACK_DEFINE_ARRAY(epoch)
};

}
