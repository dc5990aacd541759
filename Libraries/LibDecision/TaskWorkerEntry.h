#pragma once

#include <LibCore/Resources.h>
#include <LibCore/Time.h>
#include <LibDecision/PaceController.h>
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

    /// Processors left for tasks that fill, as measured; negative while unknown.
    double fillCapacityMillis { -1 };
    PaceController pace {};

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
    double fillRoomMillis() const
    {
        // Tasks that serve use about this share of what they reserve, until a measurement says more.
        constexpr double assumedUse = 0.6;
        double capacity = fillCapacityMillis >= 0
            ? fillCapacityMillis
            : static_cast<double>(view.capacity.cpuMillis) - assumedUse * static_cast<double>(reserved.cpuMillis);
        return capacity * pace.percent() / 100 - static_cast<double>(fillDemandMillis);
    }
};

}
