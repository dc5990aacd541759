#include <LibCore/Digest.h>
#include <LibCore/Logger.h>
#include <LibCore/StatusText.h>
#include <LibEntry/ServicePath.h>
#include <algorithm>
#include <fmt/format.h>
#include <utility>

namespace Bergamot {

/// Time by which a request's slot outlives its deadline, for the reply to arrive and be processed.
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

static void warnUnlessOk(const absl::Status& status, std::string_view what)
{
    if (!status.ok())
        logWarning("quick_path_input_refused", { { "input", what }, { "error", statusText(status) } });
}

void ServicePath::run(QuickRequest request, Done done)
{
    auto pending = std::make_shared<Pending>();
    pending->request = std::move(request);
    pending->done = std::move(done);
    Work work;
    {
        std::lock_guard lock(m_mutex);
        m_retries.recordFirstTry();
        auto id = m_nextId++;
        m_pending.emplace(id, pending);
        offer(id, pending, work);
    }
    perform(std::move(work));
}

void ServicePath::offer(uint64_t id, const PendingPtr& pending, Work& work)
{
    auto now = m_options.clock->now();
    // Critical requests are those that may run only once; their callers cannot simply try again.
    auto priority = pending->request.nonIdempotent ? Priority::Critical : Priority::Normal;
    warnUnlessOk(m_admission.setSlots(m_slots.inUse() + m_slots.freeFor(m_options.service.timeout, now)), "slots");
    auto decision = m_admission.offer({ .id = id, .priority = priority, .deadline = pending->request.deadline }, now);
    if (!decision.ok()) {
        refuse(id, { .result = QuickResult::Overloaded, .detail = statusText(decision.status()) }, work);
        return;
    }
    if (decision->displaced)
        refuse(decision->displaced->id,
            { .result = QuickResult::Overloaded,
                .detail = "displaced by a request of a higher class",
                .retryAfterSeconds = 1 },
            work);
    if (decision->verdict == Admission::Verdict::Start) {
        startOne(id, now, work);
    } else if (decision->verdict == Admission::Verdict::Reject) {
        auto result
            = decision->reason == Admission::Reason::Deadline ? QuickResult::DeadlineExceeded : QuickResult::Overloaded;
        refuse(id, { .result = result, .detail = "the request would wait too long for a slot", .retryAfterSeconds = 1 },
            work);
    }
}

void ServicePath::refuse(uint64_t id, QuickOutcome outcome, Work& work)
{
    auto it = m_pending.find(id);
    if (it == m_pending.end())
        return;
    outcome = withHistory(*it->second, std::move(outcome));
    work.refusals.push_back({ std::move(it->second), std::move(outcome) });
    m_pending.erase(it);
}

QuickOutcome ServicePath::withHistory(const Pending& pending, QuickOutcome outcome)
{
    if (outcome.ran == RanState::No && pending.ran == RanState::Unknown) {
        outcome.ran = RanState::Unknown;
        outcome.result = QuickResult::OutcomeUnknown;
        outcome.detail = "an earlier try may have run";
    }
    return outcome;
}

void ServicePath::startOne(uint64_t id, Instant now, Work& work)
{
    auto it = m_pending.find(id);
    if (it == m_pending.end())
        return;
    auto& pending = it->second;
    auto hold = std::min(pending->request.deadline - now, m_options.service.timeout) + holdMargin;
    auto use = m_slots.acquire(hold, m_random(), now, pending->tried);
    if (!use.ok()) {
        warnUnlessOk(m_admission.finish(id, std::chrono::microseconds { 0 }, now), "finish");
        bool noAuthority = absl::IsFailedPrecondition(use.status());
        refuse(id,
            { .result = noAuthority ? QuickResult::NoAuthority : QuickResult::NoUpstream,
                .detail = statusText(use.status()),
                .retryAfterSeconds = 1 },
            work);
        return;
    }
    const auto& upstream = m_upstreams.at(use->worker);
    work.starts.push_back({ id, pending, *use, upstream.address, upstream.zone });
}

void ServicePath::takeQueued(Work& work)
{
    auto now = m_options.clock->now();
    warnUnlessOk(m_admission.setSlots(m_slots.inUse() + m_slots.freeFor(m_options.service.timeout, now)), "slots");
    warnUnlessOk(m_slots.recordWaiting(m_admission.queued(), now), "waiting");
    auto batch = m_admission.startQueued(now);
    if (!batch.ok())
        return;
    for (auto id : batch->started)
        startOne(id, now, work);
    for (const auto& refusal : batch->rejected)
        refuse(refusal.id, { .result = QuickResult::DeadlineExceeded, .detail = "the deadline passed in the queue" },
            work);
}

void ServicePath::perform(Work work)
{
    for (auto& refused : work.refusals)
        refused.pending->done(refused.outcome);
    for (auto& start : work.starts)
        call(std::move(start));
}

void ServicePath::call(Start start)
{
    const auto& request = start.pending->request;
    auto remaining = request.deadline - m_options.clock->now();
    HttpCall call {
        .method = "POST",
        .url = start.address + "/service/" + m_options.service.name,
        .body = request.body,
        .timeout = std::clamp(remaining, Milliseconds { 1 }, m_options.service.timeout),
        // libcurl repeats a request on a connection that has died; that must not happen to one that may run only once.
        .freshConnection = request.nonIdempotent,
        .requestId = m_options.requestIds->next(),
    };
    if (!request.idempotencyKey.empty())
        call.headers.push_back({ "Idempotency-Key", request.idempotencyKey });
    if (request.nonIdempotent)
        call.headers.push_back({ "X-Non-Idempotent", "1" });
    ++start.pending->tries;
    auto began = std::chrono::steady_clock::now();
    auto& engine = *m_options.engines[start.id % m_options.engines.size()];
    engine.submit(std::move(call), [self = shared_from_this(), start = std::move(start), began](const auto& reply) {
        self->finished(start, began, reply);
    });
}

QuickOutcome ServicePath::judge(const QuickRequest& request, const absl::StatusOr<HttpReply>& reply) const
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
    bool ownRequest = headerValue(reply->headers, "X-Request-Digest") == fmt::format("{:016x}", request.digest);
    bool wholeAnswer = headerValue(reply->headers, "X-Answer-Digest") == hexDigestOf(reply->body);
    if (!ownRequest || !wholeAnswer)
        return { .result = QuickResult::OutcomeUnknown,
            .ran = RanState::Unknown,
            .detail = "the answer of the upstream is of another request or incomplete" };
    return { .result = QuickResult::Answered, .ran = RanState::Yes, .status = 200, .body = reply->body };
}

