#include <LibDecision/TaskScheduler.h>
#include <utility>

// Decides which starts are recorded as possible crashes before they are sent, so that the crash is counted even if the
// leader fails before it notices it.

namespace Bergamot {

void TaskScheduler::inheritedWorkerLost() { m_hasLostInheritedWorker = true; }

/// Marks the steps that wait now. Those that become ready later had no run on the lost worker.
void TaskScheduler::markPossiblyLostSteps()
{
    if (!std::exchange(m_hasLostInheritedWorker, false))
        return;
    for (const auto& [key, ready] : m_readySteps) {
        if (ready.job->isInherited)
            ready.job->occurrences[ready.occurrence].steps[ready.step].mayHaveLostRuns = true;
    }
}

/// Whether a start, which is among the starts of the task already, has to be recorded before it is sent.
bool TaskScheduler::mustRecordStart(const TrackedJob& job, const TaskRef& ref, const TrackedTask& task)
{
    auto key = crashKey(job, ref);
    if (job.crashes.isSuspected(key))
        return true;
    bool isFirstStart = task.starts == 1;
    return isFirstStart && job.occurrences[ref.occurrence].steps[ref.step].mayHaveLostRuns;
}

}
