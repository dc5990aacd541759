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

/// Entries held for peers that are cut off from the log: about half a minute at the design size.
static constexpr size_t recentEntryLimit = 512;

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
    if (m_reading || now < m_nextRead)
        return;
    if (m_snapshotTried)
        read(now);
    else
        loadSnapshot(now);
}

void LogStream::loadSnapshot(Instant)
{
    m_reading = true;
    m_snapshotReader
        = std::make_unique<SnapshotReader>(*m_options.log, "snapshot-" + m_options.name, m_options.executor);
    m_snapshotReader->start([this](auto result) { snapshotLoaded(std::move(result)); });
}

void LogStream::snapshotLoaded(absl::StatusOr<std::optional<ClusterState>> result)
{
    m_reading = false;
    if (!result.ok()) {
        logWarning("snapshot_read_failed", { { "stream", m_options.name }, { "error", statusText(result.status()) } });
        m_nextRead = m_options.clock->now() + readRetryDelay;
        return;
    }
    m_snapshotTried = true;
    if (result->has_value() && adopt(std::move(**result)))
        logInfo("snapshot_loaded", { { "stream", m_options.name }, { "position", m_state.position() } });
}

bool LogStream::adopt(ClusterState state)
{
    if (state.position() <= m_state.position())
        return false;
    m_state = std::move(state);
    m_snapshotPosition = m_state.position();
    return true;
}

void LogStream::read(Instant now)
{
    m_reading = true;
    // The first reads do not wait, so that a new process reaches the head at once.
    auto wait = m_caughtUp ? m_options.readWait : Milliseconds { 0 };
    m_options.log->read(m_options.name, m_state.position(), wait,
        [this, began = now, executor = m_options.executor, alive = std::weak_ptr(m_alive)](auto result) {
            executor([this, began, alive, result = std::move(result)]() mutable {
                if (!alive.expired())
                    readFinished(began, std::move(result));
            });
        });
}

void LogStream::readFinished(Instant began, absl::StatusOr<LogChunk> chunk)
{
    m_reading = false;
    if (!chunk.ok()) {
        logWarning("log_read_failed", { { "stream", m_options.name }, { "error", statusText(chunk.status()) } });
        m_nextRead = m_options.clock->now() + readRetryDelay;
        return;
    }
    if (chunk->earliest > m_state.position()) {
        // Records between this position and the oldest kept one have expired; only a snapshot bridges the gap.
        logWarning("log_gap",
            { { "stream", m_options.name }, { "position", m_state.position() }, { "earliest", chunk->earliest } });
        m_snapshotTried = false;
        m_nextRead = m_options.clock->now() + readRetryDelay;
        return;
    }
    for (const auto& entry : chunk->entries) {
        if (entry.offset == m_state.position())
            applyEntry(entry);
    }
    if (m_state.position() < chunk->head)
        return;
    m_caughtUp = true;
    if (m_readObserver)
        m_readObserver(began);
}

// A relayed entry carries its log time, because the fold must see the same one on every host.
static std::string encodeRelayed(const LogEntry& entry)
{
    msgpack::sbuffer buf;
    msgpack::pack(buf, std::make_tuple(entry.timeMs, entry.bytes));
    return { buf.data(), buf.size() };
}

void LogStream::applyRelayed(LogPosition position, const std::string& relayed)
{
    // During a read the answer may hold the same entry; the fold takes each position once.
    if (position != m_state.position() || !m_caughtUp)
        return;
    // msgpack reports malformed input by exceptions; they end here.
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
    if (m_recent.empty() || m_recent.front().offset > from)
        return entries;
    for (const auto& entry : m_recent) {
        if (entry.offset >= from)
            entries.push_back(encodeRelayed(entry));
    }
    return entries;
}

void LogStream::applyEntry(const LogEntry& entry)
{
    m_recent.push_back(entry);
    if (m_recent.size() > recentEntryLimit)
        m_recent.pop_front();
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
    if (m_observer)
        m_observer(*batch, result);
    if (batch->member == m_options.member && batch->incarnation == m_options.incarnation)
        m_appends.applied(batch->sequence, result);
}

}
