#pragma once

#include <LibCore/Time.h>
#include <cstdint>

namespace Bergamot {

/// The leader that sends a task command, and the timeout of the reply.
struct TaskCommandContext {
    /// Epoch of the leader.
    uint64_t epoch { 0 };
    Milliseconds timeout { 1000 };

    bool operator==(const TaskCommandContext&) const = default;
};

}
