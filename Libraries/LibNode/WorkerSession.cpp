#include <LibCore/Logger.h>
#include <LibCore/StatusText.h>
#include <LibHttp/ConnectionRefused.h>
#include <LibHttp/EventLoop.h>
#include <LibNode/LeaderLoad.h>
#include <LibNode/WorkerSession.h>
#include <algorithm>
#include <utility>

namespace Bergamot {

static constexpr Milliseconds idleReportWait { 2000 };
static constexpr Milliseconds retryDelay { 150 };

/// Delay between stops to an unreachable worker. Each may need a new connection.
static constexpr Milliseconds unreachableRetryDelay { 500 };

/// A stop that has waited for this long behind other commands is sent beside them. Its run goes on until then, because
/// the lease is renewed for all runs of the worker.
static constexpr Milliseconds maxStopWait { 1000 };

/// Run ends within this time share a report.
static constexpr Milliseconds endBatchDelay { 25 };
static constexpr uint32_t failuresUntilUnreachable { 2 };

/// From this failure of a command on, each of its failures also counts as a failure of the worker.
static constexpr uint32_t commandFailuresUntilCounted { 3 };

/// Maximum duration of a lease from a leader without proof of its leadership. A successor counts the leases from its
/// election, and such a leader renews until a worker that both reach has rejected it, up to `idleReportWait` later.
static constexpr Milliseconds maxUnconfirmedLease { 3000 };

/// Minimum rate of a worker's clock relative to the local clock.
static constexpr double minClockRate = 0.975;
static constexpr Milliseconds leaseExpiryMargin { 150 };

WorkerSession::WorkerSession(EventLoop& loop, TaskExecutor& taskExecutor, Options options)
    : m_loop(loop)
    , m_taskExecutor(taskExecutor)
    , m_options(std::move(options))
{
    // An earlier leader may have renewed the lease just before.
    m_leasesExpireBy = m_options.earlierRenewalsEndedBy.value_or(m_loop.now())
        + std::chrono::duration_cast<Milliseconds>(m_options.lease / minClockRate) + leaseExpiryMargin;
}

WorkerSession::~WorkerSession() { *m_alive = false; }

bool WorkerSession::refusesConnections() const
{
    // A single refusal may reach a worker that is just starting.
    constexpr uint32_t minRefusals { 2 };
    return m_refusedConnections >= minRefusals;
}

void WorkerSession::start()
{
    m_startedAt = m_loop.now();
    renewLease();
    scheduleLeaseExpiryCheck();
}

bool WorkerSession::isUnreachedFor(Milliseconds time) const
{
    return m_startedAt != neverInstant && isUnreached() && m_loop.now() - m_startedAt >= time;
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
    return *m_clockMs + (m_loop.now() - m_clockReadAt).count() + lease.count();
}

/// Upper bound of the local time in which a worker's clock advances by `ms`, including a margin.
static Milliseconds maxLocalTime(int64_t ms)
{
    return Milliseconds { static_cast<int64_t>(static_cast<double>(ms) / minClockRate) + leaseExpiryMargin.count() };
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
    RenewLeaseRequest request { .wait = currentReportWait() };
    // An acknowledgement could apply to run ends of a later incarnation, which may have the same sequence numbers. So
    // it is sent only after a reply of this incarnation, and repeated only after another one.
    if (m_isLastRenewalAccepted && isIncarnationProven() && m_storedEndSequence > m_acknowledgedEndSequence)
        request.acknowledgedSequence = m_storedEndSequence;
    // Requests to an unreachable worker do not renew its lease, so that its leases expire at a known time.
    if (m_clockMs && m_isReachable && !m_isLeaseWithheld && m_options.canRenewLeases()) {
        request.leaseUntilMs = leaseEndMs();
        m_latestLeaseEndMs = std::max(m_latestLeaseEndMs, *request.leaseUntilMs);
        m_leasesExpireBy = std::max(m_leasesExpireBy, m_clockReadAt + maxLocalTime(m_latestLeaseEndMs - *m_clockMs));
    }
    auto requestSentAt = m_loop.now();
    m_taskExecutor.renewLease(m_options.executor, m_options.epoch, request,
        [this, alive = m_alive, requestSentAt, stored = request.acknowledgedSequence, limiter = std::move(limiter)](
            absl::StatusOr<RenewLeaseReply> reply) {
            if (limiter)
                limiter->callFinished();
            if (!*alive)
                return;
            m_isLastRenewalAccepted = reply.ok() && reply->commandReply.outcome == TaskCommandOutcome::Accepted;
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

bool WorkerSession::checkOutcome(const TaskCommandReply& reply)
{
    if (reply.outcome == TaskCommandOutcome::Fenced) {
        m_options.events.onFenced();
        return false;
    }
    bool isOtherIncarnation
        = reply.startedAtMs != 0 && m_options.startedAtMs != 0 && reply.startedAtMs != m_options.startedAtMs;
    if (reply.outcome == TaskCommandOutcome::IncarnationMismatch || isOtherIncarnation) {
        // A process with another id has refused the command, and all starts before it.
        if (reply.outcome != TaskCommandOutcome::IncarnationMismatch)
            m_successorStartedAtMs = reply.startedAtMs;
        m_options.events.onIncarnationMismatch();
        return false;
    }
    return true;
}

void WorkerSession::recordReply(const TaskCommandReply& reply)
{
    if (m_options.startedAtMs == 0)
        m_options.startedAtMs = reply.startedAtMs;
    if (reply.clockMs) {
        m_clockMs = reply.clockMs;
        m_clockReadAt = m_loop.now();
    }
    m_failures = 0;
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
    if (!checkOutcome(reply->commandReply))
        return;
    if (reply->commandReply.outcome != TaskCommandOutcome::Accepted) {
        recordFailure();
        return scheduleLeaseRenewal(retryDelay);
    }
    recordProof(requestSentAt);
    recordReply(reply->commandReply);
    m_isReconciled = true;
    m_hasRuns = !reply->running.empty();
    bool hasNewEnds = false;
    for (const auto& end : reply->ended) {
        hasNewEnds = hasNewEnds || end.sequence > m_lastEndSequence;
        m_lastEndSequence = std::max(m_lastEndSequence, end.sequence);
    }
    m_options.events.onReport(*reply, requestSentAt);
    if (!*m_alive)
        return;
    // allowLease() renews the lease sooner.
    if (m_isLeaseWithheld)
        return scheduleLeaseRenewal(m_options.reportWait);
    // A worker with unacknowledged run ends replies immediately. The next renewal is delayed, to leave time for
    // acknowledge().
    if (m_lastEndSequence > m_storedEndSequence) {
        if (!hasNewEnds) {
            m_options.acknowledgementTimeout.recordTimeout();
            return scheduleLeaseRenewal(m_options.reportWait);
        }
        m_newEndsAt = m_loop.now();
        return scheduleLeaseRenewal(m_options.acknowledgementTimeout.current());
    }
    scheduleLeaseRenewal(hasNewEnds ? endBatchDelay : Milliseconds { 0 });
}

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
    // The time only moves on, so that no check is needed before it.
    constexpr Milliseconds minInterval { 200 };
    m_loop.callAfter(std::max(minInterval, m_leasesExpireBy - m_loop.now()), [this, alive = m_alive] {
        if (*alive)
            checkLeaseExpiry();
    });
}

void WorkerSession::checkLeaseExpiry()
{
    if (!m_isReachable && !m_isLeaseExpiryReported && m_loop.now() >= m_leasesExpireBy
        && !(isUnreached() && m_options.mayEarlierLeaderRenew())) {
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

void WorkerSession::enqueueCommand(TaskAction action)
{
    if (const auto* start = std::get_if<StartTask>(&action); start && !m_isReachable)
        return m_options.events.onStartReply(*start, TaskCommandOutcome::Unhealthy);
    const auto* stop = std::get_if<StopTask>(&action);
    if (stop && cancelQueuedStart(*stop))
        return;
    if (stop && !m_commands.contains(*stop))
        scheduleStopCheck(*stop);
    m_commands.push(std::move(action), m_loop.now());
    sendNextCommand();
}

/// Takes the starts that are not permitted any more from the queue, one at a time: each one frees room on the worker,
/// in which a later one may be permitted. Returns false if the session was closed meanwhile.
bool WorkerSession::refuseForbiddenStarts()
{
    auto isForbidden = [this](const StartTask& it) { return m_isLeaseWithheld || !m_options.canStart(it); };
    for (auto refused = m_commands.removeStarts(isForbidden, 1); !refused.empty();
         refused = m_commands.removeStarts(isForbidden, 1)) {
        m_options.events.onStartReply(refused.front(), TaskCommandOutcome::NotSent);
        if (!*m_alive)
            return false;
    }
    return true;
}

void WorkerSession::sendNextCommand()
{
    if (m_commands.isInProgress() || !m_clockMs || !refuseForbiddenStarts() || m_commands.isEmpty())
        return;
    // A worker that is held for unreachable may only have been late, and its first lease renewal may have to wait
    // behind those of other workers. Its runs go on until its lease has expired, so stops do not wait.
    bool isStop = std::holds_alternative<StopTask>(m_commands.front());
    if (!m_isReachable && !isStop)
        return;
    if (!isIncarnationProven() && !isStop)
        return proveIncarnation();
    m_commands.beginFront();
    m_commandSentAt = m_loop.now();
    auto context = commandContext();
    auto onReply = [this, alive = m_alive](absl::StatusOr<TaskCommandReply> reply) {
        if (*alive)
            handleCommandReply(reply);
    };
    const auto& action = m_commands.front();
    if (const auto* start = std::get_if<StartTask>(&action)) {
        StartTaskCommand command { .task = start->task,
            .run = start->run,
            .payload = start->payload,
            .checkpoint = start->checkpoint,
            .leaseUntilMs = leaseEndMs() };
        m_latestLeaseEndMs = std::max(m_latestLeaseEndMs, command.leaseUntilMs);
        m_leasesExpireBy = std::max(m_leasesExpireBy, m_clockReadAt + maxLocalTime(m_latestLeaseEndMs - *m_clockMs));
        m_hasRuns = true;
        m_taskExecutor.start(m_options.executor, context, command, onReply);
    } else if (const auto* stop = std::get_if<StopTask>(&action)) {
        m_taskExecutor.stop(m_options.executor, context, stop->task, stop->run, onReply);
    } else if (const auto* throttle = std::get_if<ThrottleRun>(&action)) {
        m_taskExecutor.throttle(
            m_options.executor, context, throttle->task, throttle->run, throttle->speedPercent, onReply);
    }
}

/// A broken connection may be the end of the incarnation. A timed-out call says nothing about it.
void WorkerSession::recordBrokenConnection(const absl::Status& status)
{
    if (!absl::IsDeadlineExceeded(status))
        m_connectionBrokenAt = m_loop.now();
}

void WorkerSession::recordProof(Instant requestSentAt)
{
    if (requestSentAt > m_connectionBrokenAt)
        m_connectionBrokenAt = neverInstant;
}

/// Asks the worker for a report, which carries the start time of its incarnation. The lease renewal in progress may
/// take seconds, and it may have been answered before the connection broke.
void WorkerSession::proveIncarnation()
{
    if (std::exchange(m_isProofInProgress, true))
        return;
    m_taskExecutor.renewLease(m_options.executor, m_options.epoch, {},
        [this, alive = m_alive, requestSentAt = m_loop.now()](const absl::StatusOr<RenewLeaseReply>& reply) {
            if (!*alive)
                return;
            m_isProofInProgress = false;
            if (!reply.ok())
                return sendNextCommandAfter(retryDelay);
            if (!checkOutcome(reply->commandReply))
                return;
            if (reply->commandReply.outcome != TaskCommandOutcome::Accepted)
                return sendNextCommandAfter(retryDelay);
            recordProof(requestSentAt);
            recordReply(reply->commandReply);
            sendNextCommand();
        });
}

TaskCommandContext WorkerSession::commandContext() const
{
    return { .epoch = m_options.epoch, .timeout = m_options.commandTimeout.current() };
}

void WorkerSession::scheduleStopCheck(const StopTask& stop)
{
    m_loop.callAfter(maxStopWait, [this, alive = m_alive, stop] {
        if (*alive)
            sendOverdueStop(stop);
    });
}

/// Sends a stop that has waited too long, without waiting for the command in progress. An unreachable worker gets one
/// command at a time: its lease is not renewed, and each command may need a new connection.
void WorkerSession::sendOverdueStop(const StopTask& stop)
{
    if (!m_commands.contains(stop))
        return;
    if (!m_isReachable || !m_commands.removeWaiting(stop))
        return scheduleStopCheck(stop);
    m_overdueStops.push_back(stop);
    m_taskExecutor.stop(m_options.executor, commandContext(), stop.task, stop.run,
        [this, alive = m_alive, stop, sentAt = m_loop.now()](const absl::StatusOr<TaskCommandReply>& reply) {
            if (*alive)
                handleOverdueStopReply(stop, reply, sentAt);
        });
}

void WorkerSession::handleOverdueStopReply(
    const StopTask& stop, const absl::StatusOr<TaskCommandReply>& reply, Instant sentAt)
{
    m_options.commandTimeout.recordResult(reply.status(), m_loop.now() - sentAt);
    if (reply.ok() && !checkOutcome(*reply))
        return;
    m_overdueStops.erase(std::ranges::find(m_overdueStops, stop));
    if (!reply.ok() || reply->outcome == TaskCommandOutcome::Unhealthy)
        return enqueueCommand(stop);
    recordReply(*reply);
    m_options.events.onStopAccepted(stop.task, stop.run);
}

std::vector<StopTask> WorkerSession::stopsOfPossibleRuns() const
{
    auto stops = m_commands.stopsOfPossibleRuns();
    for (const auto& stop : m_overdueStops) {
        bool isListed = std::ranges::any_of(
            stops, [&](const StopTask& it) { return it.run == stop.run && it.task == stop.task; });
        if (!isListed)
            stops.push_back(stop);
    }
    return stops;
}

void WorkerSession::sendNextCommandAfter(Milliseconds delay)
{
    m_loop.callAfter(delay, [this, alive = m_alive] {
        if (*alive)
            sendNextCommand();
    });
}

/// Repeats the command at the front, or stops its run if it is a start. A throttle lets other commands pass.
void WorkerSession::confirmLater()
{
    if (std::holds_alternative<ThrottleRun>(m_commands.front())) {
        m_commands.repeatThrottleLater(m_loop.now());
        return sendNextCommandAfter(retryDelay);
    }
    m_commands.recordFailure();
    if (std::holds_alternative<StartTask>(m_commands.front()))
        m_commands.stopFrontStart();
    sendNextCommandAfter(retryDelay);
}

void WorkerSession::handleCommandReply(const absl::StatusOr<TaskCommandReply>& reply)
{
    m_options.commandTimeout.recordResult(reply.status(), m_loop.now() - m_commandSentAt);
    if (m_options.load)
        m_options.load->recordCommand(m_commandSentAt - m_commands.frontQueuedAt(), m_loop.now() - m_commandSentAt,
            absl::IsDeadlineExceeded(reply.status()));
    if (std::exchange(m_discardsCommandReply, false)) {
        m_commands.takeFront();
        return sendNextCommand();
    }
    if (reply.ok()) {
        if (!checkOutcome(*reply))
            return;
        if (mustConfirm(*reply))
            return confirmLater();
        // The command is removed from the queue first, because recordReply() sends the next command if the worker
        // becomes reachable.
        auto action = m_commands.takeFront();
        recordReply(*reply);
        reportCommandReply(action, *reply);
        return sendNextCommand();
    }
    const auto* start = std::get_if<StartTask>(&m_commands.front());
    bool wasNotSent = absl::IsAborted(reply.status());
    if (wasNotSent && start && m_commands.failuresOfFront() == 0) {
        auto refused = m_commands.takeFront();
        recordBrokenConnection(reply.status());
        recordFailure();
        reportCommandReply(refused, { .outcome = TaskCommandOutcome::Unhealthy });
        return sendNextCommand();
    }
    // Retries to the same incarnation are idempotent; the reply to the retry gives the outcome of a command whose reply
    // was lost.
    recordBrokenConnection(reply.status());
    auto failures = m_commands.recordFailure();
    if (start && m_commands.hasStopOf(*start)) {
        m_commands.takeFront();
    } else {
        m_commands.postponeFront();
        if (failures >= commandFailuresUntilCounted)
            recordFailure();
    }
    // A timed-out command is retried immediately, because its time-out has already passed.
    auto delay = absl::IsDeadlineExceeded(reply.status()) ? Milliseconds { 0 } : retryDelay;
    sendNextCommandAfter(m_isReachable ? delay : unreachableRetryDelay);
}

/// Whether the reply leaves open what becomes of the run. The refusal of a repeated start says nothing about the
/// earlier attempt without a reply, which the worker may still execute, and an unhealthy worker has not carried out a
/// stop or a throttle.
bool WorkerSession::mustConfirm(const TaskCommandReply& reply) const
{
    if (!std::holds_alternative<StartTask>(m_commands.front()))
        return reply.outcome == TaskCommandOutcome::Unhealthy;
    bool isStartRefused
        = reply.outcome != TaskCommandOutcome::Accepted && reply.outcome != TaskCommandOutcome::Superseded;
    return isStartRefused && m_commands.failuresOfFront() > 0;
}

void WorkerSession::reportCommandReply(const TaskAction& action, const TaskCommandReply& reply)
{
    if (const auto* start = std::get_if<StartTask>(&action))
        m_options.events.onStartReply(*start, reply.outcome);
    else if (const auto* stop = std::get_if<StopTask>(&action))
        m_options.events.onStopAccepted(stop->task, stop->run);
}

}
