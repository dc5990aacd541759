#pragma once

#include <LibCore/Ids.h>
#include <cstdint>
#include <vector>

namespace Bergamot {

/// Asks the member `lender` for `slots` unused slots and for the extension of the loans in `renewals`.
/// `request` is chosen by the borrower and is repeated in each grant that answers this message.
struct LoanRequest {
    MemberId lender {};
    MemberId borrower {};
    uint64_t request { 0 };
    uint32_t slots { 0 };
    std::vector<uint64_t> renewals {};

    bool operator==(const LoanRequest&) const = default;
};

}
