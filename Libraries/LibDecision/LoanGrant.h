#pragma once

#include <LibCore/Ids.h>
#include <LibCore/Time.h>
#include <cstdint>
#include <vector>

namespace Bergamot {

/// Answers a LoanRequest: lends one slot of each worker in `workers` (a worker may occur more than once).
/// The borrower counts `lease` from the time at which it sent the request, the lender from the time of the grant, so
/// the borrower stops first whatever the message delay. No workers means that the lender has nothing to lend now.
struct LoanGrant {
    MemberId lender {};
    MemberId borrower {};
    uint64_t request { 0 };
    uint64_t loan { 0 };
    std::vector<WorkerId> workers {};
    Milliseconds lease { 0 };

    bool operator==(const LoanGrant&) const = default;
};

}
