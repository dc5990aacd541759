#pragma once

#include <cstdint>
#include <msgpack.hpp>
#include <string>

namespace Bergamot {

/// A member claims a non-idempotent request before it dispatches it. The first claim wins.
struct RequestClaimed {
    std::string key {};
    uint64_t digest { 0 };

    bool operator==(const RequestClaimed&) const = default;
    MSGPACK_DEFINE_ARRAY(key, digest)
};

}
