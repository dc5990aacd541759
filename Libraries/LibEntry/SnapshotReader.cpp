#include <LibCore/Digest.h>
#include <LibCore/Logger.h>
#include <LibCore/StatusText.h>
#include <LibEntry/SnapshotReader.h>
#include <LibWire/Codec.h>
#include <algorithm>
#include <utility>

namespace Bergamot {

void SnapshotReader::start(Done done)
{
    m_done = std::move(done);
    readNext();
}

void SnapshotReader::readNext()
{
    m_log.read(m_stream, m_position, Milliseconds { 0 },
        [this, executor = m_executor, alive = std::weak_ptr(m_alive)](auto chunk) {
            executor([this, alive, chunk = std::move(chunk)]() mutable {
                if (!alive.expired())
                    readFinished(std::move(chunk));
            });
        });
}

void SnapshotReader::readFinished(absl::StatusOr<LogChunk> chunk)
{
    if (!chunk.ok()) {
        m_done(chunk.status());
        return;
    }
    m_position = std::max(m_position, chunk->earliest);
    for (const auto& entry : chunk->entries) {
        m_position = entry.offset + 1;
        auto batch = decodeBatch(entry.bytes);
        if (!batch.ok())
            continue;
        for (const auto& record : batch->records)
            processRecord(record);
    }
    if (m_position < chunk->head)
        readNext();
    else
        m_done(std::move(m_newestState));
}

void SnapshotReader::processRecord(const Record& record)
{
    if (const auto* begin = std::get_if<SnapshotBegin>(&record))
        m_partials[begin->position] = { .chunkCount = begin->chunks, .digest = begin->digest };
    const auto* chunk = std::get_if<SnapshotChunk>(&record);
    if (!chunk)
        return;
    auto it = m_partials.find(chunk->position);
    if (it == m_partials.end())
        return;
    it->second.bytesByIndex[chunk->index] = chunk->bytes;
    decodeIfComplete(chunk->position);
}

void SnapshotReader::decodeIfComplete(LogPosition position)
{
    const auto& partial = m_partials[position];
    if (partial.bytesByIndex.size() < partial.chunkCount)
        return;
    std::string bytes;
    for (const auto& [index, part] : partial.bytesByIndex)
        bytes += part;
    auto digest = partial.digest;
    m_partials.erase(position);
    if (digestOf(bytes) != digest) {
        logError("snapshot_digest_differs", { { "stream", m_stream }, { "position", position } });
        return;
    }
    auto state = ClusterState::decodeSnapshot(bytes);
    if (!state.ok()) {
        logError("snapshot_invalid", { { "stream", m_stream }, { "error", statusText(state.status()) } });
        return;
    }
    if (!m_newestState || m_newestState->position() < state->position())
        m_newestState = std::move(*state);
}

}
