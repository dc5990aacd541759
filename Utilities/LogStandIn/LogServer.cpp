#include "LogServer.h"
#include <LibCore/StatusText.h>
#include <LibStandIn/JsonField.h>
#include <LibStandIn/ProtocolJson.h>
#include <charconv>
#include <utility>

namespace Bergamot {

static constexpr size_t defaultReadBytes = size_t { 1 } << 20;
static constexpr int64_t maxWaitMs = 30'000;

// Longer than any caller's timeout, so that the caller of a withheld reply always times out first.
static constexpr std::chrono::seconds withheldReplyLifetime { 60 };

LogServer::LogServer(LogStoreOptions options)
    : m_store(options)
{
}

/// Returns false when the query parameter is present but not a number. Leaves `value` unchanged when it is absent.
static bool readNumber(const HttpHeaders& query, std::string_view key, std::optional<uint64_t>& value)
{
    auto text = headerValue(query, key);
    if (text.empty())
        return true;
    uint64_t number = 0;
    auto [end, error] = std::from_chars(text.data(), text.data() + text.size(), number);
    if (error != std::errc() || end != text.data() + text.size())
        return false;
    value = number;
    return true;
}

void LogServer::handle(HttpRequest request, HttpResponder responder)
{
    Call call { .responder = std::make_shared<HttpResponder>(std::move(responder)),
        .member = std::string(headerValue(request.headers, "X-Member")),
        .requestId = std::string(headerValue(request.headers, "X-Request-Id")) };
    call.request = std::move(request);
    std::lock_guard lock(m_mutex);
    auto now = m_clock.now();
    if (call.request.path == "/fault" && call.request.method == "POST")
        return setFault(call, now);
    if (call.request.path == "/stats")
        return sendStats(call);
    if (m_faults.isSilent(call.member, now))
        return withholdReply(call);
    // Half of the injected delay precedes the processing of the call, the other half precedes its reply.
    auto delay = m_faults.delay(now) / 2;
    if (delay.count() == 0)
        return process(std::move(call));
    m_timers.scheduleAfter(delay, [this, call]() {
        std::lock_guard inner(m_mutex);
        process(call);
    });
}

void LogServer::process(Call call)
{
    auto now = m_clock.now();
    if (m_faults.isDown(now)) {
        ++m_counters.faults;
        return fail(call, 503, "unavailable");
    }
    auto parts = call.request.segments();
    bool isStreamCall = parts.size() == 4 && parts[0] == "v1" && parts[1] == "streams";
    if (isStreamCall && parts[3] == "append" && call.request.method == "POST")
        return append(call, parts[2], now);
    if (isStreamCall && parts[3] == "read" && call.request.method == "GET")
        return read(std::move(call), parts[2], now);
    fail(call, 404, "not_found");
}

void LogServer::append(const Call& call, const std::string& stream, Instant now)
{
    ++m_counters.appends;
    auto offset = m_store.append(stream, call.request.body, now);
    if (absl::IsResourceExhausted(offset.status()))
        return fail(call, 429, "append_limit", { { "Retry-After", "1" } });
    if (!offset.ok())
        return fail(call, 400, statusText(offset.status()));
    if (m_faults.takeLostReply())
        withholdReply(call);
    else
        deliver(call, { .body = nlohmann::json { { "offset", *offset } }.dump() });
    replyToWaitingReads(stream, now);
}

void LogServer::read(Call call, const std::string& stream, Instant now)
{
    ++m_counters.reads;
    if (!LogStore::isValidStreamName(stream))
        return fail(call, 400, "bad_stream");
    std::optional<uint64_t> from;
    std::optional<uint64_t> maxBytes { defaultReadBytes };
    std::optional<uint64_t> waitMs { 0 };
    const auto& query = call.request.query;
    if (!readNumber(query, "from", from) || !readNumber(query, "max", maxBytes) || !readNumber(query, "wait_ms", waitMs)
        || !from)
        return fail(call, 400, "bad_query");
    if (*waitMs == 0 || m_store.head(stream) != *from)
        return replyToRead(call, stream, *from, *maxBytes, now);
    auto id = m_nextWaitingReadId++;
    m_waitingReads.push_back({ id, std::move(call), stream, *from, *maxBytes });
    auto wait = std::chrono::milliseconds(std::min<uint64_t>(*waitMs, maxWaitMs));
    m_timers.scheduleAfter(wait, [this, id] { expireWaitingRead(id); });
}

void LogServer::replyToRead(const Call& call, const std::string& stream, LogPosition from, size_t maxBytes, Instant now)
{
    if (m_faults.isSilent(call.member, now))
        return withholdReply(call);
    if (m_faults.isDown(now))
        return fail(call, 503, "unavailable");
    auto chunk = m_store.read(stream, from, maxBytes, now);
    if (!chunk.ok())
        return fail(call, 400, statusText(chunk.status()));
    deliver(call, { .contentType = "application/msgpack", .body = encodeLogChunk(*chunk) });
}

void LogServer::replyToWaitingReads(const std::string& stream, Instant now)
{
    for (auto it = m_waitingReads.begin(); it != m_waitingReads.end();) {
        if (it->stream != stream) {
            ++it;
            continue;
        }
        replyToRead(it->call, stream, it->from, it->maxBytes, now);
        it = m_waitingReads.erase(it);
    }
}

void LogServer::expireWaitingRead(uint64_t id)
{
    std::lock_guard lock(m_mutex);
    auto it = std::ranges::find(m_waitingReads, id, &WaitingRead::id);
    if (it == m_waitingReads.end())
        return;
    auto waitingRead = std::move(*it);
    m_waitingReads.erase(it);
    replyToRead(waitingRead.call, waitingRead.stream, waitingRead.from, waitingRead.maxBytes, m_clock.now());
}

void LogServer::setFault(const Call& call, Instant now)
{
    auto fault = parseJson(call.request.body);
    if (auto status = m_faults.apply(fault, now); !status.ok())
        return call.responder->send({ .status = 400,
            .body = nlohmann::json { { "error", "bad_fault" }, { "message", statusText(status) } }.dump() });
    if (fault.contains("expire_before"))
        m_store.expireBefore(jsonText(fault, "stream"), static_cast<LogPosition>(jsonInteger(fault, "expire_before")));
    call.responder->send({ .body = "{}" });
}

void LogServer::sendStats(const Call& call)
{
    nlohmann::json stats { { "appended", m_store.appended() }, { "refused", m_store.rejected() },
        { "streams", m_store.streams() }, { "append_calls", m_counters.appends }, { "read_calls", m_counters.reads },
        { "faulty_answers", m_counters.faults }, { "waiting_reads", m_waitingReads.size() } };
    call.responder->send({ .body = stats.dump() });
}

void LogServer::fail(const Call& call, int status, std::string_view error, HttpHeaders headers)
{
    HttpResponse response { .status = status, .headers = std::move(headers) };
    response.body = nlohmann::json { { "error", error } }.dump();
    deliver(call, std::move(response));
}

void LogServer::deliver(const Call& call, HttpResponse response)
{
    if (!call.requestId.empty())
        response.headers.push_back({ "X-Request-Id", call.requestId });
    bool isAppend = call.request.method == "POST";
    auto last = m_lastReplies.find(isAppend);
    if (last != m_lastReplies.end() && m_faults.takeDuplicateReply()) {
        ++m_counters.faults;
        response = last->second;
    } else {
        m_lastReplies[isAppend] = response;
    }
    auto delay = m_faults.delay(m_clock.now()) / 2;
    if (delay.count() == 0)
        return call.responder->send(response);
    m_timers.scheduleAfter(delay, [responder = call.responder, response] { responder->send(response); });
}

void LogServer::withholdReply(const Call& call)
{
    ++m_counters.faults;
    m_timers.scheduleAfter(withheldReplyLifetime, [responder = call.responder] {});
}

}
