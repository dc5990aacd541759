#include <LibCore/Logger.h>
#include <LibCore/StatusText.h>
#include <LibDecision/Timing.h>
#include <LibEntry/AppendQueue.h>
#include <LibWire/Codec.h>
#include <utility>

namespace Bergamot {

static constexpr Milliseconds retryDelay { 200 };
static constexpr Milliseconds stallThreshold { 1000 };

AppendQueue::AppendQueue(Options options)
    : m_options(std::move(options))
{
}

void AppendQueue::submit(Record record, Done done, Instant deadline)
{
    if (m_pending.size() >= maxQueuedRecords) {
        if (done)
            done(absl::AbortedError("too many records wait for the log"));
        return;
    }
    m_pending.push_back({ std::move(record), std::move(done), deadline });
}

void AppendQueue::tick(Instant now)
{
    m_now = now;
    expireDeadlines(now);
    if (m_inFlight && !m_inFlight->isSending && now >= m_inFlight->retryAt)
        send(now);
    if (!m_inFlight && !m_pending.empty() && now - m_lastBatchStartedAt >= Timing::groupCommitInterval)
        startBatch(now);
}

void AppendQueue::startBatch(Instant now)
{
    InFlight next { .firstSentAt = now, .retryAt = now, .isSending = false };
    next.batch = { .member = m_options.member, .incarnation = m_options.incarnation, .sequence = m_nextSequence++ };
    while (!m_pending.empty() && next.items.size() < maxBatchRecords) {
        next.batch.records.push_back(m_pending.front().record);
        next.items.push_back(std::move(m_pending.front()));
        m_pending.pop_front();
    }
    m_lastBatchStartedAt = now;
    m_inFlight = std::move(next);
    send(now);
}

void AppendQueue::send(Instant)
{
    m_inFlight->isSending = true;
    auto sequence = m_inFlight->batch.sequence;
    m_options.log->append(m_options.stream, encodeBatch(m_inFlight->batch),
        [this, sequence, executor = m_options.executor, alive = std::weak_ptr(m_alive)](auto result) {
            executor([this, sequence, alive, status = result.status()] {
                if (!alive.expired())
                    appendFinished(sequence, status);
            });
        });
}

void AppendQueue::appendFinished(uint64_t sequence, const absl::Status& status)
{
    if (!m_inFlight || m_inFlight->batch.sequence != sequence)
        return;
    m_inFlight->isSending = false;
    if (absl::IsInvalidArgument(status)) {
        rejectInFlight();
        return;
    }
    if (!status.ok()) {
        logWarning("append_failed",
            { { "stream", m_options.stream }, { "sequence", sequence }, { "error", statusText(status) } });
        m_inFlight->retryAt = m_now + retryDelay;
        return;
    }
    m_unappliedBatches[sequence] = std::move(m_inFlight->items);
    m_inFlight.reset();
}

void AppendQueue::rejectInFlight()
{
    auto items = std::move(m_inFlight->items);
    m_inFlight.reset();
    for (auto& item : items) {
        if (item.done)
            item.done(absl::AbortedError("the log refused the entry"));
    }
}

void AppendQueue::batchApplied(uint64_t sequence, const ApplyResult& result)
{
    std::vector<PendingRecord> items;
    if (m_inFlight && m_inFlight->batch.sequence == sequence) {
        items = std::move(m_inFlight->items);
        m_inFlight.reset();
    } else if (auto it = m_unappliedBatches.find(sequence); it != m_unappliedBatches.end()) {
        items = std::move(it->second);
        m_unappliedBatches.erase(it);
    }
    for (size_t i = 0; i < items.size() && i < result.statuses.size(); ++i) {
        if (items[i].done)
            items[i].done(result.statuses[i]);
    }
}

bool AppendQueue::isStalled(Instant now) const { return m_inFlight && now - m_inFlight->firstSentAt > stallThreshold; }

void AppendQueue::expireDeadlines(Instant now)
{
    auto expireUndetermined = [&](std::vector<PendingRecord>& items) {
        for (auto& item : items) {
            if (item.done && item.deadline <= now)
                std::exchange(item.done, {})(absl::UnknownError("the log did not answer in time"));
        }
    };
    if (m_inFlight)
        expireUndetermined(m_inFlight->items);
    for (auto& [sequence, items] : m_unappliedBatches)
        expireUndetermined(items);
    std::deque<PendingRecord> unexpired;
    std::vector<Done> expired;
    for (auto& item : m_pending) {
        if (item.deadline <= now)
            expired.push_back(std::move(item.done));
        else
            unexpired.push_back(std::move(item));
    }
    m_pending = std::move(unexpired);
    for (auto& done : expired) {
        if (done)
            done(absl::AbortedError("the log did not take the record in time"));
    }
}

}
