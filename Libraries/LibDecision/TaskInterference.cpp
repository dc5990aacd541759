#include <LibDecision/TaskScheduler.h>
#include <LibDecision/TaskWorkerEntry.h>
#include <algorithm>
#include <cmath>
#include <cstdint>
#include <limits>
#include <utility>
#include <variant>

namespace Bergamot {

/// A run without progress for this long is stopped, so that its task can start on another worker. Progress is reported
/// in whole percents, so long runs get this multiple of the time for one percent.
static constexpr Milliseconds minStallTimeout { 3000 };
static constexpr int stallTimeoutFactor { 3 };

/// The timeout doubles with each stalled run of the task after the first, this often at most: the estimate of the run
/// time may be much too low.
static constexpr uint32_t maxStallTimeoutDoublings { 12 };

/// Runs that are throttled below this speed may legitimately report no progress and are not considered stalled.
static constexpr uint32_t minStallSpeedPercent = 50;

/// A best-effort task that writes checkpoints migrates to another worker after it has been throttled below this speed
/// for `migrationDelay`.
static constexpr uint32_t migrationSpeedPercent = 40;
static constexpr Milliseconds migrationDelay { 1500 };

/// A best-effort run that started slow is moved once it has been below this speed for this long.
static constexpr uint32_t stuckSpeedPercent = 10;
static constexpr Milliseconds maxStuckTime { 5000 };

/// Smaller speed changes, in percentage points, are not worth a command to the worker.
static constexpr uint32_t minSpeedPercentChange = 10;

/// Reported measurements cover half a second, so shorter intervals would observe the same data again.
static constexpr Milliseconds observationInterval { 400 };

/// The reported tail latency follows a change in processor use with about this lag.
static constexpr double tailLatencyLagMs = 800;
static constexpr double negligibleBestEffortShare = 0.002;

/// Best-effort tasks may raise the tail latency of a serving task to this share of its target.
static constexpr double tailLatencyLimitShare = 0.8;

/// Speed share of best-effort tasks that slow down a serving task whose tail latency is over its target.
static constexpr double overTargetSpeedShare = 0.1;

/// All best-effort tasks of the worker are paused once a serving task has been over its target for this long.
static constexpr Milliseconds maxOverTargetTime { 1000 };

/// Minimum time between a speed change of a run and a raise of its speed. Each run that starts or ends changes what the
/// others on the worker may use, and each raise costs a command.
static constexpr Milliseconds minRaiseInterval { 1000 };

/// Added utilisation below this value does not count as interference.
static constexpr double negligiblePressure = 0.02;

/// Measurements cover the last half second, so those of a run younger than this are ignored.
static constexpr Milliseconds measurementDelay { 700 };

void TaskScheduler::stopRun(const TaskRef& ref, TrackedRun& run, StopReason reason)
{
    run.phase = RunPhase::Stopping;
    run.stopReason = reason;
    requestStop(run.worker, ref, run.run, reason, m_latestEventAt);
}

/// Returns the time without progress after which the run counts as stalled, from the time in which it made its percents
/// so far, or from the estimate if that is longer.
static Milliseconds stallTimeoutOf(const TrackedRun& run, const TrackedTask& task, const StepSpec& spec)
{
    constexpr int wholeProgress { 100 };
    Milliseconds timePerPercent { spec.estimateMs / wholeProgress };
    if (run.progressPercent > run.firstProgressPercent) {
        auto percents = run.progressPercent - run.firstProgressPercent;
        timePerPercent = std::max(timePerPercent, (run.progressedAt - run.startedAt) / percents);
    }
    auto doublings = std::min(maxStallTimeoutDoublings, std::max(task.stalledRuns, 1U) - 1);
    return std::max(minStallTimeout, stallTimeoutFactor * timePerPercent) * (1U << doublings);
}

void TaskScheduler::superviseWorker(WorkerEntry& worker, Instant now)
{
    observeInterference(worker, now);
    throttleBestEffortRuns(worker, now);
    for (const auto& [key, active] : worker.runs) {
        auto& run = *findRun(*active.task, key.second);
        const auto& spec = *active.spec;
        // A run that a report does not list may have ended, with an end that the report leaves out.
        bool isListed = active.lastListedInReport == worker.reportCount;
        bool isStalled = isListed && !spec.longRunning && run.speedPercent >= minStallSpeedPercent
            && now - run.progressedAt > stallTimeoutOf(run, *active.task, spec);
        bool leavesDrainingWorker = worker.view.draining && (spec.longRunning || spec.checkpointing);
        bool migrates = spec.bestEffort && spec.checkpointing && run.throttledSince != neverInstant
            && now - run.throttledSince > migrationDelay && !run.startedSlow;
        bool isStuck = run.startedSlow && run.speedPercent < stuckSpeedPercent && run.speedChangedAt != neverInstant
            && now - run.speedChangedAt > maxStuckTime;
        if (run.phase == RunPhase::Running && (isStalled || leavesDrainingWorker || migrates || isStuck)) {
            auto reason = isStalled ? StopReason::Stalled : StopReason::Throttled;
            active.task->stalledRuns += isStalled && !leavesDrainingWorker ? 1 : 0;
            stopRun(key.first, run, leavesDrainingWorker ? StopReason::WorkerDrains : reason);
        }
        handleSlowRun(worker, key.first, *active.job, *active.task, run, now);
    }
}

/// Returns the image of a run that reports a tail latency that has a target, or nullptr for other runs.
static const ServingImage* targetedImageOf(const StepSpec& spec, const ImageNumber& image)
{
    return spec.targetLatencyMs > 0 ? std::get_if<ServingImage>(&image) : nullptr;
}

/// Returns the processors that a best-effort run uses. Long-running tasks report a tail latency instead, so theirs
/// follow from their speed.
static double usedMillis(const TrackedRun& run, const StepSpec& spec)
{
    constexpr double wholeSpeed { 100 };
    return spec.longRunning ? static_cast<double>(spec.size.cpuMillis) * run.speedPercent / wholeSpeed
                            : static_cast<double>(run.recentMeasurement);
}

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
        const auto* image = std::get_if<BestEffortImage>(&active.image);
        if (!image || *image == BestEffortImage::Untracked || run.recentMeasurement <= 0)
            continue;
        auto index = static_cast<size_t>(*image);
        if (worker.bestEffortShares.size() <= index)
            worker.bestEffortShares.resize(index + 1, 0);
        worker.bestEffortShares[index] += weight * usedMillis(run, *active.spec) / worker.capacityMillis();
    }
    for (auto& share : worker.bestEffortShares)
        share = share < negligibleBestEffortShare ? 0 : share;
    for (const auto& [key, active] : worker.runs) {
        auto& run = *findRun(*active.task, key.second);
        const auto* image = targetedImageOf(*active.spec, active.image);
        if (!image || run.progressPercent < 100 || now - run.startedAt < measurementDelay)
            continue;
        m_pressure.observe(*image, static_cast<double>(run.recentMeasurement), worker.bestEffortShares, run.load, now);
    }
}

