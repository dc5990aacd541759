#include <LibCore/Logger.h>
#include <LibCore/StatusText.h>
#include <LibHttp/EventLoop.h>
#include <LibNode/ProgressJournal.h>
#include <LibPlatform/RecordLimits.h>
#include <LibWire/ValueCodec.h>
#include <utility>

namespace Bergamot {

static constexpr const char* writerName = "leader";
static constexpr Milliseconds fenceTimeout { 1000 };
static constexpr Milliseconds retryDelay { 150 };

/// Changes made within this time share an append.
static constexpr Milliseconds batchDelay { 8 };

ProgressJournal::ProgressJournal(EventLoop& loop, RecordStore& store, Options options)
    : m_loop(loop)
    , m_store(store)
    , m_options(std::move(options))
{
}

ProgressJournal::~ProgressJournal() { *m_alive = false; }

void ProgressJournal::fencePredecessors(std::function<void()> onDone)
{
    AppendRequest request { .stream = StreamName::Progress,
        .fence = WriterFence { .writer = writerName, .epoch = m_options.epoch, .sequence = 0 } };
    m_store.append(request, fenceTimeout, [this, alive = m_alive, onDone = std::move(onDone)](auto reply) {
        if (!*alive)
            return;
        if (reply.ok() && reply->outcome == AppendOutcome::Fenced)
            return m_options.onFenced();
        if (reply.ok())
            return onDone();
        logWarning("lock_out_failed", { { "epoch", m_options.epoch }, { "error", statusText(reply.status()) } });
        m_loop.callAfter(retryDelay, [this, alive, onDone] {
            if (*alive)
                fencePredecessors(onDone);
        });
    });
}

void ProgressJournal::requestFlush()
{
    if (m_isSending) {
        m_isFlushRequested = true;
        return;
    }
    if (std::exchange(m_isFlushScheduled, true))
        return;
    m_loop.callAfter(batchDelay, [this, alive = m_alive] {
        if (*alive)
            flush();
    });
}

void ProgressJournal::flush()
{
    m_isFlushScheduled = false;
    m_batch = m_options.collect();
    if (m_batch.isEmpty()) {
        m_options.onStored(m_batch);
        return;
    }
    for (const auto& job : m_batch.jobs)
        m_unsentRecords.push_back({ .key = jobKeyPrefix + job.id, .value = encodeValue(job) });
    if (m_batch.assignedWorkers)
        m_unsentRecords.push_back({ .key = assignedWorkersKey, .value = encodeValue(*m_batch.assignedWorkers) });
    if (m_batch.pressures)
        m_unsentRecords.push_back({ .key = pressuresKey, .value = encodeValue(*m_batch.pressures) });
    if (m_batch.unreachedWorkers)
        m_unsentRecords.push_back({ .key = unreachedWorkersKey, .value = encodeValue(*m_batch.unreachedWorkers) });
    m_isSending = true;
    sendNextAppend();
}

void ProgressJournal::sendNextAppend()
{
    m_request = { .stream = StreamName::Progress,
        .fence = WriterFence { .writer = writerName, .epoch = m_options.epoch, .sequence = ++m_sequence } };
    size_t bytes = 0;
    do {
        bytes += encodedSizeOf(m_unsentRecords.front());
        m_request.records.push_back(std::move(m_unsentRecords.front()));
        m_unsentRecords.pop_front();
    } while (!m_unsentRecords.empty() && bytes + encodedSizeOf(m_unsentRecords.front()) <= maxAppendBytes);
    sendAppend();
}

void ProgressJournal::sendAppend()
{
    ++m_appendCount;
    m_sentAt = m_loop.now();
    m_store.append(m_request, m_timeout.current(), [this, alive = m_alive](absl::StatusOr<AppendReply> reply) {
        if (*alive)
            handleReply(std::move(reply));
    });
}

void ProgressJournal::handleReply(absl::StatusOr<AppendReply> reply)
{
    m_timeout.recordResult(reply.status(), m_loop.now() - m_sentAt);
    if (!reply.ok()) {
        // Retries are idempotent: the store recognizes the sequence number if the first append took effect.
        logWarning("progress_append_failed",
            { { "epoch", m_options.epoch }, { "sequence", m_sequence }, { "error", statusText(reply.status()) } });
        m_loop.callAfter(retryDelay, [this, alive = m_alive] {
            if (*alive)
                sendAppend();
        });
        return;
    }
    if (reply->outcome != AppendOutcome::Appended) {
        logError("progress_append_refused",
            { { "epoch", m_options.epoch }, { "sequence", m_sequence },
                { "outcome", static_cast<int>(reply->outcome) } });
        return m_options.onFenced();
    }
    if (!m_unsentRecords.empty())
        return sendNextAppend();
    m_isSending = false;
    m_options.onStored(std::exchange(m_batch, {}));
    if (std::exchange(m_isFlushRequested, false))
        requestFlush();
}

}
