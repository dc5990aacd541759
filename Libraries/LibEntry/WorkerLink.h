#pragma once

#include <LibCore/Time.h>
#include <LibPlatform/LeaseReport.h>
#include <LibPlatform/TaskId.h>
#include <map>
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

    /// Tasks whose start was sent and not answered since the last report. They may have run.
    std::set<TaskId> unansweredStarts {};

    /// Calls since the last report whose connection was refused: no process listened at the worker's address.
    uint32_t refusedConnections { 0 };

    /// Attempts that ended because the worker's process did, with the number of tasks placed there at that time. They
    /// are kept until their end is recorded.
    std::map<TaskId, uint32_t> crashedTasks {};

    bool hasClock() const { return clockReadAt != neverInstant; }

    /// Lower bound of the worker's clock at local time `at`: the reading is older than its arrival by the reply
    /// latency.
    int64_t earliestClockAt(Instant at) const { return workerClockMs + (at - clockReadAt).count(); }
};

}
