#include <LibCore/GuardedCall.h>
#include <LibCore/Logger.h>
#include <LibCore/StatusText.h>
#include <LibHttp/EventLoop.h>
#include <LibNode/StreamReader.h>
#include <algorithm>
#include <utility>

namespace Bergamot {

static constexpr Milliseconds retryDelay { 150 };

StreamReader::StreamReader(EventLoop& loop, RecordStore& store, Options options)
    : m_loop(loop)
    , m_store(store)
    , m_options(std::move(options))
    , m_loadTimeout(m_options.loadTimeout)
{
}

StreamReader::~StreamReader() { *m_alive = false; }

void StreamReader::start() { load({}); }

void StreamReader::retry(std::function<void()> task)
{
    m_loop.callAfter(retryDelay, [alive = m_alive, task = std::move(task)] {
        if (*alive)
            task();
    });
}

void StreamReader::load(const std::string& afterKey)
{
    m_store.readNewest(m_options.stream, m_options.partition, afterKey, m_loadTimeout.current(),
        [this, alive = m_alive, afterKey, requestSentAt = m_loop.now()](absl::StatusOr<ReadNewestReply> reply) {
            if (!*alive)
                return;
            m_loadTimeout.recordResult(reply.status(), m_loop.now() - requestSentAt);
            if (!reply.ok()) {
                logWarning("stream_load_failed",
                    { { "stream", static_cast<int>(m_options.stream) }, { "error", statusText(reply.status()) } });
                return retry([this, afterKey] { load(afterKey); });
            }
            handlePage(*reply, afterKey.empty());
        });
}

void StreamReader::handlePage(const ReadNewestReply& reply, bool isFirstPage)
{
    // Pages are not a snapshot. Reading continues from the end of the stream at the first page, so that records which
    // change during the load are delivered.
    if (isFirstPage) {
        m_position = reply.end;
        m_isCaughtUp = false;
        guardedCall("reload_failed", m_options.onReload);
    }
    deliver(reply.records);
    if (reply.hasMore && !reply.records.empty())
        return load(reply.records.back().key);
    m_hasLoaded = true;
    readNext();
}

/// A record that cannot be processed must not keep this node, and each later leader, from the records after it.
void StreamReader::deliver(const std::vector<KeyedRecord>& records)
{
    for (const auto& record : records)
        guardedCall("record_failed", [&] { m_options.onRecord(record); });
}

bool StreamReader::isLagging(Milliseconds maxAge) const
{
    return !m_hasLastReadFailed && m_loop.now() - m_currentAsOf > maxAge;
}

void StreamReader::readNext()
{
    auto startedAt = m_loop.now();
    // The first read after a load only fetches records appended during the load, so it does not wait.
    auto wait = m_isCaughtUp ? m_options.maxWait : Milliseconds { 0 };
    m_store.read(m_options.stream, m_options.partition, m_position, wait,
        [this, alive = m_alive, startedAt](absl::StatusOr<ReadReply> reply) {
            if (!*alive)
                return;
            m_hasLastReadFailed = !reply.ok();
            if (!reply.ok()) {
                logWarning("stream_read_failed",
                    { { "stream", static_cast<int>(m_options.stream) }, { "error", statusText(reply.status()) } });
                return retry([this] { readNext(); });
            }
            handleReadReply(*reply, startedAt);
        });
}

/// The read in progress delivers any records at the end, so that they stay in order.
void StreamReader::checkEnd()
{
    if (!m_isCaughtUp || std::exchange(m_isCheckingEnd, true))
        return;
    m_store.read(m_options.stream, m_options.partition, m_position, Milliseconds { 0 },
        [this, alive = m_alive, startedAt = m_loop.now()](absl::StatusOr<ReadReply> reply) {
            if (!*alive)
                return;
            m_isCheckingEnd = false;
            if (!reply.ok() || reply->isExpired || !m_isCaughtUp || m_position < reply->end)
                return;
            m_currentAsOf = std::max(m_currentAsOf, startedAt);
            guardedCall("catch_up_failed", m_options.onCaughtUp);
        });
}

void StreamReader::handleReadReply(const ReadReply& reply, Instant startedAt)
{
    if (reply.isExpired) {
        logInfo("stream_reload", { { "stream", static_cast<int>(m_options.stream) }, { "position", m_position } });
        return load({});
    }
    deliver(reply.records);
    m_position += reply.records.size();
    if (m_position >= reply.end) {
        m_isCaughtUp = true;
        m_currentAsOf = std::max(m_currentAsOf, startedAt);
        // The reads go on, because later records need not depend on what failed.
        guardedCall("catch_up_failed", m_options.onCaughtUp);
    }
    bool isBehind = m_position < reply.end;
    if (isBehind && reply.records.empty())
        return retry([this] { readNext(); });
    if (isBehind || m_options.pollInterval.count() == 0)
        return readNext();
    m_loop.callAfter(m_options.pollInterval, [this, alive = m_alive] {
        if (*alive)
            readNext();
    });
}

}
