#pragma once

#include <LibCore/Ids.h>
#include <cstdint>
#include <msgpack.hpp>
#include <string>

namespace Bergamot {

/// The reply to the BurnRequest that has the same `request`. `slice` is the sender's BurnSlice as JSON.
struct BurnReply {
    MemberId member {};
    uint64_t request { 0 };
    std::string slice {};

    bool operator==(const BurnReply&) const = default;
    MSGPACK_DEFINE_ARRAY(member, request, slice)
};

}
