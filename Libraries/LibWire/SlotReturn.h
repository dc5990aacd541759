#pragma once

#include <LibCore/Ids.h>
#include <cstdint>
#include <msgpack.hpp>
#include <string>

namespace Bergamot {

/// Returns a loan before its lease expires.
struct SlotReturn {
    MemberId borrower {};
    uint64_t loanId { 0 };
    std::string service {};

    bool operator==(const SlotReturn&) const = default;
    MSGPACK_DEFINE_ARRAY(borrower, loanId, service)
};

}
