#include <LibCore/Logger.h>
#include <LibHttp/EventLoop.h>
#include <LibNode/TaskLeader.h>
#include <algorithm>

namespace Bergamot {

/// A worker that has not replied within this time is stored as unreached. A usual take-over reaches all workers sooner
/// and stores none.
static constexpr Milliseconds silenceUntilStored { 800 };

/// If half of the workers are reached within this time after the election, leases from an earlier leader end within the
/// wait that counts from the election.
static constexpr Milliseconds maxTimeToReachHalf { 1200 };

/// Time until an earlier leader without proof of its leadership is rejected by a worker that this leader has reached,
/// and until the leases that it has granted by then expire: a report of a second, and a lease of 3 s by the slowest
/// clock.
static constexpr Milliseconds maxUnconfirmedRenewalTime { 4250 };

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
    updateEarlierRenewals();
    size_t marked = 0;
    for (auto& [handle, worker] : m_workers) {
        if (worker.unreachedSinceEpoch > 0 || worker.isReturning || !worker.session->isUnreachedFor(silenceUntilStored))
            continue;
        if (hasReachedHalfLate() && mayObeyEarlierLeader(worker))
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

void TaskLeader::handleUnreachedWorkersStored(uint64_t record)
{
    for (auto& [handle, worker] : m_workers) {
        if (!worker.session->withholdsLease() || record < worker.firstRecordWithout)
            continue;
        worker.session->allowLease();
        updateWorkerInScheduler(handle);
    }
    schedulePlan();
}

bool TaskLeader::hasReachedHalfOfEarlierWorkers() const
{
    size_t workers = 0;
    size_t reached = 0;
    for (const auto& [handle, worker] : m_workers) {
        workers += worker.isFromEarlierLeader ? 1 : 0;
        reached += worker.isFromEarlierLeader && !worker.session->isUnreached() ? 1 : 0;
    }
    return 2 * reached >= workers;
}

void TaskLeader::updateEarlierRenewals()
{
    if (m_earlierRenewalsEndBy != Instant::max() || !hasReachedHalfOfEarlierWorkers())
        return;
    auto now = m_loop.now();
    m_earlierRenewalsEndBy = now - m_electedAt <= maxTimeToReachHalf ? neverInstant : now + maxUnconfirmedRenewalTime;
    if (!hasReachedHalfLate())
        return;
    // An earlier leader may have renewed the leases of these workers since the election of this one.
    for (auto& [handle, worker] : m_workers) {
        if (worker.unreachedSinceEpoch == 0 || !mayObeyEarlierLeader(worker))
            continue;
        worker.unreachedSinceEpoch = 0;
        m_unreachedWorkersChanged = true;
    }
    m_journal.requestFlush();
}

bool TaskLeader::hasReachedHalfLate() const
{
    return m_earlierRenewalsEndBy != neverInstant && m_earlierRenewalsEndBy != Instant::max();
}

/// Whether the worker may obey an earlier leader that is cut off from the store. A worker that announces itself runs;
/// one that is silent has most likely ended.
bool TaskLeader::mayObeyEarlierLeader(const Worker& worker) const
{
    if (!m_options.hasPredecessor || !worker.isFromEarlierLeader)
        return false;
    return !m_workerReader->hasLoaded() || m_listedWorkers.contains(worker.incarnation.id);
}

/// Whether an earlier leader may still renew the worker's lease, which must then not be taken as expired. Such a leader
/// renews while most workers reply to it, until one of them has been reached by this leader and rejects it.
bool TaskLeader::mayEarlierLeaderRenew(const Worker& worker) const
{
    auto mayRenewUntil = m_isUnreachedRecordDoubtful ? std::max(m_earlierRenewalsEndBy, m_earlierLeasesExpireAt)
                                                     : m_earlierRenewalsEndBy;
    return m_loop.now() < mayRenewUntil && mayObeyEarlierLeader(worker);
}

bool TaskLeader::mayEarlierLeaderRenewAny() const
{
    if (m_isReconciled || m_loop.now() >= m_earlierRenewalsEndBy)
        return false;
    return std::ranges::any_of(m_workers,
        [this](const auto& it) { return it.second.session->isUnreached() && mayEarlierLeaderRenew(it.second); });
}

TaskScheduler::StartPermission TaskLeader::startPermission() const
{
    return { .mayStart = canStart(),
        .knownBy = m_options.soleLeaderUntil(),
        .mayUnblock = m_loop.now() < m_earlierLeasesExpireAt || !mayEarlierLeaderRenewAny() };
}

}
