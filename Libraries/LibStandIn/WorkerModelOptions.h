#pragma once

#include <LibCore/Ids.h>
#include <LibCore/Resources.h>
#include <cstdint>

namespace Bergamot {

struct WorkerModelOptions {
    WorkerId id {};
    ZoneId zone {};
    Resources capacity { 32000, 125000, 0 };
    int slots { 8 };
    int connections { 64 };
    uint64_t seed { 1 };

    /// Offset of the worker's clock from the local time, in milliseconds.
    int64_t clockOffsetMs { 0 };

    /// Median service time, in ms, of a quick request without interference. With 0 the worker replies immediately.
    double serviceMedianMs { 4 };
    bool keepExecutionRecords { true };
};

}
