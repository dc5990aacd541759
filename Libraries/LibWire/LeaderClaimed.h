#pragma once

#include <cstdint>
#include <msgpack.hpp>

namespace Bergamot {

/// Claims the leader epoch. Valid only when `epoch` is the current epoch plus one.
struct LeaderClaimed {
    uint64_t epoch { 0 };

    bool operator==(const LeaderClaimed&) const = default;
    MSGPACK_DEFINE_ARRAY(epoch)
};

}
