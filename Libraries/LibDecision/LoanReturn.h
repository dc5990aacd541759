#pragma once

#include <LibCore/Ids.h>
#include <cstdint>

namespace Bergamot {

/// Returns a loan to `lender` before the lease expires. The borrower stops using the loan before it sends this message.
struct LoanReturn {
    MemberId lender {};
    MemberId borrower {};
    /// Id of the loan, as in the LoanGrant.
    uint64_t loanId { 0 };

    bool operator==(const LoanReturn&) const = default;
};

}
