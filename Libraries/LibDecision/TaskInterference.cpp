#include <LibDecision/TaskScheduler.h>
#include <LibDecision/TaskWorkerEntry.h>
#include <algorithm>
#include <cmath>
#include <cstdint>
#include <limits>
#include <utility>

namespace Bergamot {

/// A run without progress for this long is started again elsewhere.
static constexpr Milliseconds stallLimit { 3000 };

/// Tasks that are paced below this share may rightly show no progress.
static constexpr uint32_t stallPacePercent = 50;

/// A task that fills moves to another worker when it has been paced below this share for this long.
static constexpr uint32_t movePacePercent = 40;
static constexpr Milliseconds pacedDownLimit { 1500 };

/// A change of pace below this many points is not worth an order.
static constexpr uint32_t leastPaceChange = 10;

/// The reported figures cover half a second, so that more frequent ones say the same again.
static constexpr Milliseconds observationInterval { 400 };

/// The reported tail follows a change of the processor use with about this delay.
static constexpr double tailDelayMs = 800;
static constexpr double negligibleFillShare = 0.002;

/// Filling tasks may raise the tail of a serving task to this share of its target.
static constexpr double tailLimitShare = 0.8;

/// Pace of the tasks that press a serving task which is over its target.
static constexpr double overTargetPace = 0.1;

/// After this time over the target, all filling tasks of the worker stand still.
static constexpr Milliseconds overTargetLimit { 1000 };

/// Utilisation that does not count as pressure.
static constexpr double negligiblePressure = 0.02;

/// A report of the last half second says nothing of a run that is younger than this.
static constexpr Milliseconds figureDelay { 700 };

void TaskScheduler::stopRun(const TaskRef& ref, TrackedRun& run)
{
    run.phase = RunPhase::Stopping;
    orderStop(run.worker, ref, run.run, m_latestEventAt);
}

void TaskScheduler::superviseWorker(WorkerEntry& worker, Instant now)
{
    observeInterference(worker, now);
    paceFills(worker, now);
    for (const auto& [key, active] : worker.runs) {
        auto& run = *findRun(*active.task, key.second);
        const auto& spec = *active.spec;
        bool stalled = !spec.longRunning && run.pace >= stallPacePercent && now - run.progressedAt > stallLimit;
        bool leaves = worker.view.draining && (spec.longRunning || spec.checkpointing);
        bool moves = spec.fills && spec.checkpointing && run.pacedDownSince != neverInstant
            && now - run.pacedDownSince > pacedDownLimit;
        if (run.phase == RunPhase::Running && (stalled || leaves || moves))
            stopRun(key.first, run);
        superviseSpeed(worker, key.first, *active.job, *active.task, run, now);
    }
}

/// Whether the reported figure of the run is the tail latency of a serving task at work.
static bool servesWithTarget(const StepSpec& spec) { return spec.longRunning && spec.targetLatencyMs > 0; }

void TaskScheduler::observeInterference(WorkerEntry& worker, Instant now)
{
    if (now - worker.observedAt < observationInterval)
        return;
    auto passed = static_cast<double>((now - worker.observedAt).count());
    double weight = worker.observedAt == neverInstant ? 1 : 1 - std::exp(-passed / tailDelayMs);
    worker.observedAt = now;
    worker.servingPressuresCurrent = false;
    for (auto& smoothed : worker.fillShares)
        smoothed -= weight * smoothed;
    for (const auto& [key, active] : worker.runs) {
        const auto& run = *findRun(*active.task, key.second);
        if (!active.spec->fills || run.recentFigure <= 0 || active.image == 0)
            continue;
        if (worker.fillShares.size() <= active.image)
            worker.fillShares.resize(active.image + 1, 0);
        worker.fillShares[active.image] += weight * static_cast<double>(run.recentFigure) / worker.capacityMillis();
    }
    for (auto& share : worker.fillShares)
        share = share < negligibleFillShare ? 0 : share;
    for (const auto& [key, active] : worker.runs) {
        auto& run = *findRun(*active.task, key.second);
        if (!servesWithTarget(*active.spec) || run.percent < 100 || now - run.startedAt < figureDelay)
            continue;
        m_pressure.observe(active.image, static_cast<double>(run.recentFigure), worker.fillShares, run.load, now);
    }
}

/// The utilisation that filling tasks may add before the serving task comes near its target.
double TaskScheduler::servingMargin(const TrackedRun& run, const StepSpec& spec, uint32_t image) const
{
    return m_pressure.utilisationAt(image, tailLimitShare * spec.targetLatencyMs) - run.load;
}

/// Works out again what presses the serving tasks of a worker, when runs or reports have changed.
void TaskScheduler::refreshServingPressures(WorkerEntry& worker) const
{
    if (std::exchange(worker.servingPressuresCurrent, true))
        return;
    worker.servingPressures.clear();
    for (const auto& [key, active] : worker.runs) {
        if (!servesWithTarget(*active.spec))
            continue;
        auto run = std::ranges::find(active.task->runs, key.second, &TrackedRun::run);
        WorkerEntry::ServingPressure pressure { .image = active.image };
        pressure.margin = servingMargin(*run, *active.spec, active.image);
        for (const auto& [otherKey, other] : worker.runs) {
            if (other.spec->fills)
                pressure.added += addedUtilisation(worker, *other.spec, other.image, active.image);
        }
        worker.servingPressures.push_back(pressure);
    }
}

double TaskScheduler::addedUtilisation(
    const WorkerEntry& worker, const StepSpec& fill, uint32_t fillImage, uint32_t servingImage) const
{
    return m_pressure.pressure(fillImage, servingImage) * static_cast<double>(fill.size.cpuMillis)
        / worker.capacityMillis();
}

/// The share of its speed at which a further task that fills may work beside the tasks that serve; may exceed 1.
double TaskScheduler::allowedFillShare(WorkerEntry& worker, const StepSpec& fill, uint32_t fillImage) const
{
    if (worker.overTargetSince != neverInstant)
        return 0;
    refreshServingPressures(worker);
    double allowed = 100;
    for (const auto& serving : worker.servingPressures) {
        double added = addedUtilisation(worker, fill, fillImage, serving.image);
        if (added >= negligiblePressure)
            allowed = std::min(allowed, std::max(0.0, serving.margin - serving.added) / added);
    }
    return allowed;
}

void TaskScheduler::setPace(WorkerEntry& worker, const TaskRef& ref, TrackedRun& run, uint32_t percent, Instant now)
{
    if (percent >= movePacePercent)
        run.pacedDownSince = neverInstant;
    else if (run.pacedDownSince == neverInstant)
        run.pacedDownSince = now;
    auto difference = percent > run.pace ? percent - run.pace : run.pace - percent;
    bool atEnd = percent == 0 || percent == 100;
    if (difference == 0 || (difference < leastPaceChange && !atEnd))
        return;
    run.pace = percent;
    run.progressedAt = now;
    m_actions.push_back(PaceTask { .worker = worker.handle, .task = ref, .run = run.run, .percent = percent });
}

void TaskScheduler::noteOverTarget(WorkerEntry& worker, Instant now)
{
    bool over = false;
    for (const auto& [key, active] : worker.runs) {
        if (!servesWithTarget(*active.spec))
            continue;
        const auto& run = *findRun(*active.task, key.second);
        over = over || (run.percent == 100 && run.recentFigure >= active.spec->targetLatencyMs);
    }
    if (!over)
        worker.overTargetSince = neverInstant;
    else if (worker.overTargetSince == neverInstant)
        worker.overTargetSince = now;
}

/// Lets each filling task work at the largest share that keeps every serving task that it presses below its target.
void TaskScheduler::paceFills(WorkerEntry& worker, Instant now)
{
    struct Fill {
        const TaskRef* ref;
        TrackedRun* run;
        const StepSpec* spec;
        uint32_t image;
        double allowed { 1 };
    };
    std::vector<Fill> fills;
    for (const auto& [key, active] : worker.runs) {
        if (!active.spec->fills)
            continue;
        auto& run = *findRun(*active.task, key.second);
        if (run.phase != RunPhase::Stopping)
            fills.push_back({ &key.first, &run, active.spec, active.image });
    }
    noteOverTarget(worker, now);
    if (fills.empty())
        return;
    bool overForLong = worker.overTargetSince != neverInstant && now - worker.overTargetSince > overTargetLimit;
    for (const auto& [key, active] : worker.runs) {
        if (!servesWithTarget(*active.spec))
            continue;
        const auto& run = *findRun(*active.task, key.second);
        if (run.percent < 100)
            continue;
        double pressed = 0;
        for (const auto& fill : fills)
            pressed += addedUtilisation(worker, *fill.spec, fill.image, active.image);
        bool overTarget = run.recentFigure >= active.spec->targetLatencyMs;
        if (pressed < negligiblePressure && !overTarget)
            continue;
        double margin = servingMargin(run, *active.spec, active.image);
        double share = pressed > 0 ? std::clamp(margin / pressed, 0.0, 1.0) : 1;
        if (overTarget)
            share = std::min(share, overTargetPace);
        for (auto& fill : fills) {
            double part = addedUtilisation(worker, *fill.spec, fill.image, active.image);
            if (part >= negligiblePressure || pressed < negligiblePressure)
                fill.allowed = std::min(fill.allowed, share);
        }
    }
    // The pressures that are known do not explain the tail, so that everything that fills here has to wait.
    for (auto& fill : fills)
        setPace(worker, *fill.ref, *fill.run, overForLong ? 0 : static_cast<uint32_t>(fill.allowed * 100), now);
}

}
