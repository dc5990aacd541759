#pragma once

#include <LibCore/Ids.h>
#include <LibCore/Time.h>
#include <LibDecision/TrackedRun.h>
#include <cstdint>
#include <string>
#include <vector>

namespace Bergamot {

struct TrackedTask {
    bool done { false };
    uint32_t failures { 0 };

    /// Number of starts by this leader.
    uint32_t starts { 0 };

    /// Whether a worker is known to have run the task.
    bool hasRun { false };

    /// The longest time from the start of an earlier run to the last report of its worker that listed it.
    Milliseconds longestRunTime { 0 };

    /// Number of runs that this leader stopped because they were slow.
    uint32_t slowRuns { 0 };

    /// Number of runs that this leader stopped because they made no progress.
    uint32_t stalledRuns { 0 };

    /// Whether a speculative copy is to be started beside the active run.
    bool wantsSpeculativeCopy { false };
    std::string checkpoint {};
    std::vector<TrackedRun> runs {};
    WorkerHandle lastFailedOn { 0 };

    /// Since when the task waits, for the delays that end after some time. The first plan that found the task waiting,
    /// whether or not that plan tried to place it; earlier for a task that may have waited under earlier leaders.
    Instant waitingSince { neverInstant };

    /// Time of that plan, for the delays in which this leader gathers evidence.
    Instant foundWaitingAt { neverInstant };

    /// A run that an earlier leader started may be active until this time.
    Instant blockedUntil { neverInstant };

    /// A start that an earlier leader sent may still be executed, whatever `blockedUntil` says.
    bool isHeld { false };

    /// Whether the progress names the task as idle. Only an eligible task is (isPlacementRecordable()).
    bool isRecordedIdle { false };

    /// The only worker on which the task may be active according to the progress; empty if the progress does not tell.
    /// Only an eligible task has one.
    WorkerId recordedWorker {};

    /// The worker for which the task waits while it is blocked; empty if it waits for all workers.
    WorkerId awaitedWorker {};

    /// Number of the record of the job that must be stored before the task starts, because an earlier one names it as
    /// idle or on another worker; 0 if none does.
    uint64_t startsAfterRecord { 0 };

    /// Whether a crash directly after a start was withdrawn because the rack or zone of the worker was lost too.
    bool hasExcusedCrash { false };

    /// Whether no earlier leader can have left a crash under the task without a record.
    bool areEarlierCrashesRecorded { false };
};

}
