#pragma once

#include <LibCore/SteadyClock.h>
#include <LibHttp/HttpLimits.h>
#include <LibHttp/HttpResponse.h>
#include <LibHttp/ResponseQueue.h>
#include <LibHttp/ServerConnection.h>
#include <LibHttp/SharedServerState.h>
#include <memory>
#include <optional>
#include <pistache/transport.h>
#include <string_view>
#include <vector>

namespace Bergamot {

/// Serves HTTP/1.1 on the connections of one Pistache thread. Pistache accepts and polls the connections; this class
/// reads the requests and writes the responses itself. The transport of Pistache closes a connection as soon as the
/// peer shuts down its sending side, and the HTTP handler of Pistache neither enforces the limits nor finds the end of
/// a rejected request.
class ServerTransport final : public Pistache::Tcp::Transport {
public:
    explicit ServerTransport(std::shared_ptr<SharedServerState>);
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
    void sendErrorAndClose(const PeerPointer&, int status, std::string_view title);
    void writeQueuedResponses();
    void closeConnectionsWithoutRequest();
    void write(const PeerPointer&, const HttpResponse&);
    void onResponseWritten(const PeerPointer&);
    void closeGracefully(const PeerPointer&);
    void markForClose(const PeerPointer& peer) { m_peersToClose.push_back(peer); }
    void closeMarkedPeers();
    bool isOpen(const PeerPointer&) const;
    void scheduleTimeoutCheck(Milliseconds delay);
    void checkTimeouts();
    std::optional<Milliseconds> checkTimeout(const PeerPointer&, const HttpLimits&);
    void enterPhase(ServerConnection&, ServerConnection::Phase);

    std::shared_ptr<SharedServerState> m_state;
    std::shared_ptr<ResponseQueue> m_responseQueue { std::make_shared<ResponseQueue>() };
    SteadyClock m_clock;

    int m_timer { -1 };

    /// Peers to close at the end of the current onReady() call. Closing them earlier would let a new connection reuse
    /// a descriptor that later events of the same call still refer to.
    std::vector<PeerPointer> m_peersToClose;
};

}
