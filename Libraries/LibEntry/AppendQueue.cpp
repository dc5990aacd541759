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
    if (m_waiting.size() >= maxQueuedRecords) {
        if (done)
            done(absl::AbortedError("too many records wait for the log"));
        return;
    }
    m_waiting.push_back({ std::move(record), std::move(done), deadline });
}

void AppendQueue::tick(Instant now)
{
    m_now = now;
    expire(now);
    if (m_inFlight && !m_inFlight->sending && now >= m_inFlight->retryAt)
        send(now);
    if (!m_inFlight && !m_waiting.empty() && now - m_lastStart >= Timing::groupCommitInterval)
        startBatch(now);
}

void AppendQueue::startBatch(Instant now)
{
    InFlight next { .firstSent = now, .retryAt = now, .sending = false };
    next.batch = { .member = m_options.member, .incarnation = m_options.incarnation, .sequence = m_nextSequence++ };
    while (!m_waiting.empty() && next.items.size() < maxBatchRecords) {
        next.batch.records.push_back(m_waiting.front().record);
        next.items.push_back(std::move(m_waiting.front()));
        m_waiting.pop_front();
    }
    m_lastStart = now;
    m_inFlight = std::move(next);
    send(now);
}

void AppendQueue::send(Instant)
{
    m_inFlight->sending = true;
    auto sequence = m_inFlight->batch.sequence;
    m_options.log->append(m_options.stream, encodeBatch(m_inFlight->batch),
        [this, sequence, executor = m_options.executor, alive = std::weak_ptr(m_alive)](auto result) {
            executor([this, sequence, alive, status = result.status()] {
                if (!alive.expired())
                    answered(sequence, status);
            });
        });
}

void AppendQueue::answered(uint64_t sequence, const absl::Status& status)
{
    if (!m_inFlight || m_inFlight->batch.sequence != sequence)
        return;
    m_inFlight->sending = false;
    if (absl::IsInvalidArgument(status)) {
        refuseInFlight();
        return;
    }
    if (!status.ok()) {
        logWarning("append_failed",
            { { "stream", m_options.stream }, { "sequence", sequence }, { "error", statusText(status) } });
        m_inFlight->retryAt = m_now + retryDelay;
        return;
    }
    m_unapplied[sequence] = std::move(m_inFlight->items);
    m_inFlight.reset();
}

void AppendQueue::refuseInFlight()
{
    auto items = std::move(m_inFlight->items);
    m_inFlight.reset();
    for (auto& item : items) {
        if (item.done)
            item.done(absl::AbortedError("the log refused the entry"));
    }
}

void AppendQueue::applied(uint64_t sequence, const ApplyResult& result)
{
    std::vector<Waiting> items;
    if (m_inFlight && m_inFlight->batch.sequence == sequence) {
        items = std::move(m_inFlight->items);
        m_inFlight.reset();
    } else if (auto it = m_unapplied.find(sequence); it != m_unapplied.end()) {
        items = std::move(it->second);
        m_unapplied.erase(it);
    }
    for (size_t i = 0; i < items.size() && i < result.statuses.size(); ++i) {
        if (items[i].done)
            items[i].done(result.statuses[i]);
    }
}

bool AppendQueue::isStalled(Instant now) const { return m_inFlight && now - m_inFlight->firstSent > stallThreshold; }

void AppendQueue::expire(Instant now)
{
    auto expireOpen = [&](std::vector<Waiting>& items) {
        for (auto& item : items) {
            if (item.done && item.deadline <= now)
                std::exchange(item.done, {})(absl::UnknownError("the log did not answer in time"));
        }
    };
    if (m_inFlight)
        expireOpen(m_inFlight->items);
    for (auto& [sequence, items] : m_unapplied)
        expireOpen(items);
    std::deque<Waiting> kept;
    std::vector<Done> expired;
    for (auto& item : m_waiting) {
        if (item.deadline <= now)
            expired.push_back(std::move(item.done));
        else
            kept.push_back(std::move(item));
    }
    m_waiting = std::move(kept);
    for (auto& done : expired) {
        if (done)
            done(absl::AbortedError("the log did not take the record in time"));
    }
}

}
