#pragma once

#include <LibCore/Time.h>
#include <cstdint>

namespace Bergamot {

/// How long one step of a job took, for logs.
struct StepTimeline {
    uint32_t occurrence { 0 };
    uint32_t step { 0 };

    /// From the time when its tasks could start until the last of them was started.
    Milliseconds waited { 0 };

    /// From then until all were done.
    Milliseconds ran { 0 };

    bool operator==(const StepTimeline&) const = default;
};

}
