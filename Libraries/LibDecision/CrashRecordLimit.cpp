#include <LibDecision/CrashRecordLimit.h>
#include <LibDecision/ReadyStep.h>
#include <LibDecision/TrackedJob.h>

namespace Bergamot {

bool CrashRecordLimit::isReached(const CrashHistory& crashes) { return crashes.runs().size() >= maxRecordsOfJob; }

CrashRecordLimit::CrashRecordLimit(const ReadyStep& ready)
    : m_ready(ready)
{
}

bool CrashRecordLimit::holdsBack(uint32_t index)
{
    const auto& job = *m_ready.job;
    if (!isReached(job.crashes))
        return false;
    const auto& step = job.occurrences.find(m_ready.occurrence)->steps[m_ready.step];
    if (!step.mayHaveLostRuns || step.tasks[index].starts > 0)
        return false;
    if (!m_tasksWithRecords)
        m_tasksWithRecords = tasksWithRecords();
    return !m_tasksWithRecords->contains(index);
}

std::set<uint32_t> CrashRecordLimit::tasksWithRecords() const
{
    std::set<uint32_t> tasks;
    for (const auto& it : m_ready.job->crashes.runs()) {
        if (it.occurrence == m_ready.occurrence && it.step == m_ready.step)
            tasks.insert(it.index);
    }
    return tasks;
}

}
