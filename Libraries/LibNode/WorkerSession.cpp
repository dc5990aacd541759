#include <LibCore/GuardedCall.h>
#include <LibCore/Logger.h>
#include <LibHttp/ConnectionRefused.h>
#include <LibHttp/EventLoop.h>
#include <LibNode/WorkerSession.h>
#include <algorithm>
#include <utility>

namespace Bergamot {

static constexpr Milliseconds idleReportWait { 2000 };

/// Run ends within this time share a report.
static constexpr Milliseconds endBatchDelay { 25 };
static constexpr uint32_t failuresUntilUnreachable { 2 };

/// Maximum duration of a lease from a leader without proof of its leadership. A successor counts the leases from its
/// election, and such a leader renews until a worker that both reach has rejected it, up to `idleReportWait` later.
static constexpr Milliseconds maxUnconfirmedLease { 3000 };

WorkerSession::WorkerSession(EventLoop& loop, TaskExecutor& taskExecutor, Options options)
    : m_loop(loop)
    , m_taskExecutor(taskExecutor)
    , m_options(std::move(options))
{
    // An earlier leader may have renewed the lease just before.
    auto renewalsEndedBy = m_options.earlierRenewalsEndedBy.value_or(m_loop.now());
    m_leasesExpireBy = renewalsEndedBy + WorkerClock::maxLocalTime(m_options.lease.count());
    if (!m_options.mayHoldMisdirectedLease)
        return;
    m_misdirectedLeaseExpiresBy = m_options.misdirectedLeaseExpiresBy.value_or(neverInstant);
    auto misdirectedLeaseExpiresBy
        = m_options.misdirectedLeaseExpiresBy.value_or(std::max(renewalsEndedBy, m_options.misdirectedCallsEndBy)
            + WorkerClock::maxLocalTime(m_options.maxLease.count()));
    m_leasesExpireBy = std::max(m_leasesExpireBy, misdirectedLeaseExpiresBy);
}

WorkerSession::~WorkerSession() { *m_alive = false; }

bool WorkerSession::refusesConnections() const
{
    // A single refusal may reach a worker that is just starting.
    constexpr uint32_t minRefusals { 2 };
    return m_refusedConnections >= minRefusals;
}

Milliseconds WorkerSession::remainingLease() const
{
    return std::max(Milliseconds { 0 }, m_leasesExpireBy - m_loop.now());
}

bool WorkerSession::mayHoldMisdirectedLease() const
{
    return m_options.mayHoldMisdirectedLease
        && (m_misdirectedLeaseExpiresBy == neverInstant || m_loop.now() < m_misdirectedLeaseExpiresBy);
}

Instant WorkerSession::misdirectedStartsEndBy() const
{
    auto own = m_lastStartSentAt == neverInstant ? neverInstant : m_lastStartSentAt + UnprovenStarts::maxCallDelay;
    return std::max(own, m_options.misdirectedCallsEndBy);
}

void WorkerSession::start(uint64_t fenceToken)
{
    m_fenceToken = fenceToken;
    m_startedAt = m_loop.now();
    renewLease();
    scheduleLeaseExpiryCheck();
}

bool WorkerSession::isUnreachedFor(Milliseconds time) const
{
    return m_startedAt != neverInstant && isUnreached() && m_loop.now() - m_startedAt >= time;
}

bool WorkerSession::isIdle() const
{
    return m_isReachable && m_isReconciled && !m_hasRuns && !m_hasUnreadEnds && m_storedEndSequence >= m_lastEndSequence
        && m_commands.isEmpty() && stopsOfPossibleRuns().empty() && stopsOfUnprovenRuns().empty();
}

void WorkerSession::allowLease()
{
    m_isLeaseWithheld = false;
    if (m_isReachable)
        renewLease();
}

int64_t WorkerSession::leaseEndMs() const
{
    auto lease = m_options.isSoleLeader() ? m_options.lease : std::min(m_options.lease, maxUnconfirmedLease);
    return m_clock.at(m_loop.now()) + lease.count();
}

void WorkerSession::recordGrantedLease(int64_t endMs)
{
    m_latestLeaseEndMs = std::max(m_latestLeaseEndMs, endMs);
    m_leasesExpireBy = std::max(m_leasesExpireBy, m_clock.reachedBy(m_latestLeaseEndMs));
}

void WorkerSession::renewLease()
{
    if (m_isRenewalInProgress)
        return;
    m_isRenewalInProgress = true;
    m_isRenewalScheduled = false;
    ++m_renewalGeneration;
    if (m_isReachable)
        return sendLeaseRenewal(nullptr);
    m_isRenewalQueued = true;
    m_options.renewalLimiter->enqueue([this, alive = m_alive] {
        if (!*alive || !std::exchange(m_isRenewalQueued, false))
            return false;
        sendLeaseRenewal(m_options.renewalLimiter);
        return true;
    });
}

Milliseconds WorkerSession::currentReportWait() const
{
    if (!m_isReconciled || m_isLeaseWithheld)
        return Milliseconds { 0 };
    // A leader without proof of its leadership relies on frequent replies of all workers.
    return m_hasRuns || !m_options.isSoleLeader() ? m_options.reportWait : idleReportWait;
}

/// `limiter` is notified when the call has finished; it is null if the call is not limited.
void WorkerSession::sendLeaseRenewal(std::shared_ptr<ConcurrencyLimiter> limiter)
{
    // After a failed call, another incarnation may be there. Its clock starts anew, so that a lease by the clock of the
    // former one would last up to the longest lease. A crashed worker would also be waited for longer.
    bool mayHaveEnded = m_failures > 0 || !isIncarnationProven();
    RenewLeaseRequest request { .wait = mayHaveEnded ? Milliseconds { 0 } : currentReportWait() };
    // An acknowledgement could apply to run ends of a later incarnation, which may have the same sequence numbers. So
    // it is sent only after a reply of this incarnation, and repeated only after another one.
    if (m_isLastRenewalAccepted && isIncarnationProven() && m_storedEndSequence > m_acknowledgedEndSequence)
        request.acknowledgedSequence = m_storedEndSequence;
    // Requests to an unreachable worker do not renew its lease, so that its leases expire at a known time.
    if (m_clock.isKnown() && m_isReachable && !mayHaveEnded && !m_isLeaseWithheld && m_options.canRenewLeases()) {
        request.leaseUntilMs = leaseEndMs();
        recordGrantedLease(*request.leaseUntilMs);
    }
    auto requestSentAt = m_loop.now();
    ++m_callsInProgress;
    m_taskExecutor.renewLease(m_options.executor, m_fenceToken, request,
        [this, alive = m_alive, requestSentAt, stored = request.acknowledgedSequence, limiter = std::move(limiter),
            onLateEnds = m_options.events.onLateEnds](absl::StatusOr<RenewLeaseReply> reply) {
            if (limiter)
                limiter->callFinished();
            if (!*alive)
                return reply.ok() ? onLateEnds(reply->ended) : void();
            recordCallResult(reply.status());
            m_isLastRenewalAccepted = reply.ok() && reply->commandReply.outcome == TaskCommandOutcome::Accepted
                && originOf(reply->commandReply, requestSentAt) == ReplyOrigin::ThisIncarnation;
            if (m_isLastRenewalAccepted)
                m_acknowledgedEndSequence = std::max(m_acknowledgedEndSequence, stored);
            handleLeaseRenewalReply(std::move(reply), requestSentAt);
        });
}

void WorkerSession::scheduleLeaseRenewal(Milliseconds delay)
{
    if (std::exchange(m_isRenewalScheduled, true))
        return;
    m_loop.callAfter(delay, [this, alive = m_alive, generation = m_renewalGeneration] {
        if (*alive && generation == m_renewalGeneration)
            renewLease();
    });
}

/// Only a later process proves that this incarnation has ended. A reply of an earlier one is late, or the announcement
/// of this one is false. Once all leases have expired, nothing runs that a false conclusion could start twice.
WorkerSession::ReplyOrigin WorkerSession::originOf(const TaskCommandReply& reply, Instant requestSentAt) const
{
    auto startedAtMs = m_options.startedAtMs;
    bool hasOtherId = reply.outcome == TaskCommandOutcome::IncarnationMismatch;
    bool areBothKnown = reply.startedAtMs != 0 && startedAtMs != 0;
    // Once all leases have expired, a worker that never names its incarnation may have started again.
    if (!hasOtherId && !m_isLeaseExpiryReported && hasOtherClock(reply, requestSentAt))
        return ReplyOrigin::Unproven;
    if (!hasOtherId && (!areBothKnown || reply.startedAtMs == startedAtMs))
        return ReplyOrigin::ThisIncarnation;
    if (m_isLeaseExpiryReported || (areBothKnown && reply.startedAtMs > startedAtMs))
        return ReplyOrigin::Successor;
    // The worker's own word counts more than an announcement, which another writer may have left.
    if (!hasOtherId)
        return m_hasReplied ? ReplyOrigin::Unproven : ReplyOrigin::ThisIncarnation;
    // The announced address may never have been that of the worker.
    bool isAddressKnown = m_hasReplied || m_options.isAddressProven;
    return isAddressKnown && !areBothKnown ? ReplyOrigin::Successor : ReplyOrigin::Unproven;
}

WorkerSession::ReplyCheck WorkerSession::checkReply(const TaskCommandReply& reply, Instant requestSentAt)
{
    if (reply.outcome == TaskCommandOutcome::Fenced) {
        m_options.events.onFenced();
        return ReplyCheck::SessionEnded;
    }
    auto origin = originOf(reply, requestSentAt);
    if (origin == ReplyOrigin::ThisIncarnation)
        return ReplyCheck::Valid;
    if (origin == ReplyOrigin::Unproven) {
        logInfo("reply_of_other_incarnation",
            { { "worker", m_options.executor.id }, { "born", m_options.startedAtMs },
                { "reply_born", reply.startedAtMs }, { "clock_ms", m_clock.at(m_loop.now()) },
                { "reply_clock_ms", reply.clockMs.value_or(-1) } });
        return ReplyCheck::Ignored;
    }
    // A process with another id has refused the command, and all starts before it.
    if (reply.outcome != TaskCommandOutcome::IncarnationMismatch)
        m_successorStartedAtMs = reply.startedAtMs;
    m_options.events.onIncarnationMismatch();
    return ReplyCheck::SessionEnded;
}

void WorkerSession::recordCallResult(const absl::Status& status)
{
    --m_callsInProgress;
    if (!status.ok())
        ++m_unansweredCalls;
}

/// Whether another incarnation has sent a reply that does not name its own.
bool WorkerSession::hasOtherClock(const TaskCommandReply& reply, Instant requestSentAt) const
{
    auto now = m_loop.now();
    return reply.startedAtMs == 0 && reply.clockMs && !m_clock.canShow(*reply.clockMs, requestSentAt, now);
}

/// From here on the worker refuses calls of sessions with earlier incarnations.
void WorkerSession::recordFirstReply(const TaskCommandReply& reply)
{
    bool isNamed = reply.startedAtMs != 0;
    bool isThisIncarnation = isNamed && reply.startedAtMs == m_options.startedAtMs;
    if (isNamed)
        m_firstReplyAt = m_loop.now();
    // An earlier leader may have renewed the lease until this reply.
    if (!m_options.earlierRenewalsEndedBy || m_misdirectedLeaseExpiresBy != neverInstant) {
        auto earlierLeaseExpiresBy = m_loop.now() + WorkerClock::maxLocalTime(m_options.lease.count());
        m_leasesExpireBy = std::max(m_leasesExpireBy, earlierLeaseExpiresBy);
    }
    if (isThisIncarnation && m_misdirectedLeaseExpiresBy != neverInstant)
        return;
    m_options.mayHoldMisdirectedLease
        = m_options.mayHoldMisdirectedLease || (isNamed && !isThisIncarnation && m_options.startedAtMs != 0);
    m_misdirectedLeaseExpiresBy = m_loop.now() + WorkerClock::maxLocalTime(m_options.maxLease.count());
    if (!m_options.mayHoldMisdirectedLease)
        return;
    m_leasesExpireBy = m_misdirectedLeaseExpiresBy;
    scheduleLeaseExpiryCheck();
}

void WorkerSession::recordReply(const TaskCommandReply& reply, Instant requestSentAt)
{
    m_answeredRequestSentAt = std::max(m_answeredRequestSentAt, requestSentAt);
    if (!std::exchange(m_hasReplied, true))
        recordFirstReply(reply);
    if (reply.startedAtMs != 0)
        m_options.startedAtMs = reply.startedAtMs;
    if (reply.clockMs)
        m_clock.read(*reply.clockMs, requestSentAt, m_loop.now());
    m_failures = 0;
    m_hasRefusedConnections = false;
    m_brokenConnections = 0;
    m_isLeaseExpiryReported = false;
    if (std::exchange(m_isReachable, true))
        return;
    m_options.events.onReachabilityChanged(true);
    // The reply to a stop came first. The lease may end before the turn of the renewal.
    if (std::exchange(m_isRenewalQueued, false))
        sendLeaseRenewal(nullptr);
    sendNextCommand();
}

/// A reply that does not name the incarnation may be that of a later one, whose clock starts anew: it proves neither
/// the clock nor that the worker can be reached.
void WorkerSession::recordCommandReply(const TaskCommandReply& reply, Instant requestSentAt)
{
    if (reply.startedAtMs != 0)
        return recordReply(reply, requestSentAt);
    if (!m_isReachable)
        proveIncarnation();
}

void WorkerSession::recordFailure()
{
    if (++m_failures < failuresUntilUnreachable || !m_isReachable)
        return;
    m_isReachable = false;
    refuseQueuedStarts();
    m_options.events.onReachabilityChanged(false);
}

/// A start must not be delivered long after the scheduling decision. A start that may have arrived is replaced by a
/// stop, which prevents the worker from executing it later.
void WorkerSession::refuseQueuedStarts()
{
    for (const auto& start : m_commands.removeStarts([](const StartTask&) { return true; }))
        m_options.events.onStartReply(start, TaskCommandOutcome::Unhealthy);
}

void WorkerSession::withdrawUnsentStarts()
{
    for (const auto& start : m_commands.removeStarts([](const StartTask&) { return true; }))
        m_options.events.onStartReply(start, TaskCommandOutcome::NotSent);
}

/// Removes the queued start that the stop cancels. Returns false if the stop must still be sent.
bool WorkerSession::cancelQueuedStart(const StopTask& stop)
{
    std::optional<StartTask> removed;
    if (m_commands.removeStartOf(stop, removed) != CommandQueue::StartState::RemovedUnsent)
        return false;
    m_options.events.onStartReply(*removed, TaskCommandOutcome::NotSent);
    return true;
}

void WorkerSession::handleLeaseRenewalReply(absl::StatusOr<RenewLeaseReply> reply, Instant requestSentAt)
{
    m_isRenewalInProgress = false;
    m_refusedConnections = isConnectionRefused(reply.status()) ? m_refusedConnections + 1 : 0;
    m_hasRefusedConnections = m_hasRefusedConnections || refusesConnections();
    if (!reply.ok()) {
        recordBrokenConnection(reply.status());
        recordFailure();
        // The first broken connection may be one that the network has reset; the second one is new.
        constexpr uint32_t brokenUntilSuspected { 2 };
        m_brokenConnections = absl::IsDeadlineExceeded(reply.status()) ? 0 : m_brokenConnections + 1;
        if (m_refusedConnections == 1 || m_brokenConnections == brokenUntilSuspected)
            m_options.events.onConnectionsBroken();
        return scheduleLeaseRenewal(retryDelay);
    }
    auto check = checkReply(reply->commandReply, requestSentAt);
    if (check == ReplyCheck::SessionEnded)
        return;
    if (check == ReplyCheck::Ignored || reply->commandReply.outcome != TaskCommandOutcome::Accepted) {
        recordFailure();
        return scheduleLeaseRenewal(retryDelay);
    }
    recordProof(requestSentAt);
    recordReply(reply->commandReply, requestSentAt);
    m_hasUnreadEnds = reply->endCoverage != RunEndCoverage::All;
    // The end of a run of an earlier leader may be among those that the report leaves out.
    m_isReconciled = m_isReconciled || !m_hasUnreadEnds;
    m_hasRuns = !reply->running.empty();
    bool hasNewEnds = false;
    for (const auto& end : reply->ended) {
        hasNewEnds = hasNewEnds || end.sequence > m_lastEndSequence;
        m_lastEndSequence = std::max(m_lastEndSequence, end.sequence);
    }
    // After a failure, the lease is renewed nevertheless: nothing else would end the runs of a reachable worker.
    guardedCall("report_failed", [&] { m_options.events.onReport(*reply, requestSentAt); });
    if (!*m_alive)
        return;
    // allowLease() renews the lease sooner.
    if (m_isLeaseWithheld)
        return scheduleLeaseRenewal(m_options.reportWait);
    // A worker with unacknowledged run ends replies immediately. The next renewal is delayed, to leave time for
    // acknowledge().
    if (m_lastEndSequence > m_storedEndSequence) {
        if (hasNewEnds)
            m_newEndsAt = m_loop.now();
        if (mayLoseUnreportedEnds())
            return scheduleLeaseRenewal(m_options.leavingReportInterval);
        if (!hasNewEnds) {
            m_options.acknowledgementTimeout.recordTimeout();
            return scheduleLeaseRenewal(std::min(m_options.reportWait, m_options.maxUnacknowledgedWait));
        }
        return scheduleLeaseRenewal(
            std::min(m_options.acknowledgementTimeout.current(), m_options.maxUnacknowledgedWait));
    }
    scheduleLeaseRenewal(hasNewEnds ? endBatchDelay : Milliseconds { 0 });
}

/// Whether runs of the worker may end that it cannot report any more when it has left.
bool WorkerSession::mayLoseUnreportedEnds() const { return m_hasRuns && m_options.isLeaving(); }

void WorkerSession::acknowledge(uint64_t sequence)
{
    if (sequence <= m_storedEndSequence)
        return;
    m_storedEndSequence = sequence;
    if (m_storedEndSequence >= m_lastEndSequence && m_newEndsAt != neverInstant)
        m_options.acknowledgementTimeout.recordReply(m_loop.now() - m_newEndsAt);
    if (m_storedEndSequence >= m_lastEndSequence && !m_isRenewalInProgress) {
        m_loop.callAfter(endBatchDelay, [this, alive = m_alive] {
            if (*alive)
                renewLease();
        });
    }
}

void WorkerSession::scheduleLeaseExpiryCheck()
{
    // After the first reply the time only moves on, so that no check is needed before it.
    constexpr Milliseconds minInterval { 200 };
    auto interval = std::max(minInterval, m_leasesExpireBy - m_loop.now());
    m_loop.callAfter(interval, [this, alive = m_alive, generation = ++m_expiryCheckGeneration] {
        if (*alive && generation == m_expiryCheckGeneration)
            checkLeaseExpiry();
    });
}

void WorkerSession::checkLeaseExpiry()
{
    if (!m_isReachable && !m_isLeaseExpiryReported && m_loop.now() >= m_leasesExpireBy
        && m_options.wasSoleLeaderAt(m_leasesExpireBy) && !(isUnreached() && m_options.mayEarlierLeaderRenew())) {
        m_isLeaseExpiryReported = true;
        m_isReconciled = true;
        m_commands.clearWaiting();
        m_discardsCommandReply = m_commands.isInProgress();
        m_options.events.onLeaseExpired();
        if (!*m_alive)
            return;
    }
    scheduleLeaseExpiryCheck();
}

}
