#pragma once

#include <LibPlatform/EndedTask.h>
#include <LibPlatform/TaskUsage.h>
#include <cstdint>
#include <vector>

namespace Bergamot {

/// A worker's reply to a lease renewal: its clock, its running task attempts, and its ended task attempts that are not
/// acknowledged yet.
struct LeaseReport {
    int64_t workerClockMs { 0 };
    std::vector<TaskUsage> running {};
    std::vector<EndedTask> ended {};

    bool operator==(const LeaseReport&) const = default;
};

}
