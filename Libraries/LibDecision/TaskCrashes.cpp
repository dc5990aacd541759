#include <LibDecision/CrashRecordLimit.h>
#include <LibDecision/TaskScheduler.h>
#include <LibDecision/TaskWorkerEntry.h>
#include <algorithm>
#include <set>
#include <utility>
#include <vector>

// Keeps the record of the runs under which workers crashed. A loss counts as a crash only if the worker refused
// connections or another incarnation took its place without notice: a worker that was cut off, paused or drained says
// nothing about its tasks.

namespace Bergamot {

/// A run that was active for longer when its worker crashed is not suspected.
static constexpr Milliseconds maxTimeToCrash { 10000 };

/// Crashes of a worker that are expected without its tasks when its rack or zone was lost.
static constexpr double expectedCrashesInSharedLoss = 1;

/// Returns the key under which crashes of the task are recorded: the members of a gang start together and share one.
TaskRef TaskScheduler::crashKey(const TrackedJob& job, const TaskRef& ref)
{
    bool isGang = ref.step < job.spec.steps.size() && job.spec.steps[ref.step].gang;
    return { ref.job, ref.occurrence, ref.step, isGang ? 0 : ref.index };
}

TaskRef TaskScheduler::taskOf(const TrackedJob& job, const CrashedRun& crashed)
{
    return { job.spec.id, crashed.occurrence, crashed.step, crashed.index };
}

bool TaskScheduler::isOnIncarnation(const CrashedRun& crashed, const TaskWorkerView& view)
{
    bool isSameStart
        = crashed.workerStartedAtMs == 0 || view.startedAtMs == 0 || crashed.workerStartedAtMs == view.startedAtMs;
    return crashed.worker == view.id && isSameStart;
}

CrashedRun TaskScheduler::describeCrash(
    const WorkerEntry& worker, const TrackedJob& job, const TaskRef& ref, const TrackedRun& run) const
{
    auto key = crashKey(job, ref);
    auto lostAt = worker.lostAt == neverInstant ? m_latestEventAt : worker.lostAt;
    return { .occurrence = key.occurrence,
        .step = key.step,
        .index = key.index,
        .run = run.run,
        .worker = worker.view.id,
        .workerStartedAtMs = worker.view.startedAtMs,
        .runTimeMs = static_cast<uint32_t>(std::max<int64_t>(0, (lostAt - run.startedAt).count())),
        .isolated = run.isolated,
        .unanswered = run.confirmedAt == neverInstant,
        .mayFollowUnrecordedCrash = maxUnrecordedCrashesOf(job, key) > 0 };
}

void TaskScheduler::indexCrash(const TrackedJob& job, const CrashedRun& crashed)
{
    auto& index = crashed.confirmed ? m_confirmedCrashes : m_unconfirmedCrashes;
    index[crashed.worker].insert(job.spec.id);
}

void TaskScheduler::recordCrash(TrackedJob& job, const CrashedRun& crashed)
{
    job.crashes.record(crashed);
    indexCrash(job, crashed);
    markChanged(job);
}

/// Removes the record of a run after which its worker lived on.
void TaskScheduler::withdrawCrash(TrackedJob& job, const TaskRef& ref, uint64_t run)
{
    auto key = crashKey(job, ref);
    const auto* crashed = job.crashes.find(key, run);
    if (!crashed || crashed->confirmed)
        return;
    job.crashes.withdraw(key, run);
    markChanged(job);
}

/// Removes the record of a run that ended on this worker. The record of a gang may name the worker of another member.
void TaskScheduler::withdrawCrashOn(WorkerHandle handle, TrackedJob& job, const TaskRef& ref, uint64_t run)
{
    const auto* crashed = job.crashes.find(crashKey(job, ref), run);
    auto it = m_workers.find(handle);
    if (crashed && it != m_workers.end() && crashed->worker == it->second->view.id)
        withdrawCrash(job, ref, run);
}

/// Returns the task that holds the state of crashes, like `crashKey`.
TrackedTask& TaskScheduler::crashTaskOf(TrackedJob& job, const TaskRef& ref)
{
    auto& tasks = job.occurrences[ref.occurrence].steps[ref.step].tasks;
    return tasks.edit(job.spec.steps[ref.step].gang ? 0 : ref.index);
}

bool TaskScheduler::hasExcusedCrash(const TrackedJob& job, const TaskRef& ref)
{
    const auto& tasks = job.occurrences[ref.occurrence].steps[ref.step].tasks;
    return tasks[job.spec.steps[ref.step].gang ? 0 : ref.index].hasExcusedCrash;
}

/// The records of an ended job are kept: they may be the cause of its end, which is logged once it is stored.
void TaskScheduler::clearCrashes(TrackedJob& job, const TaskRef& ref)
{
    if (job.hasEnded())
        return;
    if (hasExcusedCrash(job, ref))
        crashTaskOf(job, ref).hasExcusedCrash = false;
    if (!job.crashes.isEmpty() && job.crashes.clear(crashKey(job, ref)))
        markChanged(job);
}

/// Clears a suspected task whose run has been active long enough. A gang is cleared only once all of its members have
/// been: those that are left by a crash say nothing about the member that caused it.
void TaskScheduler::clearIfProven(TrackedJob& job, TrackedTask& task, const TaskRef& ref, const TrackedRun& run)
{
    if (job.crashes.isEmpty() && !hasExcusedCrash(job, ref))
        return;
    auto clearingTime = job.crashes.clearingTime(crashKey(job, ref));
    auto isProven = [&](const TrackedTask& it) {
        const auto* active = findRun(it, run.run);
        return active && active->reportedAt - active->startedAt >= clearingTime;
    };
    auto& tasks = job.occurrences[ref.occurrence].steps[ref.step].tasks;
    bool isGang = job.spec.steps[ref.step].gang;
    if (isGang ? tasks.anyOf(std::not_fn(isProven)) : !isProven(task))
        return;
    clearCrashes(job, ref);
    if (run.isolated)
        m_isolationLimit.recordHarmlessRun(m_latestEventAt);
    tasks.forEachInMemory([&](uint32_t, TrackedTask& it) {
        if (!isGang && &it != &task)
            return;
        for (auto& active : it.runs)
            setIsolated(active, false);
    });
}

void TaskScheduler::suspectCrash(WorkerHandle handle, Instant now)
{
    m_latestEventAt = now;
    auto it = m_workers.find(handle);
    if (it == m_workers.end())
        return;
    auto& worker = *it->second;
    for (const auto& [key, active] : worker.runs) {
        const auto* run = findRun(*active.task, key.second);
        if (!run || active.job->hasEnded())
            continue;
        // An isolated run is the likely cause, and the other runs on its worker were active before.
        if (worker.isolatedRuns > 0 && !run->isolated)
            continue;
        // The record of a gang names one of its workers, which may be another one.
        const auto* recorded = active.job->crashes.find(crashKey(*active.job, key.first), key.second);
        if (recorded && (recorded->confirmed || recorded->worker == worker.view.id))
            continue;
        if (!recorded && CrashRecordLimit::isReached(active.job->crashes))
            continue;
        auto crashed = describeCrash(worker, *active.job, key.first, *run);
        if (Milliseconds { crashed.runTimeMs } <= maxTimeToCrash)
            recordCrash(*active.job, crashed);
    }
}

/// Returns copies, because callers change the records.
std::vector<std::pair<TrackedJob*, CrashedRun>> TaskScheduler::unconfirmedCrashesOf(const WorkerId& worker)
{
    std::vector<std::pair<TrackedJob*, CrashedRun>> result;
    auto entry = m_unconfirmedCrashes.find(worker);
    if (entry == m_unconfirmedCrashes.end())
        return result;
    for (const auto& id : entry->second) {
        auto* job = findJob(id);
        if (!job)
            continue;
        for (const auto& crashed : job->crashes.runs()) {
            if (!crashed.confirmed && crashed.worker == worker)
                result.emplace_back(job, crashed);
        }
    }
    return result;
}

void TaskScheduler::forgetResolvedCrashes(const WorkerId& worker)
{
    auto entry = m_unconfirmedCrashes.find(worker);
    if (entry == m_unconfirmedCrashes.end())
        return;
    std::erase_if(entry->second, [&](const JobId& id) {
        const auto* job = findJob(id);
        return !job || std::ranges::none_of(job->crashes.runs(), [&](const CrashedRun& it) {
            return !it.confirmed && it.worker == worker;
        });
    });
    if (entry->second.empty())
        m_unconfirmedCrashes.erase(entry);
}

/// Withdraws the unconfirmed crashes of an incarnation that lists its runs, except those of suspected runs, which are
/// recorded before they start.
void TaskScheduler::resolveUnconfirmedCrashes(const WorkerEntry& worker)
{
    if (!m_unconfirmedCrashes.contains(worker.view.id))
        return;
    for (const auto& [job, crashed] : unconfirmedCrashesOf(worker.view.id)) {
        auto ref = taskOf(*job, crashed);
        auto* task = findTask(*job, ref);
        const auto* run = task ? findRun(*task, crashed.run) : nullptr;
        if ((!run || !run->suspected) && isOnIncarnation(crashed, worker.view))
            withdrawCrash(*job, ref, crashed.run);
    }
    forgetResolvedCrashes(worker.view.id);
}

/// Withdraws the confirmed crashes of an incarnation that replies. Its lease had expired while a partitioned network
/// refused connections to it.
void TaskScheduler::withdrawFalseCrashes(const WorkerEntry& worker)
{
    auto entry = m_confirmedCrashes.find(worker.view.id);
    if (entry == m_confirmedCrashes.end() || worker.view.startedAtMs == 0)
        return;
    std::erase_if(entry->second, [&](const JobId& id) {
        auto* job = findJob(id);
        if (!job || job->hasEnded())
            return true;
        auto runs = job->crashes.runs();
        std::erase_if(runs, [&](const CrashedRun& it) { return !it.confirmed || it.worker != worker.view.id; });
        auto isFalse = [&](const CrashedRun& it) { return it.workerStartedAtMs == worker.view.startedAtMs; };
        for (const auto& crashed : runs) {
            if (isFalse(crashed) && job->crashes.withdraw(taskOf(*job, crashed), crashed.run))
                markChanged(*job);
        }
        return std::ranges::all_of(runs, isFalse);
    });
    if (entry->second.empty())
        m_confirmedCrashes.erase(entry);
}

void TaskScheduler::withdrawUnconfirmedCrashes(const WorkerEntry& worker)
{
    for (const auto& [job, crashed] : unconfirmedCrashesOf(worker.view.id)) {
        if (isOnIncarnation(crashed, worker.view))
            withdrawCrash(*job, taskOf(*job, crashed), crashed.run);
    }
    forgetResolvedCrashes(worker.view.id);
}

/// Returns the time that a run of the task takes unless a crash ends it.
Milliseconds TaskScheduler::expectedRunTime(const TrackedJob& job, const TaskRef& task)
{
    if (task.step >= job.spec.steps.size())
        return Milliseconds { 0 };
    const auto& spec = job.spec.steps[task.step];
    return spec.longRunning ? CrashHistory::unlimitedRunTime : Milliseconds { spec.estimateMs };
}

TaskScheduler::CrashEvent TaskScheduler::confirmCrash(TrackedJob& job, CrashedRun crashed)
{
    crashed.confirmed = true;
    if (crashed.isolated)
        m_isolationLimit.recordCrash(m_latestEventAt);
    auto task = taskOf(job, crashed);
    recordCrash(job, crashed);
    auto runTime = expectedRunTime(job, task);
    CrashEvent event { .task = task,
        .run = crashed,
        .crashes = job.crashes.count(task),
        .coincidence = job.crashes.coincidence(task, crashed.otherCrashRate, runTime, CrashHistory::Scope::Confirmed) };
    const auto* tracked = findTask(job, task);
    if (!job.hasEnded() && tracked && !tracked->done
        && job.crashes.isCauseOfCrashes(task, crashed.otherCrashRate, runTime, maxUnrecordedCrashesOf(job, task))) {
        finishJob(job, JobStage::Failed);
        event.failedJob = true;
    }
    return event;
}

/// Whether another worker may have crashed under the task. The record of a start that the worker still runs is none.
bool TaskScheduler::hasOtherCrash(TrackedJob& job, const CrashedRun& crashed)
{
    auto ref = taskOf(job, crashed);
    auto isActive = [&](const CrashedRun& it) {
        auto* task = findTask(job, ref);
        const auto* run = task && !it.confirmed ? findRun(*task, it.run) : nullptr;
        auto worker = run ? m_workers.find(run->worker) : m_workers.end();
        return worker != m_workers.end() && worker->second->reachable;
    };
    return std::ranges::any_of(job.crashes.runs(),
        [&](const CrashedRun& it) { return it.run != crashed.run && taskOf(job, it) == ref && !isActive(it); });
}

/// Withdraws a crash for which the loss of the rack or zone is the likely cause.
void TaskScheduler::excuseCrash(TrackedJob& job, const CrashedRun& crashed)
{
    auto ref = taskOf(job, crashed);
    auto* task = findTask(job, ref);
    if (task && CrashHistory::isPrompt(crashed))
        task->hasExcusedCrash = true;
    withdrawCrash(job, ref, crashed.run);
}

void TaskScheduler::confirmCrashes(const WorkerLoss& loss)
{
    auto unconfirmed = unconfirmedCrashesOf(loss.view.id);
    if (unconfirmed.empty())
        return;
    bool isShared = isLostWithItsGroup(loss);
    auto others = otherLosses(loss);
    for (auto& [job, crashed] : unconfirmed) {
        if (!isOnIncarnation(crashed, loss.view))
            continue;
        auto task = taskOf(*job, crashed);
        if (isShared && !crashed.isolated && !hasOtherCrash(*job, crashed)) {
            excuseCrash(*job, crashed);
            continue;
        }
        crashed.isolated = crashed.isolated && !isShared;
        addExpectedCrashes(*job, crashed, loss, others);
        // It says little of the task, but counts among its crashes: a small rack may seem lost in a burst.
        if (isShared)
            crashed.expectedCrashes = std::max(crashed.expectedCrashes, expectedCrashesInSharedLoss);
        m_crashEvents.push_back(confirmCrash(*job, crashed));
    }
    forgetResolvedCrashes(loss.view.id);
}

/// Confirms the crashes of workers that were lost long enough ago to know which other workers were lost with them.
void TaskScheduler::confirmDueCrashes(Instant now)
{
    for (auto& loss : m_recentLosses) {
        if (!loss.isJudged && now - loss.at >= WorkerLoss::sharedWindow) {
            loss.isJudged = true;
            confirmCrashes(loss);
        }
    }
    std::erase_if(
        m_recentLosses, [&](const WorkerLoss& it) { return it.isJudged && now - it.removedAt > WorkerLoss::memory; });
}

/// Whether a crash under the task waits for its confirmation.
bool TaskScheduler::hasDueCrash(const TrackedJob& job, const TaskRef& key) const
{
    return std::ranges::any_of(m_recentLosses, [&](const WorkerLoss& loss) {
        return !loss.isJudged && std::ranges::any_of(job.crashes.runs(), [&](const CrashedRun& it) {
            return !it.confirmed && taskOf(job, it) == key && isOnIncarnation(it, loss.view);
        });
    });
}

/// Returns the crashes to be expected without the task at the stored rate of its earlier crashes. This leader has not
/// seen which other workers were lost at that time, nor how long the run had lasted if its record does not say; a run
/// that lasts for the clearing time has no record any more.
static double expectedInheritedCrashes(const CrashHistory& crashes, const TaskRef& task, const CrashedRun& crashed)
{
    constexpr double msPerSecond = 1000;
    auto runTime = crashed.runTimeMs == 0 ? crashes.clearingTime(task) : Milliseconds { crashed.runTimeMs };
    auto exposure = runTime + CrashHistory::crashDetectionTime;
    return crashes.highestOtherCrashRate(task) * static_cast<double>(exposure.count()) / msPerSecond;
}

/// Whether the crashes of an earlier leader's workers were under this task or others is not known, so the share of the
/// workers in its records that are gone stands for those that were lost for other causes.
void TaskScheduler::confirmInheritedCrashes(const std::function<bool(const WorkerId&, int64_t startedAtMs)>& isKnown)
{
    std::vector<std::pair<TrackedJob*, CrashedRun>> lost;
    std::set<std::pair<WorkerId, int64_t>> lostWorkers;
    for (const auto& [worker, jobs] : m_unconfirmedCrashes) {
        for (auto& [job, crashed] : unconfirmedCrashesOf(worker)) {
            if (isKnown(worker, crashed.workerStartedAtMs))
                continue;
            lostWorkers.emplace(worker, crashed.workerStartedAtMs);
            lost.emplace_back(job, std::move(crashed));
        }
    }
    auto workers = static_cast<double>(m_workers.size() + lostWorkers.size());
    for (auto& [job, crashed] : lost) {
        auto task = taskOf(*job, crashed);
        crashed.otherCrashRate = std::max(otherCrashRate(*job, task), job->crashes.highestOtherCrashRate(task));
        auto others = static_cast<double>(lostWorkers.size() - 1);
        crashed.expectedCrashes = std::max(others / workers, expectedInheritedCrashes(job->crashes, task, crashed));
        m_crashEvents.push_back(confirmCrash(*job, crashed));
    }
    for (const auto& [worker, startedAtMs] : lostWorkers)
        forgetResolvedCrashes(worker);
}

std::vector<TaskScheduler::CrashEvent> TaskScheduler::takeCrashEvents() { return std::exchange(m_crashEvents, {}); }

void TaskScheduler::removeWorker(WorkerHandle handle, WorkerEnd end, Instant now)
{
    m_latestEventAt = now;
    auto it = m_workers.find(handle);
    if (it == m_workers.end())
        return;
    auto& worker = *it->second;
    // Otherwise their tasks would count as active when the worker crashed.
    withdrawSuspectedStarts(handle, now);
    withdrawStartsAwaitingRecords(handle, now);
    if (end == WorkerEnd::Crashed) {
        suspectCrash(handle, now);
        m_recentLosses.push_back({ .view = worker.view,
            .at = worker.lostAt == neverInstant ? now : worker.lostAt,
            .removedAt = now,
            .knownSince = worker.knownSince,
            .lastReplyAt = worker.lastReplyAt,
            .hasLikelyCause = hasLikelyCause(worker) });
    } else {
        withdrawUnconfirmedCrashes(worker);
    }
    markRunsLost(handle, now);
    m_workers.erase(handle);
    confirmDueCrashes(now);
}

/// Adds what is known at the loss to the records of suspected runs, which were made before their starts.
void TaskScheduler::recordRunTimes(const WorkerEntry& worker)
{
    for (auto& [job, crashed] : unconfirmedCrashesOf(worker.view.id)) {
        auto ref = taskOf(*job, crashed);
        auto* task = findTask(*job, ref);
        const auto* run = task ? findRun(*task, crashed.run) : nullptr;
        if (!run || run->worker != worker.handle)
            continue;
        auto described = describeCrash(worker, *job, ref, *run);
        crashed.runTimeMs = described.runTimeMs;
        crashed.unanswered = described.unanswered;
        recordCrash(*job, crashed);
    }
}

}
