#include <LibCore/Logger.h>
#include <LibHttp/EventLoop.h>
#include <LibNode/TaskLeader.h>
#include <algorithm>
#include <chrono>
#include <map>
#include <set>

// Decides which leases this leader may renew, and which ones an earlier leader may still renew.

namespace Bergamot {

/// A worker that has not replied within this time is stored as unreached.
static constexpr Milliseconds silenceUntilStored { 800 };

/// Least time between two records of unreached workers while some are still unreached.
static constexpr Milliseconds unreachedRecordInterval { 100 };

/// If half of the workers are reached within this time after the election, leases from an earlier leader end within the
/// wait that counts from the election.
static constexpr Milliseconds maxTimeToReachHalf { 1200 };

/// Time until an earlier leader without proof of its leadership is rejected by a worker that this leader has reached,
/// and until the leases that it has granted by then expire: a report of a second that is read 0.5 s late, and a lease
/// of 3 s by the slowest clock.
static constexpr Milliseconds maxUnconfirmedRenewalTime { 4750 };

/// The stored unreached workers, with the epochs since which they are unreached. Empty unless all leaders since the
/// author of the record would have stored another one before they renewed a lease. This node must know of all elections
/// to tell.
std::map<WorkerIncarnation, uint64_t> TaskLeader::reliableUnreachedWorkers() const
{
    std::map<WorkerIncarnation, uint64_t> unreached;
    if (!m_options.elections.doLeadersStoreReachedWorkers(m_storedUnreachedWorkers.epoch, m_options.epoch))
        return unreached;
    for (const auto& it : m_storedUnreachedWorkers.workers) {
        if (!it.isDoubtful())
            unreached.emplace(it.worker, it.sinceEpoch);
    }
    return unreached;
}

/// The longest time for which this process counts the lease of one of the unreached workers.
Milliseconds TaskLeader::longestUnreachedTime(const std::map<WorkerIncarnation, uint64_t>& unreached) const
{
    Milliseconds longest { 0 };
    for (const auto& [worker, sinceEpoch] : unreached) {
        if (auto since = m_options.elections.electedBy(sinceEpoch))
            longest = std::max(longest, m_loop.now() - *since);
    }
    return longest;
}

/// Whether no leader has renewed the lease of the worker since the election of this one, as far as this leader knows.
bool TaskLeader::isUnreachedSinceElection(const Worker& worker) const
{
    if (worker.isReturning || !worker.session->isUnreached())
        return false;
    // An earlier leader may renew, or may have renewed, the lease since the election of this one.
    bool isExcludedInTime = m_areEarlierLeadersExcluded && !wereEarlierLeadersExcludedLate();
    return isExcludedInTime || !mayObeyEarlierLeader(worker);
}

void TaskLeader::markUnreachedWorkers()
{
    updateEarlierRenewals();
    size_t marked = 0;
    for (auto& [handle, worker] : m_workers) {
        if (worker.unreachedSinceEpoch > 0 || !worker.session->isUnreachedFor(silenceUntilStored)
            || !isUnreachedSinceElection(worker))
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
    if (worker.session->isUnreached())
        return;
    worker.unreachedSinceEpoch = 0;
    bool isRecordCollected = m_unreachedRecords >= worker.firstRecordWithout;
    if (!worker.session->withholdsLease() || isRecordCollected)
        return;
    m_unreachedWorkersChanged = true;
    m_journal.requestFlush();
}

/// Whether the first record of unreached workers need not wait for more replies. It says more once half of the workers
/// have been reached, because earlier leaders are excluded then.
bool TaskLeader::isFirstUnreachedRecordDue() const
{
    constexpr Milliseconds maxWait { 300 };
    if (m_unreachedRecords > 0)
        return true;
    auto workers = earlierWorkers();
    if (workers.reached == workers.counted)
        return true;
    auto wait = m_areEarlierLeadersExcluded ? unreachedRecordInterval : maxWait;
    return m_areSessionsStarted && m_loop.now() - m_sessionsStartedAt >= wait;
}

/// Workers that reply one after the other share a record.
bool TaskLeader::isUnreachedRecordDue() const
{
    if (!m_unreachedWorkersChanged || !isFirstUnreachedRecordDue())
        return false;
    auto workers = earlierWorkers();
    return workers.reached == workers.counted || m_loop.now() - m_unreachedCollectedAt >= unreachedRecordInterval;
}

/// From here on the record may be stored, so the leases of its workers are withheld.
UnreachedWorkers TaskLeader::collectUnreachedWorkers()
{
    UnreachedWorkers unreached { .epoch = m_options.epoch,
        .oldestEpoch = m_areEarlierLeadersExcluded ? m_options.epoch : m_storedUnreachedWorkers.oldestEpoch };
    ++m_unreachedRecords;
    m_unreachedCollectedAt = m_loop.now();
    for (auto& [handle, worker] : m_workers) {
        // A worker that has replied may be granted a lease, whatever it replied to.
        if (!worker.session->isUnreached())
            worker.unreachedSinceEpoch = 0;
        else if (worker.unreachedSinceEpoch == 0 && worker.isFromEarlierLeader && isUnreachedSinceElection(worker))
            worker.unreachedSinceEpoch = m_options.epoch;
        if (worker.unreachedSinceEpoch == 0)
            continue;
        unreached.workers.push_back({ .worker = worker.incarnation, .sinceEpoch = worker.unreachedSinceEpoch });
        worker.session->withholdLease();
        worker.firstRecordWithout = m_unreachedRecords + 1;
    }
    m_isDoubtStored = false;
    if (m_areEarlierLeadersExcluded)
        return unreached;
    auto doubtful = hasInheritedDoubt() ? &Worker::mayObeyOlderLeader : &Worker::isFromEarlierLeader;
    for (const auto& [handle, worker] : m_workers) {
        if (!(worker.*doubtful) || !worker.session->isUnreached())
            continue;
        unreached.workers.push_back({ .worker = worker.incarnation, .sinceEpoch = UnreachedWorker::doubtful });
        m_isDoubtStored = true;
    }
    unreached.decidingWorkers = hasInheritedDoubt() ? olderWorkers().counted : earlierWorkers().counted;
    return unreached;
}

void TaskLeader::handleUnreachedWorkersStored(uint64_t record)
{
    size_t allowed = 0;
    for (auto& [handle, worker] : m_workers) {
        if (!worker.session->withholdsLease() || record < worker.firstRecordWithout)
            continue;
        worker.session->allowLease();
        updateWorkerInScheduler(handle);
        ++allowed;
    }
    if (allowed > 0) {
        logInfo("leases_allowed",
            { { "epoch", m_options.epoch }, { "workers", allowed }, { "of", m_workers.size() },
                { "ms", (m_loop.now() - m_electedAt).count() }, { "can_renew", canRenewLeases() } });
    }
    schedulePlan();
}

void TaskLeader::beginExcludingEarlierLeaders()
{
    m_areEarlierLeadersExcluded = !m_options.hasPredecessor;
    if (m_options.hasPredecessor) {
        m_earlierRenewalsEndBy = m_electedAt
            + std::chrono::duration_cast<Milliseconds>(maxUnprovenRenewalTime * clockRateFactor)
            + maxUnconfirmedRenewalTime;
    }
}

/// The author of the record need not be the leader directly before this one: a leader in between may have stored
/// nothing.
void TaskLeader::restoreDoubtfulWorkers()
{
    std::set<WorkerIncarnation> doubtful;
    for (const auto& it : m_storedUnreachedWorkers.workers) {
        if (it.isDoubtful())
            doubtful.insert(it.worker);
    }
    for (auto& [handle, worker] : m_workers)
        worker.mayObeyOlderLeader = doubtful.contains(worker.incarnation);
    m_isDoubtStored = hasInheritedDoubt();
    if (m_storedUnreachedWorkers.decidingWorkers > doubtful.size())
        m_olderWorkersReachedBefore = m_storedUnreachedWorkers.decidingWorkers - doubtful.size();
}

bool TaskLeader::hasInheritedDoubt() const
{
    return std::ranges::any_of(m_workers, [](const auto& it) { return it.second.mayObeyOlderLeader; });
}

TaskLeader::ReachedWorkers TaskLeader::countReached(bool Worker::*isCounted) const
{
    ReachedWorkers workers;
    for (const auto& [handle, worker] : m_workers) {
        workers.counted += worker.*isCounted ? 1 : 0;
        workers.reached += worker.*isCounted && !worker.session->isUnreached() ? 1 : 0;
    }
    return workers;
}

/// The workers that were assigned at the election.
TaskLeader::ReachedWorkers TaskLeader::earlierWorkers() const { return countReached(&Worker::isFromEarlierLeader); }

/// The workers that decide about older leaders. Those that leaders in between have reached reject the older ones too:
/// if they did not count, the half to be reached would be one of ever fewer workers, in the end of the crashed ones.
TaskLeader::ReachedWorkers TaskLeader::olderWorkers() const
{
    auto workers = countReached(&Worker::mayObeyOlderLeader);
    workers.counted += m_olderWorkersReachedBefore;
    workers.reached += m_olderWorkersReachedBefore;
    return workers;
}

/// Whether half of the workers have been reached that were assigned at the election, and half of those that decide
/// about older leaders. An earlier leader renews leases while most of them reply to it, so it relies on a worker that
/// rejects it. Workers that are removed before do not count: they have ended, or reject an earlier leader.
bool TaskLeader::hasReachedHalfOfEarlierWorkers() const
{
    return earlierWorkers().isHalfReached() && olderWorkers().isHalfReached();
}

/// Local time by which the last earlier leader that may go on had been replaced. It has had no proof of its leadership
/// since then, and nor have those before it.
static Instant unstoppedLeadersReplacedBy(const TaskLeader::Options& options, Instant electedAt)
{
    auto successor = options.epoch;
    auto leader = options.elections.predecessorOf(successor);
    while (leader && options.haveLeadersStopped && options.haveLeadersStopped(*leader, successor)) {
        successor = *leader;
        leader = options.elections.predecessorOf(successor);
    }
    return options.elections.electedBy(successor).value_or(electedAt);
}

/// Whether no earlier leader renews leases any more, however few workers this leader reaches: each has ended, or has
/// had no proof of its leadership for too long. The workers are asked first: they may hold ends of runs, whose tasks
/// would start again.
bool TaskLeader::haveEarlierLeadersStopped() const
{
    if (!m_areSessionsStarted || m_loop.now() - m_sessionsStartedAt < silenceUntilStored)
        return false;
    if (m_options.haveLeadersStopped
        && m_options.haveLeadersStopped(m_storedUnreachedWorkers.oldestEpoch, m_options.epoch))
        return true;
    auto longestRenewals = std::chrono::duration_cast<Milliseconds>(maxUnprovenRenewalTime * clockRateFactor);
    return m_loop.now() - unstoppedLeadersReplacedBy(m_options, m_electedAt) > longestRenewals;
}

void TaskLeader::updateEarlierRenewals()
{
    auto now = m_loop.now();
    if (m_areEarlierLeadersExcluded
        || (now < m_earlierRenewalsEndBy && !hasReachedHalfOfEarlierWorkers() && !haveEarlierLeadersStopped()))
        return;
    m_areEarlierLeadersExcluded = true;
    // A successor may count from the election, of which this leader may have learned late.
    m_earlierRenewalsEndBy = now - m_options.claimedAt.value_or(m_electedAt) <= maxTimeToReachHalf
        ? neverInstant
        : std::min(m_earlierRenewalsEndBy, now + maxUnconfirmedRenewalTime);
    m_unreachedWorkersChanged = m_unreachedWorkersChanged || m_isDoubtStored;
    if (wereEarlierLeadersExcludedLate()) {
        // An earlier leader may have renewed the leases of these workers since the election of this one.
        for (auto& [handle, worker] : m_workers) {
            if (worker.unreachedSinceEpoch == 0 || worker.areEarlierRenewalsOver || !mayObeyEarlierLeader(worker))
                continue;
            worker.unreachedSinceEpoch = 0;
            m_unreachedWorkersChanged = true;
        }
    }
    m_journal.requestFlush();
}

bool TaskLeader::wereEarlierLeadersExcludedLate() const
{
    return m_areEarlierLeadersExcluded && m_earlierRenewalsEndBy != neverInstant;
}

/// Whether the worker may obey an earlier leader that is cut off from the store. That the platform does not list it
/// proves nothing: the entry of a worker that is cut off from the store expires too.
bool TaskLeader::mayObeyEarlierLeader(const Worker& worker) const
{
    return m_options.hasPredecessor && worker.isFromEarlierLeader;
}

/// Whether an earlier leader that is not excluded yet may count on the replies of the worker, which then still counts
/// among those of which half must be reached. Its leases may have expired all the same.
bool TaskLeader::mayReplyToEarlierLeader(const Worker& worker) const
{
    return !m_areEarlierLeadersExcluded && worker.session->isUnreached() && worker.session->haveLeasesExpired()
        && mayObeyEarlierLeader(worker);
}

/// Whether an earlier leader may still renew the worker's lease, which must then not be taken as expired. Such a leader
/// renews while most workers reply to it, until one of them has been reached by this leader and rejects it.
bool TaskLeader::mayEarlierLeaderRenew(const Worker& worker) const
{
    if (worker.areEarlierRenewalsOver)
        return false;
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

/// Whether a worker may hold the end of a run of an earlier leader that this leader has not read, so that the task
/// would start again after its end. Only acknowledgements, which wait for the store, make the worker return more ends.
bool TaskLeader::hasUnreadEndsOfEarlierRuns() const
{
    return !m_isReconciled && std::ranges::any_of(m_workers, [](const auto& it) {
        return !it.second.session->isReconciled() && it.second.session->hasUnreadEnds();
    });
}

TaskScheduler::StartPermission TaskLeader::startPermission() const
{
    return { .mayStart = canStart(),
        .knownBy = m_options.soleLeaderUntil(),
        .mayUnblock = m_loop.now() < m_earlierLeasesExpireAt
            || (!mayEarlierLeaderRenewAny() && !hasUnreadEndsOfEarlierRuns() && !mayMisdirectedLeaseLast()) };
}

/// Logs the workers for which tasks of earlier leaders still wait after the time that leases of such leaders last.
void TaskLeader::logUnsettledWorkers()
{
    constexpr size_t maxLines { 4 };
    auto now = m_loop.now();
    if (m_isReconciled || !m_options.hasPredecessor || now < m_earlierLeasesExpireAt)
        return;
    size_t lines = 0;
    for (const auto& [handle, worker] : m_workers) {
        const auto& session = *worker.session;
        if (session.isReconciled() || ++lines > maxLines)
            continue;
        logInfo("takeover_waits",
            { { "worker", worker.incarnation.id }, { "born", worker.incarnation.startedAtMs },
                { "ms", (now - m_electedAt).count() }, { "session_started", worker.isSessionStarted },
                { "reachable", session.isReachable() }, { "unreached", session.isUnreached() },
                { "unread_ends", session.hasUnreadEnds() }, { "last_end", session.lastEndSequence() },
                { "stored_end", session.storedEndSequence() },
                { "acknowledged_end", session.acknowledgedEndSequence() },
                { "ends_of_unknown_jobs", worker.endsOfUnknownJobs.size() },
                { "lease_left_ms", session.remainingLease().count() },
                { "earlier_leader_may_renew", mayEarlierLeaderRenew(worker) },
                { "doubtful", worker.mayObeyOlderLeader },
                { "may_hold_misdirected_lease", session.mayHoldMisdirectedLease() } });
    }
}

bool TaskLeader::isSoleLeader() const { return m_options.soleLeaderUntil() >= m_loop.now(); }

/// Whether the leases of workers may be renewed, so that they end before a successor starts their tasks elsewhere. A
/// leader without proof of its leadership may have a successor, or the store may be down for all nodes, in which case
/// the running tasks must go on. Replies of most workers show that no successor has reached half of them. A successor
/// that never does waits for `maxUnprovenRenewalTime`.
bool TaskLeader::canRenewLeases() const
{
    constexpr Milliseconds countInterval { 100 };
    detectPause();
    if (isSoleLeader())
        return true;
    if (m_loop.now() - m_options.soleLeaderUntil() > maxUnprovenRenewalTime)
        return false;
    if (m_loop.now() - m_repliesCountedAt >= countInterval) {
        m_repliesCountedAt = m_loop.now();
        m_doMostWorkersReply = doMostWorkersReply();
    }
    return m_doMostWorkersReply;
}

/// Detects that replies may have waited unread: a timer of 100 ms is late. The replies that are read then may be from
/// before the election of a successor.
void TaskLeader::detectPause() const
{
    constexpr Milliseconds maxTimerDelay { 500 };
    if (m_nextTickAt != neverInstant && m_loop.now() - m_nextTickAt > maxTimerDelay)
        m_resumedAt = m_loop.now();
}

/// Whether most of the assigned workers reply. A successor counts the same workers: those in the record that it reads.
bool TaskLeader::doMostWorkersReply() const
{
    return doMostReply(m_assignedWorkers) && std::ranges::all_of(m_collectedBatches, [this](const auto& it) {
        return !it.assignedWorkers || doMostReply(*it.assignedWorkers);
    });
}

/// Whether most of the workers have replied within `maxReplyAge`, each to a request that was sent after the last pause
/// of this process. A worker that has been removed does not reply.
bool TaskLeader::doMostReply(const std::vector<WorkerHandle>& workers) const
{
    // A successor is elected 1.05 s after the last keepalive at the earliest and waits 5.28 s more for a silent worker.
    // A lease of 5 s lasts 5.1 s by the slowest clock, so it may be renewed up to 1.23 s after the loss of all contact.
    constexpr Milliseconds maxReplyAge { 1100 };
    auto replying = std::ranges::count_if(workers, [&](WorkerHandle handle) {
        auto it = m_workers.find(handle);
        if (it == m_workers.end())
            return false;
        const auto& session = *it->second.session;
        return m_loop.now() - session.lastReplyAt() <= maxReplyAge && session.answeredRequestSentAt() >= m_resumedAt;
    });
    return 2 * static_cast<size_t>(replying) > workers.size();
}

}
