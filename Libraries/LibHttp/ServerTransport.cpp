#include <LibCore/Verify.h>
#include <LibHttp/ServerTransport.h>
#include <array>
#include <cerrno>
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
static constexpr size_t readBytes = size_t { 16 } << 10;
static constexpr Milliseconds checkInterval { 500 };

/// How long a refused caller may go on sending before its connection is reset.
static constexpr Milliseconds lingerTime { 1000 };

namespace {

    /// Gives each new connection its state. The transport itself reads.
    class ConnectionHandler final : public Tcp::Handler {
        PROTOTYPE_OF(Tcp::Handler, ConnectionHandler)

        void onInput(const char*, size_t, const std::shared_ptr<Tcp::Peer>&) override { VERIFY(false); }

        void onConnection(const std::shared_ptr<Tcp::Peer>& peer) override
        {
            auto connection = std::make_shared<ServerConnection>();
            connection->since = SteadyClock().now();
            peer->putData(connectionKey, connection);
        }
    };

}

ServerTransport::ServerTransport(std::shared_ptr<ServerShared> shared)
    : Tcp::Transport(std::make_shared<ConnectionHandler>())
    , m_shared(std::move(shared))
    , m_timer(timerfd_create(CLOCK_MONOTONIC, TFD_NONBLOCK | TFD_CLOEXEC))
{
    VERIFY(m_timer >= 0);
}

ServerTransport::~ServerTransport() { ::close(m_timer); }

std::shared_ptr<Pistache::Aio::Handler> ServerTransport::clone() const
{
    return std::make_shared<ServerTransport>(m_shared);
}

void ServerTransport::registerPoller(Polling::Epoll& poller)
{
    Tcp::Transport::registerPoller(poller);
    constexpr long interval = std::chrono::nanoseconds(checkInterval).count();
    itimerspec timing { .it_interval = { .tv_sec = 0, .tv_nsec = interval },
        .it_value = { .tv_sec = 0, .tv_nsec = interval } };
    timerfd_settime(m_timer, 0, &timing, nullptr);
    for (int descriptor : { m_timer, m_answers->descriptor() })
        poller.addFd(
            descriptor, Pistache::Flags(Polling::NotifyOn::Read), Polling::Tag(static_cast<uint64_t>(descriptor)));
}

void ServerTransport::onReady(const Pistache::Aio::FdSet& events)
{
    m_limits = m_shared->limits.load();
    for (size_t i = 0; i < events.size(); ++i) {
        const auto& event = events.at(i);
        auto descriptor = static_cast<int>(event.getTag().value());
        if (descriptor == m_answers->descriptor()) {
            writeAnswers();
            continue;
        }
        if (descriptor == m_timer) {
            checkTimes();
            continue;
        }
        auto peer = peers.find(descriptor);
        bool isPeer = peer != peers.end();
        if (isPeer && event.isReadable())
            readFrom(peer->second);
        if (!event.isWritable() && (isPeer || !event.isReadable()))
            continue;
        Polling::Event rest(event.getTag());
        rest.flags.setFlag(event.isWritable() ? Polling::NotifyOn::Write : Polling::NotifyOn::Read);
        Tcp::Transport::onReady(Pistache::Aio::FdSet({ rest }));
    }
    closeMarked();
}

ServerConnection& ServerTransport::connectionOf(const Tcp::Peer& peer)
{
    return *std::static_pointer_cast<ServerConnection>(peer.getData(connectionKey));
}

void ServerTransport::enter(ServerConnection& connection, Phase phase)
{
    if (connection.phase == phase)
        return;
    connection.phase = phase;
    connection.since = m_clock.now();
}

/// Takes all bytes that are there; the poller reports an arrival once. Returns false when the connection is broken.
bool ServerTransport::receive(const PeerPointer& peer, ServerConnection& connection)
{
    std::array<char, readBytes> buf;
    while (connection.takesInput() && !connection.inputEnded) {
        auto n = recv(peer->fd(), buf.data(), buf.size(), MSG_DONTWAIT);
        if (n < 0 && errno == EINTR)
            continue;
        if (n < 0)
            return errno == EAGAIN || errno == EWOULDBLOCK;
        if (n == 0) {
            connection.inputEnded = true;
        } else if (connection.phase != Phase::Closing) {
            connection.input.append(buf.data(), static_cast<size_t>(n));
            parseInput(peer);
        }
    }
    return true;
}

void ServerTransport::readFrom(const PeerPointer& peer)
{
    auto& connection = connectionOf(*peer);
    bool isSound = receive(peer, connection);
    // A sender that is done still gets the answers to its whole requests.
    if (!isSound || (connection.inputEnded && connection.takesInput()))
        close(peer);
}

void ServerTransport::parseInput(const PeerPointer& peer)
{
    auto& connection = connectionOf(*peer);
    if (connection.input.empty() || !connection.takesInput())
        return;
    auto result = connection.parser.parse(connection.input, *m_limits);
    if (const auto* incomplete = std::get_if<RequestParser::Incomplete>(&result)) {
        connection.input.clear();
        return enter(connection, incomplete->headersComplete ? Phase::Body : Phase::Headers);
    }
    if (const auto* refusal = std::get_if<RequestParser::Refusal>(&result))
        return refuse(peer, refusal->status, refusal->title);
    dispatch(peer, std::get<RequestParser::Complete>(std::move(result)));
}

