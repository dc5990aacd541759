#pragma once

#include <LibCore/Resources.h>
#include <LibCore/Time.h>
#include <LibDecision/ExpectedRoom.h>
#include <LibDecision/ImageNumber.h>
#include <LibDecision/RunOrder.h>
#include <LibDecision/TaskScheduler.h>
#include <algorithm>
#include <map>
#include <optional>
#include <utility>
#include <vector>

namespace Bergamot {

/// Resources that a run reserves: a best-effort task uses processors that others leave idle.
inline Resources reservedSize(const StepSpec& spec)
{
    auto size = spec.size;
    if (spec.bestEffort)
        size.cpuMillis = 0;
    return size;
}

/// Whether the tasks of the step serve users of their own. A best-effort task runs on what the others leave idle,
/// whatever its other fields say, so that its tail latency is not defended against the tasks beside it.
inline bool isServing(const StepSpec& spec) { return spec.longRunning && !spec.bestEffort; }

/// Scheduling state of one worker.
struct TaskScheduler::WorkerEntry {
    WorkerHandle handle { 0 };
    TaskWorkerView view {};
    bool reachable { true };
    Resources reserved {};

    /// Processors that the best-effort tasks on the worker would use at full speed.
    int64_t bestEffortDemandMillis { 0 };

    /// Processors that the serving tasks on the worker reserve.
    int64_t servingCpuMillis { 0 };

    /// An active run on the worker. Its pointers stay valid while it is in `runs`.
    struct ActiveRun {
        TrackedJob* job { nullptr };
        TrackedTask* task { nullptr };
        const StepSpec* spec { nullptr };
        ImageNumber image {};

        /// Value of `reportCount` at the latest report that lists the run.
        uint64_t lastListedInReport { 0 };
    };

    /// Interference of the worker's best-effort tasks with one serving task.
    struct ServingPressure {
        ServingImage image {};

        /// Utilisation that best-effort tasks may add before the tail latency comes near its target.
        double margin { 0 };

        /// Utilisation that the worker's best-effort tasks would add at full speed.
        double added { 0 };
    };

    /// Smoothed processor use of best-effort tasks by image, for the pressure model.
    PressureModel::Shares bestEffortShares {};
    Instant observedAt { neverInstant };

    /// Since when a serving task on the worker has been over its target; neverInstant while none is.
    Instant overTargetSince { neverInstant };

    /// Active runs, including those that are being stopped.
    std::map<RunOrder::Key, ActiveRun, RunOrder> runs {};

    /// Number of reports received from the worker.
    uint64_t reportCount { 0 };

    /// Derived from `runs` and the latest report; see refreshServingPressures().
    std::vector<ServingPressure> servingPressures {};
    bool servingPressuresValid { false };

    /// Listed runs that are to be stopped, with the time of the latest stop command. The entry of a run whose job is
    /// unknown starts with the time at which the run was first listed.
    std::map<std::pair<TaskRef, uint64_t>, Instant> stopRequests {};

    /// Resources of the runs in the latest report that are not in `runs` and are to be stopped.
    Resources unwantedSize {};

    /// Whether the latest report lists a run whose size is unknown, because its job is.
    bool listsRunOfUnknownSize { false };

    /// The worker gets no starts before this time. A start that was refused for lack of resources shows that the known
    /// reservations are out of date.
    Instant startBackoffUntil { neverInstant };

    /// When a run on the worker was last much slower than its siblings.
    Instant slowRunSeenAt { neverInstant };

    /// Failed runs since the last completed run; a worker on which every run fails gets no starts until `pausedUntil`.
    uint32_t failures { 0 };
    Instant pausedUntil { neverInstant };

    /// When the scheduler first knew the worker, and since when it has been unreachable; neverInstant while reachable.
    Instant knownSince { neverInstant };
    Instant lostAt { neverInstant };

    /// Whether a run was the likely cause of the loss when the runs on the unreachable worker were given up.
    bool wasLostWithLikelyCause { false };

    /// When the worker last reported its runs or accepted a command.
    Instant lastReplyAt { neverInstant };

    /// Number of isolated runs. While there are any, no other run starts on the worker.
    uint32_t isolatedRuns { 0 };

    /// Until this time only an isolated run may start, so that the other runs get older.
    Instant heldForIsolationUntil { neverInstant };

    /// The step for whose runs the worker is held.
    StepKey heldFor {};

    double capacityMillis() const { return static_cast<double>(std::max<int64_t>(1, view.capacity.cpuMillis)); }

    /// Negative where the capacity has shrunk below what runs on the worker.
    Resources freeResources() const { return view.capacity - reserved - unwantedSize; }
    bool isOverFull() const { return listsRunOfUnknownSize || !Resources {}.fitsIn(freeResources()); }
    bool isHeldForIsolation(Instant now) const { return isolatedRuns > 0 || heldForIsolationUntil > now; }

    /// The room that the worker will have by the estimates of its runs; long-running ones stay.
    RoomForecast expectedRoom(Instant now) const;

    /// Resources that the best-effort tasks on the worker reserve.
    Resources bestEffortSize() const
    {
        Resources size;
        for (const auto& [key, active] : runs)
            size = active.spec->bestEffort ? size + reservedSize(*active.spec) : size;
        return size;
    }

    /// Processors that another best-effort task may expect to be idle.
    int64_t freeBestEffortMillis() const
    {
        // Serving tasks use about this share of the processors that they reserve.
        constexpr double servingUse = 0.55;
        auto idle = static_cast<int64_t>((1 - servingUse) * static_cast<double>(servingCpuMillis));
        return freeResources().cpuMillis + idle - bestEffortDemandMillis;
    }
};

}
