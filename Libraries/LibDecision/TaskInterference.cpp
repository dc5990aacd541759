#include <LibDecision/TaskScheduler.h>
#include <LibDecision/TaskWorkerEntry.h>
#include <algorithm>
#include <cmath>
#include <cstdint>
#include <limits>

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
    m_actions.push_back(StopTask { .worker = run.worker, .task = ref, .run = run.run });
}

void TaskScheduler::superviseWorker(WorkerEntry& worker, Instant now)
{
    observeInterference(worker, now);
    paceFills(worker, now);
    auto runs = worker.runs;
    for (const auto& [ref, number] : runs) {
        auto& job = *findJob(ref.job);
        auto& run = *findRun(*findTask(job, ref), number);
        const auto& spec = job.spec.steps[ref.step];
        bool stalled = !spec.longRunning && run.pace >= stallPacePercent && now - run.progressedAt > stallLimit;
        bool leaves = worker.view.draining && (spec.longRunning || spec.checkpointing);
        bool moves = spec.fills && spec.checkpointing && run.pacedDownSince != neverInstant
            && now - run.pacedDownSince > pacedDownLimit;
        if (run.phase == RunPhase::Running && (stalled || leaves || moves))
            stopRun(ref, run);
    }
}

void TaskScheduler::observeInterference(WorkerEntry& worker, Instant now)
{
    if (now - worker.observedAt < observationInterval)
        return;
    auto passed = static_cast<double>((now - worker.observedAt).count());
    double weight = worker.observedAt == neverInstant ? 1 : 1 - std::exp(-passed / tailDelayMs);
    worker.observedAt = now;
    auto capacity = static_cast<double>(std::max<int64_t>(1, worker.view.capacity.cpuMillis));
    PressureModel::Shares shares;
    for (const auto& [ref, number] : worker.runs) {
        auto& job = *findJob(ref.job);
        const auto& run = *findRun(*findTask(job, ref), number);
        const auto& spec = job.spec.steps[ref.step];
        if (spec.fills && run.recentFigure > 0)
            shares[spec.image] += static_cast<double>(run.recentFigure) / capacity;
    }
    for (auto& [image, smoothed] : worker.fillShares)
        smoothed -= weight * smoothed;
    for (const auto& [image, share] : shares)
        worker.fillShares[image] += weight * share;
    std::erase_if(worker.fillShares, [](const auto& it) { return it.second < negligibleFillShare; });
    for (const auto& [ref, number] : worker.runs) {
        auto& job = *findJob(ref.job);
        auto& run = *findRun(*findTask(job, ref), number);
        const auto& spec = job.spec.steps[ref.step];
        if (!spec.longRunning || spec.targetLatencyMs == 0 || run.percent < 100 || now - run.startedAt < figureDelay)
            continue;
        m_pressure.observe(spec.image, static_cast<double>(run.recentFigure), worker.fillShares, run.load, now);
    }
}

/// The utilisation that filling tasks may add before the serving task comes near its target.
double TaskScheduler::servingMargin(const TrackedRun& run, const StepSpec& spec) const
{
    return m_pressure.utilisationAt(spec.image, tailLimitShare * spec.targetLatencyMs) - run.load;
}

/// The share of its speed at which a further task that fills may work beside the tasks that serve; may exceed 1.
double TaskScheduler::allowedFillShare(const WorkerEntry& worker, const StepSpec& fill) const
{
    if (worker.overTargetSince != neverInstant)
        return 0;
    auto capacity = static_cast<double>(std::max<int64_t>(1, worker.view.capacity.cpuMillis));
    double allowed = 100;
    for (const auto& [ref, number] : worker.runs) {
        const auto& job = *m_jobs.at(ref.job);
        const auto& spec = job.spec.steps[ref.step];
        if (!spec.longRunning || spec.targetLatencyMs == 0)
            continue;
        const auto& task = job.occurrences[ref.occurrence].steps[ref.step].tasks[ref.index];
        auto run = std::ranges::find(task.runs, number, &TrackedRun::run);
        double added
            = m_pressure.pressure(fill.image, spec.image) * static_cast<double>(fill.size.cpuMillis) / capacity;
        if (added < negligiblePressure)
            continue;
        double margin = servingMargin(*run, spec);
        for (const auto& [otherRef, otherNumber] : worker.runs) {
            const auto& otherSpec = m_jobs.at(otherRef.job)->spec.steps[otherRef.step];
            if (otherSpec.fills)
                margin -= m_pressure.pressure(otherSpec.image, spec.image)
                    * static_cast<double>(otherSpec.size.cpuMillis) / capacity;
        }
        allowed = std::min(allowed, std::max(0.0, margin) / added);
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
    for (const auto& [ref, number] : worker.runs) {
        auto& job = *findJob(ref.job);
        const auto& run = *findRun(*findTask(job, ref), number);
        const auto& spec = job.spec.steps[ref.step];
        over = over
            || (spec.longRunning && spec.targetLatencyMs > 0 && run.percent == 100
                && run.recentFigure >= spec.targetLatencyMs);
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
        TaskRef ref;
        TrackedRun* run;
        const StepSpec* spec;
        double allowed { 1 };
    };
    auto capacity = static_cast<double>(std::max<int64_t>(1, worker.view.capacity.cpuMillis));
    std::vector<Fill> fills;
    for (const auto& [ref, number] : worker.runs) {
        auto& job = *findJob(ref.job);
        auto& run = *findRun(*findTask(job, ref), number);
        const auto& spec = job.spec.steps[ref.step];
        if (spec.fills && run.phase != RunPhase::Stopping)
            fills.push_back({ ref, &run, &spec });
    }
    noteOverTarget(worker, now);
    if (fills.empty())
        return;
    bool overForLong = worker.overTargetSince != neverInstant && now - worker.overTargetSince > overTargetLimit;
    for (const auto& [ref, number] : worker.runs) {
        auto& job = *findJob(ref.job);
        const auto& run = *findRun(*findTask(job, ref), number);
        const auto& spec = job.spec.steps[ref.step];
        if (!spec.longRunning || spec.targetLatencyMs == 0 || run.percent < 100)
            continue;
        double pressed = 0;
        for (const auto& fill : fills)
            pressed += m_pressure.pressure(fill.spec->image, spec.image)
                * static_cast<double>(fill.spec->size.cpuMillis) / capacity;
        bool overTarget = run.recentFigure >= spec.targetLatencyMs;
        if (pressed < negligiblePressure && !overTarget)
            continue;
        double share = pressed > 0 ? std::clamp(servingMargin(run, spec) / pressed, 0.0, 1.0) : 1;
        if (overTarget)
            share = std::min(share, overTargetPace);
        for (auto& fill : fills) {
            double part = m_pressure.pressure(fill.spec->image, spec.image)
                * static_cast<double>(fill.spec->size.cpuMillis) / capacity;
            if (part >= negligiblePressure || pressed < negligiblePressure)
                fill.allowed = std::min(fill.allowed, share);
        }
    }
    // The pressures that are known do not explain the tail, so that everything that fills here has to wait.
    for (auto& fill : fills)
        setPace(worker, fill.ref, *fill.run, overForLong ? 0 : static_cast<uint32_t>(fill.allowed * 100), now);
}

}
