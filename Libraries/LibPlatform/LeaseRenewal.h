#pragma once

#include <LibPlatform/TaskId.h>
#include <cstdint>
#include <vector>

namespace Bergamot {

/// Renews the leases of all tasks on one worker, and acknowledges ended tasks that are recorded in the log.
struct LeaseRenewal {
    int64_t leaseUntilMs { 0 };
    std::vector<TaskId> tasks {};
    std::vector<TaskId> acknowledged {};

    bool operator==(const LeaseRenewal&) const = default;
};

}
