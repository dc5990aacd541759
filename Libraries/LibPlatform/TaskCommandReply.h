#pragma once

#include <cstdint>
#include <optional>

namespace Bergamot {

enum class TaskCommandOutcome : uint8_t {
    Accepted,
    /// The worker has seen a higher epoch.
    Fenced,
    /// A run with this number or a higher one was stopped or ended there.
    Superseded,
    /// The lease had lapsed when the order arrived.
    LeaseExpired,
    InsufficientResources,
    Invalid,
    Unhealthy,
    /// Another life of the worker answers at the address.
    IncarnationMismatch
};

struct TaskCommandReply {
    TaskCommandOutcome outcome { TaskCommandOutcome::Accepted };

    /// The worker's clock; absent in answers without a body.
    std::optional<int64_t> clockMs {};

    /// When this life of the worker began.
    int64_t startedAtMs { 0 };
};

}
