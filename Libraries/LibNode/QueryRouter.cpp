#include <LibCore/GuardedCall.h>
#include <LibCore/Logger.h>
#include <LibCore/StatusText.h>
#include <LibHttp/EventLoop.h>
#include <LibNode/QueryRouter.h>
#include <LibPlatform/PeerTransport.h>
#include <LibWire/Codec.h>
#include <algorithm>
#include <utility>

namespace Bergamot {

/// Interval between retries of a query without a reply. Messages between nodes may be lost.
static constexpr Milliseconds retryInterval { 400 };

/// A connection younger than this is not replaced, because it may still be connecting.
static constexpr Milliseconds minConnectionAge { 1000 };

QueryRouter::QueryRouter(EventLoop& loop, PeerTransport& transport, Options options)
    : m_loop(loop)
    , m_transport(transport)
    , m_options(std::move(options))
    , m_lastQueryId(m_options.firstQueryId)
{
    m_transport.setReceiver([this, alive = m_alive](std::string_view bytes) {
        m_loop.post([this, alive, copy = std::string(bytes)] {
            if (*alive)
                guardedCall("peer_message_failed", [&] { handleMessage(copy); });
        });
    });
}

QueryRouter::~QueryRouter() { *m_alive = false; }

void QueryRouter::sendQuery(JobQueryKind kind, std::string subject, Instant deadline, ReplyCallback callback)
{
    auto queryId = ++m_lastQueryId;
    m_pendingQueries.emplace(queryId,
        PendingQuery { .query = { .queryId = queryId,
                           .replyAddress = m_options.peerAddress,
                           .kind = kind,
                           .subject = std::move(subject) },
            .deadline = deadline,
            .callback = std::move(callback) });
    sendWithRetry(queryId);
}

void QueryRouter::answerPending()
{
    for (auto& [queryId, pending] : std::exchange(m_pendingQueries, {}))
        pending.callback({ .queryId = queryId });
}

void QueryRouter::sendWithRetry(uint64_t queryId)
{
    auto it = m_pendingQueries.find(queryId);
    if (it == m_pendingQueries.end())
        return;
    if (m_loop.now() >= it->second.deadline)
        return handleReply({ .queryId = queryId });
    m_loop.callAfter(std::min(retryInterval, it->second.deadline - m_loop.now()), [this, alive = m_alive, queryId] {
        if (*alive)
            sendWithRetry(queryId);
    });
    auto leader = m_options.leaderAddress();
    if (!leader)
        return;
    if (*leader != m_options.peerAddress) {
        if (++it->second.attempts > 1)
            replaceConnection(*leader);
        return sendTo(*leader, encodePeerMessage(it->second.query));
    }
    m_options.handleLocally(it->second.query, [this, alive = m_alive](const JobQueryReply& reply) {
        if (*alive && reply.status != JobQueryStatus::Unavailable)
            handleReply(reply);
    });
}

void QueryRouter::sendTo(const std::string& address, std::string_view bytes)
{
    m_connectionsOpenedAt.try_emplace(address, m_loop.now());
    m_transport.send(address, bytes);
}

/// A missing reply means that the peer is slow or that the connection has stalled. Only a new connection recovers from
/// a stalled one.
void QueryRouter::replaceConnection(const std::string& address)
{
    auto now = m_loop.now();
    auto it = m_connectionsOpenedAt.find(address);
    if (it == m_connectionsOpenedAt.end() || now - it->second < minConnectionAge)
        return;
    it->second = now;
    logInfo("peer_connection_replaced", { { "peer", address } });
    m_transport.disconnect(address);
}

/// A node increments its query ids, so an id equal to or slightly below the latest one belongs to a retransmitted
/// query. An id far below it comes from another process at the same address.
bool QueryRouter::isRetransmission(const JobQuery& query)
{
    constexpr uint64_t maxIdDistance = 10000;
    auto [it, isFirst] = m_latestQueryIds.try_emplace(query.replyAddress, query.queryId);
    if (isFirst)
        return false;
    bool isRetransmitted = query.queryId <= it->second && it->second - query.queryId < maxIdDistance;
    if (!isRetransmitted)
        it->second = query.queryId;
    return isRetransmitted;
}

void QueryRouter::handleMessage(std::string_view bytes)
{
    auto message = decodePeerMessage(bytes);
    if (!message.ok()) {
        logWarning("peer_message_ignored", { { "error", statusText(message.status()) } });
        return;
    }
    if (const auto* query = std::get_if<JobQuery>(&*message))
        handleQuery(*query);
    else if (const auto* reply = std::get_if<JobQueryReply>(&*message); reply)
        handleReply(*reply);
}

void QueryRouter::handleQuery(const JobQuery& query)
{
    if (isRetransmission(query))
        replaceConnection(query.replyAddress);
    m_options.handleLocally(query, [this, alive = m_alive, address = query.replyAddress](const JobQueryReply& reply) {
        // Without a reply, the requesting node retries, possibly with another leader.
        if (*alive && reply.status != JobQueryStatus::Unavailable)
            sendTo(address, encodePeerMessage(reply));
    });
}

void QueryRouter::handleReply(const JobQueryReply& reply)
{
    auto it = m_pendingQueries.find(reply.queryId);
    if (it == m_pendingQueries.end())
        return;
    auto callback = std::move(it->second.callback);
    m_pendingQueries.erase(it);
    callback(reply);
}

}
