#pragma once

#include <LibCore/Time.h>
#include <cstdint>

namespace Bergamot {

/// The fencing token of the session that sends a task command, and the timeout of the reply.
struct TaskCommandContext {
    uint64_t fenceToken { 0 };
    Milliseconds timeout { 1000 };

    bool operator==(const TaskCommandContext&) const = default;
};

}
