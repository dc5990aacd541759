#pragma once

#include <LibCore/Ids.h>
#include <cstdint>
#include <msgpack.hpp>

namespace Bergamot {

/// A run that was active on a worker when the worker crashed, so that it may be the cause. For a gang, `index` is 0.
struct CrashedRun {
    uint32_t occurrence { 0 };
    uint32_t step { 0 };
    uint32_t index { 0 };
    uint64_t run { 0 };

    /// The incarnation of the worker. `workerStartedAtMs` is Unix time, 0 if unknown.
    WorkerId worker {};
    int64_t workerStartedAtMs { 0 };

    /// Time from the start of the run to the loss of the worker; 0 if unknown.
    uint32_t runTimeMs { 0 };

    /// Whether the run is the likely cause, because no other run on the worker was recently started or suspected.
    bool isolated { false };

    /// Whether the worker is known to have crashed. The run of a task under which workers crashed before is recorded
    /// before its start, any other when its worker refuses connections.
    bool confirmed { false };

    /// Crashes a second and worker around the loss, without those under the task; 0 if unknown.
    double otherCrashRate { 0 };

    /// Whether the worker is known not to have answered since the start was sent, so that it may have crashed before.
    bool unanswered { false };

    /// Expected number of crashes of the worker in the time in which one would have hit the run, without the task; 0 if
    /// unknown.
    double expectedCrashes { 0 };

    /// Whether an earlier crash under the task may have no record.
    bool mayFollowUnrecordedCrash { false };

    bool operator==(const CrashedRun&) const = default;
    MSGPACK_DEFINE_ARRAY(occurrence, step, index, run, worker, workerStartedAtMs, runTimeMs, isolated, confirmed,
        otherCrashRate, unanswered, expectedCrashes, mayFollowUnrecordedCrash)
};

}
