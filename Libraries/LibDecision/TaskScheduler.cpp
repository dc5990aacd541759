#include <LibDecision/CriticalPath.h>
#include <LibDecision/TaskScheduler.h>
#include <LibDecision/TaskWorkerEntry.h>
#include <algorithm>
#include <functional>
#include <limits>
#include <utility>

namespace Bergamot {

TaskScheduler::TaskScheduler(Options options)
    : m_options(options)
{
}

TaskScheduler::~TaskScheduler() = default;

void TaskScheduler::setQueues(std::map<std::string, QueuePolicy> queues, uint64_t configVersion)
{
    m_queues = std::move(queues);
    m_configVersion = configVersion;
    enforceMaxAttemptsOfAllJobs();
}

void TaskScheduler::setConfigurationCurrent(bool current)
{
    if (!std::exchange(m_isConfigurationCurrent, current) && current)
        enforceMaxAttemptsOfAllJobs();
}

void TaskScheduler::setExcludedZones(std::set<ZoneId> zones) { m_excludedZones = std::move(zones); }

TrackedJob* TaskScheduler::findJob(const JobId& id)
{
    auto it = m_jobs.find(id);
    return it == m_jobs.end() ? nullptr : it->second.get();
}

const QueuePolicy& TaskScheduler::policyOf(const TrackedJob& job) const
{
    // Without a service, no task of an unknown queue starts; its failures are counted but do not fail the job.
    static const QueuePolicy unknownQueuePolicy { .maxAttempts = std::numeric_limits<uint32_t>::max() };
    const auto& atAcceptance = job.spec.policyAtAcceptance;
    bool isOwnPolicyNewer = atAcceptance && job.spec.configVersionAtAcceptance > m_configVersion;
    if (auto it = m_queues.find(job.spec.queue); it != m_queues.end() && !isOwnPolicyNewer)
        return it->second;
    return atAcceptance ? *atAcceptance : unknownQueuePolicy;
}

TrackedTask* TaskScheduler::findTask(TrackedJob& job, const TaskRef& task)
{
    const auto& steps = job.spec.steps;
    if (task.step >= steps.size() || task.index >= steps[task.step].count)
        return nullptr;
    auto* occurrence
        = job.hasEnded() ? job.occurrences.find(task.occurrence) : job.occurrences.findOrBuild(task.occurrence);
    return occurrence ? &occurrence->steps[task.step].tasks.edit(task.index) : nullptr;
}

/// Returns nullptr if the occurrence of the task is not held in memory.
const TrackedTask* TaskScheduler::findTask(const TrackedJob& job, const TaskRef& task)
{
    const auto& steps = job.spec.steps;
    if (task.step >= steps.size() || task.index >= steps[task.step].count)
        return nullptr;
    const auto* occurrence = job.occurrences.find(task.occurrence);
    return occurrence ? &occurrence->steps[task.step].tasks[task.index] : nullptr;
}

TrackedRun* TaskScheduler::findRun(TrackedTask& task, uint64_t run)
{
    auto it = std::ranges::find(task.runs, run, &TrackedRun::run);
    return it == task.runs.end() ? nullptr : &*it;
}

const TrackedRun* TaskScheduler::findRun(const TrackedTask& task, uint64_t run)
{
    auto it = std::ranges::find(task.runs, run, &TrackedRun::run);
    return it == task.runs.end() ? nullptr : &*it;
}

bool TaskScheduler::wasKnownAt(const JobId& id, Instant time) const
{
    auto it = m_jobs.find(id);
    return it != m_jobs.end() && it->second->knownAt <= time;
}

void TaskScheduler::restoreEnd(const JobId& id, JobStage state) { m_endedJobs.set(id, { .state = state }); }

bool TaskScheduler::addEndedJob(const JobId& id)
{
    auto* ended = m_endedJobs.find(id);
    if (!ended)
        return false;
    ended->isKnown = true;
    return true;
}

bool TaskScheduler::addJob(JobSpec spec, std::optional<JobProgress> stored, Instant blockedUntil, Instant knownAt)
{
    return addJob(std::move(spec), std::move(stored), blockedUntil, knownAt, ProgressReliability {});
}

bool TaskScheduler::addJob(JobSpec spec, std::optional<JobProgress> stored, Instant blockedUntil, Instant knownAt,
    const ProgressReliability& reliability)
{
    auto id = spec.id;
    if (m_jobs.contains(id))
        return false;
    if (const auto* ended = m_endedJobs.find(id)) {
        bool isNew = !ended->isKnown;
        addEndedJob(id);
        return isNew;
    }
    if (stored && stored->state >= JobStage::Completed) {
        restoreEnd(id, stored->state);
        return addEndedJob(id);
    }
    auto job = std::make_unique<TrackedJob>();
    job->spec = std::move(spec);
    job->knownAt = knownAt;
    job->isInherited = blockedUntil != neverInstant;
    job->isProgressStored = stored.has_value();
    auto& tracked = *job;
    m_jobs.emplace(id, std::move(job));
    prepareOccurrences(tracked, blockedUntil);
    if (stored)
        applyStored(tracked, *stored);
    const auto& policy = policyOf(tracked);
    tracked.objectiveUnixMs = tracked.spec.acceptedAtMs
        + static_cast<int64_t>(policy.stretch * static_cast<double>(criticalPathMs(tracked.spec)))
        + policy.targetLatencyMs;
    m_unblockAt = std::max(m_unblockAt, blockedUntil);
    if (stored) {
        restoreIdleTasks(tracked, stored->idleTasks, reliability.idleTasks);
        restorePlacements(tracked, stored->placedTasks, reliability.placements);
    } else if (reliability.placements) {
        unblockUnstartedTasks(tracked);
    }
    enforceMaxAttemptsOfAllTasks(tracked);
    if (!tracked.hasEnded() && tracked.occurrences.remaining() == 0)
        finishJob(tracked, JobStage::Completed);
    if (tracked.hasEnded())
        return true;
    if (tracked.spec.repeats > 0) {
        m_recurringJobs.insert(id);
        return true;
    }
    activateOccurrence(tracked, 0);
    return true;
}

void TaskScheduler::makeStepReady(TrackedJob& job, uint32_t occurrence, uint32_t step)
{
    auto& tracked = job.occurrences[occurrence].steps[step];
    tracked.readyAt = m_latestEventAt;
    for (uint32_t i = 0; i < tracked.tasks.size(); ++i) {
        if (!tracked.tasks[i].done && tracked.tasks[i].runs.empty())
            tracked.waiting.push_back(i);
    }
    if (tracked.waiting.empty())
        return;
    addReadyStep(job, occurrence, step);
}

void TaskScheduler::requeue(TrackedJob& job, const TaskRef& ref)
{
    auto& occurrence = job.occurrences[ref.occurrence];
    const auto& step = occurrence.steps[ref.step];
    const auto& task = step.tasks[ref.index];
    // makeStepReady() queues the tasks of a step that is not ready yet.
    if (!occurrence.due || step.pendingDependencies > 0)
        return;
    if (job.hasEnded() || task.done || !task.runs.empty())
        return;
    if (job.spec.steps[ref.step].gang)
        return breakGang(job, ref);
    enqueue(job, ref);
}

/// Queues the task for placement.
void TaskScheduler::enqueue(TrackedJob& job, const TaskRef& ref)
{
    auto& step = job.occurrences[ref.occurrence].steps[ref.step];
    if (std::ranges::count(step.waiting, ref.index) > 0)
        return;
    bool wasEmpty = step.waiting.empty();
    step.waiting.push_back(ref.index);
    if (!wasEmpty)
        return;
    addReadyStep(job, ref.occurrence, ref.step);
}

std::optional<JobStage> TaskScheduler::cancelJob(const JobId& id)
{
    auto* job = findJob(id);
    if (!job)
        return stateOf(id);
    if (!job->hasEnded())
        finishJob(*job, JobStage::Cancelled);
    return job->state;
}

std::optional<JobStage> TaskScheduler::stateOf(const JobId& id) const
{
    auto it = m_jobs.find(id);
    if (it == m_jobs.end()) {
        const auto* ended = m_endedJobs.find(id);
        return ended && ended->isKnown ? std::optional(ended->state) : std::nullopt;
    }
    const auto& job = *it->second;
    if (job.storedState >= JobStage::Completed)
        return job.storedState;
    return job.started ? JobStage::Running : JobStage::Queued;
}

std::optional<JobTimeline> TaskScheduler::timelineOf(const JobId& id) const
{
    auto it = m_jobs.find(id);
    if (it == m_jobs.end())
        return std::nullopt;
    const auto& job = *it->second;
    JobTimeline timeline { .queue = job.spec.queue,
        .objectiveUnixMs = job.objectiveUnixMs,
        .failedRuns = job.endedFailedRuns + static_cast<uint32_t>(job.failedRuns.size()),
        .maxAttempts = policyOf(job).maxAttempts,
        .crashedRuns = job.crashes.runs() };
    timeline.steps = job.endedSteps;
    for (const auto& [k, occurrence] : job.occurrences)
        appendTimeline(timeline.steps, k, occurrence);
    return timeline;
}

uint32_t TaskScheduler::pendingJobs(const std::string& queue) const
{
    uint32_t n = 0;
    for (const auto& [id, job] : m_jobs) {
        if (job->spec.queue == queue && !job->started && !job->hasEnded() && job->spec.repeats == 0)
            ++n;
    }
    return n;
}

void TaskScheduler::reserve(WorkerEntry& worker, TrackedJob& job, const TaskRef& task, uint64_t run)
{
    const auto& step = job.spec.steps[task.step];
    auto& tracked = job.occurrences[task.occurrence].steps[task.step];
    WorkerEntry::ActiveRun active {
        .job = &job, .task = &tracked.tasks.edit(task.index), .spec = &step, .image = tracked.image
    };
    if (!worker.runs.try_emplace({ task, run }, active).second)
        return;
    ++job.activeRuns;
    worker.servingPressuresValid = false;
    auto size = step.size;
    if (step.bestEffort) {
        worker.bestEffortDemandMillis += size.cpuMillis;
        size.cpuMillis = 0;
    }
    if (step.longRunning)
        worker.servingCpuMillis += size.cpuMillis;
    else
        m_shortTaskCpuMillis += size.cpuMillis;
    worker.reserved = worker.reserved + size;
}

void TaskScheduler::release(WorkerHandle handle, const TrackedJob& job, const TaskRef& task, uint64_t run)
{
    auto it = m_workers.find(handle);
    if (it == m_workers.end())
        return;
    auto& worker = *it->second;
    auto active = worker.runs.find(RunOrder::KeyView { task, run });
    if (active == worker.runs.end())
        return;
    if (auto* tracked = findRun(*active->second.task, run)) {
        setIsolated(*tracked, false);
        auto& longest = active->second.task->longestRunTime;
        longest = std::max(longest, tracked->reportedAt - tracked->startedAt);
    }
    --active->second.job->activeRuns;
    active->second.job->lastRunEndedAt = m_latestEventAt;
    worker.runs.erase(active);
    worker.servingPressuresValid = false;
    const auto& step = job.spec.steps[task.step];
    auto size = step.size;
    if (step.bestEffort) {
        worker.bestEffortDemandMillis -= size.cpuMillis;
        size.cpuMillis = 0;
    }
    if (step.longRunning)
        worker.servingCpuMillis -= size.cpuMillis;
    else
        m_shortTaskCpuMillis -= size.cpuMillis;
    worker.reserved = worker.reserved - size;
}

void TaskScheduler::updateWorker(WorkerHandle handle, const TaskWorkerView& view)
{
    auto& worker = m_workers[handle];
    if (!worker) {
        worker = std::make_unique<WorkerEntry>();
        worker->knownSince = m_latestEventAt;
    }
    worker->handle = handle;
    worker->view = view;
}

bool TaskScheduler::hasRuns(WorkerHandle handle) const
{
    auto it = m_workers.find(handle);
    return it != m_workers.end() && !it->second->runs.empty();
}

void TaskScheduler::setReachable(WorkerHandle handle, bool reachable, Instant now)
{
    auto it = m_workers.find(handle);
    if (it == m_workers.end())
        return;
    auto& worker = *it->second;
    if (reachable) {
        worker.lostAt = neverInstant;
        worker.wasLostWithLikelyCause = false;
    } else if (worker.reachable) {
        worker.lostAt = now;
    }
    worker.reachable = reachable;
}

void TaskScheduler::stopActiveRuns(const TaskRef& ref, TrackedTask& task, StopReason reason)
{
    for (auto& run : task.runs) {
        if (run.phase != RunPhase::Stopping)
            stopRun(ref, run, reason);
    }
}

void TaskScheduler::completeTask(TrackedJob& job, const TaskRef& ref, TrackedTask& task)
{
    task.done = true;
    task.checkpoint.clear();
    stopActiveRuns(ref, task, StopReason::TaskDone);
    markChanged(job);
    auto& step = job.occurrences[ref.occurrence].steps[ref.step];
    std::erase(step.waiting, ref.index);
    if (task.runs.empty())
        step.tasks.releaseDone(ref.index);
    if (--step.remainingTasks == 0)
        completeStep(job, ref.occurrence, ref.step);
}

void TaskScheduler::completeStep(TrackedJob& job, uint32_t k, uint32_t step)
{
    auto& occurrence = job.occurrences[k];
    // Runs of an earlier leader, whose clock may have been ahead, can complete the step before its occurrence is due.
    if (std::exchange(occurrence.steps[step].isCompleted, true))
        return;
    occurrence.steps[step].doneAt = m_latestEventAt;
    for (uint32_t i = step + 1; i < occurrence.steps.size(); ++i) {
        auto waits = std::ranges::count(job.spec.steps[i].dependsOn, step);
        if (waits == 0)
            continue;
        auto& dependent = occurrence.steps[i];
        dependent.pendingDependencies -= static_cast<uint32_t>(waits);
        // Otherwise activateOccurrence() makes it ready.
        if (occurrence.due && dependent.pendingDependencies == 0 && dependent.remainingTasks > 0)
            makeStepReady(job, k, i);
    }
    if (--occurrence.remainingSteps > 0)
        return;
    endOccurrence(job, k);
}

void TaskScheduler::finishJob(TrackedJob& job, JobStage state)
{
    job.state = state;
    m_recurringJobs.erase(job.spec.id);
    for (auto& [k, occurrence] : job.occurrences) {
        auto& steps = occurrence.steps;
        for (uint32_t s = 0; s < steps.size(); ++s) {
            steps[s].waiting.clear();
            steps[s].tasks.forEachInMemory([&, number = k](uint32_t i, TrackedTask& it) {
                stopActiveRuns({ job.spec.id, number, s, i }, it, StopReason::JobEnded);
            });
        }
    }
    markChanged(job);
}

void TaskScheduler::unblockTasks()
{
    m_unblockAt = neverInstant;
    m_tasksByAwaitedWorker.clear();
    for (auto& [id, job] : m_jobs) {
        auto unblock = [](std::vector<TrackedStep>& steps) {
            auto unblockTask = [](TrackedTask& it) {
                it.blockedUntil = neverInstant;
                it.awaitedWorker.clear();
            };
            for (auto& step : steps) {
                unblockTask(step.tasks.initial());
                step.tasks.forEachInMemory([&](uint32_t, TrackedTask& it) { unblockTask(it); });
            }
        };
        unblock(job->occurrences.initialSteps());
        for (auto& [k, occurrence] : job->occurrences)
            unblock(occurrence.steps);
        recordPlacementsOfAdoptedRuns(*job);
    }
}

TaskScheduler::Totals TaskScheduler::totals() const
{
    Totals totals;
    for (const auto& [order, ready] : m_readySteps)
        totals.waitingTasks
            += static_cast<uint32_t>(ready.job->occurrences[ready.occurrence].steps[ready.step].waiting.size());
    for (const auto& [handle, worker] : m_workers)
        totals.activeRuns += static_cast<uint32_t>(worker->runs.size());
    return totals;
}

}
