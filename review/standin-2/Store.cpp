#include "Store.h"
#include <LibHttp/HttpHeaders.h>
#include <LibHttp/HttpRequest.h>
#include <LibHttp/HttpResponder.h>
#include <absl/strings/escaping.h>
#include <algorithm>
#include <charconv>
#include <curl/curl.h>
#include <nlohmann/json.hpp>
#include <optional>

namespace Review {

using namespace Bergamot;
using nlohmann::json;

static std::optional<uint64_t> numberOf(const HttpRequest& request, const char* name)
{
    auto text = headerValue(request.query, name);
    uint64_t value = 0;
    auto [end, ec] = std::from_chars(text.data(), text.data() + text.size(), value);
    return text.empty() || ec != std::errc {} || end != text.data() + text.size() ? std::nullopt : std::optional(value);
}

static std::string unescape(std::string_view text)
{
    if (text.empty())
        return {};
    int size = 0;
    char* decoded = curl_easy_unescape(nullptr, text.data(), static_cast<int>(text.size()), &size);
    std::string result(decoded, static_cast<size_t>(size));
    curl_free(decoded);
    return result;
}

Store::Store(EventLoop& loop, Record& record, const std::string& ip, uint16_t port)
    : m_loop(loop)
    , m_record(record)
{
    auto server = HttpServer::create({ .address = ip,
        .port = port,
        .limits = { .maxRequestBytes = size_t { 4 } << 20 },
        .handler = [this](HttpRequest request, HttpResponder responder) {
            auto shared = std::make_shared<HttpResponder>(std::move(responder));
            m_loop.post([this, request = std::move(request), shared] { handle(request, shared); });
        } });
    if (server.ok())
        m_server = std::move(*server);
}

LogPartition& Store::partition(const std::string& topic, uint64_t part)
{
    return m_partitions.try_emplace({ topic, part }, topic.starts_with("keyed.")).first->second;
}

void Store::handle(const HttpRequest& request, const Responder& responder)
{
    if (request.method == "POST" && request.path == "/log-append")
        return append(request, responder);
    if (request.method == "GET" && request.path == "/log-read")
        return read(request, responder);
    if (request.method == "GET" && request.path == "/log-newest")
        return newest(request, responder);
    responder->send({ .status = 404, .body = "{}" });
}

/// The size of the largest record of a call.
static size_t largestRecord(std::string_view body)
{
    size_t largest = 0;
    while (body.size() >= 4) {
        size_t size = 0;
        for (unsigned char c : body.substr(0, 4))
            size = size << 8 | c;
        body.remove_prefix(std::min(body.size(), 4 + size));
        largest = std::max(largest, size);
    }
    return largest;
}

void Store::append(const HttpRequest& request, const Responder& responder)
{
    std::string topic(headerValue(request.query, "topic"));
    auto part = numberOf(request, "part");
    if (topic.empty() || !part)
        return responder->send({ .status = 400, .body = "{}" });
    if (topic == "keyed.op" || topic == "keyed.servers")
        return responder->send({ .status = 403, .body = "{}" });
    auto largest = largestRecord(request.body);
    if (largest > recordBytes || request.body.size() > callBytes) {
        if (m_refusedAppends++ % 50 == 0)
            m_record.add("store refuses an append to " + topic + " with a record of " + std::to_string(largest)
                + " bytes; recordBytes is " + std::to_string(recordBytes));
        m_largestRefused = std::max(m_largestRefused, largest);
        return responder->send({ .status = 400, .body = "{}" });
    }
    std::optional<LogPartition::Producer> producer;
    if (auto name = headerValue(request.query, "producer"); !name.empty())
        producer = LogPartition::Producer { .name = std::string(name),
            .epoch = numberOf(request, "epoch").value_or(0),
            .sequence = numberOf(request, "seq").value_or(0) };
    auto reply = partition(topic, *part).append(request.body, numberOf(request, "at"), producer);
    wakeReads(topic, *part);
    // The platform takes 2 ms for an append.
    m_loop.callAfter(
        Milliseconds { 2 }, [responder, reply] { responder->send({ .status = reply.status, .body = reply.body }); });
}

void Store::read(const HttpRequest& request, const Responder& responder)
{
    std::string topic(headerValue(request.query, "topic"));
    auto part = numberOf(request, "part");
    auto from = numberOf(request, "from");
    if (topic.empty() || !part || !from)
        return responder->send({ .status = 400, .body = "{}" });
    auto waiting = std::make_shared<WaitingRead>(
        WaitingRead { .topic = topic, .part = *part, .from = *from, .responder = responder });
    auto waitMs = std::min<uint64_t>(numberOf(request, "waitMs").value_or(0), 30000);
    if (waitMs == 0 || *from < partition(topic, *part).endOffset())
        return answerRead(*waiting);
    m_waiting.push_back(waiting);
    m_loop.callAfter(Milliseconds { waitMs }, [this, waiting] {
        if (!waiting->isDone)
            answerRead(*waiting);
        std::erase(m_waiting, waiting);
    });
}

void Store::answerRead(WaitingRead& waiting)
{
    waiting.isDone = true;
    const auto& log = partition(waiting.topic, waiting.part);
    waiting.responder->send({ .contentType = "application/octet-stream", .body = log.read(waiting.from) });
}

void Store::wakeReads(const std::string& topic, uint64_t part)
{
    auto end = partition(topic, part).endOffset();
    auto due = m_waiting;
    for (const auto& it : due) {
        if (!it->isDone && it->topic == topic && it->part == part && it->from < end)
            answerRead(*it);
    }
    std::erase_if(m_waiting, [](const auto& it) { return it->isDone; });
}

void Store::newest(const HttpRequest& request, const Responder& responder)
{
    std::string topic(headerValue(request.query, "topic"));
    auto part = numberOf(request, "part");
    if (topic.empty() || !part)
        return responder->send({ .status = 400, .body = "{}" });
    constexpr size_t maxItems = 500;
    constexpr size_t maxBytes = size_t { 1 } << 20;
    const auto& log = partition(topic, *part);
    json items = json::array();
    bool hasMore = false;
    size_t bytes = 0;
    auto after = unescape(headerValue(request.query, "dependsOn"));
    for (auto it = log.newestRecords().upper_bound(after); it != log.newestRecords().end(); ++it) {
        if (items.size() == maxItems || (bytes > 0 && bytes + it->second.value.size() > maxBytes)) {
            hasMore = true;
            break;
        }
        bytes += it->second.value.size();
        items.push_back({ { "key", it->first }, { "value", absl::Base64Escape(it->second.value) },
            { "offset", it->second.offset } });
    }
    json body { { "items", std::move(items) }, { "more", hasMore }, { "end", log.endOffset() } };
    responder->send({ .body = body.dump() });
}

void Store::putOperatorRecord(const std::string& key, const std::string& value)
{
    partition("keyed.op", 0).put(key, value);
    wakeReads("keyed.op", 0);
}

void Store::putWorkerRecord(const std::string& key, const std::string& value)
{
    partition("keyed.servers", 0).put(key, value);
    wakeReads("keyed.servers", 0);
}

}
