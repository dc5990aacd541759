#pragma once

#include <LibCore/Ids.h>
#include <cstdint>
#include <msgpack.hpp>

namespace Bergamot {

/// Asks a peer to lend unused slots.
struct SlotLoanRequest {
    MemberId member {};
    uint32_t slots { 0 };

    bool operator==(const SlotLoanRequest&) const = default;
    MSGPACK_DEFINE_ARRAY(member, slots)
};

}
