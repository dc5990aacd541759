#pragma once

#include <LibCore/Ids.h>
#include <cstdint>

namespace Bergamot {

/// Returns a loan of `lender` before its lease ends. The borrower no longer uses the loan when it sends this.
struct LoanReturn {
    MemberId lender {};
    MemberId borrower {};
    uint64_t loan { 0 };

    bool operator==(const LoanReturn&) const = default;
};

}
