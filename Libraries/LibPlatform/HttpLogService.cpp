#include <LibHttp/HttpEngine.h>
#include <LibPlatform/HttpLogService.h>
#include <exception>
#include <fmt/format.h>
#include <msgpack.hpp>
#include <nlohmann/json.hpp>
#include <tuple>
#include <utility>

namespace Bergamot {

static constexpr size_t maxReadBytes = size_t { 1 } << 20;

using WireEntry = std::tuple<uint64_t, int64_t, std::string>;
using WireChunk = std::tuple<uint64_t, uint64_t, std::vector<WireEntry>>;

absl::StatusOr<LogChunk> decodeLogChunk(std::string_view bytes)
{
    LogChunk chunk;
    // msgpack throws on malformed input; the exceptions are converted to a status here.
    try {
        auto handle = msgpack::unpack(bytes.data(), bytes.size());
        auto [earliest, head, entries] = handle.get().as<WireChunk>();
        chunk.earliest = earliest;
        chunk.head = head;
        for (auto& [offset, timeMs, payload] : entries)
            chunk.entries.push_back({ .offset = offset, .timeMs = timeMs, .bytes = std::move(payload) });
    } catch (const std::exception& error) {
        return absl::InvalidArgumentError(fmt::format("malformed log read response: {}", error.what()));
    }
    return chunk;
}

static absl::Status errorFromAppendReply(const HttpReply& reply)
{
    if (reply.status == 429)
        return absl::ResourceExhaustedError("the log service rejected the append: append limit reached");
    if (reply.status >= 400 && reply.status < 500)
        return absl::InvalidArgumentError(
            fmt::format("the log service rejected the append with status {}", reply.status));
    return absl::UnavailableError(fmt::format("log append failed with status {}", reply.status));
}

static absl::StatusOr<LogPosition> parseAppendReply(const absl::StatusOr<HttpReply>& reply)
{
    if (!reply.ok())
        return reply.status();
    if (reply->status != 200)
        return errorFromAppendReply(*reply);
    auto json = nlohmann::json::parse(reply->body, nullptr, false);
    if (!json.is_object() || !json.contains("offset") || !json["offset"].is_number_unsigned())
        return absl::UnavailableError("log append response has no offset");
    return json["offset"].get<LogPosition>();
}

void HttpLogService::append(const std::string& stream, std::string bytes, Callback<LogPosition> callback)
{
    HttpCall call {
        .method = "POST",
        .url = fmt::format("{}/v1/streams/{}/append", m_options.baseUrl, stream),
        .headers = { { "X-Member", m_options.member }, { "Content-Type", "application/octet-stream" } },
        .body = std::move(bytes),
        .timeout = m_options.timeout,
        // A refusal of a repeat would hide that the first append was stored.
        .sendLimit = SendLimit::once(),
        .requestId = m_options.requestIds->next(),
    };
    m_options.engine->submit(std::move(call), [callback = std::move(callback)](const absl::StatusOr<HttpReply>& reply) {
        callback(parseAppendReply(reply));
    });
}

void HttpLogService::read(const std::string& stream, LogPosition from, Milliseconds wait, Callback<LogChunk> callback)
{
    HttpCall call {
        .url = fmt::format("{}/v1/streams/{}/read?from={}&max={}&wait_ms={}", m_options.baseUrl, stream, from,
            maxReadBytes, wait.count()),
        .headers = { { "X-Member", m_options.member } },
        .timeout = m_options.timeout + wait,
        .sendLimit = SendLimit::unlimited(),
        .requestId = m_options.requestIds->next(),
    };
    m_options.engine->submit(std::move(call), [callback = std::move(callback)](const absl::StatusOr<HttpReply>& reply) {
        if (!reply.ok())
            callback(reply.status());
        else if (reply->status != 200)
            callback(absl::UnavailableError(fmt::format("log read failed with status {}", reply->status)));
        else
            callback(decodeLogChunk(reply->body));
    });
}

}
