#include <LibCore/Digest.h>
#include <LibCore/Logger.h>
#include <LibCore/StatusText.h>
#include <LibEntry/ServicePath.h>
#include <algorithm>
#include <fmt/format.h>
#include <utility>

namespace Bergamot {

/// Time for which a request may hold its slot after its deadline, so that the reply can arrive and be processed.
static constexpr Milliseconds holdMargin { 50 };

absl::StatusOr<std::shared_ptr<ServicePath>> ServicePath::create(Options options)
{
    auto slots = SlotTable::create({ .self = options.member,
        .incarnation = options.incarnation,
        .zone = options.zone,
        .maxHoldTime = options.service.timeout + holdMargin });
    if (!slots.ok())
        return slots.status();
    auto admission = Admission::create({ .maxQueued = options.queueLimit, .targetQueueDelay = options.queueTimeout });
    if (!admission.ok())
        return admission.status();
    auto retries = RetryBudget::create({ .shareMillis = options.retrySharePercent * 10 });
    if (!retries.ok())
        return retries.status();
    auto outliers = OutlierDetector::create({});
    if (!outliers.ok())
        return outliers.status();
    return std::shared_ptr<ServicePath>(
        new ServicePath(std::move(options), std::move(*slots), std::move(*admission), *retries, std::move(*outliers)));
}

ServicePath::ServicePath(
    Options options, SlotTable slots, Admission admission, RetryBudget retries, OutlierDetector outliers)
    : m_options(std::move(options))
    , m_slots(std::move(slots))
    , m_admission(std::move(admission))
    , m_retries(retries)
    , m_outliers(std::move(outliers))
    , m_random(m_options.seed)
{
}

static void warnUnlessOk(const absl::Status& status, std::string_view input)
{
    if (!status.ok())
        logWarning("quick_path_input_refused", { { "input", input }, { "error", statusText(status) } });
}

void ServicePath::run(QuickRequest request, Done done)
{
    auto pending = std::make_shared<PendingRequest>();
    pending->request = std::move(request);
    pending->done = std::move(done);
    Actions actions;
    {
        std::lock_guard lock(m_mutex);
        m_retries.recordFirstTry();
        auto id = m_nextId++;
        m_pending.emplace(id, pending);
        offer(id, pending, actions);
    }
    perform(std::move(actions));
}

void ServicePath::offer(uint64_t id, const PendingRequestPtr& pending, Actions& actions)
{
    auto now = m_options.clock->now();
    // Non-idempotent requests are critical because their callers cannot safely retry them.
    auto priority = pending->request.nonIdempotent ? Priority::Critical : Priority::Normal;
    warnUnlessOk(m_admission.setSlots(m_slots.inUse() + m_slots.freeFor(m_options.service.timeout, now)), "slots");
    auto decision = m_admission.offer({ .id = id, .priority = priority, .deadline = pending->request.deadline }, now);
    if (!decision.ok()) {
        reject(id, { .result = QuickResult::Overloaded, .detail = statusText(decision.status()) }, actions);
        return;
    }
    if (decision->displaced)
        reject(decision->displaced->id,
            { .result = QuickResult::Overloaded,
                .detail = "displaced by a request of a higher class",
                .retryAfterSeconds = 1 },
            actions);
    if (decision->outcome == Admission::Outcome::Start) {
        startAttempt(id, now, actions);
    } else if (decision->outcome == Admission::Outcome::Reject) {
        auto result
            = decision->reason == Admission::Reason::Deadline ? QuickResult::DeadlineExceeded : QuickResult::Overloaded;
        reject(id, { .result = result, .detail = "the request would wait too long for a slot", .retryAfterSeconds = 1 },
            actions);
    }
}

void ServicePath::reject(uint64_t id, QuickOutcome outcome, Actions& actions)
{
    auto it = m_pending.find(id);
    if (it == m_pending.end())
        return;
    outcome = mergeEarlierTries(*it->second, std::move(outcome));
    actions.rejections.push_back({ std::move(it->second), std::move(outcome) });
    m_pending.erase(it);
}

QuickOutcome ServicePath::mergeEarlierTries(const PendingRequest& pending, QuickOutcome outcome)
{
    if (outcome.ran == RanState::No && pending.ran == RanState::Unknown) {
        outcome.ran = RanState::Unknown;
        outcome.result = QuickResult::OutcomeUnknown;
        outcome.detail = "an earlier try may have run";
    }
    return outcome;
}

void ServicePath::startAttempt(uint64_t id, Instant now, Actions& actions)
{
    auto it = m_pending.find(id);
    if (it == m_pending.end())
        return;
    auto& pending = it->second;
    auto holdTime = std::min(pending->request.deadline - now, m_options.service.timeout) + holdMargin;
    auto use = m_slots.acquire(holdTime, m_random(), now, pending->triedWorkers);
    if (!use.ok()) {
        warnUnlessOk(m_admission.finish(id, std::chrono::microseconds { 0 }, now), "finish");
        bool lacksAuthority = absl::IsFailedPrecondition(use.status());
        reject(id,
            { .result = lacksAuthority ? QuickResult::NoAuthority : QuickResult::NoUpstream,
                .detail = statusText(use.status()),
                .retryAfterSeconds = 1 },
            actions);
        return;
    }
    const auto& upstream = m_upstreams.at(use->worker);
    actions.attempts.push_back({ id, pending, *use, upstream.address, upstream.zone });
}

void ServicePath::startQueuedRequests(Actions& actions)
{
    auto now = m_options.clock->now();
    warnUnlessOk(m_admission.setSlots(m_slots.inUse() + m_slots.freeFor(m_options.service.timeout, now)), "slots");
    warnUnlessOk(m_slots.recordWaiting(m_admission.queued(), now), "waiting");
    auto batch = m_admission.startQueued(now);
    if (!batch.ok())
        return;
    for (auto id : batch->started)
        startAttempt(id, now, actions);
    for (const auto& rejected : batch->rejected)
        reject(rejected.id, { .result = QuickResult::DeadlineExceeded, .detail = "the deadline passed in the queue" },
            actions);
}

void ServicePath::perform(Actions actions)
{
    for (auto& rejection : actions.rejections)
        rejection.pending->done(rejection.outcome);
    for (auto& attempt : actions.attempts)
        sendAttempt(std::move(attempt));
}

void ServicePath::sendAttempt(Attempt attempt)
{
    const auto& request = attempt.pending->request;
    auto remaining = request.deadline - m_options.clock->now();
    HttpCall call {
        .method = "POST",
        .url = attempt.address + "/service/" + m_options.service.name,
        .body = request.body,
        .timeout = std::clamp(remaining, Milliseconds { 1 }, m_options.service.timeout),
        .freshConnection = request.nonIdempotent,
        .sendLimit = request.nonIdempotent ? SendLimit::once() : SendLimit::unlimited(),
        .requestId = m_options.requestIds->next(),
    };
    if (!request.idempotencyKey.empty())
        call.headers.push_back({ "Idempotency-Key", request.idempotencyKey });
    if (request.nonIdempotent)
        call.headers.push_back({ "X-Non-Idempotent", "1" });
    ++attempt.pending->tries;
    auto sentAt = std::chrono::steady_clock::now();
    auto& engine = *m_options.engines[attempt.id % m_options.engines.size()];
    engine.submit(
        std::move(call), [self = shared_from_this(), attempt = std::move(attempt), sentAt](const auto& reply) {
            self->handleReply(attempt, sentAt, reply);
        });
}

QuickOutcome ServicePath::classifyReply(const QuickRequest& request, const absl::StatusOr<HttpReply>& reply) const
{
    if (!reply.ok()) {
        if (absl::IsAborted(reply.status()))
            return { .result = QuickResult::NoUpstream, .detail = "the upstream does not accept connections" };
        return { .result = QuickResult::OutcomeUnknown,
            .ran = RanState::Unknown,
            .detail = "no whole answer arrived from the upstream" };
    }
    if (headerValue(reply->headers, "X-Ran") == "no")
        return { .result = QuickResult::Overloaded, .detail = "the upstream had no free slot", .retryAfterSeconds = 1 };
    if (reply->status != 200)
        return { .result = QuickResult::UpstreamError,
            .ran = reply->status < 500 ? RanState::No : RanState::Unknown,
            .status = reply->status,
            .detail = fmt::format("the upstream answered with status {}", reply->status) };
    bool isOwnRequest = headerValue(reply->headers, "X-Request-Digest") == fmt::format("{:016x}", request.bodyDigest);
    bool isCompleteReply = headerValue(reply->headers, "X-Answer-Digest") == hexDigestOf(reply->body);
    if (!isOwnRequest || !isCompleteReply)
        return { .result = QuickResult::OutcomeUnknown,
            .ran = RanState::Unknown,
            .detail = "the answer of the upstream is of another request or incomplete" };
    return { .result = QuickResult::Completed, .ran = RanState::Yes, .status = 200, .body = reply->body };
}

void ServicePath::recordHealth(
    const WorkerId& worker, const QuickOutcome& outcome, std::chrono::microseconds latency, Instant now)
{
    if (!m_upstreams.contains(worker))
        return;
    // An overloaded upstream is not faulty.
    if (outcome.result == QuickResult::Overloaded)
        return;
    auto ejection = outcome.result == QuickResult::Completed ? m_outliers.recordSuccess(worker, latency, now)
                                                             : m_outliers.recordFailure(worker, now);
    if (ejection.ok() && *ejection) {
        logWarning("upstream_ejected", { { "worker", worker }, { "service", m_options.service.name } });
        updateWeights(now);
    }
}

bool ServicePath::isRetryAllowed(const PendingRequest& pending, const QuickOutcome& outcome, Instant now)
{
    if (outcome.result == QuickResult::Completed || outcome.result == QuickResult::UpstreamError)
        return false;
    auto decision
        = m_retries.retry({ .tries = pending.tries,
                              .deadline = pending.request.deadline,
                              .expectedDuration = std::chrono::ceil<Milliseconds>(m_admission.meanServiceTime()),
                              .isIdempotent = !pending.request.nonIdempotent,
                              .didNotRun = outcome.ran == RanState::No },
            now, m_random());
    return decision.ok() && decision->outcome == RetryBudget::Outcome::Granted;
}

void ServicePath::handleReply(
    const Attempt& attempt, std::chrono::steady_clock::time_point sentAt, const absl::StatusOr<HttpReply>& reply)
{
    auto latency = std::chrono::duration_cast<std::chrono::microseconds>(std::chrono::steady_clock::now() - sentAt);
    auto outcome = classifyReply(attempt.pending->request, reply);
    outcome.zone = attempt.zone;
    Actions actions;
    bool isFinal = true;
    {
        std::lock_guard lock(m_mutex);
        auto now = m_options.clock->now();
        warnUnlessOk(m_slots.release(attempt.use.id, now), "slot");
        warnUnlessOk(m_admission.finish(attempt.id, latency, now), "finish");
        recordHealth(attempt.use.worker, outcome, latency, now);
        if (isRetryAllowed(*attempt.pending, outcome, now)) {
            isFinal = false;
            // FIXME: The back-off of the decision is not waited for; a retry goes to another worker at once.
            attempt.pending->ran = std::max(attempt.pending->ran, outcome.ran);
            attempt.pending->triedWorkers.push_back(attempt.use.worker);
            offer(attempt.id, attempt.pending, actions);
        } else {
            m_pending.erase(attempt.id);
        }
        startQueuedRequests(actions);
    }
    if (isFinal)
        attempt.pending->done(mergeEarlierTries(*attempt.pending, std::move(outcome)));
    perform(std::move(actions));
}

void ServicePath::setView(LogPosition position, const std::vector<SlotTable::Member>& members,
    const std::vector<Upstream>& upstreams, bool isContiguous)
{
    std::lock_guard lock(m_mutex);
    auto now = m_options.clock->now();
    SlotTable::View view { .position = position, .members = members, .isContiguous = isContiguous };
    std::vector<OutlierDetector::Upstream> capacities;
    m_upstreams.clear();
    for (const auto& upstream : upstreams) {
        auto slots = m_options.service.slotsPerWorker;
        view.workers.push_back({ .id = upstream.worker, .zone = upstream.zone, .slots = slots });
        capacities.push_back({ .id = upstream.worker, .capacity = slots });
        m_upstreams.emplace(upstream.worker, upstream);
    }
    warnUnlessOk(m_slots.applyView(view, now), "view");
    warnUnlessOk(m_outliers.setUpstreams(capacities, now), "upstreams");
    updateWeights(now);
}

void ServicePath::setRoutable(const std::function<bool(const WorkerId&)>& isRoutable)
{
    std::lock_guard lock(m_mutex);
    m_routable.clear();
    for (const auto& [worker, upstream] : m_upstreams)
        m_routable[worker] = isRoutable(worker);
    updateWeights(m_options.clock->now());
}

void ServicePath::updateWeights(Instant now)
{
    for (const auto& [worker, upstream] : m_upstreams) {
        auto it = m_routable.find(worker);
        bool isRoutable = it == m_routable.end() || it->second;
        auto weight = m_outliers.weightMillis(worker, now);
        warnUnlessOk(m_slots.setWeight(worker, isRoutable && weight.ok() ? *weight : 0), "weight");
    }
}

void ServicePath::setAuthorityExpiry(Instant expiry)
{
    std::lock_guard lock(m_mutex);
    m_slots.setAuthorityExpiry(expiry);
}

void ServicePath::recordPosition(const MemberId& member, LogPosition position)
{
    std::lock_guard lock(m_mutex);
    // The error is ignored because a process may send heartbeats before it has joined as a member.
    m_slots.recordPosition(member, position, m_options.clock->now()).IgnoreError();
}

void ServicePath::recordPeerFreeSlots(const MemberId& member, int64_t freeSlots)
{
    std::lock_guard lock(m_mutex);
    m_slots.recordPeerFreeSlots(member, freeSlots, m_options.clock->now()).IgnoreError();
}

ServicePath::LoanMessages ServicePath::tick()
{
    Actions actions;
    LoanMessages loans;
    {
        std::lock_guard lock(m_mutex);
        auto now = m_options.clock->now();
        warnUnlessOk(m_outliers.recordLoad(m_slots.inUse()), "load");
        if (auto ejections = m_outliers.evaluate(now); ejections.ok() && !ejections->empty())
            updateWeights(now);
        startQueuedRequests(actions);
        if (auto loanRequests = m_slots.makeLoanRequests(now, m_random()); loanRequests.ok())
            loans.loanRequests = std::move(*loanRequests);
        if (auto returns = m_slots.returnIdleLoans(now); returns.ok())
            loans.returns = std::move(*returns);
    }
    perform(std::move(actions));
    return loans;
}

std::vector<LoanGrant> ServicePath::lend(const LoanRequest& loanRequest)
{
    std::lock_guard lock(m_mutex);
    auto grants = m_slots.lend(loanRequest, m_options.clock->now());
    return grants.ok() ? std::move(*grants) : std::vector<LoanGrant> {};
}

void ServicePath::applyGrant(const LoanGrant& grant)
{
    Actions actions;
    {
        std::lock_guard lock(m_mutex);
        // The slot table rejects late and repeated grants. Both are expected, so the error is ignored.
        m_slots.applyGrant(grant, m_options.clock->now()).IgnoreError();
        startQueuedRequests(actions);
    }
    perform(std::move(actions));
}

void ServicePath::acceptReturn(const LoanReturn& loan)
{
    std::lock_guard lock(m_mutex);
    m_slots.acceptReturn(loan, m_options.clock->now()).IgnoreError();
}

int64_t ServicePath::freeSlots() const
{
    std::lock_guard lock(m_mutex);
    return m_slots.lendable();
}

int64_t ServicePath::settledSlots() const
{
    std::lock_guard lock(m_mutex);
    return m_slots.settled();
}

size_t ServicePath::requestsInProgress() const
{
    std::lock_guard lock(m_mutex);
    return m_pending.size();
}

}
