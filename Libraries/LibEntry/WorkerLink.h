#pragma once

#include <LibCore/Time.h>
#include <LibPlatform/LeaseReport.h>
#include <LibPlatform/TaskId.h>
#include <set>

namespace Bergamot {

/// State of one worker, as known from the calls of this process to it.
struct WorkerLink {
    /// The last reading of the worker's clock, and the local time at which the reply with it arrived.
    int64_t workerClockMs { 0 };
    Instant clockReadAt { neverInstant };

    Instant nextPoll { neverInstant };
    Instant lastReplyAt { neverInstant };
    bool isPolling { false };
    uint32_t failedCallsSinceReport { 0 };

    std::set<TaskId> runningTasks {};
    std::set<TaskId> startingTasks {};
    std::set<TaskId> stoppingTasks {};
    std::set<TaskId> endedTasks {};

    bool hasClock() const { return clockReadAt != neverInstant; }

    /// Lower bound of the worker's clock at local time `at`: the reading is older than its arrival by the reply
    /// latency.
    int64_t earliestClockAt(Instant at) const { return workerClockMs + (at - clockReadAt).count(); }
};

}
