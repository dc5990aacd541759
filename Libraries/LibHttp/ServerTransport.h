#pragma once

#include <LibCore/SteadyClock.h>
#include <LibHttp/AnswerQueue.h>
#include <LibHttp/HttpLimits.h>
#include <LibHttp/HttpResponse.h>
#include <LibHttp/ServerConnection.h>
#include <LibHttp/ServerShared.h>
#include <memory>
#include <pistache/transport.h>
#include <string_view>
#include <vector>

namespace Bergamot {

/// Serves HTTP/1.1 on the connections of one Pistache thread. Pistache accepts and polls; its own transport closes a
/// connection as soon as its sender is done, and its handler reads neither limits nor the end of a refused request, so
/// bytes are read and answers are written here.
class ServerTransport final : public Pistache::Tcp::Transport {
public:
    explicit ServerTransport(std::shared_ptr<ServerShared>);
    ~ServerTransport() override;

    std::shared_ptr<Pistache::Aio::Handler> clone() const override;
    void registerPoller(Pistache::Polling::Epoll&) override;
    void onReady(const Pistache::Aio::FdSet&) override;

private:
    using PeerPointer = std::shared_ptr<Pistache::Tcp::Peer>;

    static ServerConnection& connectionOf(const Pistache::Tcp::Peer&);
    void readFrom(const PeerPointer&);
    bool receive(const PeerPointer&, ServerConnection&);
    void parseInput(const PeerPointer&);
    void dispatch(const PeerPointer&, RequestParser::Complete);
    void refuse(const PeerPointer&, int status, std::string_view title);
    void writeAnswers();
    void write(const PeerPointer&, const HttpResponse&);
    void answerWritten(const PeerPointer&);
    void closeGracefully(const PeerPointer&);
    void close(const PeerPointer& peer) { m_toClose.push_back(peer); }
    void closeMarked();
    bool isOpen(const PeerPointer&) const;
    void checkTimes();
    void checkTime(const PeerPointer&);
    void enter(ServerConnection&, ServerConnection::Phase);

    std::shared_ptr<ServerShared> m_shared;
    std::shared_ptr<AnswerQueue> m_answers { std::make_shared<AnswerQueue>() };
    SteadyClock m_clock;

    /// As of the begin of a round of events.
    std::shared_ptr<const HttpLimits> m_limits;
    int m_timer { -1 };

    /// Closed when all events of a round are served, so that none of them meets a descriptor used again.
    std::vector<PeerPointer> m_toClose;
};

}
