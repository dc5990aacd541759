#include <LibDecision/TaskScheduler.h>
#include <LibDecision/TaskWorkerEntry.h>
#include <algorithm>

namespace Bergamot {

/// A worker counts as slow if a run on it needs this multiple of the run time of its siblings.
static constexpr double slowFactor = 2.5;

/// A worker is avoided for this long after a slow run was detected on it; while it stays slow, its runs are detected
/// again.
static constexpr Milliseconds slowWorkerAvoidanceTime { 2000 };

/// Approximate time to stop a run, before its task may start on another worker.
static constexpr Milliseconds stopDuration { 700 };

/// Slow runs of a task after which the task itself is taken for slow, and its next run is not stopped.
static constexpr uint32_t maxSlowRuns = 2;

/// Maximum number of simultaneous runs of a task whose step allows speculative copies.
static constexpr size_t maxSimultaneousRuns = 2;

static Milliseconds estimateOf(const StepSpec& spec) { return Milliseconds { spec.estimateMs }; }

/// Returns the time since the last report of the run. For a best-effort task, which gets only the processors that other
/// tasks leave idle, this is scaled by the share of its requested processors that it used.
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
    // A run that resumed from a checkpoint did only part of the work.
    if (!spec.longRunning && run.confirmedAt != neverInstant && !run.resumed)
        step.runTimes.record(run.effectiveRunTime + effectiveTimeSinceReport(run, spec, now));
}

bool TaskScheduler::isSlow(const WorkerEntry& worker, Instant now)
{
    return worker.slowRunSeenAt != neverInstant && now - worker.slowRunSeenAt < slowWorkerAvoidanceTime;
}

/// Detects a run that is much slower than its siblings and moves its task to another worker if it is expected to end
/// sooner there: as a speculative copy if the step allows it, otherwise after a stop.
void TaskScheduler::handleSlowRun(
    WorkerEntry& worker, const TaskRef& ref, TrackedJob& job, TrackedTask& task, TrackedRun& run, Instant now)
{
    const auto& spec = job.spec.steps[ref.step];
    // Members of a gang wait for each other, so the progress of one member says nothing about its worker.
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
    if (*remaining <= 2 * expected + stopDuration || task.slowRuns >= maxSlowRuns)
        return;
    ++task.slowRuns;
    stopRun(ref, run, StopReason::Slow);
}

void TaskScheduler::requestSpeculativeCopy(TrackedJob& job, const TaskRef& ref, TrackedTask& task)
{
    if (task.runs.size() >= maxSimultaneousRuns || task.wantsSpeculativeCopy)
        return;
    // A copy of a suspected task would put a second worker at risk.
    if (job.crashes.count(crashKey(job, ref)) > 0)
        return;
    task.wantsSpeculativeCopy = true;
    enqueue(job, ref);
}

}