void ServerTransport::dispatch(const PeerPointer& peer, RequestParser::Complete complete)
{
    auto& connection = connectionOf(*peer);
    connection.input.erase(0, complete.size);
    connection.parser = {};
    connection.closeAfterAnswer = !complete.keepsConnection;
    connection.connectionHeader = complete.connection.empty() ? "Close" : std::move(complete.connection);
    enter(connection, Phase::InProgress);
    ++m_shared->inProgress;
    HttpResponder responder([answers = m_answers, weak = std::weak_ptr(peer)](const HttpResponse& response) {
        answers->push({ .peer = weak, .response = response });
    });
    m_shared->handler(std::move(complete.request), std::move(responder));
}

void ServerTransport::refuse(const PeerPointer& peer, int status, std::string_view title)
{
    auto& connection = connectionOf(*peer);
    connection.closeAfterAnswer = true;
    connection.connectionHeader = "Close";
    write(peer, { .status = status, .body = fmt::format(R"({{"title":"{}","ran":"no"}})", title) });
}

void ServerTransport::writeAnswers()
{
    for (const auto& answer : m_answers->takeAll()) {
        --m_shared->inProgress;
        if (auto peer = answer.peer.lock(); peer && isOpen(peer))
            write(peer, answer.response);
    }
}

void ServerTransport::write(const PeerPointer& peer, const HttpResponse& response)
{
    auto& connection = connectionOf(*peer);
    enter(connection, Phase::Answering);
    auto text = fmt::format("HTTP/1.1 {} {}\r\n", response.status,
        Pistache::Http::codeString(static_cast<Pistache::Http::Code>(response.status)));
    for (const auto& header : response.headers)
        text += fmt::format("{}: {}\r\n", header.name, header.value);
    text += fmt::format("Content-Type: {}\r\nConnection: {}\r\nContent-Length: {}\r\n\r\n{}", response.contentType,
        connection.connectionHeader, response.body.size(), response.body);
    auto n = ::send(peer->fd(), text.data(), text.size(), MSG_NOSIGNAL | MSG_DONTWAIT);
    if (n < 0 && errno != EAGAIN && errno != EWOULDBLOCK && errno != EINTR)
        return close(peer);
    auto sent = static_cast<size_t>(std::max<ssize_t>(n, 0));
    if (sent == text.size())
        return answerWritten(peer);
    auto rest = text.substr(sent);
    peer->send(Pistache::RawBuffer(rest, rest.size()), MSG_NOSIGNAL)
        .then(
            [this, weak = std::weak_ptr(peer)](ssize_t) {
                if (auto it = weak.lock())
                    answerWritten(it);
            },
            [this, weak = std::weak_ptr(peer)](const std::exception_ptr&) {
                if (auto it = weak.lock())
                    close(it);
            });
}

void ServerTransport::answerWritten(const PeerPointer& peer)
{
    auto& connection = connectionOf(*peer);
    if (connection.closeAfterAnswer)
        return closeGracefully(peer);
    enter(connection, Phase::Idle);
    parseInput(peer);
    if (connection.takesInput())
        readFrom(peer);
}

void ServerTransport::closeGracefully(const PeerPointer& peer)
{
    auto& connection = connectionOf(*peer);
    enter(connection, Phase::Closing);
    connection.input.clear();
    shutdown(peer->fd(), SHUT_WR);
    readFrom(peer);
}

void ServerTransport::closeMarked()
{
    for (const auto& peer : std::exchange(m_toClose, {})) {
        if (isOpen(peer))
            removePeer(peer);
    }
}

bool ServerTransport::isOpen(const PeerPointer& peer) const
{
    auto it = peers.find(peer->fd());
    return it != peers.end() && it->second == peer;
}

void ServerTransport::checkTimes()
{
    uint64_t expirations = 0;
    if (read(m_timer, &expirations, sizeof(expirations)) < 0)
        return;
    for (const auto& [descriptor, peer] : peers)
        checkTime(peer);
}

void ServerTransport::checkTime(const PeerPointer& peer)
{
    const auto& limits = *m_limits;
    const auto& connection = connectionOf(*peer);
    auto age = m_clock.now() - connection.since;
    switch (connection.phase) {
    case Phase::InProgress:
        return;
    case Phase::Headers:
        if (age > limits.headerTimeout)
            refuse(peer, 408, "the headers did not arrive in time");
        return;
    case Phase::Body:
        if (age > limits.bodyTimeout)
            refuse(peer, 408, "the body did not arrive in time");
        return;
    case Phase::New:
        if (age > limits.headerTimeout)
            close(peer);
        return;
    case Phase::Idle:
    case Phase::Answering:
        if (age > limits.idleTimeout)
            close(peer);
        return;
    case Phase::Closing:
        if (age > lingerTime)
            close(peer);
        return;
    }
}

}
