#include "WorkerHost.h"
#include <LibCore/Digest.h>
#include <LibCore/StatusText.h>
#include <LibStandIn/JsonField.h>
#include <LibStandIn/PlatformJson.h>
#include <LibStandIn/RecordJson.h>
#include <fmt/format.h>
#include <utility>

namespace Bergamot {

using nlohmann::json;

// Longer than any timeout of a caller, so that a parked call is never answered while somebody waits for it.
static constexpr std::chrono::seconds parkTime { 60 };

// An answer that is to be crossed waits this long for another one.
static constexpr std::chrono::milliseconds crossingTime { 200 };

static constexpr size_t truncatedBytes = 8;

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
    if (m_faults.isDead())
        return park(std::move(responder));
    if (m_faults.isFrozen(now)) {
        // A frozen worker takes up the waiting calls when it goes on, by the clock of that time.
        m_timers.scheduleAfter(m_faults.frozenUntil() - now, [this, request = std::move(request), responder]() {
            std::lock_guard lock(m_mutex);
            process(request, responder);
        });
        return;
    }
    if (request.path.starts_with("/service/") && request.method == "POST")
        return serve(std::move(request), std::move(responder), now);
    auto response = workerCall(request, now);
    addRequestId(response, request);
    deliver(std::move(response), std::move(responder), false);
}

HttpResponse WorkerHost::workerCall(const HttpRequest& request, Instant now)
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

void WorkerHost::serve(HttpRequest request, Responder responder, Instant now)
{
    auto service = request.path.substr(std::string_view("/service/").size());
    ServiceCall call { .service = service,
        .requestId = std::string(headerValue(request.headers, "X-Request-Id")),
        .key = std::string(headerValue(request.headers, "Idempotency-Key")),
        .nonIdempotent = headerValue(request.headers, "X-Non-Idempotent") == "1",
        .digest = hexDigestOf(request.body) };
    auto refuse = [&](int status, std::string_view error) {
        auto response = errorResponse(status, error);
        response.headers.push_back({ "X-Ran", "no" });
        addRequestId(response, request);
        deliver(std::move(response), std::move(responder), false);
    };
    if (call.requestId.empty())
        return refuse(400, "bad_request");
    // Each connection carries one call at a time, so calls in progress stand for connections in use.
    if (m_serviceCalls >= m_model.options().connections)
        return refuse(503, "too_many_connections");
    auto admitted = m_model.beginRequest(call, now);
    if (!admitted.ok())
        return refuse(503, "no_slot");
    ++m_serviceCalls;
    m_model.noteConnections(m_serviceCalls);
    HttpResponse response { .contentType = "text/plain",
        .headers = { { "X-Request-Id", call.requestId }, { "X-Request-Digest", call.digest } },
        .body = fmt::format("{} {} {}\n", call.digest, service, m_model.options().id) };
    response.headers.push_back({ "X-Answer-Digest", hexDigestOf(response.body) });
    if (admitted->serviceTime.count() == 0)
        return finishService(admitted->slot, std::move(response), std::move(responder));
    m_timers.scheduleAfter(
        admitted->serviceTime, [this, slot = admitted->slot, response = std::move(response), responder] {
            std::lock_guard lock(m_mutex);
            finishService(slot, response, responder);
        });
}

void WorkerHost::finishService(size_t slot, HttpResponse response, Responder responder)
{
    auto now = m_clock.now();
    if (m_faults.isFrozen(now) && !m_faults.isDead()) {
        m_timers.scheduleAfter(m_faults.frozenUntil() - now, [this, slot, response = std::move(response), responder] {
            std::lock_guard lock(m_mutex);
            finishService(slot, response, responder);
        });
        return;
    }
    m_model.endRequest(slot, now);
    --m_serviceCalls;
    if (m_faults.isDead())
        return park(std::move(responder));
    deliver(std::move(response), std::move(responder), true);
}

void WorkerHost::deliver(HttpResponse response, Responder responder, bool isService)
{
    if (m_faults.takeLostAnswer())
        return park(std::move(responder));
    if (isService && m_faults.takeTruncatedAnswer())
        response.body.resize(std::min(response.body.size(), truncatedBytes));
    if (auto lateness = m_faults.takeLateness(); lateness.count() > 0) {
        m_timers.scheduleAfter(lateness, [response = std::move(response), responder] { responder->send(response); });
        return;
    }
    if (isService && (m_crossing || m_faults.takeCrossedAnswer()))
        return cross(std::move(response), std::move(responder));
    responder->send(response);
}

void WorkerHost::cross(HttpResponse response, Responder responder)
{
    if (m_crossing) {
        m_crossing->responder->send(response);
        responder->send(m_crossing->response);
        m_crossing.reset();
        return;
    }
    auto id = m_nextCrossing++;
    m_crossing = PendingAnswer { id, std::move(response), std::move(responder) };
    m_timers.scheduleAfter(crossingTime, [this, id] {
        std::lock_guard lock(m_mutex);
        releaseCrossed(id);
    });
}

void WorkerHost::releaseCrossed(uint64_t id)
{
    if (!m_crossing || m_crossing->id != id)
        return;
    m_crossing->responder->send(m_crossing->response);
    m_crossing.reset();
}

void WorkerHost::park(Responder responder)
{
    m_timers.scheduleAfter(parkTime, [responder = std::move(responder)] {});
}

absl::Status WorkerHost::setFault(const json& order)
{
    std::lock_guard lock(m_mutex);
    auto now = m_clock.now();
    auto effect = m_faults.apply(order, now);
    if (!effect.ok())
        return effect.status();
    if (effect->startFault)
        m_model.setStartFault(*effect->startFault);
    if (effect->slowFactor)
        m_model.setSlowFactor(*effect->slowFactor, now);
    if (effect->dies)
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
