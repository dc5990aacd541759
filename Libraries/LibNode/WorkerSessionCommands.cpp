#include <LibCore/GuardedCall.h>
#include <LibHttp/EventLoop.h>
#include <LibNode/LeaderLoad.h>
#include <LibNode/WorkerSession.h>
#include <algorithm>
#include <utility>

// Sends the task commands of a session to its worker.

namespace Bergamot {

/// Delay between stops to an unreachable worker. Each may need a new connection.
static constexpr Milliseconds unreachableRetryDelay { 500 };

/// A stop that has waited for this long behind other commands is sent beside them. Its run goes on until then, because
/// the lease is renewed for all runs of the worker.
static constexpr Milliseconds maxStopWait { 1000 };

/// From this failure of a command on, each of its failures also counts as a failure of the worker.
static constexpr uint32_t commandFailuresUntilCounted { 3 };

void WorkerSession::enqueueCommand(TaskAction action)
{
    if (const auto* start = std::get_if<StartTask>(&action)) {
        if (!m_isReachable)
            return m_options.events.onStartReply(*start, TaskCommandOutcome::Unhealthy);
        // An earlier proof may be old.
        m_hasProofForFront = m_hasProofForFront && !start->isSuspected;
    }
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
    if (m_commands.isInProgress() || !m_clock.isKnown() || !refuseForbiddenStarts() || m_commands.isEmpty())
        return;
    // A worker that is held for unreachable may only have been late, and its first lease renewal may have to wait
    // behind those of other workers. Its runs go on until its lease has expired, so stops do not wait.
    bool isStop = std::holds_alternative<StopTask>(m_commands.front());
    if (!m_isReachable && !isStop)
        return;
    const auto* nextStart = std::get_if<StartTask>(&m_commands.front());
    bool mustProve = !isIncarnationProven() || (nextStart && nextStart->isSuspected && !m_hasProofForFront);
    if (mustProve && !isStop)
        return proveIncarnation();
    m_hasProofForFront = false;
    m_commands.beginFront();
    m_commandSentAt = m_loop.now();
    auto context = commandContext();
    ++m_callsInProgress;
    auto onReply = [this, alive = m_alive](absl::StatusOr<TaskCommandReply> reply) {
        if (!*alive)
            return;
        recordCallResult(reply.status());
        handleCommandReply(reply);
    };
    const auto& action = m_commands.front();
    if (const auto* start = std::get_if<StartTask>(&action)) {
        StartTaskCommand command { .task = start->task,
            .run = start->run,
            .payload = start->payload,
            .checkpoint = start->checkpoint,
            .leaseUntilMs = leaseEndMs() };
        recordGrantedLease(command.leaseUntilMs);
        m_lastStartSentAt = m_loop.now();
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
    m_unprovenStarts.incarnationProven(requestSentAt);
}

/// The lease renewal in progress may take seconds, and it may have been answered before the connection broke.
void WorkerSession::proveIncarnation()
{
    if (std::exchange(m_isProofInProgress, true))
        return;
    m_hasProofForFront = false;
    ++m_callsInProgress;
    m_taskExecutor.renewLease(m_options.executor, m_fenceToken, {},
        [this, alive = m_alive, requestSentAt = m_loop.now(), onLateEnds = m_options.events.onLateEnds](
            const absl::StatusOr<RenewLeaseReply>& reply) {
            if (!*alive)
                return reply.ok() ? onLateEnds(reply->ended) : void();
            recordCallResult(reply.status());
            m_isProofInProgress = false;
            if (!reply.ok())
                return sendNextCommandAfter(retryDelay);
            auto check = checkReply(reply->commandReply, requestSentAt);
            if (check == ReplyCheck::SessionEnded)
                return;
            if (check == ReplyCheck::Ignored || reply->commandReply.outcome != TaskCommandOutcome::Accepted)
                return sendNextCommandAfter(retryDelay);
            recordProof(requestSentAt);
            m_hasProofForFront = true;
            recordReply(reply->commandReply, requestSentAt);
            // A later report may have been read already, so the reply says nothing about the active runs.
            guardedCall("report_failed", [&] { m_options.events.onEndsListed(reply->ended); });
            if (*alive)
                sendNextCommand();
        });
}

TaskCommandContext WorkerSession::commandContext() const
{
    return { .fenceToken = m_fenceToken, .timeout = m_options.commandTimeout.current() };
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
    ++m_callsInProgress;
    m_taskExecutor.stop(m_options.executor, commandContext(), stop.task, stop.run,
        [this, alive = m_alive, stop, sentAt = m_loop.now()](const absl::StatusOr<TaskCommandReply>& reply) {
            if (!*alive)
                return;
            recordCallResult(reply.status());
            handleOverdueStopReply(stop, reply, sentAt);
        });
}

void WorkerSession::handleOverdueStopReply(
    const StopTask& stop, const absl::StatusOr<TaskCommandReply>& reply, Instant sentAt)
{
    m_options.commandTimeout.recordResult(reply.status(), m_loop.now() - sentAt);
    auto check = reply.ok() ? checkReply(*reply, sentAt) : ReplyCheck::Ignored;
    if (check == ReplyCheck::SessionEnded)
        return;
    m_overdueStops.erase(std::ranges::find(m_overdueStops, stop));
    if (check == ReplyCheck::Ignored || reply->outcome == TaskCommandOutcome::Unhealthy)
        return enqueueCommand(stop);
    recordCommandReply(*reply, sentAt);
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

std::vector<StopTask> WorkerSession::stopsOfUnprovenRuns() const { return m_unprovenStarts.stops(m_loop.now()); }

const StartTask* WorkerSession::startWithoutReplyFor(Milliseconds time) const
{
    if (!m_commands.isInProgress() || m_loop.now() - m_commandSentAt < time)
        return nullptr;
    return std::get_if<StartTask>(&m_commands.front());
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
    if (!reply.ok())
        return handleLostCommandReply(reply.status());
    auto check = checkReply(*reply, m_commandSentAt);
    if (check == ReplyCheck::SessionEnded)
        return;
    if (check == ReplyCheck::Ignored)
        return handleLostCommandReply(absl::UnavailableError("reply of another incarnation"));
    if (mustConfirm(*reply))
        return confirmLater();
    // The command is removed from the queue first, because recordReply() sends the next command if the worker becomes
    // reachable.
    auto action = m_commands.takeFront();
    recordCommandReply(*reply, m_commandSentAt);
    reportCommandReply(action, *reply);
    sendNextCommand();
}

void WorkerSession::handleLostCommandReply(const absl::Status& status)
{
    const auto* start = std::get_if<StartTask>(&m_commands.front());
    bool wasNotSent = absl::IsAborted(status);
    if (wasNotSent && start && m_commands.failuresOfFront() == 0) {
        auto refused = m_commands.takeFront();
        recordBrokenConnection(status);
        recordFailure();
        reportCommandReply(refused, { .outcome = TaskCommandOutcome::Unhealthy });
        return sendNextCommand();
    }
    // Retries to the same incarnation are idempotent; the reply to the retry gives the outcome of a command whose reply
    // was lost.
    recordBrokenConnection(status);
    if (start) {
        m_unprovenStarts.addUnanswered(*start, m_loop.now());
        m_options.events.onStartUnanswered(*start);
    }
    auto failures = m_commands.recordFailure();
    if (start && m_commands.hasStopOf(*start)) {
        m_commands.takeFront();
    } else {
        m_commands.postponeFront();
        if (failures >= commandFailuresUntilCounted)
            recordFailure();
    }
    // A timed-out command is retried immediately, because its time-out has already passed.
    auto delay = absl::IsDeadlineExceeded(status) ? Milliseconds { 0 } : retryDelay;
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
    const auto* start = std::get_if<StartTask>(&action);
    if (start && reply.outcome == TaskCommandOutcome::Accepted && reply.startedAtMs == 0)
        m_unprovenStarts.addAccepted(*start, m_loop.now());
    if (start)
        m_options.events.onStartReply(*start, reply.outcome);
    else if (const auto* stop = std::get_if<StopTask>(&action))
        m_options.events.onStopAccepted(stop->task, stop->run);
}

}
