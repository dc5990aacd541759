#include <LibCore/Digest.h>
#include <LibCore/Logger.h>
#include <LibCore/StatusText.h>
#include <LibEntry/SnapshotWriter.h>
#include <LibWire/Codec.h>

namespace Bergamot {

static constexpr size_t maxChunkBytes = size_t { 48 } * 1024;
static constexpr Milliseconds minSnapshotInterval { 5000 };

void SnapshotWriter::tick(Instant now, bool isLeader)
{
    if (!isLeader || m_isActive || m_stream.entriesSinceSnapshot() == 0)
        return;
    if (m_lastStartedAt == neverInstant)
        m_lastStartedAt = now;
    auto age = now - m_lastStartedAt;
    bool isDue = age >= m_options.interval
        || (m_stream.entriesSinceSnapshot() >= m_options.maxEntries && age >= minSnapshotInterval);
    if (isDue)
        startSnapshot(now);
}

void SnapshotWriter::startSnapshot(Instant now)
{
    auto bytes = m_stream.state().encodeSnapshot();
    m_position = m_stream.state().position();
    auto chunks = static_cast<uint32_t>((bytes.size() + maxChunkBytes - 1) / maxChunkBytes);
    m_records = { SnapshotBegin { .position = m_position, .chunks = chunks, .digest = digestOf(bytes) } };
    for (uint32_t i = 0; i < chunks; ++i)
        m_records.emplace_back(SnapshotChunk {
            .position = m_position, .index = i, .bytes = bytes.substr(i * maxChunkBytes, maxChunkBytes) });
    m_nextRecord = 0;
    m_lastStartedAt = now;
    m_isActive = true;
    appendNextRecord();
}

void SnapshotWriter::appendNextRecord()
{
    RecordBatch batch { .member = m_options.member, .incarnation = m_options.incarnation, .sequence = ++m_sequence };
    batch.records.push_back(m_records[m_nextRecord]);
    m_options.log->append("snapshot-" + m_stream.name(), encodeBatch(batch),
        [this, executor = m_options.executor, alive = std::weak_ptr(m_alive)](auto result) {
            executor([this, alive, status = result.status()] {
                if (!alive.expired())
                    appendFinished(status);
            });
        });
}

void SnapshotWriter::appendFinished(const absl::Status& status)
{
    if (!status.ok()) {
        logWarning("snapshot_abandoned", { { "stream", m_stream.name() }, { "error", statusText(status) } });
        m_isActive = false;
        return;
    }
    if (++m_nextRecord < m_records.size()) {
        appendNextRecord();
        return;
    }
    m_isActive = false;
    m_stream.recordSnapshot(m_position);
    logInfo("snapshot_written",
        { { "stream", m_stream.name() }, { "position", m_position }, { "entries", m_records.size() } });
}

}
