#include "JobChecker.h"
#include <PlatformStandIn/TaskWorkerOptions.h>
#include <algorithm>
#include <charconv>
#include <fmt/format.h>

namespace Bergamot {

/// Time after its acceptance from which every node must know a job.
static constexpr Milliseconds visibilityBound { 3000 };

/// Time after the acknowledgement of a cancel from which no task of the job may start. It is the sum of the platform's
/// bound and the maximum delay of a start command by a faulty link.
static constexpr Milliseconds cancelBound { 3000 + 2000 };

/// Worker crashes by a task after which it may start `maxStartsAfterCrashLimit` times more.
static constexpr uint32_t crashLimit = 3;
static constexpr uint32_t maxStartsAfterCrashLimit = 2;

/// Crashes of its workers after which a crashing task may be given up.
static constexpr uint32_t crashesBeforeFailure = 2;

/// Time after the last disturbance from which nodes must keep the bounds in time; `contactMs` of their settings.
static constexpr Milliseconds contactTime { 3000 };

/// Time for which a capacity that has shrunk may still be used: a node learns of it within contactTime after the next
/// heartbeat of the worker.
static constexpr Milliseconds shrunkCapacityBound { contactTime + workerHeartbeatInterval };

/// Unfinished jobs that are reported at the end of a run.
static constexpr size_t maxReportedUnfinishedJobs = 8;

JobChecker::JobChecker(EventLoop& loop, uint64_t seed)
    : m_loop(loop)
    , m_seed(seed)
    , m_startedAt(loop.now())
{
}

void JobChecker::add(const JobHandle& job) { m_jobs[job->id] = job; }

void JobChecker::recordEvent(SoakJob& job, std::string text) const
{
    job.history.push_back(fmt::format("{} ms: {}", elapsedMs(), std::move(text)));
}

void JobChecker::reportViolation(SoakJob* job, const std::string& what)
{
    ++m_violations;
    fmt::print("VIOLATION seed={} time_ms={} job={} what=\"{}\"\n", m_seed, elapsedMs(), job ? job->id : "-", what);
    // The history is printed with the first violation of a job only, since the later ones mostly follow from it.
    if (job && !job->hasViolation) {
        fmt::print("  queue={} attempts={} tasks={}\n", job->queue.name, job->queue.maxAttempts, job->spec);
        for (const auto& line : job->history)
            fmt::print("  {}\n", line);
        job->hasViolation = true;
    }
    std::fflush(stdout);
}

SoakJob* JobChecker::findJob(const std::string& task) const
{
    auto it = m_jobs.find(task.substr(0, task.find('.')));
    return it == m_jobs.end() ? nullptr : it->second.get();
}

void JobChecker::submissionSent(SoakJob& job) { ++job.pendingSubmissions; }

void JobChecker::submissionAccepted(SoakJob& job, std::string_view node)
{
    --job.pendingSubmissions;
    recordEvent(job, fmt::format("accepted by {}", node));
    if (!job.acceptedAt)
        job.acceptedAt = m_loop.now();
}

void JobChecker::submissionRejected(SoakJob& job, std::string_view node, int status)
{
    --job.pendingSubmissions;
    ++job.rejectedSubmissions;
    recordEvent(job, fmt::format("rejected with {} by {}", status, node));
    if (status == 400 || status == 404)
        reportViolation(&job, fmt::format("a valid job on an existing queue was answered {}", status));
    checkRejected(job);
}

void JobChecker::submissionUnanswered(SoakJob& job, std::string_view node, std::string_view why)
{
    --job.pendingSubmissions;
    job.hasUnansweredSubmission = true;
    recordEvent(job, fmt::format("no reply from {}: {}", node, why));
}

void JobChecker::checkRejected(SoakJob& job)
{
    bool rejected
        = !job.acceptedAt && !job.hasUnansweredSubmission && job.pendingSubmissions == 0 && job.rejectedSubmissions > 0;
    if (rejected && !job.tasks.empty())
        reportViolation(&job, "a task started although every submission was rejected");
}

void JobChecker::cancelSent(SoakJob& job)
{
    recordEvent(job, "cancel sent");
    if (!job.cancelSentAt)
        job.cancelSentAt = m_loop.now();
}

void JobChecker::cancelAcknowledged(SoakJob& job)
{
    recordEvent(job, "cancel acknowledged");
    if (job.cancelledAt)
        return;
    job.cancelledAt = m_loop.now();
    job.doneBeforeCancel = areTasksDone(job);
}

bool JobChecker::areTasksDone(const SoakJob& job, size_t step)
{
    for (uint32_t index = 0; index < job.steps[step].count; ++index) {
        auto it = job.tasks.find(fmt::format("{}.0.{}.{}", job.id, step, index));
        if (it == job.tasks.end() || it->second.startCountAtDone.empty())
            return false;
    }
    return true;
}

bool JobChecker::areTasksDone(const SoakJob& job)
{
    for (size_t step = 0; step < job.steps.size(); ++step) {
        if (!areTasksDone(job, step))
            return false;
    }
    return true;
}

void JobChecker::stateReported(SoakJob& job, const std::string& state, Instant sentAt)
{
    bool isEndState = state == "completed" || state == "failed" || state == "cancelled";
    if (!isEndState && state != "queued" && state != "running")
        return reportViolation(&job, fmt::format("unknown job state '{}'", state));
    if (!job.endState.empty() && sentAt > job.endReportedAt) {
        ++job.repliesAfterEnd;
        if (state != job.endState)
            reportViolation(&job, fmt::format("the state went back from {} to {}", job.endState, state));
        return;
    }
    if (!isEndState || !job.endState.empty())
        return;
    recordEvent(job, "shown as " + state);
    job.endState = state;
    job.endReportedAt = m_loop.now();
    if (state == "completed") {
        if (!areTasksDone(job))
            reportViolation(&job, "shown as completed while a task has not ended as done");
        else if (job.cancelledAt && !job.doneBeforeCancel)
            reportViolation(
                &job, "shown as completed although its cancel was acknowledged before its last task was done");
    } else if (state == "failed") {
        bool cause = std::ranges::any_of(job.tasks, [&](const auto& item) {
            const auto& task = item.second;
            return task.failedRuns >= job.queue.maxAttempts
                || (task.causedCrashes > 0 && task.crashesWhileRunning >= crashesBeforeFailure);
        });
        if (!cause)
            reportViolation(
                &job, "shown as failed although no task has used its attempts or crashed as many workers as it may");
    } else if (!job.cancelSentAt) {
        reportViolation(&job, "shown as cancelled although no cancel was sent");
    }
}

void JobChecker::goneReported(SoakJob& job, Instant sentAt)
{
    recordEvent(job, "answered 410");
    if (job.acceptedAt && sentAt - *job.acceptedAt > visibilityBound)
        reportViolation(&job, "an accepted job was answered 410");
}

void JobChecker::nodesDisturbedUntil(Instant time) { m_disturbedUntil = std::max(m_disturbedUntil, time); }

void JobChecker::capacityChanged(const std::string& worker, const WorkerCapacity& capacity)
{
    m_capacities[worker].record(m_loop.now(), capacity);
}

void JobChecker::runStarted(const Run& run, const std::string& spec, const WorkerLoad& load)
{
    ++m_startCount;
    auto* job = findJob(run.task);
    if (!job)
        return reportViolation(
            nullptr, fmt::format("{} started on {} but belongs to no submitted job", run.task, run.worker));
    auto& task = job->tasks[run.task];
    recordEvent(*job,
        fmt::format("{} run {} starts on {}, fencing token {}", run.task, run.runNumber, run.worker, run.fenceToken));
    checkStart(*job, task, run, spec);
    checkCapacity(*job, run, load);
    // The other checks of a task concern what nodes can know.
    if (!run.isOfUnknownIncarnation)
        task.activeRuns.emplace_back(run.worker, run.runNumber);
    ++task.startCount;
}

void JobChecker::checkStart(SoakJob& job, SoakTask& task, const Run& run, const std::string& spec)
{
    if (spec != job.spec)
        reportViolation(&job, "a task started with a spec that differs from the spec of its job");
    if (!task.activeRuns.empty() && !run.isOfUnknownIncarnation)
        reportViolation(
            &job, fmt::format("{} runs on {} and {} at once", run.task, task.activeRuns.front().first, run.worker));
    if (task.isDoneAcknowledged)
        reportViolation(&job, fmt::format("{} started after its end as done was acknowledged", run.task));
    if (task.acknowledgedFailures >= job.queue.maxAttempts)
        reportViolation(&job, fmt::format("{} started after all its attempts had failed", run.task));
    if (job.cancelledAt && !run.isMisdirected && m_loop.now() - *job.cancelledAt > cancelBound)
        reportViolation(&job, fmt::format("{} started after its job was cancelled", run.task));
    checkRejected(job);
    checkDependencies(job, run.task);
    checkCrashLimit(job, task, run.task);
}

void JobChecker::checkCrashLimit(SoakJob& job, SoakTask& task, const std::string& name)
{
    if (task.causedCrashes < crashLimit || ++task.startsAfterCrashLimit <= maxStartsAfterCrashLimit)
        return;
    reportViolation(&job,
        fmt::format(
            "{} started {} times after {} workers had crashed under it", name, task.startsAfterCrashLimit, crashLimit));
}

void JobChecker::checkCapacity(SoakJob& job, const Run& run, const WorkerLoad& load)
{
    if (load.guardsCapacity || run.isMisdirected)
        return;
    // Nodes that a fault cuts off from the worker's announcements may use any capacity that it has had.
    bool isCalm = m_loop.now() - m_disturbedUntil >= contactTime;
    auto limit = m_capacities[run.worker].largestSince(isCalm ? m_loop.now() - shrunkCapacityBound : neverInstant);
    if (load.used.fitsInto(limit))
        return;
    reportViolation(&job,
        fmt::format("{} brings {} to {} thousandths of a core and {} MB, and it has had at most {} and {}", run.task,
            run.worker, load.used.cpuMillis, load.used.memoryMb, limit.cpuMillis, limit.memoryMb));
}

void JobChecker::checkDependencies(SoakJob& job, const std::string& task)
{
    // Tasks are named JOB.OCCURRENCE.STEP.INDEX. The jobs of a soak run have a single occurrence, which is number 0.
    auto rest = std::string_view(task).substr(job.id.size());
    size_t step = job.steps.size();
    if (rest.starts_with(".0."))
        std::from_chars(rest.data() + 3, rest.data() + rest.size(), step);
    if (step >= job.steps.size())
        return reportViolation(&job, fmt::format("{} does not name a task of the job", task));
    if (job.steps[step].dependsOnPreviousStep && !areTasksDone(job, step - 1))
        reportViolation(&job, fmt::format("{} started before the step before it was done", task));
}

void JobChecker::runEnded(const Run& run, const std::string& outcome)
{
    auto* job = findJob(run.task);
    if (!job)
        return;
    auto& task = job->tasks[run.task];
    recordEvent(*job, fmt::format("{} run {} ends as {} on {}", run.task, run.runNumber, outcome, run.worker));
    std::erase(task.activeRuns, std::pair { run.worker, run.runNumber });
    if (outcome == "failed")
        ++task.failedRuns;
    if (outcome == "done")
        task.startCountAtDone[run.runNumber] = task.startCount;
}

void JobChecker::endAcknowledged(const Run& run, const std::string& outcome)
{
    auto* job = findJob(run.task);
    if (!job)
        return;
    auto& task = job->tasks[run.task];
    recordEvent(*job, fmt::format("{} run {} is acknowledged as {}", run.task, run.runNumber, outcome));
    if (outcome == "failed")
        ++task.acknowledgedFailures;
    if (outcome != "done")
        return;
    if (auto it = task.startCountAtDone.find(run.runNumber);
        it != task.startCountAtDone.end() && task.startCount > it->second && !run.isOfUnknownIncarnation)
        reportViolation(job, fmt::format("{} was started again although its end as done was acknowledged", run.task));
    task.isDoneAcknowledged = true;
}

void JobChecker::workerCrashed(const std::string& worker, const std::string& crashingTask)
{
    if (auto* job = findJob(crashingTask)) {
        ++job->tasks[crashingTask].causedCrashes;
        recordEvent(*job, fmt::format("{} crashes {}", crashingTask, worker));
    }
    for (auto& [id, job] : m_jobs) {
        for (auto& [name, task] : job->tasks) {
            auto lost = std::erase_if(task.activeRuns, [&](const auto& run) { return run.first == worker; });
            if (lost == 0)
                continue;
            ++task.crashesWhileRunning;
            recordEvent(*job, fmt::format("{} is lost with {}", name, worker));
        }
    }
}

uint32_t JobChecker::failedRuns(const std::string& name) const
{
    const auto* job = findJob(name);
    if (!job)
        return 0;
    auto it = job->tasks.find(name);
    return it == job->tasks.end() ? 0 : it->second.failedRuns;
}

size_t JobChecker::countUnfinishedJobs() const
{
    return static_cast<size_t>(std::ranges::count_if(
        m_jobs, [](const auto& item) { return item.second->acceptedAt && item.second->endState.empty(); }));
}

void JobChecker::checkAllEnded()
{
    size_t reportedJobs = 0;
    for (auto& [id, job] : m_jobs) {
        if (!job->acceptedAt)
            continue;
        if (job->endState.empty()) {
            reportViolation(job.get(), "accepted, but no end state was shown within the bound after the last fault");
            if (++reportedJobs == maxReportedUnfinishedJobs)
                return;
            continue;
        }
        bool alwaysFails = std::ranges::any_of(
            job->steps, [limit = job->queue.maxAttempts](const StepPlan& step) { return step.failingRuns >= limit; });
        if (alwaysFails && job->endState == "completed")
            reportViolation(job.get(), "shown as completed although a task always fails");
        bool crashesWorkers
            = std::ranges::any_of(job->steps, [](const StepPlan& step) { return step.crashAfterMs > 0; });
        if (crashesWorkers && job->endState == "completed")
            reportViolation(job.get(), "shown as completed although a task crashes its workers");
    }
}

std::string JobChecker::summary() const
{
    std::map<std::string, int> ends;
    int accepted = 0;
    int rejected = 0;
    for (const auto& [id, job] : m_jobs) {
        if (job->acceptedAt)
            ++accepted;
        else if (!job->hasUnansweredSubmission)
            ++rejected;
        if (job->acceptedAt)
            ++ends[job->endState];
    }
    return fmt::format("jobs={} accepted={} rejected={} completed={} failed={} cancelled={} starts={} violations={}",
        m_jobs.size(), accepted, rejected, ends["completed"], ends["failed"], ends["cancelled"], m_startCount,
        m_violations);
}

}
