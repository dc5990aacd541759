#pragma once

#include <LibCore/Ids.h>
#include <LibCore/Resources.h>
#include <cstdint>
#include <string>
#include <vector>

namespace Bergamot {

/// Names one life of a worker within one leader.
using WorkerHandle = uint32_t;

/// What a worker says of itself.
struct TaskWorkerView {
    WorkerId id {};
    std::string service {};
    ZoneId zone {};
    std::vector<std::string> labels {};
    std::string rack {};
    Resources capacity {};
    bool draining { false };

    /// How much longer the worker stays slow after its start.
    uint32_t warmUpRemainingMs { 0 };

    bool operator==(const TaskWorkerView&) const = default;
};

}
