#include <LibCore/Verify.h>
#include <LibHttp/ServerTransport.h>
#include <algorithm>
#include <array>
#include <cerrno>
#include <chrono>
#include <fmt/format.h>
#include <pistache/http_defs.h>
#include <pistache/peer.h>
#include <sys/socket.h>
#include <sys/timerfd.h>
#include <unistd.h>
#include <utility>

namespace Bergamot {

namespace Tcp = Pistache::Tcp;
namespace Polling = Pistache::Polling;
using Phase = ServerConnection::Phase;

static constexpr const char* connectionKey = "connection";
static constexpr size_t readBufferBytes = size_t { 16 } << 10;

/// Bounds of the time between two checks of the time-outs. The lower one limits the processor time for many
/// connections.
static constexpr Milliseconds minTimeoutCheckInterval { 20 };
static constexpr Milliseconds maxTimeoutCheckInterval { 500 };

/// Time for which input is discarded after the last response of a connection. Closing the connection then resets it if
/// the peer is still sending.
static constexpr Milliseconds lingerTimeout { 1000 };

namespace {

    /// Attaches a ServerConnection to each new connection. onInput() is never called, because ServerTransport reads
    /// the input itself.
    class ConnectionHandler final : public Tcp::Handler {
        PROTOTYPE_OF(Tcp::Handler, ConnectionHandler)

        void onInput(const char*, size_t, const std::shared_ptr<Tcp::Peer>&) override { VERIFY(false); }

