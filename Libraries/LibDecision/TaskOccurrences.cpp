#include <LibDecision/TaskScheduler.h>
#include <LibDecision/TaskWorkerEntry.h>
#include <algorithm>
#include <set>
#include <string>
#include <utility>
#include <vector>

// Builds the occurrences of jobs when they are due or have progress, frees those that have ended, and stores and
// restores which of their tasks are done.

namespace Bergamot {

/// Up to this number of strings, `JobProgress::done` describes the occurrences from 0 on, which leaders of earlier
/// versions read.
static constexpr size_t maxPlainDoneStrings = 1000;

/// Limits the memory for occurrences that wait for workers, by the tasks of the occurrences of all repeating jobs.
/// After an outage, or with a first time in the past, all occurrences of a job may be due at once.
static constexpr size_t maxWaitingTasksOfRepeatingJobs = 4000;

/// Limits the memory for the steps of ended occurrences, which are kept for the log only.
static constexpr size_t maxEndedSteps = 256;

static size_t countTasks(const JobSpec& spec)
{
    size_t n = 0;
    for (const auto& step : spec.steps)
        n += step.count;
    return std::max<size_t>(1, n);
}

void TaskScheduler::prepareOccurrences(TrackedJob& job, Instant blockedUntil)
{
    std::vector<TrackedStep> steps;
    for (const auto& step : job.spec.steps) {
        TrackedStep tracked { .tasks = TaskTable({ .blockedUntil = blockedUntil }, step.count),
            .remainingTasks = step.count };
        if (step.bestEffort)
            tracked.image = m_pressure.bestEffortImage(step.image);
        else if (isServing(step))
            tracked.image = m_pressure.servingImage(step.image);
        tracked.pendingDependencies = static_cast<uint32_t>(step.dependsOn.size());
        steps.push_back(std::move(tracked));
    }
    job.occurrences = LiveOccurrences(job.spec, std::move(steps));
}

size_t TaskScheduler::builtOccurrences() const
{
    size_t n = 0;
    for (const auto& [id, job] : m_jobs)
        n += job->occurrences.builtCount();
    return n;
}

/// Returns the number of occurrences with waiting tasks of each repeating job that has any.
std::map<const TrackedJob*, size_t> TaskScheduler::countWaitingOccurrences() const
{
    std::set<std::pair<const TrackedJob*, uint32_t>> waiting;
    for (const auto& [order, ready] : m_readySteps) {
        if (ready.job->spec.repeats > 0)
            waiting.emplace(ready.job, ready.occurrence);
    }
    std::map<const TrackedJob*, size_t> counts;
    for (const auto& [job, occurrence] : waiting)
        ++counts[job];
    return counts;
}

/// Builds occurrences that are due, and returns those that are left. The jobs have equal shares of the occurrences that
/// wait for workers, so that a job whose tasks find no worker holds back only itself.
std::vector<DeferredOccurrences> TaskScheduler::activateDueOccurrences(int64_t unixMs)
{
    m_deferredOccurrences = 0;
    std::vector<TrackedJob*> jobs;
    for (const auto& id : m_recurringJobs) {
        auto& job = *m_jobs.at(id);
        if (job.occurrences.countDue(unixMs) > 0)
            jobs.push_back(&job);
    }
    if (jobs.empty())
        return {};
    auto waiting = countWaitingOccurrences();
    auto share = maxWaitingTasksOfRepeatingJobs / jobs.size();
    std::vector<DeferredOccurrences> deferred;
    for (auto* job : jobs) {
        activateDueOccurrences(*job, unixMs, waiting[job], share);
        auto count = job->hasEnded() ? 0 : job->occurrences.countDue(unixMs);
        m_deferredOccurrences += count;
        if (count > 0)
            deferred.push_back({ .job = job, .count = count });
    }
    return deferred;
}

/// Builds occurrences until `maxWaitingTasks` tasks are in occurrences that wait; one if there is none.
void TaskScheduler::activateDueOccurrences(
    TrackedJob& job, int64_t unixMs, size_t waitingOccurrences, size_t maxWaitingTasks)
{
    auto maxWaiting = std::max<size_t>(1, maxWaitingTasks / countTasks(job.spec));
    for (auto n = waitingOccurrences; n < maxWaiting && !job.hasEnded(); ++n) {
        auto number = job.occurrences.takeDue(unixMs);
        if (!number)
            break;
        activateOccurrence(job, *number);
    }
    if (!job.occurrences.hasFuture())
        m_recurringJobs.erase(job.spec.id);
}

size_t TaskScheduler::tasksInMemory() const
{
    size_t n = 0;
    for (const auto& [id, job] : m_jobs) {
        for (const auto& [number, occurrence] : job->occurrences) {
            for (const auto& step : occurrence.steps)
                n += step.tasks.sizeInMemory();
        }
    }
    return n;
}

void TaskScheduler::activateOccurrence(TrackedJob& job, uint32_t occurrence)
{
    auto* tracked = job.occurrences.findOrBuild(occurrence);
    if (!tracked)
        return;
    tracked->due = true;
    // The tasks of a step may all be done in the stored progress.
    for (uint32_t i = 0; i < tracked->steps.size(); ++i) {
        if (tracked->steps[i].remainingTasks == 0)
            completeStep(job, occurrence, i);
        if (job.hasEnded())
            return;
    }
    for (uint32_t i = 0; i < tracked->steps.size(); ++i) {
        if (tracked->steps[i].pendingDependencies == 0 && tracked->steps[i].remainingTasks > 0
            && tracked->steps[i].waiting.empty())
            makeStepReady(job, occurrence, i);
    }
    for (auto& step : tracked->steps)
        step.wasReadyBefore = job.isInherited && !step.waiting.empty();
}

void TaskScheduler::endOccurrence(TrackedJob& job, uint32_t number)
{
    job.occurrences.markEnded(number);
    if (job.occurrences.remaining() == 0)
        finishJob(job, JobStage::Completed);
    else
        m_endedOccurrences.emplace_back(job.spec.id, number);
}

/// Frees the occurrences that have ended, once no run of them is active.
void TaskScheduler::freeEndedOccurrences()
{
    if (m_endedOccurrences.empty())
        return;
    std::set<std::pair<const TrackedJob*, uint32_t>> freed;
    std::erase_if(m_endedOccurrences, [&](const auto& ended) {
        auto* job = findJob(ended.first);
        auto* occurrence = job && !job->hasEnded() ? job->occurrences.find(ended.second) : nullptr;
        if (!occurrence)
            return true;
        for (const auto& step : occurrence->steps) {
            if (step.tasks.anyOf([](const TrackedTask& it) { return !it.runs.empty(); }))
                return false;
        }
        freeOccurrence(*job, ended.second, *occurrence);
        freed.emplace(job, ended.second);
        return true;
    });
    if (!freed.empty())
        m_readySteps.eraseIf([&](const ReadyStep& it) { return freed.contains({ it.job, it.occurrence }); });
}

void TaskScheduler::freeOccurrence(TrackedJob& job, uint32_t number, const TrackedOccurrence& occurrence)
{
    appendTimeline(job.endedSteps, number, occurrence);
    if (job.endedSteps.size() > maxEndedSteps)
        job.endedSteps.erase(job.endedSteps.begin(), job.endedSteps.end() - maxEndedSteps);
    auto first = job.failedRuns.lower_bound({ .occurrence = number });
    auto end = job.failedRuns.lower_bound({ .occurrence = number + 1 });
    job.endedFailedRuns += static_cast<uint32_t>(std::distance(first, end));
    job.failedRuns.erase(first, end);
    job.occurrences.free(number);
}

void TaskScheduler::appendTimeline(
    std::vector<StepTimeline>& steps, uint32_t number, const TrackedOccurrence& occurrence)
{
    for (uint32_t i = 0; i < occurrence.steps.size(); ++i) {
        const auto& step = occurrence.steps[i];
        if (step.doneAt == neverInstant || step.lastStartAt == neverInstant)
            continue;
        steps.push_back({ .occurrence = number,
            .step = i,
            .waitTime = step.lastStartAt - step.readyAt,
            .runTime = step.doneAt - step.lastStartAt });
    }
}

/// Whether the strings of `done` from `position` on mark all tasks of an occurrence.
static bool areAllDone(const JobSpec& spec, const std::vector<std::string>& done, size_t position)
{
    if (spec.steps.empty() || position + spec.steps.size() > done.size())
        return false;
    for (size_t i = 0; i < spec.steps.size(); ++i) {
        const auto& flags = done[position + i];
        if (flags.size() < spec.steps[i].count || flags.find_first_not_of('1') < spec.steps[i].count)
            return false;
    }
    return true;
}

/// The flags of an occurrence begin at `position`; those that are missing stand for tasks that are not done.
void TaskScheduler::restoreDoneTasks(
    TrackedJob& job, uint32_t number, const std::vector<std::string>& done, size_t position)
{
    if (job.spec.repeats > 0 && areAllDone(job.spec, done, position)) {
        job.occurrences.markEnded(number);
        job.started = true;
        return;
    }
    auto end = std::min(done.size(), position + job.spec.steps.size());
    bool hasProgress = false;
    for (auto i = position; i < end; ++i)
        hasProgress = hasProgress || done[i].find('1') != std::string::npos;
    auto* occurrence = hasProgress ? job.occurrences.findOrBuild(number) : nullptr;
    if (!occurrence)
        return;
    for (auto i = position; i < end; ++i) {
        auto& step = occurrence->steps[i - position];
        for (uint32_t task = 0; task < std::min<size_t>(done[i].size(), step.tasks.size()); ++task) {
            if (done[i][task] != '1')
                continue;
            step.tasks.markDone(task);
            --step.remainingTasks;
            job.started = true;
        }
    }
}

void TaskScheduler::restoreDone(TrackedJob& job, const JobProgress& stored)
{
    for (const auto& range : stored.endedOccurrences) {
        job.occurrences.markEnded(range);
        job.started = true;
    }
    auto steps = job.spec.steps.size();
    bool isPlain = stored.endedOccurrences.empty() && stored.doneOccurrences.empty();
    size_t position = 0;
    for (uint32_t i = 0; position < stored.done.size() && steps > 0; ++i, position += steps) {
        if (i >= (isPlain ? job.occurrences.count() : stored.doneOccurrences.size()))
            return;
        auto number = isPlain ? i : stored.doneOccurrences[i];
        // A record that names an occurrence twice would count its tasks twice.
        if (number < job.occurrences.count() && !job.occurrences.hasEnded(number) && !job.occurrences.find(number))
            restoreDoneTasks(job, number, stored.done, position);
    }
}

static void appendDone(std::vector<std::string>& done, const TrackedOccurrence& occurrence)
{
    for (const auto& step : occurrence.steps) {
        std::string flags(step.tasks.size(), '0');
        for (uint32_t i = 0; i < flags.size(); ++i)
            flags[i] = step.tasks[i].done ? '1' : '0';
        done.push_back(std::move(flags));
    }
}

void TaskScheduler::storeDone(const TrackedJob& job, JobProgress& progress)
{
    const auto& occurrences = job.occurrences;
    auto end = occurrences.ended().end();
    if (occurrences.builtCount() > 0)
        end = std::max(end, std::prev(occurrences.end())->first + 1);
    auto live = occurrences.begin();
    if (end * job.spec.steps.size() <= maxPlainDoneStrings || job.spec.repeats == 0) {
        for (uint32_t k = 0; k < end; ++k) {
            if (live != occurrences.end() && live->first == k) {
                appendDone(progress.done, live++->second);
                continue;
            }
            for (const auto& step : job.spec.steps)
                progress.done.emplace_back(step.count, occurrences.hasEnded(k) ? '1' : '0');
        }
        return;
    }
    progress.endedOccurrences = occurrences.ended().ranges();
    for (; live != occurrences.end(); ++live) {
        if (occurrences.hasEnded(live->first))
            continue;
        progress.doneOccurrences.push_back(live->first);
        appendDone(progress.done, live->second);
    }
}

}
