#pragma once

#include <cstdint>

namespace Bergamot {

/// Processor time and memory, of a worker or of the tasks that it runs.
struct WorkerCapacity {
    int64_t cpuMillis { 0 };
    int64_t memoryMb { 0 };

    bool operator==(const WorkerCapacity&) const = default;

    bool fitsInto(const WorkerCapacity& other) const
    {
        return cpuMillis <= other.cpuMillis && memoryMb <= other.memoryMb;
    }

    WorkerCapacity scaledTo(int64_t percent) const { return { cpuMillis * percent / 100, memoryMb * percent / 100 }; }
};

}
