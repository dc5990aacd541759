#pragma once

#include <LibCore/Time.h>
#include <LibDecision/TaskRef.h>
#include <LibDecision/TaskWorkerView.h>
#include <cstdint>
#include <optional>
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

    /// For a long-running task: how long it has waited for this start.
    std::optional<Milliseconds> longRunningWait {};

    /// Whether the task has run before, or may have run under an earlier leader.
    bool isRestart { false };

    bool operator==(const StartTask&) const = default;
};

}
