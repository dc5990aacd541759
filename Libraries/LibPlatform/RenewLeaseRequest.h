#pragma once

#include <LibCore/Time.h>
#include <cstdint>
#include <optional>

namespace Bergamot {

struct RenewLeaseRequest {
    /// The leader has stored the run ends up to this sequence number, so the worker may discard them.
    uint64_t acknowledgedSequence { 0 };
    std::optional<int64_t> leaseUntilMs {};

    /// The worker delays its reply for up to this long until a run ends (long poll).
    Milliseconds wait { 0 };
};

}
