#pragma once

#include <cstdint>

namespace Bergamot {

/// Why the leader stops a run.
enum class StopReason : uint8_t {
    /// The job was cancelled or has failed.
    JobEnded,
    /// Another run of the task ended first.
    TaskDone,
    /// Another member of the gang has ended, so that this one cannot continue.
    GangBroken,
    /// The worker lists a run that the leader does not want.
    Unwanted,
    /// The run made no progress.
    Stalled,
    /// The worker drains.
    WorkerDrains,
    /// The run was throttled for long.
    Throttled,
    /// The run is much slower than its siblings.
    Slow,
    /// The result of the run's start is not known, and the start is no longer permitted.
    StartWithdrawn
};

}
