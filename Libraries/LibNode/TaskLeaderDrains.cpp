#include <LibNode/TaskLeader.h>
#include <algorithm>
#include <limits>
#include <utility>

// Asks workers that drain for their run ends in time, and stops counting them as assigned once nothing runs there.

namespace Bergamot {

/// Many workers that leave at once are asked less often, with the CPU that the leader spends on reports in mind.
Milliseconds TaskLeader::leavingReportIntervalFor(size_t leavingWorkers)
{
    return std::clamp(reportIntervalFor(leavingWorkers), WorkerSession::defaultLeavingReportInterval,
        WorkerSession::defaultUnacknowledgedWait);
}

bool TaskLeader::isLeaving(const Worker& worker) { return worker.announcement && worker.announcement->view.draining; }

void TaskLeader::updateLeavingReportInterval()
{
    auto leaving = std::ranges::count_if(m_workers, [](const auto& it) { return isLeaving(it.second); });
    m_leavingReportInterval = leavingReportIntervalFor(static_cast<size_t>(leaving));
}

void TaskLeader::assignRetiredWorker(Worker& worker)
{
    if (!std::exchange(worker.isRetired, false))
        return;
    worker.firstAssignedRecord = m_assignedRecords + 1;
    m_assignedWorkersChanged = true;
    m_journal.requestFlush();
}

/// Takes a worker that drains out of the stored assigned workers once nothing runs there. Otherwise a successor that is
/// elected after the worker has left waits for its lease.
void TaskLeader::retireIfDrained(WorkerHandle handle)
{
    auto& worker = m_workers.at(handle);
    if (worker.isRetired || !worker.isStored || !isLeaving(worker) || !worker.session->isIdle()
        || worker.session->mayHoldMisdirectedLease() || m_scheduler.hasRuns(handle))
        return;
    worker.isRetired = true;
    worker.isStored = false;
    // No record that is collected already may make the worker count as stored again.
    worker.firstAssignedRecord = std::numeric_limits<uint64_t>::max();
    m_assignedWorkersChanged = true;
    m_journal.requestFlush();
}

}
