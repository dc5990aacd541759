#pragma once

#include <LibCore/Resources.h>
#include <LibPlatform/TaskId.h>
#include <cstdint>

namespace Bergamot {

/// Lagging usage of one running attempt. `progressMilli` is the share of the work done, in thousandths.
struct TaskUsage {
    TaskId task {};
    Resources used {};
    int64_t progressMilli { 0 };

    bool operator==(const TaskUsage&) const = default;
};

}
