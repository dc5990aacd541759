#include <LibCore/Logger.h>
#include <LibCore/StatusText.h>
#include <LibHttp/EventLoop.h>
#include <LibNode/StreamReader.h>
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
            m_loadTimeout.observe(reply.status(), m_loop.now() - requestSentAt);
            if (!reply.ok()) {
                logWarning("stream_load_failed",
                    { { "stream", static_cast<int>(m_options.stream) }, { "error", statusText(reply.status()) } });
                return retry([this, afterKey] { load(afterKey); });
            }
            loaded(*reply, afterKey.empty());
        });
}

void StreamReader::loaded(const ReadNewestReply& reply, bool firstPage)
{
    // Pages are not a snapshot: records that change meanwhile are read again from the end as of the first page.
    if (firstPage) {
        m_position = reply.end;
        m_caughtUp = false;
        m_options.onReload();
    }
    for (const auto& record : reply.records)
        m_options.onRecord(record);
    if (reply.more && !reply.records.empty())
        return load(reply.records.back().key);
    m_loaded = true;
    readNext();
}

void StreamReader::readNext()
{
    auto begunAt = m_loop.now();
    // The first read after a load only looks for what came during the load.
    auto wait = m_caughtUp ? m_options.wait : Milliseconds { 0 };
    m_store.read(m_options.stream, m_options.partition, m_position, wait,
        [this, alive = m_alive, begunAt](absl::StatusOr<ReadReply> reply) {
            if (!*alive)
                return;
            if (!reply.ok()) {
                logWarning("stream_read_failed",
                    { { "stream", static_cast<int>(m_options.stream) }, { "error", statusText(reply.status()) } });
                return retry([this] { readNext(); });
            }
            readFinished(*reply, begunAt);
        });
}

void StreamReader::readFinished(const ReadReply& reply, Instant begunAt)
{
    if (reply.expired) {
        logInfo("stream_reload", { { "stream", static_cast<int>(m_options.stream) }, { "position", m_position } });
        return load({});
    }
    for (const auto& record : reply.records)
        m_options.onRecord(record);
    m_position += reply.records.size();
    if (m_position >= reply.end) {
        m_caughtUp = true;
        m_currentAsOf = begunAt;
        m_options.onCaughtUp();
    }
    if (m_options.interval.count() == 0)
        return readNext();
    m_loop.callAfter(m_options.interval, [this, alive = m_alive] {
        if (*alive)
            readNext();
    });
}

}
