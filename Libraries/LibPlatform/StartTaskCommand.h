#pragma once

#include <LibDecision/TaskRef.h>
#include <cstdint>
#include <string>

namespace Bergamot {

struct StartTaskCommand {
    TaskRef task {};
    uint64_t run { 0 };
    std::string payload {};
    std::string checkpoint {};

    /// Expiry of the lease that covers all runs on the worker, on the worker's clock.
    int64_t leaseUntilMs { 0 };
};

}
