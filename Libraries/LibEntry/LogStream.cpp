#include <LibCore/Logger.h>
#include <LibCore/StatusText.h>
#include <LibEntry/LogStream.h>
#include <LibWire/Codec.h>
#include <exception>
#include <msgpack.hpp>
#include <tuple>
#include <utility>

namespace Bergamot {

static constexpr Milliseconds readRetryDelay { 200 };

/// Entries held for peers that cannot read the log: about 30 s of entries at the design size.
static constexpr size_t maxRecentEntries = 512;

LogStream::LogStream(Options options)
    : m_options(options)
    , m_appends({ .log = options.log,
          .stream = options.name,
          .member = options.member,
          .incarnation = options.incarnation,
          .executor = options.executor })
{
}

void LogStream::tick(Instant now)
{
    m_appends.tick(now);
    if (m_isReading || now < m_nextRead)
        return;
    if (m_hasTriedSnapshot)
        read(now);
    else
        loadSnapshot(now);
}

void LogStream::loadSnapshot(Instant)
{
    m_isReading = true;
    m_snapshotReader
        = std::make_unique<SnapshotReader>(*m_options.log, "snapshot-" + m_options.name, m_options.executor);
    m_snapshotReader->start([this](auto result) { snapshotLoaded(std::move(result)); });
}

void LogStream::snapshotLoaded(absl::StatusOr<std::optional<ClusterState>> result)
{
    m_isReading = false;
    if (!result.ok()) {
        logWarning("snapshot_read_failed", { { "stream", m_options.name }, { "error", statusText(result.status()) } });
        m_nextRead = m_options.clock->now() + readRetryDelay;
        return;
    }
    m_hasTriedSnapshot = true;
    if (result->has_value() && adoptIfNewer(std::move(**result)))
        logInfo("snapshot_loaded", { { "stream", m_options.name }, { "position", m_state.position() } });
}

bool LogStream::adoptIfNewer(ClusterState state)
{
    if (state.position() <= m_state.position())
        return false;
    m_state = std::move(state);
    m_snapshotPosition = m_state.position();
    return true;
}

void LogStream::read(Instant now)
{
    m_isReading = true;
    // Until this process has caught up, reads return immediately instead of long polling, so that it does not wait at
    // the head.
    auto maxWait = m_hasCaughtUp ? m_options.readWait : Milliseconds { 0 };
    m_options.log->read(m_options.name, m_state.position(), maxWait,
        [this, requestSentAt = now, executor = m_options.executor, alive = std::weak_ptr(m_alive)](auto result) {
            executor([this, requestSentAt, alive, result = std::move(result)]() mutable {
                if (!alive.expired())
                    readFinished(requestSentAt, std::move(result));
            });
        });
}

void LogStream::readFinished(Instant requestSentAt, absl::StatusOr<LogChunk> chunk)
{
    m_isReading = false;
    if (!chunk.ok()) {
        logWarning("log_read_failed", { { "stream", m_options.name }, { "error", statusText(chunk.status()) } });
        m_nextRead = m_options.clock->now() + readRetryDelay;
        return;
    }
    if (chunk->earliest > m_state.position()) {
        // The entries from this position to the earliest retained one have expired, so the state is reloaded from a
        // snapshot.
        logWarning("log_gap",
            { { "stream", m_options.name }, { "position", m_state.position() }, { "earliest", chunk->earliest } });
        m_hasTriedSnapshot = false;
        m_nextRead = m_options.clock->now() + readRetryDelay;
        return;
    }
    for (const auto& entry : chunk->entries) {
        if (entry.offset == m_state.position())
            applyEntry(entry);
    }
    if (m_state.position() < chunk->head)
        return;
    m_hasCaughtUp = true;
    if (m_readObserver)
        m_readObserver(requestSentAt);
}

// A relayed entry includes its log time, because every host must apply an entry with the same log time.
static std::string encodeRelayed(const LogEntry& entry)
{
    msgpack::sbuffer buf;
    msgpack::pack(buf, std::make_tuple(entry.timeMs, entry.bytes));
    return { buf.data(), buf.size() };
}

void LogStream::applyRelayed(LogPosition position, const std::string& relayed)
{
    // A read in progress may return the same entry; each position is applied only once.
    if (position != m_state.position() || !m_hasCaughtUp)
        return;
    // msgpack throws on malformed input.
    try {
        auto handle = msgpack::unpack(relayed.data(), relayed.size());
        auto [timeMs, bytes] = handle.get().as<std::tuple<int64_t, std::string>>();
        applyEntry({ .offset = position, .timeMs = timeMs, .bytes = std::move(bytes) });
    } catch (const std::exception& error) {
        logWarning("relayed_entry_ignored", { { "error", error.what() } });
    }
}

std::vector<std::string> LogStream::recentEntries(LogPosition from) const
{
    std::vector<std::string> entries;
    if (m_recentEntries.empty() || m_recentEntries.front().offset > from)
        return entries;
    for (const auto& entry : m_recentEntries) {
        if (entry.offset >= from)
            entries.push_back(encodeRelayed(entry));
    }
    return entries;
}

void LogStream::applyEntry(const LogEntry& entry)
{
    m_recentEntries.push_back(entry);
    if (m_recentEntries.size() > maxRecentEntries)
        m_recentEntries.pop_front();
    auto batch = decodeBatch(entry.bytes);
    if (!batch.ok()) {
        logError("log_entry_ignored",
            { { "stream", m_options.name }, { "offset", entry.offset }, { "error", statusText(batch.status()) } });
        m_state.skip(entry.offset);
        return;
    }
    auto result = m_state.apply(*batch, entry.offset, entry.timeMs);
    if (result.duplicate)
        return;
    if (m_batchObserver)
        m_batchObserver(*batch, result);
    if (batch->member == m_options.member && batch->incarnation == m_options.incarnation)
        m_appends.batchApplied(batch->sequence, result);
}

}
