#pragma once

#include <LibCore/Ids.h>
#include <LibCore/Resources.h>
#include <cstdint>
#include <string>
#include <vector>

namespace Bergamot {

/// Identifies one incarnation of a worker; valid within one leader.
using WorkerHandle = uint32_t;

/// Properties that a worker announces.
struct TaskWorkerView {
    WorkerId id {};

    /// Unix time at which this incarnation started; 0 if unknown.
    int64_t startedAtMs { 0 };
    std::string service {};
    ZoneId zone {};
    std::vector<std::string> labels {};
    std::string rack {};
    Resources capacity {};
    bool draining { false };

    /// Remaining time for which the worker is slow after its start.
    uint32_t warmUpRemainingMs { 0 };

    bool operator==(const TaskWorkerView&) const = default;
};

}
