#include <LibDecision/TaskScheduler.h>
#include <LibDecision/TaskWorkerEntry.h>
#include <LibDecision/TaskWorkerSearch.h>
#include <algorithm>
#include <iterator>
#include <limits>
#include <map>
#include <set>
#include <tuple>
#include <utility>

// Reports the tasks that have waited for long, with the reason, for the log.

namespace Bergamot {

static StepWait waitOf(const TrackedJob& job, uint32_t occurrence, uint32_t step)
{
    const auto& spec = job.spec.steps[step];
    return { .job = job.spec.id,
        .occurrence = occurrence,
        .step = step,
        .size = spec.size,
        .longRunning = spec.longRunning,
        .bestEffortImage = spec.bestEffort ? spec.image : std::string {},
        .isJobIdle = job.activeRuns == 0 };
}

static void addTask(StepWait& wait, uint32_t index, Milliseconds time)
{
    ++wait.tasks;
    if (time <= wait.longestWait)
        return;
    wait.longestWait = time;
    wait.longestWaiting = index;
}

bool TaskScheduler::hasRunBefore(const TrackedJob& job, const TrackedTask& task)
{
    return task.hasRun || job.isInherited;
}

std::vector<StepWait> TaskScheduler::stepWaits(Instant now, Milliseconds minWait, size_t maxCount) const
{
    std::vector<StepWait> waits;
    for (const auto& [order, ready] : m_readySteps) {
        if (ready.job->hasEnded())
            continue;
        const auto& step = ready.job->occurrences[ready.occurrence].steps[ready.step];
        auto wait = waitOf(*ready.job, ready.occurrence, ready.step);
        wait.reason = step.delay;
        if (step.delay == PlacementDelay::CrashSuspicion)
            wait.suspectDelay = step.suspectDelay;
        for (auto index : step.waiting) {
            const auto& task = step.tasks[index];
            addTask(wait, index, task.waitingSince == neverInstant ? Milliseconds { 0 } : now - task.foundWaitingAt);
        }
        if (wait.longestWait < minWait)
            continue;
        wait.hasRun = !step.waiting.empty() && hasRunBefore(*ready.job, step.tasks[wait.longestWaiting]);
        waits.push_back(std::move(wait));
    }
    addWaitsOfUnlistedRuns(waits, now, minWait);
    std::ranges::sort(waits, [](const StepWait& a, const StepWait& b) {
        return std::tie(b.longestWait, a.job, a.step) < std::tie(a.longestWait, b.job, b.step);
    });
    moveLongestOfEachKindToFront(waits);
    // Each long-running task that has to run again is named, whatever else waits.
    constexpr size_t restartsPerCount { 4 };
    auto other = std::find_if(waits.begin() + static_cast<std::ptrdiff_t>(std::min(waits.size(), maxCount)),
        waits.end(), [](const StepWait& it) { return !it.longRunning || !it.hasRun; });
    auto count = static_cast<size_t>(std::distance(waits.begin(), other));
    waits.resize(std::min(count, std::max(maxCount, restartsPerCount * maxCount)));
    for (auto& wait : waits)
        addCrashedRuns(wait);
    return waits;
}

/// Otherwise the waits of best-effort tasks, which may last as long as a worker is busy, would hide all others. The
/// long-running tasks that ran before come next, because they have to run again within seconds.
void TaskScheduler::moveLongestOfEachKindToFront(std::vector<StepWait>& waits) const
{
    std::set<std::tuple<bool, bool, PlacementDelay, SuspectDelay>> kinds;
    auto others = std::stable_partition(waits.begin(), waits.end(), [&](const StepWait& wait) {
        const auto& spec = m_jobs.at(wait.job)->spec.steps[wait.step];
        return kinds.emplace(spec.longRunning, spec.bestEffort, wait.reason, wait.suspectDelay).second;
    });
    std::stable_partition(others, waits.end(), [](const StepWait& wait) { return wait.longRunning && wait.hasRun; });
}

void TaskScheduler::addCrashedRuns(StepWait& wait) const
{
    if (wait.reason != PlacementDelay::CrashSuspicion)
        return;
    const auto& job = *m_jobs.at(wait.job);
    auto key = crashKey(job, { wait.job, wait.occurrence, wait.step, wait.longestWaiting });
    std::ranges::copy_if(job.crashes.runs(), std::back_inserter(wait.crashedRuns),
        [&](const CrashedRun& it) { return taskOf(job, it) == key; });
    wait.coincidence = job.crashes.coincidence(key, otherCrashRate(job, key), expectedRunTime(job, key));
}

std::map<PlacementDelay, Milliseconds> TaskScheduler::oldestWaits(Instant now) const
{
    std::map<PlacementDelay, Milliseconds> oldest;
    for (const auto& wait : stepWaits(now, Milliseconds { 0 }, std::numeric_limits<size_t>::max())) {
        auto& longest = oldest[wait.reason];
        longest = std::max(longest, wait.longestWait);
    }
    return oldest;
}

/// A task with a run is not in a queue, although the run may never have started or may have ended.
void TaskScheduler::addWaitsOfUnlistedRuns(std::vector<StepWait>& waits, Instant now, Milliseconds minWait) const
{
    std::map<std::tuple<JobId, uint32_t, uint32_t>, StepWait> unlisted;
    for (const auto& [handle, worker] : m_workers) {
        for (const auto& [key, active] : worker->runs) {
            const auto& [ref, number] = key;
            const auto* run = findRun(*active.task, number);
            if (!run || active.job->hasEnded())
                continue;
            auto time = now - std::max(run->startedAt, run->reportedAt);
            if (time < minWait)
                continue;
            auto& wait
                = unlisted
                      .try_emplace({ ref.job, ref.occurrence, ref.step }, waitOf(*active.job, ref.occurrence, ref.step))
                      .first->second;
            wait.reason = PlacementDelay::UnlistedRun;
            if (time > wait.longestWait)
                wait.worker = handle;
            addTask(wait, ref.index, time);
            bool waitsForRecord = run->suspected && run->phase == RunPhase::Starting
                && !active.job->storedCrashes.find(crashKey(*active.job, ref), number);
            if (waitsForRecord)
                wait.suspectDelay = SuspectDelay::RecordsNotStored;
        }
    }
    for (auto& [key, wait] : unlisted)
        waits.push_back(std::move(wait));
}

int64_t TaskScheduler::idleCpuMillis() const
{
    int64_t idle = 0;
    for (const auto& [handle, worker] : m_workers) {
        if (isUsable(*worker, m_latestEventAt))
            idle += std::max<int64_t>(0, worker->freeBestEffortMillis());
    }
    return idle;
}

WorkerUse TaskScheduler::workerUse() const
{
    WorkerUse use;
    // The candidates of the latest plan may have been removed since.
    for (const auto& [handle, worker] : m_workers) {
        if (!isUsable(*worker, m_latestEventAt))
            continue;
        ++use.usable;
        bool isHeld = worker->isHeldForIsolation(m_latestEventAt);
        use.isolated += isHeld ? 1 : 0;
        auto free = std::max<int64_t>(0, worker->freeResources().cpuMillis);
        if (m_reservations.find(handle)) {
            ++use.reserved;
            use.reservedFreeMillis += free;
        }
        if (isHeld)
            use.heldFreeMillis += free;
        else
            use.largestFreeMillis = std::max(use.largestFreeMillis, free);
    }
    return use;
}

std::optional<ServingMargin> TaskScheduler::bestServingMargin(const StepWait& wait) const
{
    const auto& job = *m_jobs.at(wait.job);
    ReadyStep ready { .occurrence = wait.occurrence, .step = wait.step };
    auto search = prepareSearch(job, ready, {}, m_latestEventAt, PlacementMode::Shared);
    if (!search || !search->spec.bestEffort)
        return std::nullopt;
    std::optional<ServingMargin> best;
    for (const auto& [handle, worker] : m_workers) {
        if (worker->view.service != search->service || !isUsable(*worker, m_latestEventAt)
            || !hasRoom(*search, *worker))
            continue;
        auto margin = limitingMargin(*worker, search->spec, search->image);
        if (!margin)
            return std::nullopt;
        if (!best || margin->share() > best->share())
            best = margin;
    }
    return best;
}

size_t TaskScheduler::countJobsWithoutRun(Instant now, Milliseconds minWait) const
{
    std::set<const TrackedJob*> idle;
    for (const auto& [order, ready] : m_readySteps) {
        const auto& step = ready.job->occurrences[ready.occurrence].steps[ready.step];
        if (ready.job->hasEnded() || ready.job->activeRuns > 0 || step.waiting.empty())
            continue;
        auto since = step.tasks[step.waiting.front()].waitingSince;
        if (since != neverInstant && now - since >= minWait)
            idle.insert(ready.job);
    }
    return idle.size();
}

WorkerRefusals TaskScheduler::refusalsOf(const StepWait& wait) const
{
    WorkerRefusals refusals;
    const auto& job = *m_jobs.at(wait.job);
    ReadyStep ready { .occurrence = wait.occurrence, .step = wait.step };
    auto search = prepareSearch(job, ready, {}, m_latestEventAt, PlacementMode::Shared);
    if (!search)
        return refusals;
    const auto& task = job.occurrences[wait.occurrence].steps[wait.step].tasks[wait.longestWaiting];
    // The candidates of the latest plan may have been removed since.
    for (const auto& [handle, worker] : m_workers) {
        if (worker->view.service != search->service || !isUsable(*worker, m_latestEventAt))
            continue;
        auto siblings = search->siblingRuns.find(handle);
        if (!search->size.fitsIn(worker->freeResources() + worker->bestEffortSize())) {
            ++refusals.noRoom;
            refusals.noExpectedRoom += worker->expectedRoom(search->now).timeUntil(search->size) ? 0 : 1;
        } else if (!search->size.fitsIn(worker->freeResources()))
            ++refusals.behindBestEffort;
        else if (!hasRoom(*search, *worker))
            ++refusals.notIdle;
        else if (worker->isHeldForIsolation(search->now))
            ++(isHeldByPreference(*worker) ? refusals.heldByPreference : refusals.held);
        else if (m_reservations.excludes(handle, std::get<0>(search->ready.key)))
            ++refusals.reserved;
        else if (!isAllowed(*search, task, *worker, siblings == search->siblingRuns.end() ? 0 : siblings->second))
            ++refusals.constraint;
        else if (!scoreOf(*search, task, *worker))
            ++refusals.servingPressure;
    }
    return refusals;
}

}
