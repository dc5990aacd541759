#pragma once

#include <LibCore/Ids.h>
#include <compare>
#include <cstdint>

namespace Bergamot {

/// Identifies one attempt to run a job on a worker.
struct TaskId {
    JobId job {};
    uint32_t attempt { 0 };

    // clang-tidy 14 mistakes the comparison with 0 in a defaulted operator for a null pointer.
    auto operator<=>(const TaskId&) const = default; // NOLINT(modernize-use-nullptr)
};

}
