#pragma once

#include <LibCore/Resources.h>
#include <LibCore/Time.h>
#include <LibDecision/TaskScheduler.h>
#include <algorithm>
#include <map>
#include <utility>
#include <vector>

namespace Bergamot {

/// What the scheduler knows of one worker.
struct TaskScheduler::WorkerEntry {
    WorkerHandle handle { 0 };
    TaskWorkerView view {};
    bool reachable { true };
    Resources reserved {};

    /// Processors that the tasks that fill would use at full pace.
    int64_t bestEffortDemandMillis { 0 };

    /// What the tasks that serve here reserve.
    int64_t servingCpuMillis { 0 };

    /// One active run here. The pointers stay valid while the run is listed.
    struct ActiveRun {
        TrackedJob* job { nullptr };
        TrackedTask* task { nullptr };
        const StepSpec* spec { nullptr };
        uint32_t image { 0 };

        /// Number of the latest report that lists the run.
        uint64_t lastListedInReport { 0 };
    };

    /// What the filling tasks here do to one serving task.
    struct ServingPressure {
        uint32_t image { 0 };

        /// Utilisation that filling tasks may add before the tail comes near its target.
        double margin { 0 };

        /// Utilisation that the filling tasks that are here would add at full pace.
        double added { 0 };
    };

    /// Smoothed use of processors by filling tasks, by image, for the pressure model.
    PressureModel::Shares bestEffortShares {};
    Instant observedAt { neverInstant };

    /// Since when a serving task here has been over its target; neverInstant while none is.
    Instant overTargetSince { neverInstant };

    /// Active runs, with those that are being stopped.
    std::map<std::pair<TaskRef, uint64_t>, ActiveRun> runs {};

    /// Reports of this worker so far.
    uint64_t reportCount { 0 };

    /// Derived from `runs` and the latest report; see refreshServingPressures().
    std::vector<ServingPressure> servingPressures {};
    bool servingPressuresValid { false };

    /// Runs that the worker lists and that were told to stop.
    std::map<std::pair<TaskRef, uint64_t>, Instant> stopRequests {};

    /// A refusal for want of room shows that the list is out of date.
    Instant startBackoffUntil { neverInstant };

    /// When a run here last lagged far behind its siblings.
    Instant slowRunSeenAt { neverInstant };

    /// Consecutive failed runs of different jobs; a worker that fails everything gets a pause.
    uint32_t failures { 0 };
    Instant pausedUntil { neverInstant };

    double capacityMillis() const { return static_cast<double>(std::max<int64_t>(1, view.capacity.cpuMillis)); }
    Resources freeResources() const { return view.capacity - reserved; }

    /// Processors that a further task that fills may expect.
    int64_t freeBestEffortMillis() const
    {
        // Tasks that serve use about this share of what they reserve.
        constexpr double servingUse = 0.55;
        auto idle = static_cast<int64_t>((1 - servingUse) * static_cast<double>(servingCpuMillis));
        return view.capacity.cpuMillis - reserved.cpuMillis + idle - bestEffortDemandMillis;
    }
};

}
