#pragma once

#include <LibCore/Ids.h>
#include <string>

namespace Bergamot {

/// One life of a worker and where it is reached.
struct TaskExecutorAddress {
    WorkerId id {};
    std::string address {};

    bool operator==(const TaskExecutorAddress&) const = default;
};

}
