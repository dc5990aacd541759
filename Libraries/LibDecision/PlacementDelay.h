#pragma once

#include <cstdint>

namespace Bergamot {

/// Why the latest plan did not start a task.
enum class PlacementDelay : uint8_t {
    None,
    /// A run started by an earlier leader may still be active.
    EarlierLeader,
    /// The free processors are reserved for the recent demand of short tasks.
    Headroom,
    /// No usable worker both has the free resources and meets the placement constraints of the step.
    NoWorker,
    /// The job is newer than the latest proof that no other node has been elected.
    UnconfirmedLeadership,
    /// Workers crashed under the task, and it waits until it can run without other suspects on its worker.
    CrashSuspicion,
    /// The worker of its latest run has not listed that run for some time, and the run is not known to have ended.
    UnlistedRun,
    /// A run of another member of the gang has not ended.
    GangMember,
    /// A task of the job has used up its attempts by a configuration that may be outdated.
    OutdatedConfiguration
};

}
