#pragma once

#include <LibCore/Resources.h>
#include <LibPlatform/TaskId.h>
#include <string>

namespace Bergamot {

/// A request to start a task attempt. The worker rejects it when the worker's clock has passed `leaseUntilMs`.
struct TaskStart {
    TaskId task {};
    std::string kind {};
    Resources size {};
    int64_t runMs { 0 };
    int64_t leaseUntilMs { 0 };
    std::string checkpoint {};
    bool isService { false };

    bool operator==(const TaskStart&) const = default;
};

}
