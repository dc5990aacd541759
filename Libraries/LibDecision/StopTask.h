#pragma once

#include <LibDecision/StopReason.h>
#include <LibDecision/TaskRef.h>
#include <LibDecision/TaskWorkerView.h>
#include <cstdint>

namespace Bergamot {

struct StopTask {
    WorkerHandle worker { 0 };
    TaskRef task {};
    uint64_t run { 0 };
    StopReason reason { StopReason::JobEnded };

    bool operator==(const StopTask&) const = default;
};

}
