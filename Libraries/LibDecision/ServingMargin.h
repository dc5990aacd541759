#pragma once

#include <algorithm>

namespace Bergamot {

/// How much a best-effort task may disturb the serving task on a worker that limits it most. All values are shares of
/// the utilisation of the serving task.
struct ServingMargin {
    /// Utilisation that best-effort tasks may add before the tail latency comes near its target.
    double margin { 0 };

    /// Utilisation that the best-effort tasks on the worker would add at full speed.
    double added { 0 };

    /// Utilisation that the task would add at full speed.
    double own { 0 };

    /// The share of its full speed at which the task may run beside the others; may exceed 1.
    double share() const { return std::max(0.0, margin - added) / own; }

    /// The share at which it could run without the others.
    double shareAlone() const { return std::max(0.0, margin) / own; }

    bool operator==(const ServingMargin&) const = default;
};

}
