#pragma once

#include <LibCore/Time.h>
#include <cstdint>
#include <optional>

namespace Bergamot {

struct RenewLeaseRequest {
    /// Ends up to this sequence are stored and may be forgotten.
    uint64_t acknowledged { 0 };
    std::optional<int64_t> leaseUntilMs {};

    /// The answer waits this long for an end.
    Milliseconds wait { 0 };
};

}
