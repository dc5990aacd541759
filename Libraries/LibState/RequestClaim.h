#pragma once

#include <LibCore/Ids.h>
#include <msgpack.hpp>

namespace Bergamot {

/// The claim of a non-idempotent request and, once `finished`, the outcome of the request.
struct RequestClaim {
    MemberId member {};
    uint64_t incarnation { 0 };
    uint64_t digest { 0 };
    bool finished { false };
    int32_t status { 0 };
    std::string body {};
    int64_t claimedAtMs { 0 };

    bool operator==(const RequestClaim&) const = default;
    MSGPACK_DEFINE_ARRAY(member, incarnation, digest, finished, status, body, claimedAtMs)
};

}
