#pragma once

#include <LibCore/Time.h>
#include <cstdint>

namespace Bergamot {

/// What a leader stated when it claimed leadership.
struct ElectionClaim {
    /// The least time between this election and the one before it, by the clock of another host.
    Milliseconds sincePredecessor { 0 };

    /// The leader stores which workers it has reached before it renews their leases.
    bool storesReachedWorkers { false };

    /// The leader stores that a task is no longer idle before it starts the task.
    bool recordsStartsOfIdleTasks { false };

    /// The first epoch from which on each leader, up to this one, stores on which worker a long-running task runs
    /// before it starts the task; 0 if this one does not.
    uint64_t placementsRecordedSince { 0 };

    bool operator==(const ElectionClaim&) const = default;
};

}
