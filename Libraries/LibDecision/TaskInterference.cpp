#include <LibDecision/TaskScheduler.h>
#include <LibDecision/TaskWorkerEntry.h>
#include <algorithm>
#include <cmath>
#include <cstdint>
#include <limits>
#include <utility>

namespace Bergamot {

/// A run without progress for this long is started again elsewhere.
static constexpr Milliseconds stallTimeout { 3000 };

/// Tasks that are paced below this share may rightly show no progress.
static constexpr uint32_t minStallSpeedPercent = 50;

/// A task that fills moves to another worker when it has been paced below this share for this long.
static constexpr uint32_t migrationSpeedPercent = 40;
static constexpr Milliseconds migrationDelay { 1500 };

/// A change of pace below this many points is not worth an order.
static constexpr uint32_t minSpeedPercentChange = 10;

/// The reported figures cover half a second, so that more frequent ones say the same again.
static constexpr Milliseconds observationInterval { 400 };

/// The reported tail follows a change of the processor use with about this delay.
static constexpr double tailLatencyLagMs = 800;
static constexpr double negligibleBestEffortShare = 0.002;

/// Filling tasks may raise the tail of a serving task to this share of its target.
static constexpr double tailLatencyLimitShare = 0.8;

/// Pace of the tasks that press a serving task which is over its target.
static constexpr double overTargetSpeedShare = 0.1;

/// After this time over the target, all filling tasks of the worker stand still.
static constexpr Milliseconds maxOverTargetTime { 1000 };

/// Utilisation that does not count as pressure.
static constexpr double negligiblePressure = 0.02;

/// A report of the last half second says nothing of a run that is younger than this.
static constexpr Milliseconds measurementDelay { 700 };

void TaskScheduler::stopRun(const TaskRef& ref, TrackedRun& run)
{
    run.phase = RunPhase::Stopping;
    requestStop(run.worker, ref, run.run, m_latestEventAt);
}

void TaskScheduler::superviseWorker(WorkerEntry& worker, Instant now)
{
    observeInterference(worker, now);
    throttleBestEffortRuns(worker, now);
    for (const auto& [key, active] : worker.runs) {
        auto& run = *findRun(*active.task, key.second);
        const auto& spec = *active.spec;
        bool isStalled
            = !spec.longRunning && run.speedPercent >= minStallSpeedPercent && now - run.progressedAt > stallTimeout;
        bool isDraining = worker.view.draining && (spec.longRunning || spec.checkpointing);
        bool migrates = spec.bestEffort && spec.checkpointing && run.throttledSince != neverInstant
            && now - run.throttledSince > migrationDelay;
        if (run.phase == RunPhase::Running && (isStalled || isDraining || migrates))
            stopRun(key.first, run);
        handleSlowRun(worker, key.first, *active.job, *active.task, run, now);
    }
}

/// Whether the reported figure of the run is the tail latency of a serving task at work.
static bool hasLatencyTarget(const StepSpec& spec) { return spec.longRunning && spec.targetLatencyMs > 0; }

void TaskScheduler::observeInterference(WorkerEntry& worker, Instant now)
{
    if (now - worker.observedAt < observationInterval)
        return;
    auto elapsedMs = static_cast<double>((now - worker.observedAt).count());
    double weight = worker.observedAt == neverInstant ? 1 : 1 - std::exp(-elapsedMs / tailLatencyLagMs);
    worker.observedAt = now;
    worker.servingPressuresValid = false;
    for (auto& smoothed : worker.bestEffortShares)
        smoothed -= weight * smoothed;
    for (const auto& [key, active] : worker.runs) {
        const auto& run = *findRun(*active.task, key.second);
        if (!active.spec->bestEffort || run.recentMeasurement <= 0 || active.image == 0)
            continue;
        if (worker.bestEffortShares.size() <= active.image)
            worker.bestEffortShares.resize(active.image + 1, 0);
        worker.bestEffortShares[active.image]
            += weight * static_cast<double>(run.recentMeasurement) / worker.capacityMillis();
    }
    for (auto& share : worker.bestEffortShares)
        share = share < negligibleBestEffortShare ? 0 : share;
    for (const auto& [key, active] : worker.runs) {
        auto& run = *findRun(*active.task, key.second);
        if (!hasLatencyTarget(*active.spec) || run.progressPercent < 100 || now - run.startedAt < measurementDelay)
            continue;
        m_pressure.observe(
            active.image, static_cast<double>(run.recentMeasurement), worker.bestEffortShares, run.load, now);
    }
}

/// The utilisation that filling tasks may add before the serving task comes near its target.
double TaskScheduler::servingMargin(const TrackedRun& run, const StepSpec& spec, uint32_t image) const
{
    return m_pressure.utilisationAt(image, tailLatencyLimitShare * spec.targetLatencyMs) - run.load;
}

/// Works out again what presses the serving tasks of a worker, when runs or reports have changed.
void TaskScheduler::refreshServingPressures(WorkerEntry& worker) const
{
    if (std::exchange(worker.servingPressuresValid, true))
        return;
    worker.servingPressures.clear();
    for (const auto& [key, active] : worker.runs) {
        if (!hasLatencyTarget(*active.spec))
            continue;
        auto run = std::ranges::find(active.task->runs, key.second, &TrackedRun::run);
        WorkerEntry::ServingPressure pressure { .image = active.image };
        pressure.margin = servingMargin(*run, *active.spec, active.image);
        for (const auto& [otherKey, other] : worker.runs) {
            if (other.spec->bestEffort)
                pressure.added += addedUtilisation(worker, *other.spec, other.image, active.image);
        }
        worker.servingPressures.push_back(pressure);
    }
}

double TaskScheduler::addedUtilisation(
    const WorkerEntry& worker, const StepSpec& bestEffortSpec, uint32_t bestEffortImage, uint32_t servingImage) const
{
    return m_pressure.pressure(bestEffortImage, servingImage) * static_cast<double>(bestEffortSpec.size.cpuMillis)
        / worker.capacityMillis();
}

/// The share of its speed at which a further task that fills may work beside the tasks that serve; may exceed 1.
double TaskScheduler::allowedBestEffortShare(
    WorkerEntry& worker, const StepSpec& bestEffortSpec, uint32_t bestEffortImage) const
{
    if (worker.overTargetSince != neverInstant)
        return 0;
    refreshServingPressures(worker);
    double allowed = 100;
    for (const auto& serving : worker.servingPressures) {
        double added = addedUtilisation(worker, bestEffortSpec, bestEffortImage, serving.image);
        if (added >= negligiblePressure)
            allowed = std::min(allowed, std::max(0.0, serving.margin - serving.added) / added);
    }
    return allowed;
}

void TaskScheduler::setSpeedPercent(
    WorkerEntry& worker, const TaskRef& ref, TrackedRun& run, uint32_t speedPercent, Instant now)
{
    if (speedPercent >= migrationSpeedPercent)
        run.throttledSince = neverInstant;
    else if (run.throttledSince == neverInstant)
        run.throttledSince = now;
    auto difference
        = speedPercent > run.speedPercent ? speedPercent - run.speedPercent : run.speedPercent - speedPercent;
    bool isExtreme = speedPercent == 0 || speedPercent == 100;
    if (difference == 0 || (difference < minSpeedPercentChange && !isExtreme))
        return;
    run.speedPercent = speedPercent;
    run.progressedAt = now;
    m_actions.push_back(
        ThrottleRun { .worker = worker.handle, .task = ref, .run = run.run, .speedPercent = speedPercent });
}

void TaskScheduler::updateOverTargetSince(WorkerEntry& worker, Instant now)
{
    bool isOverTarget = false;
    for (const auto& [key, active] : worker.runs) {
        if (!hasLatencyTarget(*active.spec))
            continue;
        const auto& run = *findRun(*active.task, key.second);
        isOverTarget
            = isOverTarget || (run.progressPercent == 100 && run.recentMeasurement >= active.spec->targetLatencyMs);
    }
    if (!isOverTarget)
        worker.overTargetSince = neverInstant;
    else if (worker.overTargetSince == neverInstant)
        worker.overTargetSince = now;
}

/// Lets each filling task work at the largest share that keeps every serving task that it presses below its target.
void TaskScheduler::throttleBestEffortRuns(WorkerEntry& worker, Instant now)
{
    struct BestEffortRun {
        const TaskRef* ref;
        TrackedRun* run;
        const StepSpec* spec;
        uint32_t image;
        double allowed { 1 };
    };
    std::vector<BestEffortRun> bestEffortRuns;
    for (const auto& [key, active] : worker.runs) {
        if (!active.spec->bestEffort)
            continue;
        auto& run = *findRun(*active.task, key.second);
        if (run.phase != RunPhase::Stopping)
            bestEffortRuns.push_back({ &key.first, &run, active.spec, active.image });
    }
    updateOverTargetSince(worker, now);
    if (bestEffortRuns.empty())
        return;
    bool exceedsMaxOverTargetTime
        = worker.overTargetSince != neverInstant && now - worker.overTargetSince > maxOverTargetTime;
    for (const auto& [key, active] : worker.runs) {
        if (!hasLatencyTarget(*active.spec))
            continue;
        const auto& run = *findRun(*active.task, key.second);
        if (run.progressPercent < 100)
            continue;
        double totalAdded = 0;
        for (const auto& bestEffortRun : bestEffortRuns)
            totalAdded += addedUtilisation(worker, *bestEffortRun.spec, bestEffortRun.image, active.image);
        bool overTarget = run.recentMeasurement >= active.spec->targetLatencyMs;
        if (totalAdded < negligiblePressure && !overTarget)
            continue;
        double margin = servingMargin(run, *active.spec, active.image);
        double share = totalAdded > 0 ? std::clamp(margin / totalAdded, 0.0, 1.0) : 1;
        if (overTarget)
            share = std::min(share, overTargetSpeedShare);
        for (auto& bestEffortRun : bestEffortRuns) {
            double ownAdded = addedUtilisation(worker, *bestEffortRun.spec, bestEffortRun.image, active.image);
            if (ownAdded >= negligiblePressure || totalAdded < negligiblePressure)
                bestEffortRun.allowed = std::min(bestEffortRun.allowed, share);
        }
    }
    // The pressures that are known do not explain the tail, so that everything that fills here has to wait.
    for (auto& bestEffortRun : bestEffortRuns)
        setSpeedPercent(worker, *bestEffortRun.ref, *bestEffortRun.run,
            exceedsMaxOverTargetTime ? 0 : static_cast<uint32_t>(bestEffortRun.allowed * 100), now);
}

}
