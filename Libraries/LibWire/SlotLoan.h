#pragma once

#include <LibCore/Ids.h>
#include <cstdint>
#include <msgpack.hpp>
#include <string>
#include <vector>

namespace Bergamot {

/// The reply to a SlotLoanRequest: lends one slot of each listed worker. The borrower counts the lease from the time at
/// which it sent the request.
struct SlotLoan {
    MemberId lender {};
    uint64_t requestId { 0 };
    uint64_t loanId { 0 };
    std::vector<WorkerId> workers {};
    int64_t leaseMs { 0 };
    std::string service {};

    bool operator==(const SlotLoan&) const = default;
    MSGPACK_DEFINE_ARRAY(lender, requestId, loanId, workers, leaseMs, service)
};

}
