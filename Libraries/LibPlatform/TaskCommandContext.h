#pragma once

#include <LibCore/Time.h>
#include <cstdint>

namespace Bergamot {

/// In whose name an order is given, and how long its answer is waited for.
struct TaskCommandContext {
    /// Epoch of the leader.
    uint64_t epoch { 0 };
    Milliseconds timeout { 1000 };

    bool operator==(const TaskCommandContext&) const = default;
};

}
