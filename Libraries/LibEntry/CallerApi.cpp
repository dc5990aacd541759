#include <LibCore/Digest.h>
#include <LibEntry/CallerApi.h>
#include <LibEntry/EntryNode.h>
#include <LibEntry/Problem.h>
#include <algorithm>
#include <charconv>
#include <memory>
#include <optional>
#include <utility>

namespace Bergamot {

static constexpr size_t maxIdempotencyKeyLength = 200;

static HttpResponse invalidHeaderResponse(std::string_view name, std::string detail)
{
    return toResponse(Problem { .status = 400,
        .type = "bad-request",
        .title = "A header is not valid",
        .detail = std::move(detail),
        .field = std::string(name) });
}

static HttpResponse notFoundResponse()
{
    return toResponse(Problem { .status = 404, .type = "not-found", .title = "No such path" });
}

static bool isVisibleAscii(std::string_view value)
{
    return std::ranges::all_of(value, [](unsigned char c) { return c > ' ' && c < 0x7f; });
}

void CallerApi::handle(HttpRequest request, HttpResponder responder)
{
    auto segments = request.segments();
    if (segments.size() == 1 && segments[0] == "healthz") {
        responder.send({ .contentType = "text/plain", .body = "ok\n" });
        return;
    }
    if (segments.size() == 1 && segments[0] == "readyz") {
        bool isReady = m_isReady;
        responder.send({ .status = isReady ? 200 : 503,
            .contentType = "text/plain",
            .body = isReady ? "ready\n" : "not ready\n" });
        return;
    }
    if (m_isRejecting) {
        auto response = toResponse(Problem {
            .status = 503, .type = "draining", .title = "This entry host is stopping", .retryAfterSeconds = 1 });
        response.headers.push_back({ "Connection", "close" });
        responder.send(response);
        return;
    }
    if (segments.size() >= 2 && segments[0] == "v1" && segments[1] == "jobs") {
        auto sharedResponder = std::make_shared<HttpResponder>(std::move(responder));
        m_executor([this, request = std::move(request), sharedResponder] {
            m_jobs.handle(request, std::move(*sharedResponder));
        });
        return;
    }
    if (segments.size() == 3 && segments[0] == "v1" && segments[1] == "services" && request.method == "POST") {
        handleQuickRequest(segments[2], std::move(request), std::move(responder));
        return;
    }
    responder.send(notFoundResponse());
}

static std::optional<int64_t> parseNumber(std::string_view text)
{
    int64_t value = 0;
    auto [end, ec] = std::from_chars(text.data(), text.data() + text.size(), value);
    if (ec != std::errc {} || end != text.data() + text.size())
        return std::nullopt;
    return value;
}

void CallerApi::handleQuickRequest(const std::string& service, HttpRequest request, HttpResponder responder)
{
    auto config = m_node.quickPath().config();
    const auto* serviceConfig = config ? config->findService(service) : nullptr;
    if (!serviceConfig) {
        int status = config ? 404 : 503;
        responder.send(toResponse(Problem { .status = status,
            .type = config ? "unknown-service" : "not-ready",
            .title = config ? "No such service" : "No configuration is in force yet",
            .detail = service,
            .field = "service" }));
        return;
    }
    auto key = headerValue(request.headers, "Idempotency-Key");
    auto client = headerValue(request.headers, "X-Client");
    auto nonIdempotent = headerValue(request.headers, "X-Non-Idempotent");
    auto timeoutText = headerValue(request.headers, "X-Deadline-Ms");
    if (key.size() > maxIdempotencyKeyLength || !isVisibleAscii(key)) {
        responder.send(invalidHeaderResponse("Idempotency-Key", "at most 200 visible ASCII characters"));
        return;
    }
    if (!config->findClient(client)) {
        responder.send(invalidHeaderResponse("X-Client", "no such client"));
        return;
    }
    if (!nonIdempotent.empty() && nonIdempotent != "1" && nonIdempotent != "0") {
        responder.send(invalidHeaderResponse("X-Non-Idempotent", "must be 0 or 1"));
        return;
    }
    auto timeoutMs = timeoutText.empty() ? serviceConfig->timeout.count() : parseNumber(timeoutText).value_or(-1);
    if (timeoutMs <= 0) {
        responder.send(invalidHeaderResponse("X-Deadline-Ms", "must be a whole number of milliseconds above 0"));
        return;
    }
    auto now = m_node.clock().now();
    QuickRequest quickRequest {
        .service = service,
        .client = std::string(client),
        .idempotencyKey = std::string(key),
        .nonIdempotent = nonIdempotent == "1",
        .body = std::move(request.body),
        .arrivedAt = now,
        .deadline = now + std::min(Milliseconds { timeoutMs }, serviceConfig->timeout),
    };
    quickRequest.bodyDigest = digestOf(quickRequest.body);
    auto sharedResponder = std::make_shared<HttpResponder>(std::move(responder));
    m_node.quickPath().run(
        std::move(quickRequest), [sharedResponder](const HttpResponse& response) { sharedResponder->send(response); });
}

}
