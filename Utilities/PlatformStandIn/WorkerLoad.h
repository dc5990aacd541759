#pragma once

#include "WorkerCapacity.h"

namespace Bergamot {

/// What the runs of a worker use together, including those that are being stopped, and what the worker has.
struct WorkerLoad {
    WorkerCapacity used {};
    WorkerCapacity capacity {};

    /// Whether the worker rejects what does not fit.
    bool guardsCapacity { true };

    bool operator==(const WorkerLoad&) const = default;
};

}
