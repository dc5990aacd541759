#pragma once

#include <LibCore/Ids.h>
#include <cstdint>
#include <msgpack.hpp>

namespace Bergamot {

/// Requests the error budget figures of a peer. `request` identifies the reply.
struct BurnRequest {
    MemberId member {};
    uint64_t request { 0 };

    bool operator==(const BurnRequest&) const = default;
    MSGPACK_DEFINE_ARRAY(member, request)
};

}
