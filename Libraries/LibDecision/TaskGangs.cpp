#include <LibDecision/TaskScheduler.h>
#include <LibDecision/TaskWorkerEntry.h>
#include <algorithm>
#include <numeric>

namespace Bergamot {

// The tasks of a gang make progress only while all of them run, under one run number. They are placed all or none, end
// together, and restart together once every run of the previous attempt has ended.

/// Why the gang must not start yet; None if all members can start.
PlacementDelay TaskScheduler::delayOfGang(const TrackedStep& step, Instant now) const
{
    if (step.tasks.anyOf([](const TrackedTask& it) { return it.done || !it.runs.empty(); }))
        return PlacementDelay::GangMember;
    if (step.tasks.anyOf([&](const TrackedTask& it) { return isBlocked(it, now); }))
        return PlacementDelay::EarlierLeader;
    return PlacementDelay::None;
}

/// Queues all members for placement once no run of the gang is left.
void TaskScheduler::requeueGang(TrackedJob& job, const TaskRef& ref)
{
    auto& step = job.occurrences[ref.occurrence].steps[ref.step];
    if (step.tasks.anyOf([](const TrackedTask& it) { return !it.runs.empty() || it.done; }))
        return;
    // After a takeover, members that no worker has listed may be queued already.
    if (step.waiting.empty())
        enqueue(job, { ref.job, ref.occurrence, ref.step, 0 });
    step.waiting.resize(step.tasks.size());
    std::iota(step.waiting.begin(), step.waiting.end(), 0U);
}

/// Returns false when the gang is ready to start but the workers lack capacity for it.
bool TaskScheduler::placeGang(const ReadyStep& ready, Instant now)
{
    auto& step = ready.job->occurrences[ready.occurrence].steps[ready.step];
    step.delay = delayOfGang(step, now);
    if (step.delay != PlacementDelay::None)
        return true;
    const auto& spec = ready.job->spec.steps[ready.step];
    TaskRef ref { ready.job->spec.id, ready.occurrence, ready.step, 0 };
    auto isolation = isolationOf(*ready.job, ref);
    if (isolation != RunIsolation::None) {
        step.delay = PlacementDelay::CrashSuspicion;
        step.suspectDelay = delayOfSuspect(*ready.job, ref, step.tasks[0], now);
        if (step.suspectDelay != SuspectDelay::None)
            return true;
        // Gangs that have to run isolated were placed before all other tasks.
        if (isolation == RunIsolation::Required) {
            step.suspectDelay = placementDelayOfSuspect(*ready.job, spec.count);
            return true;
        }
        if (placeGangIsolated(ready, isolation, now))
            return true;
    }
    step.delay = PlacementDelay::NoWorker;
    if (spec.prefersSameRack) {
        for (const auto& rack : racksWithCapacity(*ready.job, spec)) {
            if (startGang(ready, rack, now, PlacementMode::Shared))
                return true;
        }
    }
    // A gang that is spread over several racks runs slower, but does not have to wait for the only rack that is large
    // enough.
    return startGang(ready, {}, now, PlacementMode::Shared);
}

/// Starts the suspected gang isolated if possible. Returns false if it has to wait or may start like other gangs.
bool TaskScheduler::placeGangIsolated(const ReadyStep& ready, RunIsolation isolation, Instant now)
{
    if (!maySearchIsolated() || !hasIsolationSlots(*ready.job, ready.job->spec.steps[ready.step].count, isolation))
        return false;
    if (startGang(ready, {}, now, PlacementMode::Isolated)) {
        ready.job->occurrences[ready.occurrence].steps[ready.step].tasks.forEachInMemory(
            [&](uint32_t, TrackedTask& it) {
                it.runs.back().isolatedByPreference = isolation == RunIsolation::Preferred;
            });
        return true;
    }
    ++m_failedSearches;
    if (isolation == RunIsolation::Required)
        holdForGang(ready, now);
    return false;
}

/// Returns the racks whose total free processors and memory suffice for all members: the rack of the input data first,
/// then those with the fewest free processors.
std::vector<std::string> TaskScheduler::racksWithCapacity(const TrackedJob& job, const StepSpec& spec) const
{
    std::map<std::string, Resources> freeByRack;
    if (auto it = m_candidates.find(policyOf(job).service); it != m_candidates.end()) {
        for (const auto* worker : it->second) {
            if (!worker->isOverFull())
                freeByRack[worker->view.rack] = freeByRack[worker->view.rack] + worker->freeResources();
        }
    }
    std::vector<std::pair<int64_t, std::string>> racks;
    for (const auto& [rack, free] : freeByRack) {
        bool cpuFits = spec.bestEffort || free.cpuMillis >= spec.size.cpuMillis * spec.count;
        if (!rack.empty() && cpuFits && free.memoryMb >= spec.size.memoryMb * spec.count)
            racks.emplace_back(rack == spec.dataRack ? 0 : free.cpuMillis, rack);
    }
    std::ranges::sort(racks);
    std::vector<std::string> names;
    names.reserve(racks.size());
    for (auto& [free, rack] : racks)
        names.push_back(std::move(rack));
    return names;
}

bool TaskScheduler::startGang(const ReadyStep& ready, const std::string& rack, Instant now, PlacementMode mode)
{
    auto& step = ready.job->occurrences[ready.occurrence].steps[ready.step];
    auto actionsBefore = m_actions.size();
    // All members get the same run number, which is higher than any earlier run number of a member.
    uint32_t starts = 0;
    step.tasks.forEachInMemory([&](uint32_t, const TrackedTask& it) { starts = std::max(starts, it.starts); });
    for (uint32_t i = 0; i < step.tasks.size(); ++i) {
        auto& task = step.tasks.edit(i);
        task.starts = starts;
        auto* worker = chooseWorker(*ready.job, ready, task, rack, now, mode);
        if (!worker) {
            undoStarts(ready, i, actionsBefore);
            return false;
        }
        startRun(*worker, ready, i, now, mode);
    }
    step.waiting.clear();
    return true;
}

/// Holds as many workers as the members need. The members get reservations meanwhile, so that a worker is held for as
/// many of them as it has resources for.
void TaskScheduler::holdForGang(const ReadyStep& ready, Instant now)
{
    const auto& spec = ready.job->spec.steps[ready.step];
    std::vector<std::pair<WorkerEntry*, Resources>> reserved;
    std::map<WorkerHandle, uint32_t> members;
    const auto& tasks = ready.job->occurrences[ready.occurrence].steps[ready.step].tasks;
    for (uint32_t i = 0; i < tasks.size(); ++i) {
        auto* worker = holdForIsolation(ready, tasks[i], now);
        if (!worker)
            break;
        bool isFull = spec.maxPerWorker > 0 && ++members[worker->handle] >= spec.maxPerWorker;
        reserved.emplace_back(worker, isFull ? worker->view.capacity : reservedSize(spec));
        worker->reserved = worker->reserved + reserved.back().second;
    }
    for (const auto& [worker, size] : reserved)
        worker->reserved = worker->reserved - size;
}

/// Reverts the starts of the first `members` members, whose start commands have not been sent.
void TaskScheduler::undoStarts(const ReadyStep& ready, uint32_t members, size_t actionsBefore)
{
    auto& job = *ready.job;
    for (uint32_t i = 0; i < members; ++i) {
        auto& task = job.occurrences[ready.occurrence].steps[ready.step].tasks.edit(i);
        TaskRef ref { job.spec.id, ready.occurrence, ready.step, i };
        const auto& run = task.runs.back();
        release(run.worker, job, ref, run.run);
        if (!job.spec.steps[ready.step].bestEffort)
            m_freeCpuMillis += job.spec.steps[ready.step].size.cpuMillis;
        std::erase_if(m_suspectedStarts, [&](const StartTask& it) { return it.task == ref && it.run == run.run; });
        withdrawCrash(job, ref, run.run);
        task.runs.pop_back();
    }
    m_actions.resize(actionsBefore);
    m_sizesWithoutRoom = {};
}

/// Completes all members: they end together, so one reported end is enough.
void TaskScheduler::completeGang(TrackedJob& job, const TaskRef& ref)
{
    auto& step = job.occurrences[ref.occurrence].steps[ref.step];
    step.waiting.clear();
    for (uint32_t i = 0; i < step.tasks.size(); ++i)
        step.tasks.markDone(i);
    step.tasks.forEachInMemory([](uint32_t, TrackedTask& it) { it.checkpoint.clear(); });
    step.remainingTasks = 0;
    markChanged(job);
    completeStep(job, ref.occurrence, ref.step);
}

/// Stops the remaining members, which cannot continue alone. The gang restarts once all of its runs have ended.
void TaskScheduler::breakGang(TrackedJob& job, const TaskRef& ref)
{
    auto& step = job.occurrences[ref.occurrence].steps[ref.step];
    step.tasks.forEachInMemory([&](uint32_t i, TrackedTask& it) {
        stopActiveRuns({ ref.job, ref.occurrence, ref.step, i }, it, StopReason::GangBroken);
    });
    requeueGang(job, ref);
}

/// Sets the checkpoint of all members: the checkpoint of any member is valid for the gang, and all members have to
/// restart from the same one.
void TaskScheduler::shareCheckpoint(TrackedJob& job, const TaskRef& ref, const std::string& checkpoint)
{
    auto& tasks = job.occurrences[ref.occurrence].steps[ref.step].tasks;
    tasks.initial().checkpoint = checkpoint;
    tasks.forEachInMemory([&](uint32_t, TrackedTask& it) { it.checkpoint = checkpoint; });
}

}
