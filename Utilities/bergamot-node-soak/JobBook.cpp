#include "JobBook.h"
#include <algorithm>
#include <charconv>
#include <fmt/format.h>

namespace Bergamot {

/// An accepted job is known everywhere after this time.
static constexpr Milliseconds visibleAfter { 3000 };

/// No task of a cancelled job starts later than this after the answer: the platform's bound, and the longest time for
/// which a faulty link holds an order back.
static constexpr Milliseconds cancelBound { 3000 + 2000 };
static constexpr size_t shownWithoutJob = 8;

JobBook::JobBook(EventLoop& loop, uint64_t seed)
    : m_loop(loop)
    , m_seed(seed)
    , m_beganAt(loop.now())
{
}

void JobBook::add(const JobHandle& job) { m_jobs[job->id] = job; }

void JobBook::note(SoakJob& job, std::string text) const
{
    job.history.push_back(fmt::format("{} ms: {}", elapsedMs(), std::move(text)));
}

void JobBook::violation(SoakJob* job, const std::string& what)
{
    ++m_violations;
    fmt::print("VIOLATION seed={} time_ms={} job={} what=\"{}\"\n", m_seed, elapsedMs(), job ? job->id : "-", what);
    // The history is printed once; later violations of the same job mostly follow from the first.
    if (job && !job->hasViolation) {
        fmt::print("  queue={} attempts={} tasks={}\n", job->queue.name, job->queue.maxAttempts, job->spec);
        for (const auto& line : job->history)
            fmt::print("  {}\n", line);
        job->hasViolation = true;
    }
    std::fflush(stdout);
}

SoakJob* JobBook::jobOf(const std::string& task) const
{
    auto it = m_jobs.find(task.substr(0, task.find('.')));
    return it == m_jobs.end() ? nullptr : it->second.get();
}

void JobBook::attemptSent(SoakJob& job) { ++job.openAttempts; }

void JobBook::attemptAccepted(SoakJob& job)
{
    --job.openAttempts;
    note(job, "accepted");
    if (!job.acceptedAt)
        job.acceptedAt = m_loop.now();
}

void JobBook::attemptRejected(SoakJob& job, int status)
{
    --job.openAttempts;
    ++job.rejectedAttempts;
    note(job, fmt::format("rejected with {}", status));
    if (status == 400 || status == 404)
        violation(&job, fmt::format("a valid job on an existing queue was answered {}", status));
    checkRejected(job);
}

void JobBook::attemptUnanswered(SoakJob& job, std::string_view why)
{
    --job.openAttempts;
    job.hasUnknownAttempt = true;
    note(job, fmt::format("no answer: {}", why));
}

void JobBook::checkRejected(SoakJob& job)
{
    bool rejected = !job.acceptedAt && !job.hasUnknownAttempt && job.openAttempts == 0 && job.rejectedAttempts > 0;
    if (rejected && !job.tasks.empty())
        violation(&job, "a task started although every hand-in was rejected");
}

void JobBook::cancelSent(SoakJob& job)
{
    note(job, "cancel sent");
    if (!job.cancelSentAt)
        job.cancelSentAt = m_loop.now();
}

void JobBook::cancelAcknowledged(SoakJob& job)
{
    note(job, "cancel acknowledged");
    if (job.cancelledAt)
        return;
    job.cancelledAt = m_loop.now();
    job.doneBeforeCancel = hasEndedDone(job);
}

bool JobBook::hasEndedDone(const SoakJob& job, size_t step)
{
    for (uint32_t index = 0; index < job.steps[step].count; ++index) {
        auto it = job.tasks.find(fmt::format("{}.0.{}.{}", job.id, step, index));
        if (it == job.tasks.end() || it->second.startsAtDone.empty())
            return false;
    }
    return true;
}

bool JobBook::hasEndedDone(const SoakJob& job)
{
    for (size_t step = 0; step < job.steps.size(); ++step) {
        if (!hasEndedDone(job, step))
            return false;
    }
    return true;
}

void JobBook::stateShown(SoakJob& job, const std::string& state, Instant sentAt)
{
    bool isEnd = state == "completed" || state == "failed" || state == "cancelled";
    if (!isEnd && state != "queued" && state != "running")
        return violation(&job, fmt::format("the state '{}' is not known", state));
    if (!job.endState.empty() && sentAt > job.endShownAt) {
        ++job.answersAfterEnd;
        if (state != job.endState)
            violation(&job, fmt::format("the state went back from {} to {}", job.endState, state));
        return;
    }
    if (!isEnd || !job.endState.empty())
        return;
    note(job, "shown as " + state);
    job.endState = state;
    job.endShownAt = m_loop.now();
    if (state == "completed") {
        if (!hasEndedDone(job))
            violation(&job, "shown as completed while a task has not ended as done");
        else if (job.cancelledAt && !job.doneBeforeCancel)
            violation(&job, "shown as completed although its cancel was acknowledged before its last task was done");
    } else if (state == "failed") {
        bool cause = std::ranges::any_of(
            job.tasks, [&](const auto& task) { return task.second.failedRuns >= job.queue.maxAttempts; });
        if (!cause)
            violation(&job, "shown as failed although no task has used its attempts");
    } else if (!job.cancelSentAt) {
        violation(&job, "shown as cancelled although nobody cancelled it");
    }
}

void JobBook::unknownShown(SoakJob& job, Instant sentAt)
{
    note(job, "answered 410");
    if (job.acceptedAt && sentAt - *job.acceptedAt > visibleAfter)
        violation(&job, "an accepted job was answered 410");
}

void JobBook::runStarted(const Run& run, const std::string& spec)
{
    ++m_starts;
    auto* job = jobOf(run.task);
    if (!job)
        return violation(nullptr, fmt::format("{} started on {}, and nobody has submitted it", run.task, run.worker));
    auto& task = job->tasks[run.task];
    note(*job, fmt::format("{} run {} starts on {}, epoch {}", run.task, run.run, run.worker, run.epoch));
    checkStart(*job, task, run, spec);
    task.active.emplace_back(run.worker, run.run);
    ++task.starts;
}

void JobBook::checkStart(SoakJob& job, SoakTask& task, const Run& run, const std::string& spec)
{
    if (spec != job.spec)
        violation(&job, "a task started with another text than its job's");
    if (!task.active.empty())
        violation(&job, fmt::format("{} runs on {} and {} at once", run.task, task.active.front().first, run.worker));
    if (task.doneNoted)
        violation(&job, fmt::format("{} started after its end as done was acknowledged", run.task));
    if (task.notedFailures >= job.queue.maxAttempts)
        violation(&job, fmt::format("{} started after all its attempts had failed", run.task));
    if (job.cancelledAt && m_loop.now() - *job.cancelledAt > cancelBound)
        violation(&job, fmt::format("{} started after its job was cancelled", run.task));
    checkRejected(job);
    checkEarlierSteps(job, run.task);
}

void JobBook::checkEarlierSteps(SoakJob& job, const std::string& task)
{
    // A task is named JOB.OCCURRENCE.STEP.INDEX, and none of these jobs has a second occurrence.
    auto rest = std::string_view(task).substr(job.id.size());
    size_t step = job.steps.size();
    if (rest.starts_with(".0."))
        std::from_chars(rest.data() + 3, rest.data() + rest.size(), step);
    if (step >= job.steps.size())
        return violation(&job, fmt::format("{} is no task of the job", task));
    if (job.steps[step].afterEarlierStep && !hasEndedDone(job, step - 1))
        violation(&job, fmt::format("{} started before the step before it was done", task));
}

void JobBook::runEnded(const Run& run, const std::string& outcome)
{
    auto* job = jobOf(run.task);
    if (!job)
        return;
    auto& task = job->tasks[run.task];
    note(*job, fmt::format("{} run {} ends as {} on {}", run.task, run.run, outcome, run.worker));
    std::erase(task.active, std::pair { run.worker, run.run });
    if (outcome == "failed")
        ++task.failedRuns;
    if (outcome == "done")
        task.startsAtDone[run.run] = task.starts;
}

void JobBook::endAcknowledged(const Run& run, const std::string& outcome)
{
    auto* job = jobOf(run.task);
    if (!job)
        return;
    auto& task = job->tasks[run.task];
    note(*job, fmt::format("{} run {} is acknowledged as {}", run.task, run.run, outcome));
    if (outcome == "failed")
        ++task.notedFailures;
    if (outcome != "done")
        return;
    if (auto it = task.startsAtDone.find(run.run); it != task.startsAtDone.end() && task.starts > it->second)
        violation(job, fmt::format("{} was started again although its end as done was noted", run.task));
    task.doneNoted = true;
}

void JobBook::workerCrashed(const std::string& worker)
{
    for (auto& [id, job] : m_jobs) {
        for (auto& [name, task] : job->tasks) {
            auto lost = std::erase_if(task.active, [&](const auto& run) { return run.first == worker; });
            if (lost > 0)
                note(*job, fmt::format("{} is lost with {}", name, worker));
        }
    }
}

uint32_t JobBook::failedRuns(const std::string& name) const
{
    const auto* job = jobOf(name);
    if (!job)
        return 0;
    auto it = job->tasks.find(name);
    return it == job->tasks.end() ? 0 : it->second.failedRuns;
}

size_t JobBook::openJobs() const
{
    return static_cast<size_t>(std::ranges::count_if(
        m_jobs, [](const auto& item) { return item.second->acceptedAt && item.second->endState.empty(); }));
}

void JobBook::checkAllEnded()
{
    size_t shown = 0;
    for (auto& [id, job] : m_jobs) {
        if (!job->acceptedAt)
            continue;
        if (job->endState.empty()) {
            violation(job.get(), "accepted, and no end was shown within the bound after the last fault");
            if (++shown == shownWithoutJob)
                return;
            continue;
        }
        bool hopeless = std::ranges::any_of(
            job->steps, [limit = job->queue.maxAttempts](const StepPlan& step) { return step.failures >= limit; });
        if (hopeless && job->endState == "completed")
            violation(job.get(), "shown as completed although a task always fails");
    }
}

std::string JobBook::summary() const
{
    std::map<std::string, int> ends;
    int accepted = 0;
    int rejected = 0;
    for (const auto& [id, job] : m_jobs) {
        if (job->acceptedAt)
            ++accepted;
        else if (!job->hasUnknownAttempt)
            ++rejected;
        if (job->acceptedAt)
            ++ends[job->endState];
    }
    return fmt::format("jobs={} accepted={} rejected={} completed={} failed={} cancelled={} starts={} violations={}",
        m_jobs.size(), accepted, rejected, ends["completed"], ends["failed"], ends["cancelled"], m_starts,
        m_violations);
}

}
