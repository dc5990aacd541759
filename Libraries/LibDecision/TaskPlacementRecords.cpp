#include <LibDecision/TaskScheduler.h>
#include <LibDecision/TaskWorkerEntry.h>
#include <algorithm>
#include <iterator>
#include <utility>

// Records on which worker a long-running task may be active, before the task starts there. A new leader waits with such
// a task for this worker only: the store rejects records of replaced leaders, so none of them starts it elsewhere.

namespace Bergamot {

/// Limits the size of a record, which is stored anew with each change of one of its tasks. Further tasks of the job
/// wait for all workers.
static constexpr size_t maxPlacedTasksOfJob = 1000;

/// Members of gangs and copies may be active on several workers, and other tasks start too often for a record each.
bool TaskScheduler::isPlacementRecordable(const StepSpec& spec)
{
    return spec.longRunning && !spec.bestEffort && !spec.gang && !spec.speculative;
}

/// Must be called before the start on the worker is sent, which waits for the record unless the stored one says the
/// same.
void TaskScheduler::recordPlacement(TrackedJob& job, const TaskRef& ref, TrackedTask& task, const WorkerId& worker)
{
    if (!m_options.recordsPlacements || !isPlacementRecordable(job.spec.steps[ref.step]))
        return;
    // A task that may be active on further workers is stored without a worker.
    auto recorded = m_options.mayStartLate(ref) ? WorkerId {} : worker;
    if (recorded.empty())
        m_unplacedTasks.insert(ref);
    // Without any record, a new leader takes the task as never started.
    if (task.recordedWorker == recorded && job.isProgressStored)
        return;
    task.recordedWorker = std::move(recorded);
    task.startsAfterRecord = job.collectedRecords + 1;
    markChanged(job);
}

/// Stores the workers that were left out because of a late start, once none may run the task elsewhere any more.
/// Otherwise each successor would wait with the task for all workers for as long as the run lasts.
void TaskScheduler::recordOmittedPlacements()
{
    std::erase_if(m_unplacedTasks, [this](const TaskRef& ref) {
        auto* job = findJob(ref.job);
        auto* task = job && !job->hasEnded() ? findTask(*job, ref) : nullptr;
        // The next start of the task records it anew.
        if (!task || task->runs.size() != 1 || !task->recordedWorker.empty())
            return true;
        const auto& run = task->runs.front();
        auto worker = m_workers.find(run.worker);
        if (run.phase != RunPhase::Running || task->isHeld || worker == m_workers.end() || m_options.mayStartLate(ref))
            return false;
        recordPlacement(*job, ref, *task, worker->second->view.id);
        return true;
    });
}

/// The task may be active on more than the recorded worker from now on.
void TaskScheduler::removePlacement(TrackedJob& job, TrackedTask& task)
{
    if (task.recordedWorker.empty())
        return;
    task.recordedWorker.clear();
    task.startsAfterRecord = job.collectedRecords + 1;
    markChanged(job);
}

std::vector<PlacedTask> TaskScheduler::placedTasksOf(const TrackedJob& job)
{
    std::vector<PlacedTask> placed;
    for (const auto& [k, occurrence] : job.occurrences) {
        const auto& steps = occurrence.steps;
        for (uint32_t s = 0; s < steps.size(); ++s) {
            steps[s].tasks.forEachInMemory([&, occurrence = k](uint32_t i, const TrackedTask& it) {
                if (!it.recordedWorker.empty() && placed.size() < maxPlacedTasksOfJob)
                    placed.push_back({ occurrence, s, i, it.recordedWorker });
            });
        }
    }
    return placed;
}

/// Restores the placements that an earlier leader has stored. After unreliable ones the task may be active anywhere,
/// and a record without them must precede its start, because a later leader may know enough to rely on them.
void TaskScheduler::restorePlacements(TrackedJob& job, const std::vector<PlacedTask>& stored, bool areReliable)
{
    for (const auto& it : stored) {
        TaskRef ref { job.spec.id, it.occurrence, it.step, it.index };
        auto* task = findTask(job, ref);
        if (!task || task->done || !isPlacementRecordable(job.spec.steps[it.step]))
            continue;
        task->recordedWorker = it.worker;
        if (!areReliable) {
            removePlacement(job, *task);
            continue;
        }
        task->awaitedWorker = it.worker;
        m_tasksByAwaitedWorker[it.worker].push_back(std::move(ref));
    }
}

/// No leader has stored anything about the job, so none has started a task that needs a record.
void TaskScheduler::unblockUnstartedTasks(TrackedJob& job)
{
    auto unblock = [&](std::vector<TrackedStep>& steps) {
        for (size_t s = 0; s < steps.size(); ++s) {
            if (!isPlacementRecordable(job.spec.steps[s]))
                continue;
            steps[s].tasks.initial().blockedUntil = neverInstant;
            steps[s].tasks.forEachInMemory([](uint32_t, TrackedTask& it) { it.blockedUntil = neverInstant; });
        }
    };
    unblock(job.occurrences.initialSteps());
    for (auto& [k, occurrence] : job.occurrences)
        unblock(occurrence.steps);
}

void TaskScheduler::unblockPlacedTasks(const std::function<bool(const WorkerId&)>& mayRunEarlierTasks)
{
    for (auto it = m_tasksByAwaitedWorker.begin(); it != m_tasksByAwaitedWorker.end();) {
        if (mayRunEarlierTasks(it->first)) {
            ++it;
            continue;
        }
        std::erase_if(it->second, [&](const TaskRef& ref) {
            // The task may run on a later incarnation that this leader does not know.
            if (m_options.mayStartLate(ref))
                return false;
            auto* job = findJob(ref.job);
            auto* task = job ? findTask(*job, ref) : nullptr;
            if (task && task->awaitedWorker == it->first) {
                task->blockedUntil = neverInstant;
                task->awaitedWorker.clear();
            }
            return true;
        });
        it = it->second.empty() ? m_tasksByAwaitedWorker.erase(it) : std::next(it);
    }
}

/// Runs that leaders of earlier versions started have no records. Called once their tasks cannot run elsewhere.
void TaskScheduler::recordPlacementsOfAdoptedRuns(TrackedJob& job)
{
    if (!m_options.recordsPlacements || job.hasEnded())
        return;
    for (auto& [k, occurrence] : job.occurrences) {
        auto& steps = occurrence.steps;
        for (uint32_t s = 0; s < steps.size(); ++s) {
            if (!isPlacementRecordable(job.spec.steps[s]))
                continue;
            steps[s].tasks.forEachInMemory([&, occurrence = k](uint32_t i, TrackedTask& task) {
                bool mayRunElsewhere = task.isHeld || task.runs.size() != 1 || task.isRecordedIdle;
                if (!task.recordedWorker.empty() || mayRunElsewhere)
                    return;
                if (auto worker = m_workers.find(task.runs.front().worker); worker != m_workers.end())
                    recordPlacement(job, { job.spec.id, occurrence, s, i }, task, worker->second->view.id);
            });
        }
    }
}

}
