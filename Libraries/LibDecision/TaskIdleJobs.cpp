#include <LibDecision/CrashRecordLimit.h>
#include <LibDecision/TaskScheduler.h>
#include <LibDecision/TaskWorkerEntry.h>
#include <LibDecision/TaskWorkerSearch.h>
#include <algorithm>
#include <cstdint>
#include <optional>
#include <set>
#include <utility>
#include <vector>

// Starts a best-effort task of each job that has had no run for long, at the speed that the serving tasks of a worker
// allow. Otherwise the margin that becomes free on a worker would always go to tasks that disturb the serving tasks
// less, and no observation would correct a pressure that was estimated too high.

namespace Bergamot {

/// A job without a run for this time gets one if no task of its image runs anywhere, to measure the pressure of the
/// image again.
static constexpr Milliseconds maxIdleTime { 1500 };

/// A job with a task that has waited for this time is delayed. Until then, jobs run one after the other, so that each
/// ends sooner than if all ran slowly.
static constexpr Milliseconds minDelayedWait { 6000 };

/// A delayed job gets a run after this time without one.
static constexpr Milliseconds maxDelayedIdleTime { 1000 };

/// After this time without a run, the run of a delayed job starts at any speed.
static constexpr Milliseconds minIdleTimeForAnySpeed { 2000 };

/// Lowest share of its full speed at which such a run starts beside the other best-effort tasks of a worker.
static constexpr double minSlowSpeedShare = 0.1;

/// Such runs on one worker, beside which that of a delayed job, or of another one, may start. They share the margin of
/// the worker, so each further one slows down the others.
static constexpr size_t maxSlowRunsBesideDelayedJob = 3;
static constexpr size_t maxSlowRunsBesideOtherJob = 0;

/// Workers are searched in one plan of this time, with this many searches, each of which visits all workers.
static constexpr Milliseconds idleJobInterval { 100 };
static constexpr size_t maxIdleJobSearches = 8;

/// A job for which no worker was found leaves the searches to others for this time.
static constexpr Milliseconds searchRetryDelay { 500 };

/// Places the jobs without a run in one plan.
class TaskScheduler::IdleJobPlacement {
public:
    IdleJobPlacement(TaskScheduler& scheduler, Instant now)
        : m_scheduler(scheduler)
        , m_now(now)
    {
    }

    void place(Instant knownBy)
    {
        if (m_now - m_scheduler.m_idleJobsSearchedAt < idleJobInterval)
            return;
        m_scheduler.m_idleJobsSearchedAt = m_now;
        size_t searches = 0;
        for (const auto& job : idleSteps(knownBy)) {
            // An earlier step of the job may have started in this plan.
            if (job.ready.job->activeRuns > 0 || (!job.isDelayed && !isUnobserved(job)))
                continue;
            if (++searches > maxIdleJobSearches)
                return;
            placeJob(job);
        }
    }

private:
    struct IdleJob {
        Instant since { neverInstant };

        /// Whether the task has waited for `minDelayedWait`.
        bool isDelayed { false };
        ReadyStep ready {};
        uint32_t index { 0 };
    };

    struct Candidate {
        WorkerEntry* worker { nullptr };

        /// Shares of its full speed at which the task may run beside the best-effort tasks there, and without them, as
        /// far as the serving tasks are concerned.
        double share { 1 };
        double shareAlone { 1 };

        /// Number of runs on the worker that started slow.
        size_t slowRuns { 0 };

        /// The share of the processors that it needs that are idle.
        double idleShare { 1 };

        double expectedSpeed() const { return std::min(share, idleShare); }
    };

    static TaskRef refOf(const IdleJob& job)
    {
        return { job.ready.job->spec.id, job.ready.occurrence, job.ready.step, job.index };
    }

    static const ImageNumber& imageOf(const IdleJob& job)
    {
        return job.ready.job->occurrences[job.ready.occurrence].steps[job.ready.step].image;
    }

