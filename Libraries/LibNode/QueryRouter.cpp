#include <LibCore/Logger.h>
#include <LibCore/StatusText.h>
#include <LibHttp/EventLoop.h>
#include <LibNode/QueryRouter.h>
#include <LibPlatform/PeerTransport.h>
#include <LibWire/Codec.h>
#include <utility>

namespace Bergamot {

/// A question is sent again when no answer has come, because messages between nodes may be lost.
static constexpr Milliseconds repeatInterval { 400 };

QueryRouter::QueryRouter(EventLoop& loop, PeerTransport& transport, Options options)
    : m_loop(loop)
    , m_transport(transport)
    , m_options(std::move(options))
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
    auto number = ++m_lastNumber;
    m_open.emplace(number,
        Open { .query
            = { .number = number, .replyAddress = m_options.peerAddress, .kind = kind, .subject = std::move(subject) },
            .deadline = deadline,
            .reply = std::move(reply) });
    send(number);
}

void QueryRouter::send(uint64_t number)
{
    auto it = m_open.find(number);
    if (it == m_open.end())
        return;
    if (m_loop.now() >= it->second.deadline)
        return answerReceived({ .number = number });
    m_loop.callAfter(repeatInterval, [this, alive = m_alive, number] {
        if (*alive)
            send(number);
    });
    auto leader = m_options.leaderAddress();
    if (!leader)
        return;
    if (*leader != m_options.peerAddress)
        return m_transport.send(*leader, encodePeerMessage(it->second.query));
    m_options.answerHere(it->second.query, [this, alive = m_alive](const JobAnswer& answer) {
        if (*alive && answer.status != JobAnswerStatus::Unavailable)
            answerReceived(answer);
    });
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
    else if (const auto* answer = std::get_if<JobAnswer>(&*message); answer)
        answerReceived(*answer);
}

void QueryRouter::queryReceived(const JobQuery& query)
{
    m_options.answerHere(query, [this, alive = m_alive, address = query.replyAddress](const JobAnswer& answer) {
        // Without an answer the asking node asks again, perhaps another leader.
        if (*alive && answer.status != JobAnswerStatus::Unavailable)
            m_transport.send(address, encodePeerMessage(answer));
    });
}

void QueryRouter::answerReceived(const JobAnswer& answer)
{
    auto it = m_open.find(answer.number);
    if (it == m_open.end())
        return;
    auto reply = std::move(it->second.reply);
    m_open.erase(it);
    reply(answer);
}

}
