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

    /// Added to the local time to give the worker's own clock.
    int64_t clockOffsetMs { 0 };

    /// Median service time of an undisturbed quick request; 0 answers at once.
    double serviceMedianMs { 4 };
    bool keepExecutionRecords { true };
};

}
