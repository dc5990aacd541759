#pragma once

#include <cstdint>
#include <msgpack.hpp>

namespace Bergamot {

/// Shows that the leader of `epoch` still appends to the log.
struct LeaderKeepalive {
    uint64_t epoch { 0 };

    bool operator==(const LeaderKeepalive&) const = default;
    MSGPACK_DEFINE_ARRAY(epoch)
};

}