/// Returns the utilisation that best-effort tasks may add before the tail latency of the serving task reaches
/// `tailLatencyLimitShare` of its target.
double TaskScheduler::servingMargin(const TrackedRun& run, const StepSpec& spec, ServingImage image) const
{
    return m_pressure.utilisationAt(image, tailLatencyLimitShare * spec.targetLatencyMs) - run.load;
}

/// Recomputes the interference of best-effort tasks with the serving tasks of a worker if its runs or reports have
/// changed.
void TaskScheduler::refreshServingPressures(WorkerEntry& worker) const
{
    if (std::exchange(worker.servingPressuresValid, true))
        return;
    worker.servingPressures.clear();
    for (const auto& [key, active] : worker.runs) {
        const auto* image = targetedImageOf(*active.spec, active.image);
        if (!image)
            continue;
        auto run = std::ranges::find(active.task->runs, key.second, &TrackedRun::run);
        WorkerEntry::ServingPressure pressure { .image = *image };
        pressure.margin = servingMargin(*run, *active.spec, *image);
        for (const auto& [otherKey, other] : worker.runs) {
            if (other.spec->bestEffort)
                pressure.added += addedUtilisation(worker, *other.spec, other.image, *image);
        }
        worker.servingPressures.push_back(pressure);
    }
}

double TaskScheduler::addedUtilisation(const WorkerEntry& worker, const StepSpec& bestEffortSpec,
    const ImageNumber& bestEffortImage, ServingImage servingImage) const
{
    const auto* image = std::get_if<BestEffortImage>(&bestEffortImage);
    if (!image)
        return 0;
    return m_pressure.pressure(*image, servingImage) * static_cast<double>(bestEffortSpec.size.cpuMillis)
        / worker.capacityMillis();
}

