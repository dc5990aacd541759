#include <LibStandIn/LogStore.h>
#include <algorithm>
#include <fmt/format.h>

namespace Bergamot {

static constexpr Milliseconds rateWindow { 1000 };
static constexpr size_t maxStreamNameLength = 64;

LogStore::LogStore(LogStoreOptions options)
    : m_options(options)
{
}

bool LogStore::isValidStreamName(std::string_view name)
{
    static constexpr std::string_view allowed = "ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789._-";
    return !name.empty() && name.size() <= maxStreamNameLength
        && name.find_first_not_of(allowed) == std::string_view::npos;
}

bool LogStore::tryConsumeAppend(Instant now)
{
    if (m_options.appendsPerSecond == 0)
        return true;
    if (now - m_windowStart >= rateWindow || now < m_windowStart) {
        m_windowStart = now;
        m_windowAppends = 0;
    }
    if (m_windowAppends >= m_options.appendsPerSecond)
        return false;
    ++m_windowAppends;
    return true;
}

absl::StatusOr<LogPosition> LogStore::append(std::string_view stream, std::string_view bytes, Instant now)
{
    if (!isValidStreamName(stream))
        return absl::InvalidArgumentError("bad_stream");
    if (bytes.empty())
        return absl::InvalidArgumentError("empty_record");
    if (bytes.size() > maxRecordBytes)
        return absl::InvalidArgumentError("record_too_large");
    if (!tryConsumeAppend(now)) {
        ++m_rejected;
        return absl::ResourceExhaustedError("append_limit");
    }
    auto& target = m_streams[std::string(stream)];
    auto offset = target.earliest + target.entries.size();
    target.lastTimeMs = std::max(target.lastTimeMs, now.time_since_epoch().count() + m_options.clockOffsetMs);
    target.entries.push_back({ .offset = offset, .timeMs = target.lastTimeMs, .bytes = std::string(bytes) });
    ++m_appended;
    expire(target, now);
    return offset;
}

absl::StatusOr<LogChunk> LogStore::read(std::string_view stream, LogPosition from, size_t maxBytes, Instant now)
{
    if (!isValidStreamName(stream))
        return absl::InvalidArgumentError("bad_stream");
    auto it = m_streams.find(stream);
    if (it == m_streams.end())
        return LogChunk {};
    auto& source = it->second;
    expire(source, now);
    LogChunk chunk { .earliest = source.earliest, .head = source.earliest + source.entries.size() };
    size_t bytes = 0;
    for (auto offset = std::max(from, chunk.earliest); offset < chunk.head; ++offset) {
        const auto& entry = source.entries[offset - chunk.earliest];
        if (!chunk.entries.empty() && bytes + entry.bytes.size() > maxBytes)
            break;
        bytes += entry.bytes.size();
        chunk.entries.push_back(entry);
    }
    return chunk;
}

void LogStore::expireBefore(std::string_view stream, LogPosition before)
{
    auto it = m_streams.find(stream);
    if (it == m_streams.end())
        return;
    auto& target = it->second;
    while (!target.entries.empty() && target.earliest < before) {
        target.entries.pop_front();
        ++target.earliest;
    }
}

void LogStore::expire(Stream& stream, Instant now) const
{
    auto nowMs = now.time_since_epoch().count() + m_options.clockOffsetMs;
    auto isExpired = [&] {
        if (stream.entries.empty())
            return false;
        if (m_options.maxEntriesPerStream && stream.entries.size() > m_options.maxEntriesPerStream)
            return true;
        return m_options.maxAge.count() > 0 && stream.entries.front().timeMs < nowMs - m_options.maxAge.count();
    };
    while (isExpired()) {
        stream.entries.pop_front();
        ++stream.earliest;
    }
}

LogPosition LogStore::head(std::string_view stream) const
{
    auto it = m_streams.find(stream);
    return it == m_streams.end() ? 0 : it->second.earliest + it->second.entries.size();
}

}