    std::optional<IdleJob> idleJobOf(const ReadyStep&) const;
    std::vector<IdleJob> idleSteps(Instant knownBy) const;
    std::vector<Candidate> candidatesFor(const IdleJob&);
    std::optional<Candidate> candidateOf(const WorkerSearch&, const IdleJob&, WorkerEntry&) const;
    static size_t countSlowRuns(const WorkerEntry&);
    bool isUnobserved(const IdleJob&);
    void placeJob(const IdleJob&);
    void start(const IdleJob&, const Candidate&);

    TaskScheduler& m_scheduler;
    Instant m_now;

    /// The images of the best-effort tasks that run; not set before it is needed.
    std::optional<std::set<ImageNumber>> m_runningImages {};
};

/// Returns the step with its first waiting task if no task of its job has run for long, though this one could.
std::optional<TaskScheduler::IdleJobPlacement::IdleJob> TaskScheduler::IdleJobPlacement::idleJobOf(
    const ReadyStep& ready) const
{
    auto& job = *ready.job;
    const auto& spec = job.spec.steps[ready.step];
    const auto& step = job.occurrences[ready.occurrence].steps[ready.step];
    if (!spec.bestEffort || spec.longRunning || spec.gang || job.hasEnded() || job.awaitsConfiguration
        || job.activeRuns > 0 || step.waiting.empty() || m_now - job.slowStartFailedAt < searchRetryDelay)
        return std::nullopt;
    IdleJob idle { .ready = ready, .index = step.waiting.front() };
    const auto& task = step.tasks[idle.index];
    if (task.done || task.waitingSince == neverInstant || m_scheduler.isBlocked(task, m_now)
        || CrashRecordLimit(ready).holdsBack(idle.index)
        || m_scheduler.isolationOf(job, refOf(idle)) != RunIsolation::None)
        return std::nullopt;
    idle.since = std::max(task.waitingSince, job.lastRunEndedAt);
    idle.isDelayed = m_now - task.waitingSince >= minDelayedWait;
    auto limit = idle.isDelayed ? maxDelayedIdleTime : maxIdleTime;
    return m_now - idle.since >= limit ? std::optional(idle) : std::nullopt;
}

/// Returns the waiting best-effort steps of jobs without a run, longest time without one first. A job may occur more
/// than once.
std::vector<TaskScheduler::IdleJobPlacement::IdleJob> TaskScheduler::IdleJobPlacement::idleSteps(Instant knownBy) const
{
    std::vector<IdleJob> jobs;
    for (const auto& [order, ready] : m_scheduler.m_readySteps) {
        if (ready.job->knownAt > knownBy)
            continue;
        if (auto job = idleJobOf(ready))
            jobs.push_back(*job);
    }
    std::ranges::stable_sort(jobs, {}, &IdleJob::since);
    return jobs;
}

size_t TaskScheduler::IdleJobPlacement::countSlowRuns(const WorkerEntry& worker)
{
    auto count = std::ranges::count_if(worker.runs, [](const auto& it) {
        const auto* run = findRun(*it.second.task, it.first.second);
        return run && run->startedSlow;
    });
    return static_cast<size_t>(count);
}

/// Returns the speeds at which the task may run on the worker, or nullopt if the worker cannot take it.
std::optional<TaskScheduler::IdleJobPlacement::Candidate> TaskScheduler::IdleJobPlacement::candidateOf(
    const WorkerSearch& search, const IdleJob& job, WorkerEntry& worker) const
{
    const auto& ready = job.ready;
    const auto& task = ready.job->occurrences[ready.occurrence].steps[ready.step].tasks[job.index];
    auto siblings = search.siblingRuns.find(worker.handle);
    auto runsThere = siblings == search.siblingRuns.end() ? 0 : siblings->second;
    if (worker.overTargetSince != neverInstant || !search.size.fitsIn(worker.freeResources())
        || !m_scheduler.isAllowed(search, task, worker, runsThere))
        return std::nullopt;
    Candidate candidate { .worker = &worker, .slowRuns = countSlowRuns(worker) };
    if (candidate.slowRuns > (job.isDelayed ? maxSlowRunsBesideDelayedJob : maxSlowRunsBesideOtherJob))
        return std::nullopt;
    // Best-effort tasks share the processors, so a further one gets some of them on a worker without idle ones.
    auto idleMillis = static_cast<double>(worker.freeBestEffortMillis());
    candidate.idleShare
        = std::clamp(idleMillis / static_cast<double>(search.spec.size.cpuMillis), minSlowSpeedShare, 1.0);
    if (auto margin = m_scheduler.limitingMargin(worker, search.spec, search.image)) {
        candidate.share = std::min(1.0, margin->share());
        candidate.shareAlone = std::min(1.0, margin->shareAlone());
    }
    return candidate;
}

std::vector<TaskScheduler::IdleJobPlacement::Candidate> TaskScheduler::IdleJobPlacement::candidatesFor(
    const IdleJob& job)
{
    std::vector<Candidate> candidates;
    auto search = m_scheduler.prepareSearch(*job.ready.job, job.ready, {}, m_now, PlacementMode::Shared);
    if (!search)
        return candidates;
    for (auto* worker : search->candidates) {
        if (auto candidate = candidateOf(*search, job, *worker))
            candidates.push_back(*candidate);
    }
    return candidates;
}

/// Whether no task of the step's image runs, so that nothing is learned of its pressure.
bool TaskScheduler::IdleJobPlacement::isUnobserved(const IdleJob& job)
{
    if (!m_runningImages) {
        m_runningImages.emplace();
        for (const auto& [handle, worker] : m_scheduler.m_workers) {
            for (const auto& [key, active] : worker->runs) {
                if (active.spec->bestEffort)
                    m_runningImages->insert(active.image);
            }
        }
    }
    return !m_runningImages->contains(imageOf(job));
}

void TaskScheduler::IdleJobPlacement::placeJob(const IdleJob& job)
{
    bool mayStartAtAnySpeed = job.isDelayed && m_now - job.since >= minIdleTimeForAnySpeed;
    auto candidates = candidatesFor(job);
    auto best = std::ranges::max_element(candidates, {}, &Candidate::expectedSpeed);
    if (best != candidates.end() && best->share >= minSlowSpeedShare)
        return start(job, *best);
    best = std::ranges::min_element(
        candidates, {}, [](const Candidate& it) { return std::pair(it.slowRuns, -it.shareAlone); });
    if (best != candidates.end() && mayStartAtAnySpeed)
        start(job, *best);
    else
        job.ready.job->slowStartFailedAt = m_now;
}

void TaskScheduler::IdleJobPlacement::start(const IdleJob& job, const Candidate& candidate)
{
    auto ref = refOf(job);
    auto& step = job.ready.job->occurrences[job.ready.occurrence].steps[job.ready.step];
    auto actionsBefore = m_scheduler.m_actions.size();
    m_scheduler.startRun(*candidate.worker, job.ready, job.index, m_now);
    std::erase(step.waiting, job.index);
    auto& run = step.tasks.edit(job.index).runs.back();
    run.startedSlow = candidate.expectedSpeed() < 1;
    if (m_runningImages)
        m_runningImages->insert(imageOf(job));
    // A start that waits for a record is sent later, and its speed is set by the first report.
    constexpr double fullSpeedPercent { 100 };
    auto percent = static_cast<uint32_t>(candidate.share * fullSpeedPercent);
    if (m_scheduler.m_actions.size() > actionsBefore)
        m_scheduler.setSpeedPercent(*candidate.worker, ref, run, percent, m_now);
}

/// Starts a best-effort task of each job that has had no run for long.
void TaskScheduler::placeIdleJobs(Instant now, Instant knownBy) { IdleJobPlacement(*this, now).place(knownBy); }

}