/// Returns the margin of the serving task on the worker that limits the best-effort task most, or nullopt if the task
/// disturbs none.
std::optional<ServingMargin> TaskScheduler::limitingMargin(
    WorkerEntry& worker, const StepSpec& bestEffortSpec, const ImageNumber& bestEffortImage) const
{
    refreshServingPressures(worker);
    std::optional<ServingMargin> limiting;
    for (const auto& serving : worker.servingPressures) {
        ServingMargin margin { .margin = serving.margin,
            .added = serving.added,
            .own = addedUtilisation(worker, bestEffortSpec, bestEffortImage, serving.image) };
        if (margin.own >= negligiblePressure && (!limiting || margin.share() < limiting->share()))
            limiting = margin;
    }
    return limiting;
}

/// Returns the share of its full speed at which another best-effort task may run beside the serving tasks; may
/// exceed 1.
double TaskScheduler::allowedBestEffortShare(
    WorkerEntry& worker, const StepSpec& bestEffortSpec, const ImageNumber& bestEffortImage) const
{
    constexpr double unlimited { 100 };
    if (worker.overTargetSince != neverInstant)
        return 0;
    auto limiting = limitingMargin(worker, bestEffortSpec, bestEffortImage);
    return limiting ? std::min(unlimited, limiting->share()) : unlimited;
}

/// Whether the change from the known speed of the run is sent to its worker.
static bool isWorthACommand(const TrackedRun& run, uint32_t speedPercent, Instant now)
{
    auto difference
        = speedPercent > run.speedPercent ? speedPercent - run.speedPercent : run.speedPercent - speedPercent;
    if (difference == 0 || (difference < minSpeedPercentChange && speedPercent != 0))
        return false;
    bool isRaise = speedPercent > run.speedPercent;
    return !isRaise || run.speedChangedAt == neverInstant || now - run.speedChangedAt >= minRaiseInterval;
}

void TaskScheduler::setSpeedPercent(
    WorkerEntry& worker, const TaskRef& ref, TrackedRun& run, uint32_t speedPercent, Instant now)
{
    if (speedPercent >= migrationSpeedPercent)
        run.throttledSince = neverInstant;
    else if (run.throttledSince == neverInstant)
        run.throttledSince = now;
    if (run.isSpeedKnown && !isWorthACommand(run, speedPercent, now))
        return;
    run.isSpeedKnown = true;
    run.speedPercent = speedPercent;
    run.speedChangedAt = now;
    run.progressedAt = now;
    m_actions.push_back(
        ThrottleRun { .worker = worker.handle, .task = ref, .run = run.run, .speedPercent = speedPercent });
}

void TaskScheduler::updateOverTargetSince(WorkerEntry& worker, Instant now)
{
    bool isOverTarget = false;
    for (const auto& [key, active] : worker.runs) {
        if (!targetedImageOf(*active.spec, active.image))
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

/// Sets each best-effort run to the highest speed that keeps the serving tasks that it slows down below their targets.
void TaskScheduler::throttleBestEffortRuns(WorkerEntry& worker, Instant now)
{
    struct BestEffortRun {
        const TaskRef* ref;
        TrackedRun* run;
        const StepSpec* spec;
        ImageNumber image;
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
        const auto* image = targetedImageOf(*active.spec, active.image);
        if (!image)
            continue;
        const auto& run = *findRun(*active.task, key.second);
        if (run.progressPercent < 100)
            continue;
        double totalAdded = 0;
        for (const auto& bestEffortRun : bestEffortRuns)
            totalAdded += addedUtilisation(worker, *bestEffortRun.spec, bestEffortRun.image, *image);
        bool overTarget = run.recentMeasurement >= active.spec->targetLatencyMs;
        if (totalAdded < negligiblePressure && !overTarget)
            continue;
        double margin = servingMargin(run, *active.spec, *image);
        double share = totalAdded > 0 ? std::clamp(margin / totalAdded, 0.0, 1.0) : 1;
        if (overTarget)
            share = std::min(share, overTargetSpeedShare);
        for (auto& bestEffortRun : bestEffortRuns) {
            double ownAdded = addedUtilisation(worker, *bestEffortRun.spec, bestEffortRun.image, *image);
            if (ownAdded >= negligiblePressure || totalAdded < negligiblePressure)
                bestEffortRun.allowed = std::min(bestEffortRun.allowed, share);
        }
    }
    // A tail latency that stays over its target is not explained by the known pressures, so all best-effort runs of the
    // worker are paused.
    for (auto& bestEffortRun : bestEffortRuns)
        setSpeedPercent(worker, *bestEffortRun.ref, *bestEffortRun.run,
            exceedsMaxOverTargetTime ? 0 : static_cast<uint32_t>(bestEffortRun.allowed * 100), now);
}

}
