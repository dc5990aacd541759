#include <LibDecision/BatchSchedulerImpl.h>
#include <fmt/format.h>
#include <utility>

namespace Bergamot {

/// A service is never given up, because its replicas have to run.
bool BatchScheduler::Impl::giveUpAfterCrashes(JobIndex index)
{
    // With other tasks on the worker, it is less certain that the job caused the crash.
    constexpr uint32_t maxCrashesAlone { 2 };
    constexpr uint32_t maxCrashes { 3 };
    const auto& job = m_state.jobs[index];
    if (job.view.isService || (job.crashesAlone < maxCrashesAlone && job.crashes < maxCrashes))
        return false;
    markFailed(index,
        fmt::format(
            "{} workers crashed while it ran there, {} of them without another task", job.crashes, job.crashesAlone));
    return true;
}

/// A job that an earlier leader had to give up may be submitted as placed, so this waits for the first tick.
void BatchScheduler::Impl::giveUpSubmittedJobs()
{
    for (auto index : std::exchange(m_submittedWithCrashes, {})) {
        if (m_state.jobs[index].state == SchedulerJobState::Pending && giveUpAfterCrashes(index))
            dequeue(index);
    }
}

}
