#include <LibDecision/TaskScheduler.h>
#include <LibDecision/TaskWorkerEntry.h>
#include <algorithm>
#include <numeric>

namespace Bergamot {

// The tasks of a gang work only while all of them are there, under one run number. They are placed all or none, end
// together, and start again together once every run of the last attempt is over.

static bool canStart(const TrackedTask& task, Instant now)
{
    return !task.done && task.runs.empty() && task.blockedUntil <= now;
}

/// Lets workers be looked for for all members, when no run of the gang is left.
void TaskScheduler::requeueGang(TrackedJob& job, const TaskRef& ref)
{
    auto& step = job.occurrences[ref.occurrence].steps[ref.step];
    bool allEnded = std::ranges::all_of(step.tasks, [](const TrackedTask& it) { return it.runs.empty() && !it.done; });
    if (!allEnded)
        return;
    // After a takeover, members that no worker had listed may be waiting already.
    if (step.waiting.empty())
        enqueue(job, { ref.job, ref.occurrence, ref.step, 0 });
    step.waiting.resize(step.tasks.size());
    std::iota(step.waiting.begin(), step.waiting.end(), 0U);
}

/// Returns false when the gang may start but finds no room.
bool TaskScheduler::placeGang(const ReadyStep& ready, Instant now)
{
    auto& step = ready.job->occurrences[ready.occurrence].steps[ready.step];
    if (!std::ranges::all_of(step.tasks, [&](const TrackedTask& it) { return canStart(it, now); }))
        return true;
    const auto& spec = ready.job->spec.steps[ready.step];
    if (spec.prefersSameRack) {
        for (const auto& rack : racksWithCapacity(*ready.job, spec)) {
            if (startGang(ready, rack, now))
                return true;
        }
    }
    // Spread over several racks it runs slower, but it does not wait for the only rack that is large enough.
    return startGang(ready, {}, now);
}

/// Racks whose free processors and memory together hold all members, the fullest first.
std::vector<std::string> TaskScheduler::racksWithCapacity(const TrackedJob& job, const StepSpec& spec) const
{
    std::map<std::string, Resources> room;
    if (auto it = m_candidates.find(policyOf(job).service); it != m_candidates.end()) {
        for (const auto* worker : it->second)
            room[worker->view.rack] = room[worker->view.rack] + worker->freeResources();
    }
    std::vector<std::pair<int64_t, std::string>> racks;
    for (const auto& [rack, free] : room) {
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

bool TaskScheduler::startGang(const ReadyStep& ready, const std::string& rack, Instant now)
{
    auto& step = ready.job->occurrences[ready.occurrence].steps[ready.step];
    auto actionsBefore = m_actions.size();
    // All members carry the same run number, which is higher than any that one of them has had.
    uint32_t starts = 0;
    for (const auto& task : step.tasks)
        starts = std::max(starts, task.starts);
    for (uint32_t i = 0; i < step.tasks.size(); ++i) {
        auto& task = step.tasks[i];
        task.starts = starts;
        auto* worker = chooseWorker(*ready.job, ready, task, rack, now);
        if (!worker) {
            undoStarts(ready, i, actionsBefore);
            return false;
        }
        startRun(*worker, ready, i, now);
    }
    step.waiting.clear();
    return true;
}

/// Takes back the starts of the first members, which have not been sent.
void TaskScheduler::undoStarts(const ReadyStep& ready, uint32_t members, size_t actionsBefore)
{
    auto& job = *ready.job;
    for (uint32_t i = 0; i < members; ++i) {
        auto& task = job.occurrences[ready.occurrence].steps[ready.step].tasks[i];
        TaskRef ref { job.spec.id, ready.occurrence, ready.step, i };
        const auto& run = task.runs.back();
        release(run.worker, job, ref, run.run);
        if (!job.spec.steps[ready.step].bestEffort)
            m_freeCpuMillis += job.spec.steps[ready.step].size.cpuMillis;
        task.runs.pop_back();
    }
    m_actions.resize(actionsBefore);
}

/// All members end together, and one listed end stands for all.
void TaskScheduler::completeGang(TrackedJob& job, const TaskRef& ref)
{
    auto& step = job.occurrences[ref.occurrence].steps[ref.step];
    step.waiting.clear();
    for (auto& task : step.tasks) {
        task.done = true;
        task.checkpoint.clear();
    }
    step.remainingTasks = 0;
    markChanged(job);
    completeStep(job, ref.occurrence, ref.step);
}

/// The members that are left cannot go on, and the gang starts again when all of them are over.
void TaskScheduler::breakGang(TrackedJob& job, const TaskRef& ref)
{
    auto& step = job.occurrences[ref.occurrence].steps[ref.step];
    for (uint32_t i = 0; i < step.tasks.size(); ++i)
        stopOtherRuns({ ref.job, ref.occurrence, ref.step, i }, step.tasks[i]);
    requeueGang(job, ref);
}

/// A value of any member is valid for all, and all have to carry the same.
void TaskScheduler::shareCheckpoint(TrackedJob& job, const TaskRef& ref, const std::string& checkpoint)
{
    for (auto& task : job.occurrences[ref.occurrence].steps[ref.step].tasks)
        task.checkpoint = checkpoint;
}

}
