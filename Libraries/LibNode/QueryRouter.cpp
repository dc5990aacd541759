#include <LibCore/Logger.h>
#include <LibCore/StatusText.h>
#include <LibHttp/EventLoop.h>
#include <LibNode/QueryRouter.h>
#include <LibPlatform/PeerTransport.h>
#include <LibWire/Codec.h>
#include <algorithm>
#include <utility>

namespace Bergamot {

/// A question is sent again when no answer has come, because messages between nodes may be lost.
static constexpr Milliseconds repeatInterval { 400 };

/// A younger connection between nodes is not replaced, because it may still be opening.
static constexpr Milliseconds shortestConnection { 1000 };

QueryRouter::QueryRouter(EventLoop& loop, PeerTransport& transport, Options options)
    : m_loop(loop)
    , m_transport(transport)
    , m_options(std::move(options))
    , m_lastQueryId(m_options.firstQueryId)
{
    m_transport.setReceiver([this, alive = m_alive](std::string_view bytes) {
        m_loop.post([this, alive, copy = std::string(bytes)] {
            if (*alive)
                received(copy);
        });
    });
}

QueryRouter::~QueryRouter() { *m_alive = false; }

void QueryRouter::ask(JobQueryKind kind, std::string subject, Instant deadline, Reply reply)
{
    auto queryId = ++m_lastQueryId;
    m_open.emplace(queryId,
        Open { .query = { .queryId = queryId,
                   .replyAddress = m_options.peerAddress,
                   .kind = kind,
                   .subject = std::move(subject) },
            .deadline = deadline,
            .reply = std::move(reply) });
    send(queryId);
}

void QueryRouter::send(uint64_t queryId)
{
    auto it = m_open.find(queryId);
    if (it == m_open.end())
        return;
    if (m_loop.now() >= it->second.deadline)
        return answerReceived({ .queryId = queryId });
    m_loop.callAfter(repeatInterval, [this, alive = m_alive, queryId] {
        if (*alive)
            send(queryId);
    });
    auto leader = m_options.leaderAddress();
    if (!leader)
        return;
    if (*leader != m_options.peerAddress) {
        if (++it->second.sends > 1)
            replaceConnection(*leader);
        return sendTo(*leader, encodePeerMessage(it->second.query));
    }
    m_options.answerHere(it->second.query, [this, alive = m_alive](const JobQueryReply& answer) {
        if (*alive && answer.status != JobQueryStatus::Unavailable)
            answerReceived(answer);
    });
}

void QueryRouter::sendTo(const std::string& address, std::string_view bytes)
{
    m_connectionsOpenedAt.try_emplace(address, m_loop.now());
    m_transport.send(address, bytes);
}

/// The peer may be slow, or the connection may be silent for good; only a new connection helps against the latter.
void QueryRouter::replaceConnection(const std::string& address)
{
    auto now = m_loop.now();
    auto it = m_connectionsOpenedAt.find(address);
    if (it == m_connectionsOpenedAt.end() || now - it->second < shortestConnection)
        return;
    it->second = now;
    logInfo("peer_connection_replaced", { { "peer", address } });
    m_transport.disconnect(address);
}

/// A node numbers its questions upwards, so a number just below the latest one is of a question that was sent again. A
/// number far from it is of another process at the same address.
bool QueryRouter::isRepeated(const JobQuery& query)
{
    constexpr uint64_t longestRun = 10000;
    auto [it, first] = m_latestQuestions.try_emplace(query.replyAddress, query.queryId);
    if (first)
        return false;
    bool repeated = query.queryId <= it->second && it->second - query.queryId < longestRun;
    if (!repeated)
        it->second = query.queryId;
    return repeated;
}

void QueryRouter::received(std::string_view bytes)
{
    auto message = decodePeerMessage(bytes);
    if (!message.ok()) {
        logWarning("peer_message_ignored", { { "error", statusText(message.status()) } });
        return;
    }
    if (const auto* query = std::get_if<JobQuery>(&*message))
        queryReceived(*query);
    else if (const auto* answer = std::get_if<JobQueryReply>(&*message); answer)
        answerReceived(*answer);
}

void QueryRouter::queryReceived(const JobQuery& query)
{
    if (isRepeated(query))
        replaceConnection(query.replyAddress);
    m_options.answerHere(query, [this, alive = m_alive, address = query.replyAddress](const JobQueryReply& answer) {
        // Without an answer the asking node asks again, perhaps another leader.
        if (*alive && answer.status != JobQueryStatus::Unavailable)
            sendTo(address, encodePeerMessage(answer));
    });
}

void QueryRouter::answerReceived(const JobQueryReply& answer)
{
    auto it = m_open.find(answer.queryId);
    if (it == m_open.end())
        return;
    auto reply = std::move(it->second.reply);
    m_open.erase(it);
    reply(answer);
}

}
