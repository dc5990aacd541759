#pragma once

#include <LibPlatform/EndedTask.h>
#include <LibPlatform/TaskUsage.h>
#include <cstdint>
#include <vector>

namespace Bergamot {

/// A worker's answer to a renewal: its clock, what it runs and what has ended and is not yet acknowledged.
struct LeaseReport {
    int64_t workerClockMs { 0 };
    std::vector<TaskUsage> running {};
    std::vector<EndedTask> ended {};

    bool operator==(const LeaseReport&) const = default;
};

}
