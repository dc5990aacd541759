#pragma once

#include <LibCore/Ids.h>
#include <cstdint>
#include <vector>

namespace Bergamot {

/// Requests up to `slots` unused slots from the member `lender`, and the renewal of the loans in `renewals`.
/// `request` is an id that the borrower chooses; each grant in reply to this message carries it.
struct LoanRequest {
    MemberId lender {};
    MemberId borrower {};
    uint64_t requestId { 0 };
    uint32_t slots { 0 };
    std::vector<uint64_t> renewals {};

    bool operator==(const LoanRequest&) const = default;
};

}
