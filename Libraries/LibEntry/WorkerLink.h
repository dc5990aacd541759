#pragma once

#include <LibCore/Time.h>
#include <LibPlatform/LeaseReport.h>
#include <LibPlatform/TaskId.h>
#include <set>

namespace Bergamot {

/// What this process knows of one worker from its own calls.
struct WorkerLink {
    /// A reading of the worker's clock, and the local time at which it arrived.
    int64_t workerClockMs { 0 };
    Instant readAt { neverInstant };

    Instant nextPoll { neverInstant };
    Instant lastAnswer { neverInstant };
    bool polling { false };
    uint32_t failures { 0 };

    std::set<TaskId> running {};
    std::set<TaskId> starting {};
    std::set<TaskId> stopping {};
    std::set<TaskId> reportedEnds {};

    bool hasClock() const { return readAt != neverInstant; }

    /// Worker clock, at the earliest, at local time `at`.
    int64_t clockAt(Instant at) const { return workerClockMs + (at - readAt).count(); }
};

}
