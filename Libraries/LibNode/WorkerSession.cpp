#include <LibCore/Logger.h>
#include <LibCore/StatusText.h>
#include <LibHttp/EventLoop.h>
#include <LibNode/WorkerSession.h>
#include <algorithm>
#include <utility>

namespace Bergamot {

static constexpr Milliseconds idleWait { 2000 };
static constexpr Milliseconds retryDelay { 150 };

/// Ends that come within this time share an answer.
static constexpr Milliseconds pauseAfterEnds { 25 };
static constexpr uint32_t failuresUntilUnreachable { 2 };
static constexpr uint32_t attemptsPerOrder { 3 };

/// A worker's clock may be this much slower than the local one.
static constexpr double slowestClock = 0.975;
static constexpr Milliseconds lapseMargin { 150 };

WorkerSession::WorkerSession(EventLoop& loop, TaskExecutor& taskExecutor, Options options)
    : m_loop(loop)
    , m_taskExecutor(taskExecutor)
    , m_options(std::move(options))
{
    // An earlier leader may have renewed until now.
    m_lapsedBy = m_loop.now() + std::chrono::duration_cast<Milliseconds>(m_options.lease / slowestClock) + lapseMargin;
}

WorkerSession::~WorkerSession() { *m_alive = false; }

void WorkerSession::start()
{
    renewLease();
    checkLapse();
}

int64_t WorkerSession::leaseEnd() const
{
    return *m_clockMs + (m_loop.now() - m_clockReadAt).count() + m_options.lease.count();
}

/// Time until a clock that may be slow has advanced by `ms`.
static Milliseconds slowClockTime(int64_t ms)
{
    return Milliseconds { static_cast<int64_t>(static_cast<double>(ms) / slowestClock) + lapseMargin.count() };
}

void WorkerSession::renewLease()
{
    if (m_renewingLease)
        return;
    m_renewingLease = true;
    m_leaseRenewalScheduled = false;
    if (m_reachable)
        return sendLeaseRenewal(nullptr);
    m_options.questionWindow->request([this, alive = m_alive] {
        if (!*alive)
            return false;
        sendLeaseRenewal(m_options.questionWindow);
        return true;
    });
}

/// `window` is told when the question has ended.
void WorkerSession::sendLeaseRenewal(std::shared_ptr<CallWindow> window)
{
    RenewLeaseRequest request { .wait = m_settled ? (m_busy ? m_options.reportWait : idleWait) : Milliseconds { 0 } };
    // Acknowledging again what is acknowledged could hit the ends of a later life.
    if (m_stored > m_acknowledged)
        request.acknowledged = m_stored;
    // A question to a worker that does not answer renews nothing, so that its leases lapse at a known time.
    if (m_clockMs && m_reachable) {
        request.leaseUntilMs = leaseEnd();
        m_latestLeaseEnd = std::max(m_latestLeaseEnd, *request.leaseUntilMs);
        m_lapsedBy = std::max(m_lapsedBy, m_clockReadAt + slowClockTime(m_latestLeaseEnd - *m_clockMs));
    }
    auto requestSentAt = m_loop.now();
    m_taskExecutor.renewLease(m_options.host, m_options.epoch, request,
        [this, alive = m_alive, requestSentAt, stored = request.acknowledged, window = std::move(window)](
            absl::StatusOr<RenewLeaseReply> answer) {
            if (window)
                window->ended();
            if (!*alive)
                return;
            if (answer.ok())
                m_acknowledged = std::max(m_acknowledged, stored);
            leaseRenewalAnswered(std::move(answer), requestSentAt);
        });
}

void WorkerSession::renewLeaseSoon(Milliseconds delay)
{
    if (std::exchange(m_leaseRenewalScheduled, true))
        return;
    m_loop.callAfter(delay, [this, alive = m_alive] {
        if (*alive)
            renewLease();
    });
}

bool WorkerSession::checkOutcome(const TaskCommandReply& answer)
{
    if (answer.outcome == TaskCommandOutcome::Fenced) {
        m_options.events.onFenced();
        return false;
    }
    bool otherIncarnation
        = answer.startedAtMs != 0 && m_options.startedAtMs != 0 && answer.startedAtMs != m_options.startedAtMs;
    if (answer.outcome == TaskCommandOutcome::IncarnationMismatch || otherIncarnation) {
        m_options.events.onIncarnationMismatch();
        return false;
    }
    return true;
}

void WorkerSession::noteAnswer(const TaskCommandReply& answer)
{
    if (m_options.startedAtMs == 0)
        m_options.startedAtMs = answer.startedAtMs;
    if (answer.clockMs) {
        m_clockMs = answer.clockMs;
        m_clockReadAt = m_loop.now();
    }
    m_failures = 0;
    m_lapseReported = false;
    if (std::exchange(m_reachable, true))
        return;
    m_options.events.onReachableChanged(true);
    sendNextOrder();
}

void WorkerSession::noteFailure()
{
    if (++m_failures < failuresUntilUnreachable || !m_reachable)
        return;
    m_reachable = false;
    refuseQueuedStarts();
    m_options.events.onReachableChanged(false);
}

/// A start must not be delivered long after it was decided. One that may have arrived is replaced by a stop, which
/// keeps the worker from carrying it out later.
void WorkerSession::refuseQueuedStarts()
{
    std::vector<StartTask> refused;
    std::deque<TaskAction> kept;
    for (auto& action : m_orders) {
        const auto* start = std::get_if<StartTask>(&action);
        bool attempted = kept.empty() && refused.empty() && (m_ordering || m_orderFailures > 0);
        if (start && !attempted)
            refused.push_back(*start);
        else if (start && !m_ordering)
            kept.push_back(StopTask { .worker = start->worker, .task = start->task, .run = start->run });
        else
            kept.push_back(std::move(action));
    }
    m_orders = std::move(kept);
    for (const auto& start : refused)
        m_options.events.onStartAnswered(start, TaskCommandOutcome::Unhealthy);
}

/// Removes the start that a stop makes needless. Returns false when the stop is still to be sent.
bool WorkerSession::cancelQueuedStart(const StopTask& stop)
{
    for (size_t i = 0; i < m_orders.size(); ++i) {
        const auto* start = std::get_if<StartTask>(&m_orders[i]);
        if (!start || start->run != stop.run || start->task != stop.task)
            continue;
        bool inProgress = i == 0 && m_ordering;
        bool mayHaveArrived = i == 0 && m_orderFailures > 0;
        if (inProgress)
            return false;
        auto removed = *start;
        m_orders.erase(m_orders.begin() + static_cast<std::ptrdiff_t>(i));
        if (mayHaveArrived)
            return false;
        m_options.events.onStartAnswered(removed, TaskCommandOutcome::Unhealthy);
        return true;
    }
    return false;
}

void WorkerSession::leaseRenewalAnswered(absl::StatusOr<RenewLeaseReply> answer, Instant requestSentAt)
{
    m_renewingLease = false;
    if (!answer.ok()) {
        noteFailure();
        return renewLeaseSoon(retryDelay);
    }
    if (!checkOutcome(answer->commandReply))
        return;
    if (answer->commandReply.outcome != TaskCommandOutcome::Accepted) {
        noteFailure();
        return renewLeaseSoon(retryDelay);
    }
    noteAnswer(answer->commandReply);
    m_settled = true;
    m_busy = !answer->running.empty();
    bool newEnds = false;
    for (const auto& end : answer->ended) {
        newEnds = newEnds || end.sequence > m_seen;
        m_seen = std::max(m_seen, end.sequence);
    }
    m_options.events.onReport(*answer, requestSentAt);
    if (!*m_alive)
        return;
    // While ends are unacknowledged the worker answers at once, so the next question waits for acknowledge().
    if (m_seen > m_stored) {
        if (!newEnds)
            renewLeaseSoon(m_options.reportWait);
        else
            renewLeaseSoon(retryDelay);
        return;
    }
    renewLeaseSoon(newEnds ? pauseAfterEnds : Milliseconds { 0 });
}

void WorkerSession::acknowledge(uint64_t sequence)
{
    if (sequence <= m_stored)
        return;
    m_stored = sequence;
    if (m_stored >= m_seen && !m_renewingLease) {
        m_loop.callAfter(pauseAfterEnds, [this, alive = m_alive] {
            if (*alive)
                renewLease();
        });
    }
}

void WorkerSession::checkLapse()
{
    constexpr Milliseconds checkInterval { 200 };
    if (!m_reachable && !m_lapseReported && m_loop.now() >= m_lapsedBy) {
        m_lapseReported = true;
        m_settled = true;
        m_orders.resize(m_ordering ? 1 : 0);
        m_discardOrder = m_ordering;
        m_options.events.onLapsed();
        if (!*m_alive)
            return;
    }
    m_loop.callAfter(checkInterval, [this, alive = m_alive] {
        if (*alive)
            checkLapse();
    });
}

void WorkerSession::order(TaskAction action)
{
    if (const auto* start = std::get_if<StartTask>(&action); start && !m_reachable)
        return m_options.events.onStartAnswered(*start, TaskCommandOutcome::Unhealthy);
    if (const auto* stop = std::get_if<StopTask>(&action); stop && cancelQueuedStart(*stop))
        return;
    m_orders.push_back(std::move(action));
    sendNextOrder();
}

void WorkerSession::sendNextOrder()
{
    if (m_ordering || m_orders.empty() || !m_clockMs || !m_reachable)
        return;
    m_ordering = true;
    m_orderSentAt = m_loop.now();
    TaskCommandContext context { .epoch = m_options.epoch, .timeout = m_options.orderTimeout.current() };
    auto onAnswer = [this, alive = m_alive](absl::StatusOr<TaskCommandReply> answer) {
        if (*alive)
            orderAnswered(answer);
    };
    const auto& action = m_orders.front();
    if (const auto* start = std::get_if<StartTask>(&action)) {
        StartTaskCommand command { .task = start->task,
            .run = start->run,
            .payload = start->payload,
            .checkpoint = start->checkpoint,
            .leaseUntilMs = leaseEnd() };
        m_latestLeaseEnd = std::max(m_latestLeaseEnd, command.leaseUntilMs);
        m_lapsedBy = std::max(m_lapsedBy, m_clockReadAt + slowClockTime(m_latestLeaseEnd - *m_clockMs));
        m_busy = true;
        m_taskExecutor.start(m_options.host, context, command, onAnswer);
    } else if (const auto* stop = std::get_if<StopTask>(&action)) {
        m_taskExecutor.stop(m_options.host, context, stop->task, stop->run, onAnswer);
    } else if (const auto* throttle = std::get_if<ThrottleRun>(&action)) {
        m_taskExecutor.throttle(
            m_options.host, context, throttle->task, throttle->run, throttle->speedPercent, onAnswer);
    }
}

void WorkerSession::orderAnswered(const absl::StatusOr<TaskCommandReply>& answer)
{
    m_ordering = false;
    m_options.orderTimeout.observe(answer.status(), m_loop.now() - m_orderSentAt);
    if (std::exchange(m_discardOrder, false)) {
        m_orders.pop_front();
        return sendNextOrder();
    }
    if (answer.ok()) {
        m_orderFailures = 0;
        if (!checkOutcome(*answer))
            return;
        // The order leaves the queue first, because a regained worker gets the next one at once.
        auto action = takeOrder();
        noteAnswer(*answer);
        reportOrder(action, *answer);
        return sendNextOrder();
    }
    bool neverSent = absl::IsAborted(answer.status());
    const auto& action = m_orders.front();
    if (neverSent && std::holds_alternative<StartTask>(action) && m_orderFailures == 0) {
        auto refused = takeOrder();
        noteFailure();
        reportOrder(refused, { .outcome = TaskCommandOutcome::Unhealthy });
        return sendNextOrder();
    }
    // A repeat of the same order is harmless; whether the lost one arrived is decided by the answer to the repeat.
    ++m_orderFailures;
    if (const auto* start = std::get_if<StartTask>(&action); start && hasQueuedStop(*start)) {
        m_orders.pop_front();
        m_orderFailures = 0;
    } else if (m_orderFailures >= attemptsPerOrder) {
        noteFailure();
    }
    // A lost answer has cost its time-out already.
    auto delay = absl::IsDeadlineExceeded(answer.status()) ? Milliseconds { 0 } : retryDelay;
    m_loop.callAfter(delay, [this, alive = m_alive] {
        if (*alive)
            sendNextOrder();
    });
}

bool WorkerSession::hasQueuedStop(const StartTask& start) const
{
    return std::ranges::any_of(m_orders, [&](const TaskAction& action) {
        const auto* stop = std::get_if<StopTask>(&action);
        return stop && stop->run == start.run && stop->task == start.task;
    });
}

TaskAction WorkerSession::takeOrder()
{
    auto action = std::move(m_orders.front());
    m_orders.pop_front();
    return action;
}

void WorkerSession::reportOrder(const TaskAction& action, const TaskCommandReply& answer)
{
    if (const auto* start = std::get_if<StartTask>(&action))
        m_options.events.onStartAnswered(*start, answer.outcome);
    else if (const auto* stop = std::get_if<StopTask>(&action))
        m_options.events.onStopAccepted(stop->task, stop->run);
}

}
