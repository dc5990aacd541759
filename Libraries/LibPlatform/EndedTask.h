#pragma once

#include <LibPlatform/TaskId.h>
#include <LibWire/TaskOutcome.h>
#include <string>

namespace Bergamot {

/// An attempt that a worker reports as ended.
struct EndedTask {
    TaskId task {};
    TaskOutcome outcome { TaskOutcome::Completed };
    std::string checkpoint {};
    std::string result {};

    bool operator==(const EndedTask&) const = default;
};

}
