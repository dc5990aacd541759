#include <LibCore/Logger.h>
#include <LibNode/TaskLeader.h>

namespace Bergamot {

/// A worker that has not replied within this time is stored as unreached. A usual take-over reaches all workers sooner
/// and stores none.
static constexpr Milliseconds silenceUntilStored { 800 };

/// The stored unreached workers, with the epochs since which they are unreached. Empty unless the leader directly
/// before this one has written the record: another leader in between may have renewed leases, and this node must know
/// of all elections to tell.
std::map<WorkerIncarnation, uint64_t> TaskLeader::reliableUnreachedWorkers() const
{
    std::map<WorkerIncarnation, uint64_t> unreached;
    if (m_options.elections.predecessorOf(m_options.epoch) != m_storedUnreachedWorkers.epoch)
        return unreached;
    for (const auto& it : m_storedUnreachedWorkers.workers)
        unreached.emplace(it.worker, it.sinceEpoch);
    return unreached;
}

void TaskLeader::markUnreachedWorkers()
{
    size_t marked = 0;
    for (auto& [handle, worker] : m_workers) {
        if (worker.unreachedSinceEpoch > 0 || worker.isReturning || !worker.session->isUnreachedFor(silenceUntilStored))
            continue;
        worker.unreachedSinceEpoch = m_options.epoch;
        ++marked;
    }
    if (marked == 0)
        return;
    logInfo("workers_unreached", { { "epoch", m_options.epoch }, { "workers", marked } });
    m_unreachedWorkersChanged = true;
    m_journal.requestFlush();
}

void TaskLeader::workerReached(Worker& worker)
{
    if (worker.unreachedSinceEpoch == 0 || worker.session->isUnreached())
        return;
    worker.unreachedSinceEpoch = 0;
    if (!worker.session->withholdsLease())
        return;
    m_unreachedWorkersChanged = true;
    m_journal.requestFlush();
}

/// From here on the record may be stored, so the leases of its workers are withheld.
UnreachedWorkers TaskLeader::collectUnreachedWorkers()
{
    UnreachedWorkers unreached { .epoch = m_options.epoch };
    ++m_unreachedRecords;
    for (auto& [handle, worker] : m_workers) {
        // A worker that has replied may have been granted a lease, whatever it replied to.
        if (!worker.session->isUnreached())
            worker.unreachedSinceEpoch = 0;
        if (worker.unreachedSinceEpoch == 0)
            continue;
        unreached.workers.push_back({ .worker = worker.incarnation, .sinceEpoch = worker.unreachedSinceEpoch });
        worker.session->withholdLease();
        worker.firstRecordWithout = m_unreachedRecords + 1;
    }
    return unreached;
}

/// The stored record is the newest one collected, because the journal sends one batch at a time.
void TaskLeader::handleUnreachedWorkersStored()
{
    for (auto& [handle, worker] : m_workers) {
        if (!worker.session->withholdsLease() || m_unreachedRecords < worker.firstRecordWithout)
            continue;
        worker.session->allowLease();
        updateWorkerInScheduler(handle);
    }
    schedulePlan();
}

}
