#pragma once

#include <LibCore/Resources.h>
#include <LibPlatform/TaskId.h>
#include <cstdint>

namespace Bergamot {

/// Resource usage of one running task attempt, which may be out of date. `progressPerMille` is the completed share of
/// the work, in thousandths.
struct TaskUsage {
    TaskId task {};
    Resources used {};
    int64_t progressPerMille { 0 };

    bool operator==(const TaskUsage&) const = default;
};

}
