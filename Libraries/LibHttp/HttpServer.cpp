#include <LibHttp/HttpServer.h>
#include <LibHttp/ServerTransport.h>
#include <exception>
#include <fmt/format.h>
#include <pistache/listener.h>
#include <utility>

namespace Bergamot {

namespace Tcp = Pistache::Tcp;

/// Limit on connections that wait to be accepted. The kernel drops further handshakes, which the peers retry after 1 s.
/// Hundreds of peers connect at once when another host leaves.
static constexpr int listenBacklog = 2048;

absl::StatusOr<std::unique_ptr<HttpServer>> HttpServer::create(Options options)
{
    auto state = std::make_shared<SharedServerState>();
    state->handler = std::move(options.handler);
    std::unique_ptr<HttpServer> server(new HttpServer(state));
    server->setLimits(options.limits);
    // Pistache throws an exception when bind fails; it is converted to a status here.
    try {
        server->m_listener
            = std::make_unique<Tcp::Listener>(Pistache::Address(options.address, Pistache::Port(options.port)));
        server->m_listener->init(static_cast<size_t>(options.threads),
            Pistache::Flags<Tcp::Options>(Tcp::Options::ReuseAddr | Tcp::Options::NoDelay), "", listenBacklog);
        server->m_listener->setTransportFactory([state] { return std::make_shared<ServerTransport>(state); });
        server->m_listener->bind();
        server->m_listener->runThreaded();
    } catch (const std::exception& error) {
        server->m_listener.reset();
        return absl::UnavailableError(
            fmt::format("cannot listen on {}:{}: {}", options.address, options.port, error.what()));
    }
    return server;
}

HttpServer::HttpServer(std::shared_ptr<SharedServerState> state)
    : m_state(std::move(state))
{
}

HttpServer::~HttpServer() { shutdown(); }

uint16_t HttpServer::port() const { return static_cast<uint16_t>(m_listener->getPort()); }

void HttpServer::setLimits(const HttpLimits& limits) { m_state->setLimits(limits); }

void HttpServer::shutdown()
{
    if (std::exchange(m_isStopped, true) || !m_listener)
        return;
    m_listener->shutdown();
}

}
