#pragma once

#include <cstdint>

namespace Bergamot {

/// The workers that may get starts, and how their free processors are spread.
struct WorkerUse {
    uint32_t usable { 0 };

    /// Number of usable workers that are held for isolated runs.
    uint32_t isolated { 0 };

    /// Free processors of the held workers, in thousandths of a core.
    int64_t heldFreeMillis { 0 };

    /// Number of workers that are reserved for tasks that fit on none, and their free processors.
    uint32_t reserved { 0 };
    int64_t reservedFreeMillis { 0 };

    /// The most free processors of one worker that is not held, in thousandths of a core.
    int64_t largestFreeMillis { 0 };

    bool operator==(const WorkerUse&) const = default;
};

}
