#include "StoreStandIn.h"
#include <LibHttp/EventLoop.h>
#include <absl/strings/escaping.h>
#include <algorithm>
#include <charconv>
#include <curl/curl.h>
#include <fmt/format.h>
#include <nlohmann/json.hpp>
#include <optional>

namespace Bergamot {

using nlohmann::json;

static constexpr size_t maxRequestBytes = size_t { 4 } << 20;
static constexpr uint64_t maxWaitMs = 30'000;
static constexpr size_t maxNewestItemsPerPage = 500;

/// Records that HistoryTruncation retains in topics without keys. The real store expires leadership records by age, so
/// the claims and keepalives of the last seconds have to be retained.
static constexpr size_t retainedUnkeyedRecords = 40;
static constexpr const char* operatorTopic = "keyed.op";
static constexpr const char* workerTopic = "keyed.servers";

static bool isKeyed(std::string_view topic) { return topic.starts_with("keyed."); }

static std::optional<uint64_t> readNumber(const HttpRequest& request, std::string_view name)
{
    auto text = headerValue(request.query, name);
    uint64_t value = 0;
    auto [end, ec] = std::from_chars(text.data(), text.data() + text.size(), value);
    if (text.empty() || ec != std::errc {} || end != text.data() + text.size())
        return std::nullopt;
    return value;
}

/// Decodes the escape sequences of a query parameter.
static std::string urlUnescape(std::string_view text)
{
    // libcurl takes the length 0 as unknown.
    if (text.empty())
        return {};
    int length = 0;
    std::unique_ptr<char, decltype(&curl_free)> decoded(
        curl_easy_unescape(nullptr, text.data(), static_cast<int>(text.size()), &length), curl_free);
    return decoded ? std::string(decoded.get(), static_cast<size_t>(length)) : std::string(text);
}

absl::StatusOr<std::unique_ptr<StoreStandIn>> StoreStandIn::create(EventLoop& loop, Options options)
{
    std::unique_ptr<StoreStandIn> store(new StoreStandIn(loop));
    auto server = HttpServer::create({ .address = options.address,
        .port = options.port,
        .limits = { .maxRequestBytes = maxRequestBytes },
        .handler = [self = store.get()](HttpRequest request, HttpResponder responder) {
            auto shared = std::make_shared<HttpResponder>(std::move(responder));
            self->m_loop.post([self, request = std::move(request), shared] { self->handle(request, shared); });
        } });
    if (!server.ok())
        return server.status();
    store->m_server = std::move(*server);
    return store;
}

StoreStandIn::StoreStandIn(EventLoop& loop)
    : m_loop(loop)
{
}

StoreStandIn::~StoreStandIn() = default;

void StoreStandIn::apply(const StoreFault& fault)
{
    if (fault.kind == StoreFault::Kind::HistoryTruncation) {
        for (auto& [key, partition] : m_partitions)
            partition.trim(isKeyed(key.first) ? 0 : retainedUnkeyedRecords);
        return;
    }
    m_faults.push_back({ fault, m_loop.now() + fault.duration });
}

const StoreStandIn::ActiveFault* StoreStandIn::findFault(StoreFault::Kind kind) const
{
    auto now = m_loop.now();
    auto it = std::ranges::find_if(
        m_faults, [&](const ActiveFault& active) { return active.fault.kind == kind && now < active.endsAt; });
    return it == m_faults.end() ? nullptr : &*it;
}

bool StoreStandIn::isDown() const
{
    return findFault(StoreFault::Kind::Unavailable) || findFault(StoreFault::Kind::Unresponsive);
}

uint64_t StoreStandIn::newestBytes() const
{
    uint64_t bytes = 0;
    for (const auto& [key, partition] : m_partitions)
        bytes += partition.newestBytes();
    return bytes;
}

void StoreStandIn::handle(const HttpRequest& request, Responder responder)
{
    ++m_traffic.calls;
    const auto* slow = findFault(StoreFault::Kind::Slow);
    if (!slow)
        return serve(request, std::move(responder));
    m_loop.callAfter(
        slow->fault.delay / 2, [this, request, responder = std::move(responder)] { serve(request, responder); });
}

void StoreStandIn::serve(const HttpRequest& request, Responder responder)
{
    if (findFault(StoreFault::Kind::Unresponsive))
        return leaveUnanswered(std::move(responder));
    if (findFault(StoreFault::Kind::Unavailable))
        return responder->send({ .status = 503, .body = "{}" });
    if (request.method == "POST" && request.path == "/log-append")
        return append(request, responder);
    if (request.method == "GET" && request.path == "/log-read")
        return read(request, responder);
    if (request.method == "GET" && request.path == "/log-newest")
        return readNewest(request, responder);
    responder->send({ .status = 404, .body = "{}" });
}

LogPartition& StoreStandIn::partition(const std::string& topic, uint64_t part)
{
    return m_partitions.try_emplace({ topic, part }, isKeyed(topic)).first->second;
}

void StoreStandIn::append(const HttpRequest& request, const Responder& responder)
{
    std::string topic(headerValue(request.query, "topic"));
    auto part = readNumber(request, "part");
    if (topic.empty() || !part)
        return responder->send({ .status = 400, .body = "{}" });
    if (topic == operatorTopic || topic == workerTopic)
        return responder->send({ .status = 403, .body = "{}" });
    std::optional<LogPartition::Producer> producer;
    if (auto name = headerValue(request.query, "producer"); !name.empty()) {
        producer = { .name = std::string(name),
            .epoch = readNumber(request, "epoch").value_or(0),
            .sequence = readNumber(request, "seq").value_or(0) };
    }
    auto appendToPartition
        = [this, topic, part = *part, body = request.body, expectedEndOffset = readNumber(request, "at"), producer] {
              auto reply = partition(topic, part).append(body, expectedEndOffset, producer);
              completeWaitingReads(topic, part);
              return reply;
          };
    if (const auto* delayed = findFault(StoreFault::Kind::DelayedAppends)) {
        m_loop.callAfter(delayed->fault.delay, appendToPartition);
        return leaveUnanswered(responder);
    }
    auto reply = appendToPartition();
    if (findFault(StoreFault::Kind::LostAppendReplies))
        return leaveUnanswered(responder);
    send(responder, { .status = reply.status, .body = reply.body });
}

void StoreStandIn::read(const HttpRequest& request, const Responder& responder)
{
    std::string topic(headerValue(request.query, "topic"));
    auto part = readNumber(request, "part");
    auto from = readNumber(request, "from");
    if (topic.empty() || !part || !from)
        return responder->send({ .status = 400, .body = "{}" });
    WaitingRead waitingRead {
        .id = m_nextReadId++, .topic = topic, .part = *part, .from = *from, .responder = responder
    };
    auto waitMs = std::min(readNumber(request, "waitMs").value_or(0), maxWaitMs);
    const auto& log = partition(topic, *part);
    if (waitMs == 0 || *from < log.endOffset())
        return replyToRead(waitingRead);
    m_waitingReads.push_back(waitingRead);
    m_loop.callAfter(Milliseconds { waitMs }, [this, id = waitingRead.id] {
        auto it = std::ranges::find(m_waitingReads, id, &WaitingRead::id);
        if (it == m_waitingReads.end())
            return;
        auto expired = std::move(*it);
        m_waitingReads.erase(it);
        replyToRead(expired);
    });
}

void StoreStandIn::replyToRead(const WaitingRead& waitingRead)
{
    if (findFault(StoreFault::Kind::Unresponsive))
        return leaveUnanswered(waitingRead.responder);
    const auto& log = partition(waitingRead.topic, waitingRead.part);
    if (waitingRead.from < log.firstRetainedOffset())
        return send(waitingRead.responder,
            { .status = 410, .body = fmt::format(R"({{"first":{}}})", log.firstRetainedOffset()) });
    send(waitingRead.responder, { .contentType = "application/octet-stream", .body = log.read(waitingRead.from) });
}

void StoreStandIn::completeWaitingReads(const std::string& topic, uint64_t part)
{
    std::vector<WaitingRead> due;
    std::erase_if(m_waitingReads, [&](WaitingRead& waitingRead) {
        if (waitingRead.topic != topic || waitingRead.part != part
            || waitingRead.from >= partition(topic, part).endOffset())
            return false;
        due.push_back(std::move(waitingRead));
        return true;
    });
    for (const auto& waitingRead : due)
        replyToRead(waitingRead);
}

void StoreStandIn::readNewest(const HttpRequest& request, const Responder& responder)
{
    std::string topic(headerValue(request.query, "topic"));
    auto part = readNumber(request, "part");
    if (topic.empty() || !part)
        return responder->send({ .status = 400, .body = "{}" });
    const auto& log = partition(topic, *part);
    json body { { "items", json::array() }, { "more", false }, { "end", log.endOffset() } };
    for (auto it = log.newestRecords().upper_bound(urlUnescape(headerValue(request.query, "dependsOn")));
         it != log.newestRecords().end(); ++it) {
        if (body["items"].size() == maxNewestItemsPerPage) {
            body["more"] = true;
            break;
        }
        body["items"].push_back({ { "key", it->first }, { "value", absl::Base64Escape(it->second.value) },
            { "offset", it->second.offset } });
    }
    HttpResponse response { .body = body.dump() };
    if (topic == operatorTopic) {
        if (findFault(StoreFault::Kind::LostOperatorReplies))
            return leaveUnanswered(responder);
        if (const auto* slow = findFault(StoreFault::Kind::SlowOperatorReplies))
            return m_loop.callAfter(slow->fault.delay, [responder, response] { responder->send(response); });
    }
    send(responder, std::move(response));
}

void StoreStandIn::send(const Responder& responder, HttpResponse response)
{
    m_traffic.replyBytes += response.body.size();
    const auto* slow = findFault(StoreFault::Kind::Slow);
    if (!slow)
        return responder->send(response);
    m_loop.callAfter(slow->fault.delay / 2, [responder, response = std::move(response)] { responder->send(response); });
}

void StoreStandIn::leaveUnanswered(Responder responder) { m_unanswered.push_back(std::move(responder)); }

void StoreStandIn::put(const std::string& topic, std::string_view key, std::string_view value)
{
    partition(topic, 0).put(key, value);
    completeWaitingReads(topic, 0);
}

void StoreStandIn::putOperatorRecord(std::string_view key, std::string_view value) { put(operatorTopic, key, value); }

void StoreStandIn::putWorkerRecord(std::string_view key, std::string_view value) { put(workerTopic, key, value); }

}
