#pragma once

#include <LibCore/Ids.h>
#include <compare>
#include <cstdint>

namespace Bergamot {

/// Identity of one attempt of a job at a worker.
struct TaskId {
    JobId job {};
    uint32_t attempt { 0 };

    auto operator<=>(const TaskId&) const = default;
};

}
