#pragma once

#include <LibCore/Ids.h>
#include <cstdint>
#include <msgpack.hpp>
#include <string>

namespace Bergamot {

/// Answers the BurnRequest with this number. `slice` is the JSON form of the sender's figures.
struct BurnAnswer {
    MemberId member {};
    uint64_t request { 0 };
    std::string slice {};

    bool operator==(const BurnAnswer&) const = default;
    MSGPACK_DEFINE_ARRAY(member, request, slice)
};

}
