#pragma once

#include <LibDecision/TaskRef.h>
#include <LibDecision/TaskWorkerView.h>
#include <cstdint>
#include <string>
#include <variant>

namespace Bergamot {

struct StartTask {
    WorkerHandle worker { 0 };
    TaskRef task {};
    uint64_t run { 0 };
    std::string payload {};
    std::string checkpoint {};

    bool operator==(const StartTask&) const = default;
};

struct StopTask {
    WorkerHandle worker { 0 };
    TaskRef task {};
    uint64_t run { 0 };

    bool operator==(const StopTask&) const = default;
};

/// Lets a task work at a share of its speed.
struct PaceTask {
    WorkerHandle worker { 0 };
    TaskRef task {};
    uint64_t run { 0 };
    uint32_t percent { 100 };

    bool operator==(const PaceTask&) const = default;
};

/// An order to a worker.
using TaskAction = std::variant<StartTask, StopTask, PaceTask>;

}
