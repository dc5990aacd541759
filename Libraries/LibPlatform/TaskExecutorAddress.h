#pragma once

#include <LibCore/Ids.h>
#include <string>

namespace Bergamot {

/// Identifies an incarnation of a worker, and the address (IP:port) at which it accepts task commands.
struct TaskExecutorAddress {
    WorkerId id {};
    std::string address {};

    bool operator==(const TaskExecutorAddress&) const = default;
};

}
