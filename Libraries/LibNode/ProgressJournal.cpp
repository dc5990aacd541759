#include <LibCore/Logger.h>
#include <LibCore/StatusText.h>
#include <LibHttp/EventLoop.h>
#include <LibNode/ProgressJournal.h>
#include <LibWire/ValueCodec.h>
#include <utility>

namespace Bergamot {

static constexpr const char* writerName = "leader";
static constexpr Milliseconds lockOutTimeout { 1000 };
static constexpr Milliseconds retryDelay { 150 };

/// Ends that arrive within this time share an append.
static constexpr Milliseconds groupDelay { 8 };

ProgressJournal::ProgressJournal(EventLoop& loop, RecordStore& store, Options options)
    : m_loop(loop)
    , m_store(store)
    , m_options(std::move(options))
{
}

ProgressJournal::~ProgressJournal() { *m_alive = false; }

void ProgressJournal::lockOut(std::function<void()> onDone)
{
    AppendRequest request { .stream = StreamName::Progress,
        .fence = WriterFence { .writer = writerName, .epoch = m_options.epoch, .sequence = 0 } };
    m_store.append(request, lockOutTimeout, [this, alive = m_alive, onDone = std::move(onDone)](auto reply) {
        if (!*alive)
            return;
        if (reply.ok() && reply->outcome == AppendOutcome::Fenced)
            return m_options.onFenced();
        if (reply.ok())
            return onDone();
        logWarning("lock_out_failed", { { "epoch", m_options.epoch }, { "error", statusText(reply.status()) } });
        m_loop.callAfter(retryDelay, [this, alive, onDone] {
            if (*alive)
                lockOut(onDone);
        });
    });
}

void ProgressJournal::wake()
{
    if (m_sending) {
        m_wokenMeanwhile = true;
        return;
    }
    if (std::exchange(m_wakeScheduled, true))
        return;
    m_loop.callAfter(groupDelay, [this, alive = m_alive] {
        if (*alive)
            flush();
    });
}

void ProgressJournal::flush()
{
    m_wakeScheduled = false;
    m_batch = m_options.collect();
    if (m_batch.isEmpty()) {
        m_options.onStored(m_batch);
        return;
    }
    m_request = { .stream = StreamName::Progress,
        .fence = WriterFence { .writer = writerName, .epoch = m_options.epoch, .sequence = ++m_sequence } };
    for (const auto& job : m_batch.jobs)
        m_request.records.push_back({ .key = jobKeyPrefix + job.id, .value = encodeValue(job) });
    if (m_batch.assignedWorkers)
        m_request.records.push_back({ .key = assignedWorkersKey, .value = encodeValue(*m_batch.assignedWorkers) });
    if (m_batch.pressures)
        m_request.records.push_back({ .key = pressuresKey, .value = encodeValue(*m_batch.pressures) });
    m_sending = true;
    send();
}

void ProgressJournal::send()
{
    ++m_appends;
    m_sentAt = m_loop.now();
    m_store.append(m_request, m_timeout.current(), [this, alive = m_alive](absl::StatusOr<AppendReply> reply) {
        if (*alive)
            answered(std::move(reply));
    });
}

void ProgressJournal::answered(absl::StatusOr<AppendReply> reply)
{
    m_timeout.observe(reply.status(), m_loop.now() - m_sentAt);
    if (!reply.ok()) {
        // The sequence makes a repeat harmless when the first append took effect.
        logWarning("progress_append_failed",
            { { "epoch", m_options.epoch }, { "sequence", m_sequence }, { "error", statusText(reply.status()) } });
        m_loop.callAfter(retryDelay, [this, alive = m_alive] {
            if (*alive)
                send();
        });
        return;
    }
    if (reply->outcome != AppendOutcome::Appended) {
        logError("progress_append_refused",
            { { "epoch", m_options.epoch }, { "sequence", m_sequence },
                { "outcome", static_cast<int>(reply->outcome) } });
        return m_options.onFenced();
    }
    m_sending = false;
    m_options.onStored(std::exchange(m_batch, {}));
    if (std::exchange(m_wokenMeanwhile, false))
        wake();
}

}
