#pragma once

#include <LibCore/Resources.h>
#include <LibCore/Time.h>
#include <LibDecision/TaskScheduler.h>
#include <map>
#include <set>
#include <utility>

namespace Bergamot {

/// What the scheduler knows of one worker.
struct TaskScheduler::WorkerEntry {
    WorkerHandle handle { 0 };
    TaskWorkerView view {};
    bool reachable { true };
    Resources reserved {};

    /// Processors that the tasks that fill would use at full pace.
    int64_t fillDemandMillis { 0 };

    /// What the tasks that serve here reserve.
    int64_t servingMillis { 0 };

    /// Smoothed use of processors by filling tasks, by image, for the pressure model.
    PressureModel::Shares fillShares {};
    Instant observedAt { neverInstant };

    /// Since when a serving task here has been over its target; neverInstant while none is.
    Instant overTargetSince { neverInstant };

    /// Active runs, with those that are being stopped.
    std::set<std::pair<TaskRef, uint64_t>> runs {};

    /// Runs that the worker lists and that were told to stop.
    std::map<std::pair<TaskRef, uint64_t>, Instant> unknownRuns {};

    /// A refusal for want of room shows that the list is out of date.
    Instant fullUntil { neverInstant };

    /// Consecutive failed runs of different jobs; a worker that fails everything gets a pause.
    uint32_t failures { 0 };
    Instant pausedUntil { neverInstant };

    Resources freeRoom() const { return view.capacity - reserved; }

    /// Processors that a further task that fills may expect.
    int64_t fillRoomMillis() const
    {
        // Tasks that serve use about this share of what they reserve.
        constexpr double servingUse = 0.55;
        auto idle = static_cast<int64_t>((1 - servingUse) * static_cast<double>(servingMillis));
        return view.capacity.cpuMillis - reserved.cpuMillis + idle - fillDemandMillis;
    }
};

}
