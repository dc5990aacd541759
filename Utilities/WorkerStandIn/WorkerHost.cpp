#include "WorkerHost.h"
#include <LibCore/Digest.h>
#include <LibCore/StatusText.h>
#include <LibStandIn/JsonField.h>
#include <LibStandIn/ProtocolJson.h>
#include <LibStandIn/RecordJson.h>
#include <fmt/format.h>
#include <utility>

namespace Bergamot {

using nlohmann::json;

// Longer than any caller's timeout, so that the caller of a withheld reply always times out first.
static constexpr std::chrono::seconds withheldReplyLifetime { 60 };

// Maximum time for which a reply waits for a second reply to be swapped with.
static constexpr std::chrono::milliseconds maxSwapWait { 200 };

static constexpr size_t truncatedReplyBytes = 8;

WorkerHost::WorkerHost(WorkerModelOptions options, TimerQueue& timers)
    : m_timers(timers)
    , m_model(std::move(options))
{
}

static HttpResponse errorResponse(int status, std::string_view error, const absl::Status& cause = {})
{
    return { .status = status, .body = json { { "error", error }, { "message", statusText(cause) } }.dump() };
}

static void addRequestId(HttpResponse& response, const HttpRequest& request)
{
    auto id = headerValue(request.headers, "X-Request-Id");
    if (!id.empty())
        response.headers.push_back({ "X-Request-Id", std::string(id) });
}

void WorkerHost::handle(HttpRequest request, HttpResponder responder)
{
    std::lock_guard lock(m_mutex);
    process(std::move(request), std::make_shared<HttpResponder>(std::move(responder)));
}

void WorkerHost::process(HttpRequest request, Responder responder)
{
    auto now = m_clock.now();
    if (m_faults.isCrashed())
        return withholdReply(std::move(responder));
    if (m_faults.isFrozen(now)) {
        // A frozen worker processes pending calls after the freeze, with the clock reading of that time.
        m_timers.scheduleAfter(m_faults.frozenUntil() - now, [this, request = std::move(request), responder]() {
            std::lock_guard lock(m_mutex);
            process(request, responder);
        });
        return;
    }
    if (request.path.starts_with("/service/") && request.method == "POST")
        return handleServiceCall(std::move(request), std::move(responder), now);
    auto response = handleWorkerCall(request, now);
    addRequestId(response, request);
    deliver(std::move(response), std::move(responder), false);
}

HttpResponse WorkerHost::handleWorkerCall(const HttpRequest& request, Instant now)
{
    if (request.method != "POST")
        return errorResponse(404, "not_found");
    auto body = parseJson(request.body);
    if (request.path == "/v1/tasks/start") {
        auto start = parseTaskStart(body);
        if (!start.ok())
            return errorResponse(400, "bad_request", start.status());
        return { .body = toJson(m_model.start(*start, now)).dump() };
    }
    if (request.path == "/v1/leases") {
        auto renewal = parseLeaseRenewal(body);
        if (!renewal.ok())
            return errorResponse(400, "bad_request", renewal.status());
        return { .body = toJson(m_model.renew(*renewal, now)).dump() };
    }
    auto task = parseTaskId(jsonMember(body, "task"));
    if (!task.ok())
        return errorResponse(400, "bad_request", task.status());
    if (request.path == "/v1/tasks/stop")
        return { .body = toJson(m_model.stop(*task, jsonFlag(body, "checkpoint"), now)).dump() };
    json reply { { "worker_clock_ms", m_model.clockMs(now) } };
    absl::Status status;
    if (request.path == "/v1/tasks/throttle") {
        status = m_model.throttle(*task, static_cast<int>(jsonInteger(body, "cpu_percent")), now);
    } else if (request.path == "/v1/tasks/checkpoint") {
        auto text = m_model.checkpoint(*task, now);
        status = text.status();
        if (text.ok())
            reply["checkpoint"] = *text;
    } else {
        return errorResponse(404, "not_found");
    }
    if (absl::IsNotFound(status))
        return errorResponse(404, "not_running");
    if (!status.ok())
        return errorResponse(400, "bad_request", status);
    return { .body = reply.dump() };
}

void WorkerHost::handleServiceCall(HttpRequest request, Responder responder, Instant now)
{
    auto service = request.path.substr(std::string_view("/service/").size());
    ServiceCall call { .service = service,
        .requestId = std::string(headerValue(request.headers, "X-Request-Id")),
        .key = std::string(headerValue(request.headers, "Idempotency-Key")),
        .nonIdempotent = headerValue(request.headers, "X-Non-Idempotent") == "1",
        .digest = hexDigestOf(request.body) };
    auto reject = [&](int status, std::string_view error) {
        auto response = errorResponse(status, error);
        response.headers.push_back({ "X-Ran", "no" });
        addRequestId(response, request);
        deliver(std::move(response), std::move(responder), false);
    };
    if (call.requestId.empty())
        return reject(400, "bad_request");
    // Each connection carries one call at a time, so the number of calls in progress is the number of connections in
    // use.
    if (m_serviceCalls >= m_model.options().connections)
        return reject(503, "too_many_connections");
    auto admitted = m_model.beginRequest(call, now);
    if (!admitted.ok())
        return reject(503, "no_slot");
    ++m_serviceCalls;
    m_model.recordConnections(m_serviceCalls);
    HttpResponse response { .contentType = "text/plain",
        .headers = { { "X-Request-Id", call.requestId }, { "X-Request-Digest", call.digest } },
        .body = fmt::format("{} {} {}\n", call.digest, service, m_model.options().id) };
    response.headers.push_back({ "X-Answer-Digest", hexDigestOf(response.body) });
    if (admitted->serviceTime.count() == 0)
        return finishServiceCall(admitted->slot, std::move(response), std::move(responder));
    m_timers.scheduleAfter(
        admitted->serviceTime, [this, slot = admitted->slot, response = std::move(response), responder] {
            std::lock_guard lock(m_mutex);
            finishServiceCall(slot, response, responder);
        });
}

void WorkerHost::finishServiceCall(size_t slot, HttpResponse response, Responder responder)
{
    auto now = m_clock.now();
    if (m_faults.isFrozen(now) && !m_faults.isCrashed()) {
        m_timers.scheduleAfter(m_faults.frozenUntil() - now, [this, slot, response = std::move(response), responder] {
            std::lock_guard lock(m_mutex);
            finishServiceCall(slot, response, responder);
        });
        return;
    }
    m_model.endRequest(slot, now);
    --m_serviceCalls;
    if (m_faults.isCrashed())
        return withholdReply(std::move(responder));
    deliver(std::move(response), std::move(responder), true);
}

void WorkerHost::deliver(HttpResponse response, Responder responder, bool isService)
{
    if (m_faults.takeLostReply())
        return withholdReply(std::move(responder));
    if (isService && m_faults.takeTruncatedReply())
        response.body.resize(std::min(response.body.size(), truncatedReplyBytes));
    if (auto delay = m_faults.takeReplyDelay(); delay.count() > 0) {
        m_timers.scheduleAfter(delay, [response = std::move(response), responder] { responder->send(response); });
        return;
    }
    if (isService && (m_pendingSwap || m_faults.takeSwappedReply()))
        return swapReplies(std::move(response), std::move(responder));
    responder->send(response);
}

void WorkerHost::swapReplies(HttpResponse response, Responder responder)
{
    if (m_pendingSwap) {
        m_pendingSwap->responder->send(response);
        responder->send(m_pendingSwap->response);
        m_pendingSwap.reset();
        return;
    }
    auto id = m_nextSwapId++;
    m_pendingSwap = PendingReply { id, std::move(response), std::move(responder) };
    m_timers.scheduleAfter(maxSwapWait, [this, id] {
        std::lock_guard lock(m_mutex);
        expireSwap(id);
    });
}

void WorkerHost::expireSwap(uint64_t id)
{
    if (!m_pendingSwap || m_pendingSwap->id != id)
        return;
    m_pendingSwap->responder->send(m_pendingSwap->response);
    m_pendingSwap.reset();
}

void WorkerHost::withholdReply(Responder responder)
{
    m_timers.scheduleAfter(withheldReplyLifetime, [responder = std::move(responder)] {});
}

absl::Status WorkerHost::setFault(const json& fault)
{
    std::lock_guard lock(m_mutex);
    auto now = m_clock.now();
    auto effect = m_faults.apply(fault, now);
    if (!effect.ok())
        return effect.status();
    if (effect->startFault)
        m_model.setStartFault(*effect->startFault);
    if (effect->slowFactor)
        m_model.setSlowFactor(*effect->slowFactor, now);
    if (effect->crashes)
        m_model.loseEverything(now);
    return absl::OkStatus();
}

std::string WorkerHost::records()
{
    std::lock_guard lock(m_mutex);
    m_model.advance(m_clock.now());
    std::string lines;
    for (const auto& record : m_model.taskRecords())
        lines += toJson(record).dump() + "\n";
    for (const auto& record : m_model.executionRecords())
        lines += toJson(record).dump() + "\n";
    lines += toJson(m_model.record()).dump() + "\n";
    return lines;
}

}
