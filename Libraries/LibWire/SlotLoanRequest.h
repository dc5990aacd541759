#pragma once

#include <LibCore/Ids.h>
#include <cstdint>
#include <msgpack.hpp>
#include <string>
#include <vector>

namespace Bergamot {

/// Requests unused slots of the receiver and the renewal of the loans in `renewals`.
struct SlotLoanRequest {
    MemberId borrower {};
    uint64_t requestId { 0 };
    uint32_t slots { 0 };
    std::vector<uint64_t> renewals {};
    std::string service {};

    bool operator==(const SlotLoanRequest&) const = default;
    MSGPACK_DEFINE_ARRAY(borrower, requestId, slots, renewals, service)
};

}
