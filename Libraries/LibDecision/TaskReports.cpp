#include <LibDecision/TaskScheduler.h>
#include <LibDecision/TaskWorkerEntry.h>
#include <algorithm>
#include <set>
#include <utility>

namespace Bergamot {

/// A stop command is repeated if the worker still lists the run after this time.
static constexpr Milliseconds stopRetryInterval { 1000 };

void TaskScheduler::markRunsLost(WorkerHandle handle, Instant now)
{
    auto it = m_workers.find(handle);
    if (it == m_workers.end())
        return;
    withdrawStartsAwaitingRecords(handle, now);
    recordRunTimes(*it->second);
    it->second->wasLostWithLikelyCause = !it->second->reachable && hasLikelyCause(*it->second);
    auto runs = it->second->runs;
    for (const auto& [key, active] : runs)
        dropRun(*active.job, key.first, *active.task, key.second);
    it->second->stopRequests.clear();
}

void TaskScheduler::dropRun(TrackedJob& job, const TaskRef& ref, TrackedTask& task, uint64_t run)
{
    auto it = std::ranges::find(task.runs, run, &TrackedRun::run);
    if (it == task.runs.end())
        return;
    release(it->worker, job, ref, run);
    task.runs.erase(it);
    if (job.hasEnded())
        return releaseDetailsIfInactive(job);
    requeue(job, ref);
}

void TaskScheduler::commandAccepted(WorkerHandle handle, const TaskRef& ref, uint64_t run, Instant now)
{
    if (auto it = m_workers.find(handle); it != m_workers.end())
        it->second->lastReplyAt = now;
    auto* job = findJob(ref.job);
    auto* task = job ? findTask(*job, ref) : nullptr;
    auto* tracked = task ? findRun(*task, run) : nullptr;
    if (!tracked)
        return;
    tracked->confirmedAt = now;
    tracked->progressedAt = now;
    if (tracked->phase != RunPhase::Starting)
        return;
    tracked->phase = RunPhase::Running;
    tracked->startedAt = now;
    task->hasRun = true;
    job->started = true;
}

void TaskScheduler::startRefused(
    WorkerHandle handle, const TaskRef& ref, uint64_t run, StartRefusal refusal, Instant now)
{
    auto* job = findJob(ref.job);
    auto* task = job ? findTask(*job, ref) : nullptr;
    auto* tracked = task ? findRun(*task, run) : nullptr;
    if (!tracked)
        return;
    // The run may have started and ended on the worker, which has not listed its end yet. The worker's next list
    // decides whether the run exists.
    if (refusal == StartRefusal::Superseded) {
        tracked->confirmedAt = now;
        return;
    }
    constexpr Milliseconds insufficientResourcesBackoff { 500 };
    constexpr Milliseconds notStartedBackoff { 1000 };
    if (auto it = m_workers.find(handle); it != m_workers.end() && refusal != StartRefusal::NotSent)
        it->second->startBackoffUntil
            = now + (refusal == StartRefusal::InsufficientResources ? insufficientResourcesBackoff : notStartedBackoff);
    withdrawCrash(*job, ref, run);
    dropRun(*job, ref, *task, run);
}

void TaskScheduler::runEnded(WorkerHandle handle, const RunEnd& end, Instant now)
{
    m_latestEventAt = now;
    auto* job = findJob(end.task.job);
    auto* task = job ? findTask(*job, end.task) : nullptr;
    if (!task)
        return;
    if (auto* run = findRun(*task, end.run)) {
        if (end.outcome == RunOutcome::Done)
            recordRunTime(
                job->occurrences[end.task.occurrence].steps[end.task.step], job->spec.steps[end.task.step], *run, now);
        if (run->isolated && (end.outcome == RunOutcome::Done || end.outcome == RunOutcome::Failed))
            m_isolationLimit.recordHarmlessRun(now);
        release(run->worker, *job, end.task, end.run);
        std::erase_if(task->runs, [&](const TrackedRun& it) { return it.run == end.run; });
    }
    if (job->hasEnded())
        return releaseDetailsIfInactive(*job);
    if (task->done)
        return;
    job->started = true;
    withdrawCrashOn(handle, *job, end.task, end.run);
    auto worker = m_workers.find(handle);
    bool longRunning = job->spec.steps[end.task.step].longRunning;
    if (end.outcome == RunOutcome::Done && !longRunning) {
        if (worker != m_workers.end())
            worker->second->failures = 0;
        clearCrashes(*job, end.task);
        if (job->spec.steps[end.task.step].gang)
            completeGang(*job, end.task);
        else
            completeTask(*job, end.task, *task);
        return;
    }
    updateCheckpoint(*job, end.task, *task, end.checkpoint);
    if (end.outcome == RunOutcome::Failed && !longRunning) {
        // The failure of one member counts once for the whole gang.
        bool gang = job->spec.steps[end.task.step].gang;
        auto index = gang ? 0 : end.task.index;
        if (gang)
            task = findTask(*job, { end.task.job, end.task.occurrence, end.task.step, index });
        FailedRun failed { end.task.occurrence, end.task.step, index, end.run };
        constexpr uint32_t failuresBeforePause = 3;
        constexpr Milliseconds failurePause { 3000 };
        if (job->failedRuns.insert(failed).second) {
            ++task->failures;
            task->lastFailedOn = handle;
            markChanged(*job);
            if (worker != m_workers.end() && ++worker->second->failures >= failuresBeforePause)
                worker->second->pausedUntil = now + failurePause;
        }
        enforceMaxAttempts(*job, *task);
    }
    requeue(*job, end.task);
}

void TaskScheduler::updateCheckpoint(
    TrackedJob& job, const TaskRef& ref, TrackedTask& task, const std::string& checkpoint)
{
    if (checkpoint.empty())
        return;
    if (job.spec.steps[ref.step].gang)
        return shareCheckpoint(job, ref, checkpoint);
    task.checkpoint = checkpoint;
}

void TaskScheduler::requestStop(WorkerHandle handle, const TaskRef& ref, uint64_t run, StopReason reason, Instant now)
{
    auto it = m_workers.find(handle);
    if (it == m_workers.end())
        return;
    auto& requestedAt = it->second->stopRequests.try_emplace({ ref, run }, neverInstant).first->second;
    if (now - requestedAt < stopRetryInterval)
        return;
    requestedAt = now;
    m_actions.push_back(StopTask { .worker = handle, .task = ref, .run = run, .reason = reason });
}

/// Whether the run uses nearly all of the processors that it requested, so that its worker does not throttle it. A
/// long-running one reports a tail latency instead.
static bool isAtFullSpeed(const RunReport& report, const StepSpec& spec)
{
    constexpr int64_t minUsePercent = 90;
    constexpr int64_t percent = 100;
    return !spec.longRunning && percent * report.recentMeasurement >= minUsePercent * spec.size.cpuMillis;
}

void TaskScheduler::adoptRun(
    WorkerHandle handle, TrackedJob& job, TrackedTask& task, const RunReport& report, Instant now)
{
    auto& worker = *m_workers.at(handle);
    const auto* crash = job.crashes.find(crashKey(job, report.task), report.run);
    task.runs.push_back({ .run = report.run,
        .worker = handle,
        .phase = RunPhase::Running,
        .startedAt = now,
        .resumed = true,
        .confirmedAt = now,
        .progressedAt = now,
        .isSpeedKnown = isAtFullSpeed(report, job.spec.steps[report.task.step]) });
    task.waitingSince = neverInstant;
    task.hasRun = true;
    job.started = true;
    removeIdleRecord(job, task);
    if (task.recordedWorker != worker.view.id)
        removePlacement(job, task);
    reserve(worker, job, report.task, report.run);
    task.runs.back().suspected = crash != nullptr;
    setIsolated(task.runs.back(), crash && crash->isolated);
    auto& step = job.occurrences[report.task.occurrence].steps[report.task.step];
    std::erase(step.waiting, report.task.index);
}

const TrackedRun* TaskScheduler::findRunOn(WorkerHandle handle, const TaskRef& ref, uint64_t run)
{
    auto* job = findJob(ref.job);
    auto* task = job ? findTask(*job, ref) : nullptr;
    const auto* tracked = task ? findRun(*task, run) : nullptr;
    return tracked && tracked->worker == handle ? tracked : nullptr;
}

bool TaskScheduler::hasRun(WorkerHandle handle, const TaskRef& ref, uint64_t run)
{
    return findRunOn(handle, ref, run) != nullptr;
}

bool TaskScheduler::isUnconfirmed(WorkerHandle handle, const TaskRef& ref, uint64_t run)
{
    const auto* tracked = findRunOn(handle, ref, run);
    return tracked && tracked->confirmedAt == neverInstant;
}

void TaskScheduler::stopPossibleRun(WorkerHandle handle, const TaskRef& ref, uint64_t run, Instant now)
{
    auto* job = findJob(ref.job);
    auto* task = job && !job->hasEnded() ? findTask(*job, ref) : nullptr;
    if (!task || task->done || findRun(*task, run) || !m_workers.contains(handle))
        return;
    adoptRun(handle, *job, *task, { .task = ref, .run = run }, now);
    // The worker's lists decide whether the run exists only after the worker has accepted the stop.
    task->runs.back().phase = RunPhase::Stopping;
    task->runs.back().stopReason = StopReason::StartWithdrawn;
    task->runs.back().confirmedAt = neverInstant;
    requestStop(handle, ref, run, StopReason::StartWithdrawn, now);
}

bool TaskScheduler::isUnfinished(const TaskRef& ref)
{
    auto* job = findJob(ref.job);
    const auto* task = job && !job->hasEnded() ? findTask(*job, ref) : nullptr;
    return task && !task->done;
}

void TaskScheduler::setHeld(const TaskRef& ref, bool isHeld)
{
    auto* job = findJob(ref.job);
    if (auto* task = job ? findTask(*job, ref) : nullptr)
        task->isHeld = isHeld;
}

void TaskScheduler::updateRun(TrackedJob& job, TrackedTask& task, TrackedRun& run, const RunReport& report, Instant now)
{
    run.confirmedAt = now;
    if (run.phase == RunPhase::Starting) {
        run.phase = RunPhase::Running;
        run.startedAt = now;
        task.hasRun = true;
    }
    if (run.reportedAt == neverInstant)
        run.firstProgressPercent = report.progressPercent;
    if (report.progressPercent != run.progressPercent) {
        run.progressPercent = report.progressPercent;
        run.progressedAt = now;
    }
    run.recentMeasurement = report.recentMeasurement;
    updateEffectiveRunTime(run, job.spec.steps[report.task.step], now);
    updateCheckpoint(job, report.task, task, report.checkpoint);
    job.started = true;
}

size_t TaskScheduler::runsReported(WorkerHandle handle, const std::vector<RunReport>& reports, RunEndCoverage coverage,
    Instant requestSentAt, Instant now)
{
    auto it = m_workers.find(handle);
    if (it == m_workers.end())
        return 0;
    m_latestEventAt = now;
    auto& worker = *it->second;
    ++worker.reportCount;
    worker.lastReplyAt = now;
    worker.unwantedSize = {};
    worker.listsRunOfUnknownSize = false;
    std::set<std::pair<TaskRef, uint64_t>> notAdopted;
    for (const auto& report : reports) {
        auto active = worker.runs.find(RunOrder::KeyView { report.task, report.run });
        if (active == worker.runs.end()) {
            if (!adoptListedRun(worker, report, now)) {
                notAdopted.emplace(report.task, report.run);
                countUnwantedRun(worker, report.task);
                continue;
            }
            active = worker.runs.find(RunOrder::KeyView { report.task, report.run });
        }
        active->second.lastListedInReport = worker.reportCount;
        auto& job = *active->second.job;
        auto& task = *active->second.task;
        auto& run = *findRun(task, report.run);
        updateRun(job, task, run, report, now);
        clearIfProven(job, task, report.task, run);
        if (run.phase == RunPhase::Stopping)
            requestStop(handle, report.task, report.run, run.stopReason, now);
        else if (job.hasEnded() || task.done)
            requestStop(
                handle, report.task, report.run, job.hasEnded() ? StopReason::JobEnded : StopReason::TaskDone, now);
    }
    std::erase_if(worker.stopRequests,
        [&](const auto& entry) { return !notAdopted.contains(entry.first) && !worker.runs.contains(entry.first); });
    // A run that is not listed may have ended with an end that the report leaves out.
    auto dropped = coverage == RunEndCoverage::All ? dropUnlistedRuns(worker, requestSentAt) : 0;
    // This rests on the reply of the incarnation and on its active runs, which all reports list.
    resolveUnconfirmedCrashes(worker);
    withdrawFalseCrashes(worker);
    superviseWorker(worker, now);
    return dropped;
}

/// Adopts a listed run of an earlier leader. Requests the stop of a run that is not wanted and returns false.
bool TaskScheduler::adoptListedRun(WorkerEntry& worker, const RunReport& report, Instant now)
{
    auto* job = findJob(report.task.job);
    auto* task = job ? findTask(*job, report.task) : nullptr;
    bool isWanted = task && !job->hasEnded() && !task->done;
    // Run numbers are unique, so a worker that lists a run of another worker is wrong.
    bool allowsCopy = isWanted && job->spec.steps[report.task.step].speculative && !findRun(*task, report.run);
    if (isWanted && (task->runs.empty() || allowsCopy)) {
        adoptRun(worker.handle, *job, *task, report, now);
        return true;
    }
    // The job may be so new that only an earlier leader has read it, so the stop waits for `stopRetryInterval`.
    if (!stateOf(report.task.job))
        worker.stopRequests.try_emplace({ report.task, report.run }, now);
    requestStop(worker.handle, report.task, report.run, StopReason::Unwanted, now);
    return false;
}

/// A run that is being stopped uses the worker's resources until the worker no longer lists it.
void TaskScheduler::countUnwantedRun(WorkerEntry& worker, const TaskRef& ref)
{
    const auto* job = findJob(ref.job);
    if (job && ref.step < job->spec.steps.size())
        worker.unwantedSize = worker.unwantedSize + reservedSize(job->spec.steps[ref.step]);
    else
        worker.listsRunOfUnknownSize = true;
}

/// Drops runs that the worker confirmed before the report was requested and that are neither among its active runs nor
/// among its ends, which must be complete: the worker has forgotten them.
/// Returns their number.
size_t TaskScheduler::dropUnlistedRuns(WorkerEntry& worker, Instant requestSentAt)
{
    std::vector<std::pair<std::pair<TaskRef, uint64_t>, WorkerEntry::ActiveRun>> unlisted;
    for (const auto& [key, active] : worker.runs) {
        if (active.lastListedInReport == worker.reportCount)
            continue;
        auto* tracked = findRun(*active.task, key.second);
        if (tracked && tracked->confirmedAt != neverInstant && tracked->confirmedAt < requestSentAt)
            unlisted.emplace_back(key, active);
    }
    for (const auto& [key, active] : unlisted)
        dropRun(*active.job, key.first, *active.task, key.second);
    return unlisted.size();
}

}
