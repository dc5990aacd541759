#pragma once

#include <cstdint>
#include <msgpack.hpp>
#include <string>

namespace Bergamot {

/// A member claims a non-idempotent request before dispatching it. Only the first claim is accepted.
struct RequestClaimed {
    std::string key {};
    uint64_t digest { 0 };

    bool operator==(const RequestClaimed&) const = default;
    MSGPACK_DEFINE_ARRAY(key, digest)
};

}
