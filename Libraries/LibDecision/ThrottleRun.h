#pragma once

#include <LibDecision/TaskRef.h>
#include <LibDecision/TaskWorkerView.h>
#include <cstdint>

namespace Bergamot {

/// Limits a run to a percentage of its full speed.
struct ThrottleRun {
    WorkerHandle worker { 0 };
    TaskRef task {};
    uint64_t run { 0 };
    uint32_t speedPercent { 100 };

    bool operator==(const ThrottleRun&) const = default;
};

}