void ServicePath::noteHealth(
    const WorkerId& worker, const QuickOutcome& outcome, std::chrono::microseconds latency, Instant now)
{
    if (!m_upstreams.contains(worker))
        return;
    // A full upstream is no faulty one.
    if (outcome.result == QuickResult::Overloaded)
        return;
    auto ejection = outcome.result == QuickResult::Answered ? m_outliers.recordSuccess(worker, latency, now)
                                                            : m_outliers.recordFailure(worker, now);
    if (ejection.ok() && *ejection) {
        logWarning("upstream_ejected", { { "worker", worker }, { "service", m_options.service.name } });
        updateWeights(now);
    }
}

bool ServicePath::retryAllowed(const Pending& pending, const QuickOutcome& outcome, Instant now)
{
    if (outcome.result == QuickResult::Answered || outcome.result == QuickResult::UpstreamError)
        return false;
    auto decision
        = m_retries.retry({ .tries = pending.tries,
                              .deadline = pending.request.deadline,
                              .expectedDuration = std::chrono::ceil<Milliseconds>(m_admission.meanServiceTime()),
                              .isIdempotent = !pending.request.nonIdempotent,
                              .didNotRun = outcome.ran == RanState::No },
            now, m_random());
    return decision.ok() && decision->verdict == RetryBudget::Verdict::Granted;
}

