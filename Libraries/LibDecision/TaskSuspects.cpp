#include <LibDecision/TaskScheduler.h>
#include <LibDecision/TaskWorkerEntry.h>
#include <algorithm>
#include <set>
#include <utility>

// Places the tasks that have to run isolated, longest wait first. In the order of the steps, newer tasks with a higher
// priority would get each free slot.

namespace Bergamot {

/// Failed searches for a worker for an isolated run; each visits all workers and their runs. The next plan goes on
/// where this one stopped.
static constexpr uint32_t maxFailedSearches = 4;

/// A task, or a gang, that may start isolated only.
struct TaskScheduler::WaitingSuspect {
    /// Start of the wait, and the step.
    SuspectOrder order {};
    const ReadyStep* ready { nullptr };
    uint32_t index { 0 };
};

bool TaskScheduler::maySearchIsolated() const { return m_failedSearches < maxFailedSearches; }

/// Whether the current plan may search workers for the task.
bool TaskScheduler::maySearchFor(const WaitingSuspect& suspect)
{
    if (m_firstSearchedSuspect && suspect.order < *m_firstSearchedSuspect)
        return false;
    if (maySearchIsolated())
        return true;
    if (!m_firstSkippedSuspect)
        m_firstSkippedSuspect = suspect.order;
    return false;
}

bool TaskScheduler::mayStartIsolated(const ReadyStep& ready, uint32_t index, Instant now) const
{
    const auto& job = *ready.job;
    const auto& step = job.occurrences[ready.occurrence].steps[ready.step];
    const auto& task = step.tasks[index];
    if (job.spec.steps[ready.step].gang) {
        if (delayOfGang(step, now) != PlacementDelay::None)
            return false;
    } else if (task.done || isBlocked(task, now) || (task.wantsSpeculativeCopy && task.runs.size() != 1)) {
        return false;
    }
    TaskRef ref { job.spec.id, ready.occurrence, ready.step, index };
    return isolationOf(job, ref) == RunIsolation::Required && delayOfSuspect(job, ref, task, now) == SuspectDelay::None;
}

/// Returns the tasks and gangs that may start isolated only, longest wait first.
std::vector<TaskScheduler::WaitingSuspect> TaskScheduler::suspectsByWait(Instant now, Instant knownBy)
{
    std::vector<WaitingSuspect> suspects;
    for (const auto& [order, ready] : m_readySteps) {
        bool isHeldBack = ready.job->knownAt > knownBy || ready.job->awaitsConfiguration;
        if (ready.job->crashes.isEmpty() || ready.job->hasEnded() || isHeldBack)
            continue;
        auto& step = ready.job->occurrences[ready.occurrence].steps[ready.step];
        setWaitingSince(ready, now);
        bool isGang = ready.job->spec.steps[ready.step].gang;
        for (auto index : step.waiting) {
            if (mayStartIsolated(ready, index, now))
                suspects.push_back(
                    { .order = { step.tasks[index].waitingSince, ready.key }, .ready = &ready, .index = index });
            if (isGang)
                break;
        }
    }
    std::ranges::sort(suspects, {}, &WaitingSuspect::order);
    return suspects;
}

void TaskScheduler::placeSuspects(Instant now, Instant knownBy)
{
    m_failedSearches = 0;
    // The tasks of a step need the same, so after a failed search none of them is tried.
    std::set<StepKey> failedSteps;
    for (const auto& suspect : suspectsByWait(now, knownBy)) {
        const auto& key = suspect.ready->key;
        if (failedSteps.contains(key) || !maySearchFor(suspect))
            continue;
        if (!placeRequiredIsolation(suspect, now))
            failedSteps.insert(key);
    }
    m_failedSearches = 0;
}

/// Starts the task or gang isolated, or holds workers for it. Returns whether it was started.
bool TaskScheduler::placeRequiredIsolation(const WaitingSuspect& suspect, Instant now)
{
    const auto& ready = *suspect.ready;
    if (ready.job->spec.steps[ready.step].gang)
        return placeGangIsolated(ready, RunIsolation::Required, now);
    auto& step = ready.job->occurrences[ready.occurrence].steps[ready.step];
    if (placeSuspect(ready, suspect.index, RunIsolation::Required, now)) {
        std::erase(step.waiting, suspect.index);
        return true;
    }
    holdForIsolation(ready, step.tasks[suspect.index], now);
    return false;
}

}
