#pragma once

#include <LibCore/Ids.h>
#include <compare>
#include <cstdint>

namespace Bergamot {

/// Identity of one attempt of a job at a worker.
struct TaskId {
    JobId job {};
    uint32_t attempt { 0 };

    // clang-tidy 14 takes the comparison with 0 behind a defaulted operator for a null pointer.
    auto operator<=>(const TaskId&) const = default; // NOLINT(modernize-use-nullptr)
};

}
