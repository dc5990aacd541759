#pragma once

#include <cstdint>
#include <msgpack.hpp>

namespace Bergamot {

/// The leader becomes the only voter after most voters are gone. Valid only from the current leader.
struct MembershipReset {
    uint64_t epoch { 0 };

    bool operator==(const MembershipReset&) const = default;
    MSGPACK_DEFINE_ARRAY(epoch)
};

}
