#include <LibDecision/TaskScheduler.h>
#include <algorithm>
#include <utility>

// Decides which starts are recorded as possible crashes before they are sent, so that the crash is counted even if the
// leader fails before it notices it.

namespace Bergamot {

/// A silent worker is found unreachable seconds after its crash. So a crash that was noticed within this time of a
/// start may have happened directly after it.
static constexpr Milliseconds maxTimeToNotice { 4000 };

void TaskScheduler::inheritedWorkerLost() { m_hasLostInheritedWorker = true; }

/// Marks the steps that wait now. Those that become ready later had no run on the lost worker.
void TaskScheduler::markPossiblyLostSteps()
{
    if (!std::exchange(m_hasLostInheritedWorker, false))
        return;
    for (const auto& [order, ready] : m_readySteps) {
        auto& job = *ready.job;
        if (!job.isInherited)
            continue;
        auto& step = job.occurrences[ready.occurrence].steps[ready.step];
        step.mayHaveLostRuns = true;
        if (job.crashes.isEmpty())
            continue;
        for (auto index : step.waiting) {
            TaskRef ref { job.spec.id, ready.occurrence, ready.step, index };
            auto& task = crashTaskOf(job, ref);
            task.areEarlierCrashesRecorded
                = task.areEarlierCrashesRecorded || mustRecordEachStart(job, crashKey(job, ref));
        }
    }
}

bool TaskScheduler::mayHaveCrashedAtStart(const TrackedJob& job, const TaskRef& key)
{
    return std::ranges::any_of(job.crashes.runs(), [&](const CrashedRun& it) {
        bool isOfTask = it.occurrence == key.occurrence && it.step == key.step && it.index == key.index;
        return isOfTask && Milliseconds { it.runTimeMs } <= maxTimeToNotice;
    });
}

/// Whether an earlier leader may have left a crash under the task unrecorded.
bool TaskScheduler::mayHaveLostRuns(const TrackedJob& job, const TaskRef& key)
{
    return job.occurrences[key.occurrence].steps[key.step].mayHaveLostRuns;
}

/// What an earlier leader knew of unrecorded crashes is stored with the crashes that followed them.
size_t TaskScheduler::maxUnrecordedCrashesOf(const TrackedJob& job, const TaskRef& key)
{
    const auto& task = job.occurrences[key.occurrence].steps[key.step].tasks[key.index];
    bool mayHaveLostCrash = mayHaveLostRuns(job, key) && !task.areEarlierCrashesRecorded;
    return mayHaveLostCrash || task.hasExcusedCrash || job.crashes.mayFollowUnrecordedCrash(key) ? 1 : 0;
}

/// Whether the crashes that are stored with the job require a record of each further start.
bool TaskScheduler::mustRecordEachStart(const TrackedJob& job, const TaskRef& key)
{
    return job.crashes.isSuspected(key) || mayHaveCrashedAtStart(job, key);
}

/// Whether a start, which is among the starts of the task already, has to be recorded before it is sent.
bool TaskScheduler::mustRecordStart(const TrackedJob& job, const TaskRef& ref, const TrackedTask& task)
{
    auto key = crashKey(job, ref);
    if (mustRecordEachStart(job, key))
        return true;
    bool isFirstStart = task.starts == 1;
    return isFirstStart && mayHaveLostRuns(job, ref);
}

}
