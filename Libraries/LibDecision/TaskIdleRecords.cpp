#include <LibDecision/TaskScheduler.h>
#include <LibDecision/TaskWorkerEntry.h>
#include <algorithm>
#include <utility>

// Records the tasks that run nowhere. A new leader holds back the tasks of earlier leaders until no worker that it has
// not reached can run them. It need not do so with a task that is stored as idle: no leader starts such a task before a
// record without it is stored, and the store rejects records of replaced leaders.

namespace Bergamot {

/// Tasks that find room within this time start without a record.
static constexpr Milliseconds minIdleTime { 300 };

/// Limits the size of a record.
static constexpr size_t maxIdleTasksOfJob = 4000;

void TaskScheduler::recordIdleTasks(Instant now, const std::function<bool(const TaskRef&)>& mayStartLate)
{
    for (const auto& [order, ready] : m_readySteps) {
        auto& job = *ready.job;
        if (job.hasEnded() || !isPlacementRecordable(job.spec.steps[ready.step]))
            continue;
        auto& step = job.occurrences[ready.occurrence].steps[ready.step];
        for (auto index : step.waiting) {
            if (job.recordedIdleTasks >= maxIdleTasksOfJob)
                break;
            const auto& task = step.tasks[index];
            bool isIdle = !task.done && task.runs.empty() && !isBlocked(task, now);
            bool hasWaited = task.waitingSince != neverInstant && now - task.foundWaitingAt >= minIdleTime;
            if (!isIdle || !hasWaited || task.isRecordedIdle
                || mayStartLate({ job.spec.id, ready.occurrence, ready.step, index }))
                continue;
            auto& recorded = step.tasks.edit(index);
            recorded.isRecordedIdle = true;
            recorded.recordedWorker.clear();
            ++job.recordedIdleTasks;
            markChanged(job);
        }
    }
}

/// A successor takes the idle tasks that are not recorded as tasks that may run anywhere.
std::vector<IdleTask> TaskScheduler::idleTasksOf(const TrackedJob& job)
{
    std::vector<IdleTask> idle;
    for (const auto& [k, occurrence] : job.occurrences) {
        const auto& steps = occurrence.steps;
        for (uint32_t s = 0; s < steps.size(); ++s) {
            if (!isPlacementRecordable(job.spec.steps[s]))
                continue;
            steps[s].tasks.forEachInMemory([&, occurrence = k](uint32_t i, const TrackedTask& it) {
                if (it.isRecordedIdle && idle.size() < maxIdleTasksOfJob)
                    idle.push_back({ occurrence, s, i });
            });
        }
    }
    return idle;
}

/// Restores the idle tasks that an earlier leader has stored. Those that are not reliable may run by now. A record
/// without them must precede their starts all the same, because a later leader may know enough to rely on the stored
/// one.
void TaskScheduler::restoreIdleTasks(TrackedJob& job, const std::vector<IdleTask>& stored, bool areReliable)
{
    for (const auto& it : stored) {
        auto* task = findTask(job, { job.spec.id, it.occurrence, it.step, it.index });
        if (!task || task->done || !isPlacementRecordable(job.spec.steps[it.step]))
            continue;
        if (!std::exchange(task->isRecordedIdle, true))
            ++job.recordedIdleTasks;
        if (!areReliable) {
            removeIdleRecord(job, *task);
            continue;
        }
        task->blockedUntil = neverInstant;
        task->areEarlierCrashesRecorded = true;
    }
}

void TaskScheduler::removeIdleRecord(TrackedJob& job, TrackedTask& task)
{
    if (!std::exchange(task.isRecordedIdle, false))
        return;
    --job.recordedIdleTasks;
    // The record that is collected next is the first one without the task.
    task.startsAfterRecord = job.collectedRecords + 1;
    markChanged(job);
}

bool TaskScheduler::mustAwaitRecord(const TrackedJob& job, const TrackedTask& task)
{
    return job.storedRecords < task.startsAfterRecord;
}

void TaskScheduler::sendStartsAwaitingRecords(Instant now, const StartPermission& permission)
{
    auto starts = std::exchange(m_startsAwaitingRecords, {});
    for (auto& start : starts) {
        if (!sendStartAwaitingRecord(start, now, permission))
            m_startsAwaitingRecords.push_back(std::move(start));
    }
}

/// Returns false if the start has to wait. A start that is not wanted any more is dropped.
bool TaskScheduler::sendStartAwaitingRecord(const StartTask& start, Instant now, const StartPermission& permission)
{
    auto* job = findJob(start.task.job);
    auto* task = job ? findTask(*job, start.task) : nullptr;
    auto* run = task ? findRun(*task, start.run) : nullptr;
    if (!run || run->phase != RunPhase::Starting)
        return true;
    if (mustAwaitRecord(*job, *task) || !permission.mayStart || job->knownAt > permission.knownBy)
        return false;
    auto worker = m_workers.find(start.worker);
    if (worker != m_workers.end() && isUsable(*worker->second, now)) {
        run->startedAt = now;
        m_actions.push_back(start);
        return true;
    }
    // The worker may have broken connections meanwhile.
    withdrawCrash(*job, start.task, start.run);
    dropRun(*job, start.task, *task, start.run);
    return true;
}

/// Takes back the starts on the worker that were not sent yet.
void TaskScheduler::withdrawStartsAwaitingRecords(WorkerHandle handle, Instant now)
{
    auto firstWithdrawn = std::stable_partition(m_startsAwaitingRecords.begin(), m_startsAwaitingRecords.end(),
        [&](const StartTask& it) { return it.worker != handle; });
    std::vector<StartTask> withdrawn(firstWithdrawn, m_startsAwaitingRecords.end());
    m_startsAwaitingRecords.erase(firstWithdrawn, m_startsAwaitingRecords.end());
    for (const auto& start : withdrawn)
        startRefused(handle, start.task, start.run, StartRefusal::NotSent, now);
}

}
