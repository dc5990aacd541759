#include <LibCore/GuardedCall.h>
#include <LibCore/Logger.h>
#include <LibCore/StatusText.h>
#include <LibHttp/EventLoop.h>
#include <LibNode/NodeIngress.h>
#include <LibReport/NodeMetrics.h>
#include <algorithm>
#include <cctype>
#include <charconv>
#include <chrono>
#include <fmt/format.h>
#include <utility>

namespace Bergamot {

static constexpr Milliseconds defaultDeadline { 3000 };
static constexpr Milliseconds maxDeadline { 60000 };

/// Part of a caller's deadline reserved for sending the response.
static constexpr Milliseconds replyMargin { 250 };

/// Most time that a submission waits for the leader's answer whether it knows the job.
static constexpr Milliseconds maxStateQueryTime { 1000 };
static constexpr const char* deadlineHeader = "X-Deadline-Ms";
static constexpr size_t jobIdLength = 16;
static constexpr std::string_view unknownResultBody = R"({"title":"the store did not answer","ran":"unknown"})";

static void respond(HttpResponder& responder, int status, std::string_view problem)
{
    HttpResponse response { .status = status, .body = fmt::format(R"({{"title":"{}","ran":"no"}})", problem) };
    if (status == 503 || status == 429)
        response.headers.push_back({ "Retry-After", "1" });
    responder.send(response);
}

static std::string_view nameOf(AcceptResult result)
{
    switch (result) {
    case AcceptResult::Accepted:
        return "accepted";
    case AcceptResult::Refused:
        return "refused";
    case AcceptResult::Unknown:
        break;
    }
    return "unknown";
}

static std::string_view nameOf(JobQueryKind kind)
{
    switch (kind) {
    case JobQueryKind::State:
        return "state";
    case JobQueryKind::Cancel:
        return "cancel";
    case JobQueryKind::Pending:
        break;
    }
    return "pending";
}

static std::string_view nameOf(JobQueryStatus status)
{
    switch (status) {
    case JobQueryStatus::Found:
        return "found";
    case JobQueryStatus::Unknown:
        return "unknown";
    case JobQueryStatus::Unavailable:
        break;
    }
    return "unavailable";
}

static bool isJobId(std::string_view id)
{
    return id.size() == jobIdLength
        && std::ranges::all_of(id, [](unsigned char c) { return std::isxdigit(c) && !std::isupper(c); });
}

NodeIngress::NodeIngress(EventLoop& loop, JobAcceptor& acceptor, QueryRouter& queries, const PlatformFormats& formats,
    NodeMetrics& metrics, Options options)
    : m_loop(loop)
    , m_acceptor(acceptor)
    , m_queries(queries)
    , m_formats(formats)
    , m_metrics(metrics)
    , m_options(std::move(options))
{
}

Instant NodeIngress::deadlineOf(const HttpRequest& request) const
{
    auto text = headerValue(request.headers, deadlineHeader);
    int64_t ms = 0;
    auto [end, ec] = std::from_chars(text.data(), text.data() + text.size(), ms);
    auto allowed = ec == std::errc {} && ms > 0 ? std::min(Milliseconds { ms }, maxDeadline) : defaultDeadline;
    return std::min(m_answerBy, m_loop.now() + std::max(allowed - replyMargin, allowed / 2));
}

/// The Host header without a port.
static std::string_view hostOf(const HttpRequest& request)
{
    auto host = headerValue(request.headers, "Host");
    return host.substr(0, host.find(':'));
}

void NodeIngress::handle(const HttpRequest& request, HttpResponder responder)
{
    // After an exception, the destructor of the responder sends status 500.
    guardedCall("request_failed", [&] { route(request, std::move(responder)); });
}

void NodeIngress::route(const HttpRequest& request, HttpResponder responder)
{
    if (m_loop.now() >= m_answerBy)
        return respond(responder, 503, "the node shuts down");
    auto routing = m_options.routing();
    if (!routing)
        return respond(responder, 503, "no configuration yet");
    const auto* queueRoute = routing->match(hostOf(request), request.path);
    if (!queueRoute && !m_options.isConfigurationCurrent())
        return respond(responder, 503, "the configuration may be outdated");
    if (!queueRoute)
        return respond(responder, 404, "no such queue");
    auto sharedResponder = std::make_shared<HttpResponder>(std::move(responder));
    auto idText = std::string_view(request.path).substr(queueRoute->pathPrefix.size());
    if (request.method == "GET" && idText.empty())
        return forwardQuery(JobQueryKind::Pending, queueRoute->queue, deadlineOf(request), sharedResponder);
    if (!isJobId(idText))
        return respond(*sharedResponder, request.method == "POST" ? 400 : 410, "the id is not 16 hexadecimal digits");
    JobId id(idText);
    if (request.method == "POST")
        return submit(request, *queueRoute, routing->version, id, sharedResponder);
    if (request.method == "GET")
        return forwardQuery(JobQueryKind::State, id, deadlineOf(request), sharedResponder);
    if (request.method == "DELETE")
        return forwardQuery(JobQueryKind::Cancel, id, deadlineOf(request), sharedResponder);
    respond(*sharedResponder, 405, "method not allowed");
}

void NodeIngress::submit(const HttpRequest& request, const QueueRoute& route, uint64_t configVersion, const JobId& id,
    SharedResponder responder)
{
    auto job = m_formats.readJob(request.body);
    if (!job.ok()) {
        logInfo("job_refused", { { "job", id }, { "reason", statusText(job.status()) } });
        return respond(*responder, 400, "the job cannot be read");
    }
    auto now = std::chrono::system_clock::now().time_since_epoch();
    job->id = id;
    job->queue = route.queue;
    job->policyAtAcceptance = route.policy;
    job->configVersionAtAcceptance = configVersion;
    job->acceptedAtMs = std::chrono::duration_cast<Milliseconds>(now).count();
    auto deadline = deadlineOf(request);
    if (auto overload = overloadFor(*job))
        return refuseUnlessKnown(*job, *overload, deadline, responder);
    accept(*job, deadline, responder);
}

void NodeIngress::accept(const JobSpec& job, Instant deadline, const SharedResponder& responder)
{
    m_acceptor.accept(job, deadline, [this, id = job.id, responder, startedAt = m_loop.now()](AcceptResult result) {
        logInfo("job_submitted",
            { { "job", id }, { "result", nameOf(result) }, { "ms", (m_loop.now() - startedAt).count() } });
        m_metrics.recordSubmission(nameOf(result), m_loop.now() - startedAt);
        if (result == AcceptResult::Accepted)
            return responder->send({ .status = 200, .body = "{}" });
        if (result == AcceptResult::Refused)
            return respond(*responder, 503, "the store is unavailable");
        responder->send({ .status = 504, .body = std::string(unknownResultBody) });
    });
}

std::optional<ServiceOverload> NodeIngress::overloadFor(const JobSpec& job) const
{
    if (!m_options.expectedWaits || !job.policyAtAcceptance)
        return std::nullopt;
    return Bergamot::overloadFor(job, *job.policyAtAcceptance, m_options.expectedWaits());
}

/// A request that is repeated after the job was accepted must not be told that the job never runs, so the leader is
/// asked first. The job is accepted if the leader does not answer.
void NodeIngress::refuseUnlessKnown(
    const JobSpec& job, const ServiceOverload& overload, Instant deadline, const SharedResponder& responder)
{
    auto now = m_loop.now();
    auto queryDeadline = now + std::min(maxStateQueryTime, (deadline - now) / 2);
    m_queries.sendQuery(JobQueryKind::State, job.id, queryDeadline,
        [this, job, overload, deadline, responder, startedAt = now](const JobQueryReply& reply) {
            m_metrics.recordQuery(nameOf(JobQueryKind::State), nameOf(reply.status), m_loop.now() - startedAt);
            if (reply.status == JobQueryStatus::Found)
                return responder->send({ .status = 200, .body = "{}" });
            // An append of the job may still take effect.
            bool mayBeStored = m_acceptor.isPending(job.id);
            if (reply.status == JobQueryStatus::Unknown && !mayBeStored) {
                m_metrics.recordSubmission("overloaded", m_loop.now() - startedAt);
                return refuse(job, overload, responder);
            }
            // The request may repeat one that was accepted, so it is not refused at the end of a drain either.
            if (m_loop.now() >= m_answerBy)
                return responder->send({ .status = 504, .body = std::string(unknownResultBody) });
            accept(job, std::min(deadline, m_answerBy), responder);
        });
}

void NodeIngress::refuse(const JobSpec& job, const ServiceOverload& overload, const SharedResponder& responder)
{
    logInfo("job_refused",
        { { "job", job.id }, { "reason", "overload" }, { "queue", job.queue }, { "image", overload.image },
            { "expected_wait_ms", overload.expectedWait.count() }, { "max_wait_ms", overload.maxWait.count() } });
    auto seconds = std::chrono::ceil<std::chrono::seconds>(overload.retryAfter()).count();
    HttpResponse response { .status = 503, .body = R"({"title":"the service is overloaded","ran":"no"})" };
    response.headers.push_back({ "Retry-After", std::to_string(std::max<int64_t>(1, seconds)) });
    responder->send(response);
}

void NodeIngress::forwardQuery(
    JobQueryKind kind, const std::string& subject, Instant deadline, SharedResponder responder)
{
    m_queries.sendQuery(kind, subject, deadline,
        [this, kind, subject, responder, startedAt = m_loop.now()](const JobQueryReply& reply) {
            m_metrics.recordQuery(nameOf(kind), nameOf(reply.status), m_loop.now() - startedAt);
            if (reply.status != JobQueryStatus::Found || kind == JobQueryKind::Cancel)
                logInfo("job_query",
                    { { "job", subject }, { "kind", nameOf(kind) }, { "result", nameOf(reply.status) },
                        { "ms", (m_loop.now() - startedAt).count() } });
            if (reply.status == JobQueryStatus::Unavailable)
                return respond(*responder, 503, "no scheduler answers");
            if (reply.status == JobQueryStatus::Unknown)
                return respond(*responder, 410, "no such job");
            if (kind == JobQueryKind::Pending)
                return responder->send({ .body = m_formats.writePendingJobs(reply.pending) });
            responder->send({ .body = m_formats.writeJobStage(reply.state) });
        });
}

}