void ServicePath::finished(
    const Start& start, std::chrono::steady_clock::time_point began, const absl::StatusOr<HttpReply>& reply)
{
    auto latency = std::chrono::duration_cast<std::chrono::microseconds>(std::chrono::steady_clock::now() - began);
    auto outcome = judge(start.pending->request, reply);
    outcome.zone = start.zone;
    Work work;
    bool answer = true;
    {
        std::lock_guard lock(m_mutex);
        auto now = m_options.clock->now();
        warnUnlessOk(m_slots.release(start.use.id, now), "slot");
        warnUnlessOk(m_admission.finish(start.id, latency, now), "finish");
        noteHealth(start.use.worker, outcome, latency, now);
        if (retryAllowed(*start.pending, outcome, now)) {
            answer = false;
            // FIXME: The back-off of the decision is not waited for; a retry goes to another worker at once.
            start.pending->ran = std::max(start.pending->ran, outcome.ran);
            start.pending->tried.push_back(start.use.worker);
            offer(start.id, start.pending, work);
        } else {
            m_pending.erase(start.id);
        }
        takeQueued(work);
    }
    if (answer)
        start.pending->done(withHistory(*start.pending, std::move(outcome)));
    perform(std::move(work));
}

void ServicePath::setView(LogPosition position, const std::vector<SlotTable::Member>& members,
    const std::vector<Upstream>& upstreams, bool contiguous)
{
    std::lock_guard lock(m_mutex);
    auto now = m_options.clock->now();
    SlotTable::View view { .position = position, .members = members, .isContiguous = contiguous };
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
        bool routable = it == m_routable.end() || it->second;
        auto weight = m_outliers.weightMillis(worker, now);
        warnUnlessOk(m_slots.setWeight(worker, routable && weight.ok() ? *weight : 0), "weight");
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
    // Heartbeats of processes that have not joined yet are of no concern here.
    m_slots.recordPosition(member, position, m_options.clock->now()).IgnoreError();
}

void ServicePath::noteFreeSlots(const MemberId& member, int64_t freeSlots)
{
    std::lock_guard lock(m_mutex);
    m_slots.recordPeerFreeSlots(member, freeSlots, m_options.clock->now()).IgnoreError();
}

ServicePath::Loans ServicePath::tick()
{
    Work work;
    Loans loans;
    {
        std::lock_guard lock(m_mutex);
        auto now = m_options.clock->now();
        warnUnlessOk(m_outliers.recordLoad(m_slots.inUse()), "load");
        if (auto ejections = m_outliers.evaluate(now); ejections.ok() && !ejections->empty())
            updateWeights(now);
        takeQueued(work);
        if (auto loanRequests = m_slots.makeLoanRequests(now, m_random()); loanRequests.ok())
            loans.loanRequests = std::move(*loanRequests);
        if (auto returns = m_slots.returnIdleLoans(now); returns.ok())
            loans.returns = std::move(*returns);
    }
    perform(std::move(work));
    return loans;
}

std::vector<LoanGrant> ServicePath::lend(const LoanRequest& loanRequest)
{
    std::lock_guard lock(m_mutex);
    auto grants = m_slots.lend(loanRequest, m_options.clock->now());
    return grants.ok() ? std::move(*grants) : std::vector<LoanGrant> {};
}

void ServicePath::receiveLoan(const LoanGrant& grant)
{
    Work work;
    {
        std::lock_guard lock(m_mutex);
        // A late or repeated grant is refused by the table; that is the normal end of a late message.
        m_slots.applyGrant(grant, m_options.clock->now()).IgnoreError();
        takeQueued(work);
    }
    perform(std::move(work));
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
