#pragma once

#include <LibCore/Ids.h>
#include <LibCore/Time.h>
#include <cstdint>
#include <vector>

namespace Bergamot {

/// Reply to a LoanRequest that lends one slot of each worker in `workers`; a worker may occur more than once.
/// The lease starts for the borrower when it sends the request and for the lender when it grants the loan, so the
/// lease expires at the borrower first, independently of the message delay. An empty list of workers means that the
/// lender has no slots to lend.
struct LoanGrant {
    MemberId lender {};
    MemberId borrower {};
    /// Id of the LoanRequest.
    uint64_t requestId { 0 };
    /// Id of the loan, or 0 when no slots are lent.
    uint64_t loanId { 0 };
    std::vector<WorkerId> workers {};
    Milliseconds lease { 0 };

    bool operator==(const LoanGrant&) const = default;
};

}
