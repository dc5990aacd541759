#include <LibDecision/TaskScheduler.h>
#include <LibDecision/TaskWorkerEntry.h>
#include <algorithm>
#include <utility>

// Restores stored job progress and produces the progress to store.

namespace Bergamot {

void TaskScheduler::applyStored(TrackedJob& job, const JobProgress& stored)
{
    job.state = stored.state;
    job.storedState = stored.state;
    if (job.hasEnded())
        return;
    restoreDone(job, stored);
    for (const auto& failed : stored.failedRuns) {
        if (job.occurrences.hasEnded(failed.occurrence)) {
            ++job.endedFailedRuns;
            continue;
        }
        job.failedRuns.insert(failed);
        if (auto* task = findTask(job, { job.spec.id, failed.occurrence, failed.step, failed.index }))
            ++task->failures;
    }
    job.crashes = CrashHistory(stored.crashedRuns);
    job.storedCrashes = job.crashes;
    for (const auto& crashed : stored.crashedRuns)
        indexCrash(job, crashed);
}

/// Fails the job when the task has used up the attempts that its queue allows, once the limit is known to be in force.
void TaskScheduler::enforceMaxAttempts(TrackedJob& job, const TrackedTask& task)
{
    if (task.done || task.failures < policyOf(job).maxAttempts)
        return;
    if (m_isConfigurationCurrent)
        finishJob(job, JobStage::Failed);
    else
        job.awaitsConfiguration = true;
}

void TaskScheduler::enforceMaxAttemptsOfAllJobs()
{
    for (auto& [id, job] : m_jobs)
        enforceMaxAttemptsOfAllTasks(*job);
}

void TaskScheduler::enforceMaxAttemptsOfAllTasks(TrackedJob& job)
{
    job.awaitsConfiguration = false;
    for (auto it = job.failedRuns.begin(); it != job.failedRuns.end() && !job.hasEnded(); ++it) {
        if (const auto* task = findTask(job, { job.spec.id, it->occurrence, it->step, it->index }))
            enforceMaxAttempts(job, *task);
    }
}

void TaskScheduler::markChanged(const TrackedJob& job)
{
    if (!job.isEndCollected)
        m_changedJobs.insert(job.spec.id);
}

/// Returns the failed runs that still count. Of too many for a record, those of the tasks with the fewest are left out,
/// which may then be started that much more often under another leader.
std::vector<FailedRun> TaskScheduler::failedRunsToStore(const TrackedJob& job)
{
    constexpr size_t maxFailedRunsOfJob { 3000 };
    std::vector<std::pair<uint32_t, FailedRun>> failed;
    for (const auto& it : job.failedRuns) {
        const auto* task = findTask(job, { job.spec.id, it.occurrence, it.step, it.index });
        if (task && !task->done)
            failed.emplace_back(task->failures, it);
    }
    if (failed.size() > maxFailedRunsOfJob) {
        std::ranges::stable_sort(failed, std::ranges::greater {}, &std::pair<uint32_t, FailedRun>::first);
        failed.resize(maxFailedRunsOfJob);
    }
    std::vector<FailedRun> runs;
    runs.reserve(failed.size());
    for (const auto& [failures, run] : failed)
        runs.push_back(run);
    std::ranges::sort(runs);
    return runs;
}

std::vector<JobProgress> TaskScheduler::takeChangedJobs()
{
    std::vector<JobProgress> result;
    for (const auto& id : m_changedJobs) {
        auto& job = *m_jobs.at(id);
        JobProgress progress {
            .id = id, .state = job.started ? JobStage::Running : JobStage::Queued, .epoch = m_options.epoch
        };
        ++job.collectedRecords;
        if (job.hasEnded()) {
            progress.state = job.state;
            job.isEndCollected = true;
        } else {
            storeDone(job, progress);
            progress.failedRuns = failedRunsToStore(job);
            progress.crashedRuns = job.crashes.runs();
            progress.idleTasks = idleTasksOf(job);
            progress.placedTasks = placedTasksOf(job);
        }
        result.push_back(std::move(progress));
    }
    m_changedJobs.clear();
    removeReleasedJobs();
    return result;
}

/// Called when no job is marked as changed.
void TaskScheduler::removeReleasedJobs()
{
    for (const auto& id : std::exchange(m_releasedJobs, {})) {
        auto it = m_jobs.find(id);
        m_endedJobs.set(id, { .state = it->second->storedState, .isKnown = true });
        m_jobs.erase(it);
    }
}

bool TaskScheduler::progressStored(const JobProgress& progress)
{
    auto* job = findJob(progress.id);
    if (!job)
        return false;
    ++job->storedRecords;
    job->isProgressStored = true;
    bool wasEndStored = job->storedState >= JobStage::Completed;
    job->storedState = std::max(job->storedState, progress.state);
    job->storedCrashes = CrashHistory(progress.crashedRuns);
    return !wasEndStored && job->storedState >= JobStage::Completed;
}

void TaskScheduler::progressOmitted(const JobId& id)
{
    auto* job = findJob(id);
    if (!job)
        return;
    ++job->storedRecords;
    for (auto& [k, occurrence] : job->occurrences) {
        for (auto& step : occurrence.steps) {
            step.tasks.forEachInMemory([&](uint32_t, TrackedTask& it) {
                if (it.startsAfterRecord == job->storedRecords)
                    ++it.startsAfterRecord;
            });
        }
    }
}

void TaskScheduler::releaseDetails(const JobId& id)
{
    auto* job = findJob(id);
    if (!job || job->storedState < JobStage::Completed)
        return;
    job->detailsReleasable = true;
    releaseDetailsIfInactive(*job);
}

void TaskScheduler::releaseDetailsIfInactive(TrackedJob& job)
{
    if (!job.detailsReleasable)
        return;
    for (const auto& [k, occurrence] : job.occurrences) {
        for (const auto& step : occurrence.steps) {
            if (step.tasks.anyOf([](const TrackedTask& it) { return !it.runs.empty(); }))
                return;
        }
    }
    m_readySteps.eraseIf([&](const ReadyStep& it) { return it.job == &job; });
    job.occurrences = {};
    job.failedRuns = {};
    job.crashes = {};
    job.storedCrashes = {};
    job.spec.payload = {};
    job.spec.steps = {};
    job.spec.policyAtAcceptance = {};
    m_releasedJobs.insert(job.spec.id);
}

}
