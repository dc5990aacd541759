#pragma once

#include <LibDecision/TaskRef.h>
#include <LibDecision/TaskWorkerView.h>
#include <cstdint>
#include <string>

namespace Bergamot {

struct StartTask {
    WorkerHandle worker { 0 };
    TaskRef task {};
    uint64_t run { 0 };
    std::string payload {};
    std::string checkpoint {};

    /// Whether another run of the task is active.
    bool isSpeculativeCopy { false };

    /// Whether workers crashed under the task before. The start is sent to a worker that has just replied only: one
    /// that has crashed without notice would look like another crash under the task.
    bool isSuspected { false };

    bool operator==(const StartTask&) const = default;
};

}
