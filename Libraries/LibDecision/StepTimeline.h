#pragma once

#include <LibCore/Time.h>
#include <cstdint>

namespace Bergamot {

/// Wait and run time of one completed step of a job, for the log.
struct StepTimeline {
    uint32_t occurrence { 0 };
    uint32_t step { 0 };

    /// Time from when the tasks of the step were ready to start until the last of them started.
    Milliseconds waitTime { 0 };

    /// Time from the last start of a task until all tasks of the step were done.
    Milliseconds runTime { 0 };

    bool operator==(const StepTimeline&) const = default;
};

}
