#include <LibCore/Digest.h>
#include <LibCore/Logger.h>
#include <LibCore/StatusText.h>
#include <LibEntry/SnapshotWriter.h>
#include <LibWire/Codec.h>

namespace Bergamot {

static constexpr size_t chunkBytes = size_t { 48 } * 1024;
static constexpr Milliseconds minSnapshotSpacing { 5000 };

void SnapshotWriter::tick(Instant now, bool isLeader)
{
    if (!isLeader || m_active || m_stream.entriesSinceSnapshot() == 0)
        return;
    if (m_lastBegin == neverInstant)
        m_lastBegin = now;
    auto age = now - m_lastBegin;
    bool due = age >= m_options.interval
        || (m_stream.entriesSinceSnapshot() >= m_options.maxEntries && age >= minSnapshotSpacing);
    if (due)
        begin(now);
}

void SnapshotWriter::begin(Instant now)
{
    auto bytes = m_stream.state().encodeSnapshot();
    m_position = m_stream.state().position();
    auto chunks = static_cast<uint32_t>((bytes.size() + chunkBytes - 1) / chunkBytes);
    m_pending = { SnapshotBegin { .position = m_position, .chunks = chunks, .digest = digestOf(bytes) } };
    for (uint32_t i = 0; i < chunks; ++i)
        m_pending.emplace_back(
            SnapshotChunk { .position = m_position, .index = i, .bytes = bytes.substr(i * chunkBytes, chunkBytes) });
    m_next = 0;
    m_lastBegin = now;
    m_active = true;
    sendNext();
}

void SnapshotWriter::sendNext()
{
    RecordBatch batch { .member = m_options.member, .incarnation = m_options.incarnation, .sequence = ++m_sequence };
    batch.records.push_back(m_pending[m_next]);
    m_options.log->append("snapshot-" + m_stream.name(), encodeBatch(batch),
        [this, executor = m_options.executor, alive = std::weak_ptr(m_alive)](auto result) {
            executor([this, alive, status = result.status()] {
                if (!alive.expired())
                    answered(status);
            });
        });
}

void SnapshotWriter::answered(const absl::Status& status)
{
    if (!status.ok()) {
        logWarning("snapshot_abandoned", { { "stream", m_stream.name() }, { "error", statusText(status) } });
        m_active = false;
        return;
    }
    if (++m_next < m_pending.size()) {
        sendNext();
        return;
    }
    m_active = false;
    m_stream.noteSnapshot(m_position);
    logInfo("snapshot_written",
        { { "stream", m_stream.name() }, { "position", m_position }, { "entries", m_pending.size() } });
}

}
