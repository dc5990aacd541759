#include "TcpProxy.h"
#include <LibHttp/EventLoop.h>
#include <algorithm>
#include <arpa/inet.h>
#include <array>
#include <cerrno>
#include <fmt/format.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <sys/epoll.h>
#include <sys/socket.h>
#include <unistd.h>
#include <utility>
#include <vector>

namespace Bergamot {

static constexpr int listenBacklog = 128;
static constexpr size_t readBufferBytes = size_t { 64 } << 10;
static constexpr Milliseconds fullSocketRetryInterval { 5 };

static sockaddr_in socketAddress(const TcpProxy::Endpoint& endpoint)
{
    sockaddr_in address {};
    address.sin_family = AF_INET;
    address.sin_port = htons(endpoint.port);
    inet_pton(AF_INET, endpoint.ip.c_str(), &address.sin_addr);
    return address;
}

static void setResetOnClose(int descriptor)
{
    linger option { .l_onoff = 1, .l_linger = 0 };
    setsockopt(descriptor, SOL_SOCKET, SO_LINGER, &option, sizeof(option));
}

static void disableNagle(int descriptor)
{
    int on = 1;
    setsockopt(descriptor, IPPROTO_TCP, TCP_NODELAY, &on, sizeof(on));
}

absl::StatusOr<std::unique_ptr<TcpProxy>> TcpProxy::create(EventLoop& loop, const Endpoint& listenAt, Endpoint target)
{
    std::unique_ptr<TcpProxy> proxy(new TcpProxy(loop, listenAt, std::move(target)));
    if (auto status = proxy->startListening(); !status.ok())
        return status;
    return proxy;
}

TcpProxy::TcpProxy(EventLoop& loop, Endpoint listenAt, Endpoint target)
    : m_loop(loop)
    , m_listenAt(std::move(listenAt))
    , m_target(std::move(target))
{
}

absl::Status TcpProxy::startListening()
{
    if (m_listener >= 0)
        return absl::OkStatus();
    m_listener = socket(AF_INET, SOCK_STREAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0);
    int on = 1;
    setsockopt(m_listener, SOL_SOCKET, SO_REUSEADDR, &on, sizeof(on));
    auto address = socketAddress(m_listenAt);
    if (bind(m_listener, reinterpret_cast<sockaddr*>(&address), sizeof(address)) != 0
        || listen(m_listener, listenBacklog) != 0)
        return absl::UnavailableError(fmt::format("cannot listen on {}:{}", m_listenAt.ip, m_listenAt.port));
    m_loop.watch(m_listener, EPOLLIN, [this](uint32_t) { acceptNext(); });
    return absl::OkStatus();
}

void TcpProxy::stopListening()
{
    if (m_listener < 0)
        return;
    m_loop.unwatch(m_listener);
    ::close(std::exchange(m_listener, -1));
    resetConnections();
}

TcpProxy::~TcpProxy()
{
    *m_alive = false;
    stopListening();
}

void TcpProxy::delay(Milliseconds delay, Milliseconds duration)
{
    m_delay = delay;
    m_delayedUntil = m_loop.now() + duration;
}

void TcpProxy::stall(bool towardsCaller, Milliseconds duration)
{
    auto& until = m_stalledUntil[towardsCaller ? 1 : 0];
    until = std::max(until, m_loop.now() + duration);
}

void TcpProxy::resetConnections()
{
    std::vector<uint64_t> ids;
    for (const auto& [id, connection] : m_connections)
        ids.push_back(id);
    for (auto id : ids)
        close(id, true);
}

void TcpProxy::setRefusingConnections(bool refusing)
{
    m_isRefusing = refusing;
    if (refusing)
        resetConnections();
}

void TcpProxy::acceptNext()
{
    int caller = accept4(m_listener, nullptr, nullptr, SOCK_NONBLOCK | SOCK_CLOEXEC);
    if (caller < 0)
        return;
    if (m_isRefusing) {
        setResetOnClose(caller);
        ::close(caller);
        return;
    }
    // A blocking connect() does not delay the event loop, since loopback connections are established immediately.
    int target = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
    auto address = socketAddress(m_target);
    if (connect(target, reinterpret_cast<sockaddr*>(&address), sizeof(address)) != 0) {
        ::close(target);
        ::close(caller);
        return;
    }
    disableNagle(caller);
    disableNagle(target);
    auto id = m_nextConnectionId++;
    m_connections[id] = { .toTarget = { .from = caller, .to = target },
        .toCaller = { .from = target, .to = caller, .towardsCaller = true } };
    watchDirection(id, false);
    watchDirection(id, true);
}

void TcpProxy::watchDirection(uint64_t id, bool towardsCaller)
{
    auto& connection = m_connections[id];
    int from = towardsCaller ? connection.toCaller.from : connection.toTarget.from;
    m_loop.watch(from, EPOLLIN, [this, id, towardsCaller](uint32_t) { handleReadable(id, towardsCaller); });
}

Instant TcpProxy::computeDueTime(const Direction& direction) const
{
    auto now = m_loop.now();
    auto dueAt = now < m_delayedUntil ? now + m_delay : now;
    dueAt = std::max(dueAt, m_stalledUntil[direction.towardsCaller ? 1 : 0]);
    return direction.chunks.empty() ? dueAt : std::max(dueAt, direction.chunks.back().dueAt);
}

void TcpProxy::handleReadable(uint64_t id, bool towardsCaller)
{
    auto it = m_connections.find(id);
    if (it == m_connections.end())
        return;
    auto& direction = towardsCaller ? it->second.toCaller : it->second.toTarget;
    std::array<char, readBufferBytes> buf;
    auto n = recv(direction.from, buf.data(), buf.size(), MSG_DONTWAIT);
    if (n < 0 && (errno == EAGAIN || errno == EINTR))
        return;
    if (n < 0)
        return close(id, true);
    if (n == 0) {
        direction.hasEnded = true;
        m_loop.unwatch(direction.from);
    } else {
        direction.chunks.push_back({ computeDueTime(direction), std::string(buf.data(), static_cast<size_t>(n)) });
    }
    flush(id, towardsCaller);
}

void TcpProxy::callAfterDelay(Milliseconds delay, std::function<void()> task)
{
    m_loop.callAfter(delay, [alive = m_alive, task = std::move(task)] {
        if (*alive)
            task();
    });
}

void TcpProxy::flush(uint64_t id, bool towardsCaller)
{
    auto it = m_connections.find(id);
    if (it == m_connections.end())
        return;
    auto& direction = towardsCaller ? it->second.toCaller : it->second.toTarget;
    auto retry = [&](Milliseconds delay) {
        if (std::exchange(direction.hasTimer, true))
            return;
        callAfterDelay(delay, [this, id, towardsCaller] {
            auto connection = m_connections.find(id);
            if (connection == m_connections.end())
                return;
            (towardsCaller ? connection->second.toCaller : connection->second.toTarget).hasTimer = false;
            flush(id, towardsCaller);
        });
    };
    while (!direction.chunks.empty()) {
        auto& chunk = direction.chunks.front();
        // A stall that begins after these bytes were received delays them too.
        auto dueAt = std::max(chunk.dueAt, m_stalledUntil[towardsCaller ? 1 : 0]);
        if (auto now = m_loop.now(); now < dueAt)
            return retry(dueAt - now);
        auto n = send(direction.to, chunk.bytes.data(), chunk.bytes.size(), MSG_DONTWAIT | MSG_NOSIGNAL);
        if (n < 0 && (errno == EAGAIN || errno == EINTR))
            return retry(fullSocketRetryInterval);
        if (n < 0)
            return close(id, true);
        if (static_cast<size_t>(n) == chunk.bytes.size())
            direction.chunks.pop_front();
        else
            chunk.bytes.erase(0, static_cast<size_t>(n));
    }
    if (direction.hasEnded)
        close(id, false);
}

void TcpProxy::close(uint64_t id, bool reset)
{
    auto it = m_connections.find(id);
    if (it == m_connections.end())
        return;
    for (int descriptor : { it->second.toTarget.from, it->second.toCaller.from }) {
        m_loop.unwatch(descriptor);
        if (reset)
            setResetOnClose(descriptor);
        ::close(descriptor);
    }
    m_connections.erase(it);
}

}
