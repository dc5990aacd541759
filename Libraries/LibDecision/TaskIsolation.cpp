#include <LibDecision/TaskScheduler.h>
#include <LibDecision/TaskWorkerEntry.h>
#include <algorithm>
#include <cmath>
#include <map>
#include <set>
#include <string>
#include <utility>
#include <vector>

// Starts suspected tasks apart from each other. A run is isolated when no other run on its worker was recently started
// or is isolated too; the worker takes no further starts until the run has ended or its task is cleared.

namespace Bergamot {

/// A run that has been active on a worker for this long is not suspected beside an isolated run that starts later.
static constexpr Milliseconds settledRunTime { 2000 };

/// A held worker that is not used within this time takes other starts again.
static constexpr Milliseconds holdTime { 3000 };

void TaskScheduler::setIsolated(TrackedRun& run, bool isolated)
{
    if (run.isolated == isolated)
        return;
    run.isolated = isolated;
    auto& worker = *m_workers.at(run.worker);
    worker.isolatedRuns = isolated ? worker.isolatedRuns + 1 : worker.isolatedRuns - 1;
    m_isolatedRuns = isolated ? m_isolatedRuns + 1 : m_isolatedRuns - 1;
    m_usedIsolationSlots += isolated ? 1 : 0;
}

/// Returns how many workers are to be expected down at a time because of the isolated runs of the worker.
double TaskScheduler::usedIsolationSlots(const WorkerEntry& worker)
{
    double used = 0;
    for (const auto& [key, active] : worker.runs) {
        const auto* run = findRun(*active.task, key.second);
        if (!run || !run->isolated)
            continue;
        bool isActive = worker.reachable && run->reportedAt != neverInstant;
        used += isActive ? active.job->crashes.expectedWorkersDown(
                    crashKey(*active.job, key.first), run->run, run->reportedAt - run->startedAt)
                         : 1;
    }
    return used;
}

bool TaskScheduler::areCrashesStored(const TrackedJob& job, const TaskRef& key)
{
    return std::ranges::all_of(job.crashes.runs(), [&](const CrashedRun& it) {
        bool isOfTask = it.occurrence == key.occurrence && it.step == key.step && it.index == key.index;
        return !isOfTask || job.storedCrashes.find(key, it.run);
    });
}

RunIsolation TaskScheduler::isolationOf(const TrackedJob& job, const TaskRef& ref) const
{
    if (job.crashes.isEmpty())
        return RunIsolation::None;
    auto key = crashKey(job, ref);
    if (!job.crashes.isSuspected(key))
        return RunIsolation::None;
    return job.crashes.isolationOf(
        key, otherCrashRate(job, key), expectedRunTime(job, key), maxUnrecordedCrashesOf(job, key));
}

/// Whether the worker is held for isolated runs, all of them isolated by preference.
bool TaskScheduler::isHeldByPreference(const WorkerEntry& worker)
{
    return worker.isolatedRuns > 0 && std::ranges::all_of(worker.runs, [](const auto& it) {
        const auto* run = findRun(*it.second.task, it.first.second);
        return !run || !run->isolated || run->isolatedByPreference;
    });
}

/// Whether the worker has isolated runs, and the task has run for longer before than they remain suspected. Then a
/// crash in that time is not due to the task, so that it proves as much as without it.
bool TaskScheduler::mayStartBesideIsolated(const TrackedTask& task, const WorkerEntry& worker)
{
    return worker.isolatedRuns > 0 && std::ranges::all_of(worker.runs, [&](const auto& it) {
        const auto& [key, active] = it;
        const auto* run = findRun(*active.task, key.second);
        if (!run || !run->isolated)
            return true;
        auto clearingTime = active.job->crashes.clearingTime(crashKey(*active.job, key.first));
        auto activeTime = run->reportedAt == neverInstant ? Milliseconds { 0 } : run->reportedAt - run->startedAt;
        return task.longestRunTime >= clearingTime - activeTime;
    });
}

/// Returns for how long the next start of the task waits at most, while other workers crash.
Milliseconds TaskScheduler::restartBackoff(const TrackedJob& job, const TaskRef& key) const
{
    if (job.crashes.isEmpty())
        return Milliseconds { 0 };
    return job.crashes.restartBackoff(
        key, otherCrashRate(job, key), expectedRunTime(job, key), maxUnrecordedCrashesOf(job, key));
}

/// Time in which losses of other workers count when a crash that happens now is judged.
static constexpr auto lossWindow = WorkerLoss::rateWindow + WorkerLoss::maxNoticeDifference;

/// Whether workers of the service were lost lately for no known cause, or may have been before this leader could notice
/// it.
bool TaskScheduler::mayWorkersCrash(const std::string& service, Instant now) const
{
    return now - m_planningSince < lossWindow || m_crashingServices.contains(service);
}

/// Whether a start has to wait because it could not show whether the task is the cause of its crashes.
bool TaskScheduler::mustBackOff(const TrackedJob& job, const TaskRef& key, const TrackedTask& task, Instant now) const
{
    const auto& service = policyOf(job).service;
    // A new leader does not know yet whether a wave lasts in which the task has crashed.
    bool mayCrash = job.crashes.highestOtherCrashRate(key) > 0 ? mayWorkersCrash(service, now)
                                                               : m_crashingServices.contains(service);
    return mayCrash && now - task.foundWaitingAt < restartBackoff(job, key);
}

/// Returns the services of which so many workers were lost lately for no known cause that one more would prove nothing:
/// those that count when a crash that happens now is judged.
std::set<std::string> TaskScheduler::crashingServices(Instant now) const
{
    constexpr size_t workersPerLoss { 50 };
    auto isRecent = [&](Instant at) { return at != neverInstant && now - at < lossWindow; };
    std::map<std::string, size_t> losses;
    for (const auto& it : m_recentLosses) {
        if (!it.hasLikelyCause && isRecent(it.at))
            ++losses[it.view.service];
    }
    for (const auto& [handle, worker] : m_workers) {
        if (!worker->reachable && !worker->view.draining && isRecent(worker->lostAt) && !hasLikelyCause(*worker))
            ++losses[worker->view.service];
    }
    std::set<std::string> crashing;
    for (const auto& [service, lost] : losses) {
        auto workers = std::ranges::count_if(
            m_workers, [&name = service](const auto& it) { return it.second->view.service == name; });
        if (std::cmp_greater(lost * workersPerLoss, workers))
            crashing.insert(service);
    }
    return crashing;
}

/// The crashes have to be stored first: a leader that fails after the start would otherwise leave them uncounted.
/// Whether a worker has crashed may never be known, so the wait for that is bounded. Returns None if the task may
/// start.
SuspectDelay TaskScheduler::delayOfSuspect(
    const TrackedJob& job, const TaskRef& ref, const TrackedTask& task, Instant now) const
{
    constexpr Milliseconds maxConfirmationWait { 10000 };
    auto key = crashKey(job, ref);
    if (!areCrashesStored(job, key))
        return SuspectDelay::RecordsNotStored;
    if (mustBackOff(job, key, task, now))
        return SuspectDelay::Backoff;
    if (isolationOf(job, ref) != RunIsolation::Required)
        return SuspectDelay::None;
    bool mustWait = job.crashes.awaitsConfirmation(key) && now - task.foundWaitingAt < maxConfirmationWait;
    return mustWait || hasDueCrash(job, key) ? SuspectDelay::AwaitingConfirmation : SuspectDelay::None;
}

/// Whether further isolated runs of the job leave half of the workers of its service to other runs.
bool TaskScheduler::leavesSharedWorkers(const TrackedJob& job, uint32_t isolatedRuns) const
{
    auto candidates = m_candidates.find(policyOf(job).service);
    auto workers = candidates == m_candidates.end() ? 0 : candidates->second.size();
    return m_isolatedRuns + isolatedRuns <= workers / 2;
}

/// Tasks that need not run isolated leave the slots beyond the initial limit to those that have to.
bool TaskScheduler::isWithinIsolationLimit(const TrackedJob& job, uint32_t newRuns, RunIsolation isolation) const
{
    auto workers = static_cast<uint32_t>(m_workers.size());
    auto limit = isolation == RunIsolation::Preferred ? IsolationLimit::initialLimitFor(workers)
                                                      : m_isolationLimit.limitFor(workers, m_latestEventAt);
    return std::floor(m_usedIsolationSlots) + newRuns <= limit && leavesSharedWorkers(job, newRuns);
}

/// Whether further runs of the job may start isolated. A gang that is larger than the limit runs isolated alone.
bool TaskScheduler::hasIsolationSlots(const TrackedJob& job, uint32_t runs, RunIsolation isolation) const
{
    return m_isolatedRuns == 0 || isWithinIsolationLimit(job, runs, isolation);
}

/// Why a task that may start, or a gang of `runs` members, was not placed isolated.
SuspectDelay TaskScheduler::placementDelayOfSuspect(const TrackedJob& job, uint32_t runs) const
{
    return hasIsolationSlots(job, runs, RunIsolation::Required) ? SuspectDelay::NoWorker
                                                                : SuspectDelay::NoIsolationSlot;
}

bool TaskScheduler::canIsolate(const WorkerEntry& worker, const TrackedJob& job, uint32_t step, Instant now)
{
    return std::ranges::all_of(worker.runs, [&](const auto& it) {
        const auto& [key, active] = it;
        if (active.job == &job && key.first.step == step && job.spec.steps[step].gang)
            return true;
        const auto* run = findRun(*active.task, key.second);
        return !run || (!run->isolated && now - run->startedAt >= settledRunTime);
    });
}

/// Starts the suspected task isolated if possible. Returns false if it has to wait or may start like other tasks.
bool TaskScheduler::placeSuspect(const ReadyStep& ready, uint32_t index, RunIsolation isolation, Instant now)
{
    if (!maySearchIsolated() || !hasIsolationSlots(*ready.job, 1, isolation))
        return false;
    auto& tasks = ready.job->occurrences[ready.occurrence].steps[ready.step].tasks;
    auto* worker = chooseWorker(*ready.job, ready, tasks[index], {}, now, PlacementMode::Isolated);
    if (!worker) {
        ++m_failedSearches;
        return false;
    }
    startRun(*worker, ready, index, now, PlacementMode::Isolated);
    tasks.edit(index).runs.back().isolatedByPreference = isolation == RunIsolation::Preferred;
    return true;
}

/// Whether the worker may be held for the step. Workers that are held and have no isolated run yet use slots too.
bool TaskScheduler::mayHold(const ReadyStep& ready, const WorkerEntry& worker) const
{
    if (worker.isolatedRuns > 0)
        return false;
    if (worker.heldForIsolationUntil > m_latestEventAt)
        return worker.heldFor == ready.key;
    // A gang that is larger than the limit needs all of its workers at once.
    bool isGang = ready.job->spec.steps[ready.step].gang;
    if (m_isolatedRuns == 0 && (m_heldWorkers == 0 || isGang))
        return true;
    return isWithinIsolationLimit(*ready.job, m_heldWorkers + 1, RunIsolation::Required);
}

/// Holds a worker for a task that has to run isolated, while every suitable worker has recently started runs. Each
/// step has workers of its own held. Returns the worker, or nullptr.
TaskScheduler::WorkerEntry* TaskScheduler::holdForIsolation(
    const ReadyStep& ready, const TrackedTask& task, Instant now)
{
    if (!hasIsolationSlots(*ready.job, 1, RunIsolation::Required))
        return nullptr;
    auto* worker = chooseWorker(*ready.job, ready, task, {}, now, PlacementMode::Hold);
    if (!worker)
        return nullptr;
    if (worker->heldForIsolationUntil <= now)
        ++m_heldWorkers;
    worker->heldForIsolationUntil = now + holdTime;
    worker->heldFor = ready.key;
    return worker;
}

/// Records the start of a suspected task as a possible crash. The record is stored before the start is sent: a leader
/// that fails after the start would otherwise leave the crash uncounted.
void TaskScheduler::recordSuspectedStart(
    const WorkerEntry& worker, TrackedJob& job, const TaskRef& ref, TrackedRun& run)
{
    run.suspected = true;
    auto crashed = describeCrash(worker, job, ref, run);
    crashed.runTimeMs = 0;
    // A leader that learns of the crash from this record cannot know whether the worker had answered.
    crashed.unanswered = false;
    recordCrash(job, crashed);
}

/// Sends the starts of suspected tasks whose records are stored.
void TaskScheduler::sendSuspectedStarts(Instant now, const StartPermission& permission)
{
    if (m_suspectedStarts.empty())
        return;
    auto starts = std::exchange(m_suspectedStarts, {});
    for (auto& start : starts) {
        if (!sendSuspectedStart(start, now, permission))
            m_suspectedStarts.push_back(std::move(start));
    }
}

/// Takes back the starts on the worker whose records are not stored yet.
void TaskScheduler::withdrawSuspectedStarts(WorkerHandle handle, Instant now)
{
    auto firstWithdrawn = std::stable_partition(
        m_suspectedStarts.begin(), m_suspectedStarts.end(), [&](const StartTask& it) { return it.worker != handle; });
    std::vector<StartTask> withdrawn(firstWithdrawn, m_suspectedStarts.end());
    m_suspectedStarts.erase(firstWithdrawn, m_suspectedStarts.end());
    for (const auto& start : withdrawn)
        startRefused(handle, start.task, start.run, StartRefusal::NotSent, now);
}

/// Returns false if the start has to wait. A start that is not wanted any more is dropped.
bool TaskScheduler::sendSuspectedStart(const StartTask& start, Instant now, const StartPermission& permission)
{
    auto* job = findJob(start.task.job);
    auto* task = job ? findTask(*job, start.task) : nullptr;
    auto* run = task ? findRun(*task, start.run) : nullptr;
    if (!run || run->phase != RunPhase::Starting)
        return true;
    auto key = crashKey(*job, start.task);
    // Another run of the task may have cleared the record, which is not stored then; the task is placed again.
    if (!job->crashes.find(key, start.run)) {
        dropRun(*job, start.task, *task, start.run);
        return true;
    }
    if (!job->storedCrashes.find(key, start.run))
        return false;
    if (!permission.mayStart || job->knownAt > permission.knownBy)
        return false;
    auto worker = m_workers.find(start.worker);
    if (worker != m_workers.end() && isUsable(*worker->second, now)) {
        run->startedAt = now;
        if (run->isolated)
            worker->second->heldForIsolationUntil = neverInstant;
        m_actions.push_back(start);
        return true;
    }
    withdrawCrash(*job, start.task, start.run);
    dropRun(*job, start.task, *task, start.run);
    return true;
}

}
