#pragma once

#include <cstdint>
#include <optional>

namespace Bergamot {

enum class TaskCommandOutcome : uint8_t {
    Accepted,
    /// The worker has seen a higher fencing token.
    Fenced,
    /// A run of the task with this number or a higher one was stopped or ended on the worker.
    Superseded,
    /// The lease had expired when the command arrived.
    LeaseExpired,
    InsufficientResources,
    Invalid,
    Unhealthy,
    /// Another incarnation of the worker replied at the address.
    IncarnationMismatch,
    /// The command was not sent, because it was no longer permitted.
    NotSent
};

struct TaskCommandReply {
    TaskCommandOutcome outcome { TaskCommandOutcome::Accepted };

    /// The worker's clock; absent in replies without a body.
    std::optional<int64_t> clockMs {};

    /// When this incarnation of the worker started.
    int64_t startedAtMs { 0 };
};

}
