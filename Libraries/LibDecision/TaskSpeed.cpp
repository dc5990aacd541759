#include <LibDecision/TaskScheduler.h>
#include <LibDecision/TaskWorkerEntry.h>
#include <algorithm>

namespace Bergamot {

/// A run that needs this many times the run time of its siblings shows a slow worker.
static constexpr double slowFactor = 2.5;

/// A worker that has shown a slow run is avoided for this long; while it stays slow, its runs show it again.
static constexpr Milliseconds slowWorkerAvoidanceTime { 2000 };

/// A stop takes about this long, and only then may the task start elsewhere.
static constexpr Milliseconds stopDuration { 700 };

/// Most runs of one task at a time, where copies are allowed.
static constexpr size_t maxSimultaneousRuns = 2;

static Milliseconds estimateOf(const StepSpec& spec) { return Milliseconds { spec.estimateMs }; }

/// How far the run would have come since the last report at the usual speed of a worker. Tasks that fill get only the
/// processors that others leave.
static Milliseconds effectiveTimeSinceReport(const TrackedRun& run, const StepSpec& spec, Instant now)
{
    auto since = run.reportedAt == neverInstant ? run.startedAt : run.reportedAt;
    auto elapsed = std::max(Milliseconds { 0 }, now - since);
    if (!spec.bestEffort)
        return elapsed;
    auto share
        = static_cast<double>(run.recentMeasurement) / static_cast<double>(std::max<int64_t>(1, spec.size.cpuMillis));
    return Milliseconds { static_cast<int64_t>(std::clamp(share, 0.0, 1.0) * static_cast<double>(elapsed.count())) };
}

void TaskScheduler::updateEffectiveRunTime(TrackedRun& run, const StepSpec& spec, Instant now)
{
    run.effectiveRunTime += effectiveTimeSinceReport(run, spec, now);
    run.reportedAt = now;
}

void TaskScheduler::recordRunTime(TrackedStep& step, const StepSpec& spec, const TrackedRun& run, Instant now)
{
    // A run that went on from a checkpoint did only a part of the work.
    if (!spec.longRunning && run.confirmedAt != neverInstant && !run.resumed)
        step.runTimes.record(run.effectiveRunTime + effectiveTimeSinceReport(run, spec, now));
}

bool TaskScheduler::isSlow(const WorkerEntry& worker, Instant now)
{
    return worker.slowRunSeenAt != neverInstant && now - worker.slowRunSeenAt < slowWorkerAvoidanceTime;
}

/// Finds a run that lags far behind its siblings, and lets its task run elsewhere when that ends sooner: as a copy
/// where the step allows it, else after a stop.
void TaskScheduler::handleSlowRun(
    WorkerEntry& worker, const TaskRef& ref, TrackedJob& job, TrackedTask& task, TrackedRun& run, Instant now)
{
    const auto& spec = job.spec.steps[ref.step];
    // Members of a gang wait for each other, so the progress of one says nothing of its worker.
    if (spec.gang || spec.longRunning || run.resumed || run.phase != RunPhase::Running || run.reportedAt != now)
        return;
    auto remaining = SiblingRunTimes::remaining(run.effectiveRunTime, run.progressPercent);
    if (!remaining)
        return;
    auto& step = job.occurrences[ref.occurrence].steps[ref.step];
    auto expected = step.runTimes.expected(estimateOf(spec));
    auto total = run.effectiveRunTime + *remaining;
    if (static_cast<double>(total.count()) < slowFactor * static_cast<double>(expected.count()))
        return;
    worker.slowRunSeenAt = now;
    if (spec.bestEffort && !spec.checkpointing)
        return;
    if (spec.speculative) {
        if (*remaining > expected)
            requestSpeculativeCopy(job, ref, task);
        return;
    }
    if (*remaining > 2 * expected + stopDuration)
        stopRun(ref, run);
}

void TaskScheduler::requestSpeculativeCopy(TrackedJob& job, const TaskRef& ref, TrackedTask& task)
{
    if (task.runs.size() >= maxSimultaneousRuns || task.wantsSpeculativeCopy)
        return;
    task.wantsSpeculativeCopy = true;
    enqueue(job, ref);
}

}