        void onConnection(const std::shared_ptr<Tcp::Peer>& peer) override
        {
            auto connection = std::make_shared<ServerConnection>();
            connection->phaseStartedAt = SteadyClock().now();
            peer->putData(connectionKey, connection);
        }
    };

}

ServerTransport::ServerTransport(std::shared_ptr<SharedServerState> state)
    : Tcp::Transport(std::make_shared<ConnectionHandler>())
    , m_state(std::move(state))
    , m_timer(timerfd_create(CLOCK_MONOTONIC, TFD_NONBLOCK | TFD_CLOEXEC))
{
    VERIFY(m_timer >= 0);
    m_state->addResponseQueue(m_responseQueue);
}

ServerTransport::~ServerTransport() { ::close(m_timer); }

std::shared_ptr<Pistache::Aio::Handler> ServerTransport::clone() const
{
    return std::make_shared<ServerTransport>(m_state);
}

void ServerTransport::registerPoller(Polling::Epoll& poller)
{
    Tcp::Transport::registerPoller(poller);
    scheduleTimeoutCheck(minTimeoutCheckInterval);
    for (int descriptor : { m_timer, m_responseQueue->descriptor() })
        poller.addFd(
            descriptor, Pistache::Flags(Polling::NotifyOn::Read), Polling::Tag(static_cast<uint64_t>(descriptor)));
}

void ServerTransport::onReady(const Pistache::Aio::FdSet& events)
{
    for (size_t i = 0; i < events.size(); ++i) {
        const auto& event = events.at(i);
        auto descriptor = static_cast<int>(event.getTag().value());
        if (descriptor == m_responseQueue->descriptor()) {
            writeQueuedResponses();
            if (m_state->isReadingStopped)
                closeConnectionsWithoutRequest();
            continue;
        }
        if (descriptor == m_timer) {
            checkTimeouts();
            continue;
        }
        auto peer = peers.find(descriptor);
        bool isPeer = peer != peers.end();
        if (isPeer && event.isReadable())
            readFrom(peer->second);
        if (!event.isWritable() && (isPeer || !event.isReadable()))
            continue;
        Polling::Event remainingEvent(event.getTag());
        remainingEvent.flags.setFlag(event.isWritable() ? Polling::NotifyOn::Write : Polling::NotifyOn::Read);
        Tcp::Transport::onReady(Pistache::Aio::FdSet({ remainingEvent }));
    }
    closeMarkedPeers();
}

ServerConnection& ServerTransport::connectionOf(const Tcp::Peer& peer)
{
    return *std::static_pointer_cast<ServerConnection>(peer.getData(connectionKey));
}

void ServerTransport::enterPhase(ServerConnection& connection, Phase phase)
{
    if (connection.phase == phase)
        return;
    connection.phase = phase;
    connection.phaseStartedAt = m_clock.now();
}

/// Reads all available bytes, because the poller reports new input only once. Returns false when the connection failed.
bool ServerTransport::receive(const PeerPointer& peer, ServerConnection& connection)
{
    std::array<char, readBufferBytes> buffer;
    while (connection.canReceive() && !connection.hasInputEnded) {
        auto n = recv(peer->fd(), buffer.data(), buffer.size(), MSG_DONTWAIT);
        if (n < 0 && errno == EINTR)
            continue;
        if (n < 0)
            return errno == EAGAIN || errno == EWOULDBLOCK;
        if (n == 0) {
            connection.hasInputEnded = true;
        } else if (connection.phase != Phase::Closing) {
            connection.input.append(buffer.data(), static_cast<size_t>(n));
            parseInput(peer);
        }
    }
    return true;
}

void ServerTransport::readFrom(const PeerPointer& peer)
{
    auto& connection = connectionOf(*peer);
    // Counted before the flag is read, so that stopReading() either prevents this read or is followed by its count.
    UnfinishedRequest read(m_state);
    if (m_state->isReadingStopped) {
        if (connection.canReceive() && connection.phase != Phase::Closing)
            markForClose(peer);
        return;
    }
    bool isConnected = receive(peer, connection);
    // A peer that has shut down its sending side still gets the responses to its complete requests.
    if (!isConnected || (connection.hasInputEnded && connection.canReceive()))
        markForClose(peer);
}

void ServerTransport::parseInput(const PeerPointer& peer)
{
    auto& connection = connectionOf(*peer);
    if (connection.input.empty() || !connection.canReceive())
        return;
    auto limits = m_state->limits();
    auto result = connection.parser.parse(connection.input, *limits);
    if (const auto* incomplete = std::get_if<RequestParser::Incomplete>(&result)) {
        connection.input.clear();
        return enterPhase(connection, incomplete->headersComplete ? Phase::Body : Phase::Headers);
    }
    if (const auto* error = std::get_if<RequestParser::ParseError>(&result))
        return sendErrorAndClose(peer, error->status, error->title);
    dispatch(peer, std::get<RequestParser::Complete>(std::move(result)));
}

void ServerTransport::dispatch(const PeerPointer& peer, RequestParser::Complete complete)
{
    auto& connection = connectionOf(*peer);
    connection.input.erase(0, complete.size);
    connection.parser = {};
    connection.closeAfterResponse = !complete.isKeepAlive;
    connection.connectionHeader = complete.connectionHeader.empty() ? "Close" : std::move(complete.connectionHeader);
    enterPhase(connection, Phase::InProgress);
    ++m_state->requestsInProgress;
    HttpResponder responder(
        [queue = m_responseQueue, weak = std::weak_ptr(peer),
            unfinished = std::make_shared<UnfinishedRequest>(m_state)](const HttpResponse& response) {
            queue->push({ .peer = weak, .response = response, .request = unfinished });
        });
    m_state->handler(std::move(complete.request), std::move(responder));
}

void ServerTransport::sendErrorAndClose(const PeerPointer& peer, int status, std::string_view title)
{
    auto& connection = connectionOf(*peer);
    connection.closeAfterResponse = true;
    connection.connectionHeader = "Close";
    write(peer, { .status = status, .body = fmt::format(R"({{"title":"{}","ran":"no"}})", title) });
}

void ServerTransport::writeQueuedResponses()
{
    for (const auto& entry : m_responseQueue->takeAll()) {
        --m_state->requestsInProgress;
        if (auto peer = entry.peer.lock(); peer && isOpen(peer)) {
            connectionOf(*peer).requestBeingAnswered = entry.request;
            write(peer, entry.response);
        }
    }
}

void ServerTransport::closeConnectionsWithoutRequest()
{
    for (const auto& [descriptor, peer] : peers) {
        const auto& connection = connectionOf(*peer);
        if (connection.canReceive() && connection.phase != Phase::Closing)
            markForClose(peer);
    }
}

void ServerTransport::write(const PeerPointer& peer, const HttpResponse& response)
{
    auto& connection = connectionOf(*peer);
    enterPhase(connection, Phase::WritingResponse);
    // Requests that the peer has sent ahead are answered before the connection closes.
    if (m_state->isClosingConnections && connection.input.empty()) {
        connection.closeAfterResponse = true;
        connection.connectionHeader = "Close";
    }
    auto text = fmt::format("HTTP/1.1 {} {}\r\n", response.status,
        Pistache::Http::codeString(static_cast<Pistache::Http::Code>(response.status)));
    for (const auto& header : response.headers)
        text += fmt::format("{}: {}\r\n", header.name, header.value);
    text += fmt::format("Content-Type: {}\r\nConnection: {}\r\nContent-Length: {}\r\n\r\n{}", response.contentType,
        connection.connectionHeader, response.body.size(), response.body);
    auto n = ::send(peer->fd(), text.data(), text.size(), MSG_NOSIGNAL | MSG_DONTWAIT);
    if (n < 0 && errno != EAGAIN && errno != EWOULDBLOCK && errno != EINTR)
        return markForClose(peer);
    auto sent = static_cast<size_t>(std::max<ssize_t>(n, 0));
    if (sent == text.size())
        return onResponseWritten(peer);
    auto unsent = text.substr(sent);
    peer->send(Pistache::RawBuffer(unsent, unsent.size()), MSG_NOSIGNAL)
        .then(
            [this, weak = std::weak_ptr(peer)](ssize_t) {
                if (auto it = weak.lock())
                    onResponseWritten(it);
            },
            [this, weak = std::weak_ptr(peer)](const std::exception_ptr&) {
                if (auto it = weak.lock())
                    markForClose(it);
            });
}

void ServerTransport::onResponseWritten(const PeerPointer& peer)
{
    auto& connection = connectionOf(*peer);
    // Kept until a request that follows in the input has been counted.
    auto answeredRequest = std::exchange(connection.requestBeingAnswered, nullptr);
    if (connection.closeAfterResponse)
        return closeGracefully(peer);
    enterPhase(connection, Phase::Idle);
    parseInput(peer);
    if (connection.canReceive())
        readFrom(peer);
}

void ServerTransport::closeGracefully(const PeerPointer& peer)
{
    auto& connection = connectionOf(*peer);
    enterPhase(connection, Phase::Closing);
    connection.input.clear();
    shutdown(peer->fd(), SHUT_WR);
    readFrom(peer);
}

void ServerTransport::closeMarkedPeers()
{
    for (const auto& peer : std::exchange(m_peersToClose, {})) {
        if (isOpen(peer))
            removePeer(peer);
    }
}

bool ServerTransport::isOpen(const PeerPointer& peer) const
{
    auto it = peers.find(peer->fd());
    return it != peers.end() && it->second == peer;
}

void ServerTransport::scheduleTimeoutCheck(Milliseconds delay)
{
    auto seconds = std::chrono::duration_cast<std::chrono::seconds>(delay);
    itimerspec timing { .it_value
        = { .tv_sec = seconds.count(), .tv_nsec = std::chrono::nanoseconds(delay - seconds).count() } };
    timerfd_settime(m_timer, 0, &timing, nullptr);
}

void ServerTransport::checkTimeouts()
{
    uint64_t expirations = 0;
    if (read(m_timer, &expirations, sizeof(expirations)) < 0)
        return;
    auto limits = m_state->limits();
    // A phase that begins after this check lasts at least as long as the shortest time-out.
    auto nextCheck
        = std::min({ maxTimeoutCheckInterval, limits->headerTimeout, limits->bodyTimeout, limits->idleTimeout });
    for (const auto& [descriptor, peer] : peers) {
        if (auto timeLeft = checkTimeout(peer, *limits))
            nextCheck = std::min(nextCheck, *timeLeft);
    }
    scheduleTimeoutCheck(std::max(nextCheck, minTimeoutCheckInterval));
}

static std::optional<Milliseconds> phaseTimeout(Phase phase, const HttpLimits& limits)
{
    switch (phase) {
    case Phase::InProgress:
        return std::nullopt;
    case Phase::New:
    case Phase::Headers:
        return limits.headerTimeout;
    case Phase::Body:
        return limits.bodyTimeout;
    case Phase::Idle:
    case Phase::WritingResponse:
        return limits.idleTimeout;
    case Phase::Closing:
        return lingerTimeout;
    }
    VERIFY(false);
}

/// Ends the phase of the connection if its time-out has passed; otherwise returns the time until then, if it has one.
std::optional<Milliseconds> ServerTransport::checkTimeout(const PeerPointer& peer, const HttpLimits& limits)
{
    const auto& connection = connectionOf(*peer);
    auto timeout = phaseTimeout(connection.phase, limits);
    if (!timeout)
        return std::nullopt;
    auto timeInPhase = m_clock.now() - connection.phaseStartedAt;
    if (timeInPhase < *timeout)
        return std::chrono::ceil<Milliseconds>(*timeout - timeInPhase);
    if (connection.phase == Phase::Headers)
        sendErrorAndClose(peer, 408, "the headers did not arrive in time");
    else if (connection.phase == Phase::Body)
        sendErrorAndClose(peer, 408, "the body did not arrive in time");
    else
        markForClose(peer);
    return std::nullopt;
}

}
