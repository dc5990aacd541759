#pragma once

#include <LibPlatform/TaskId.h>
#include <LibWire/TaskOutcome.h>
#include <string>

namespace Bergamot {

/// A task attempt that its worker reports as ended.
struct EndedTask {
    TaskId task {};
    TaskOutcome outcome { TaskOutcome::Completed };
    std::string checkpoint {};
    std::string result {};

    bool operator==(const EndedTask&) const = default;
};

}
