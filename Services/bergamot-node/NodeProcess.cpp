#include "NodeProcess.h"
#include <LibCore/Logger.h>
#include <algorithm>
#include <charconv>
#include <csignal>
#include <fmt/format.h>
#include <memory>
#include <platform/PlatformRequest.h>
#include <random>
#include <sys/epoll.h>
#include <sys/signalfd.h>
#include <unistd.h>
#include <utility>

namespace Bergamot {

static constexpr size_t maxRequestBytes = size_t { 320 } << 10;

/// The load balancer checks readiness once a second and acts on two consecutive results.
static constexpr Milliseconds readinessPropagationTime { 2600 };
static constexpr Milliseconds limitsUpdateInterval { 500 };
static constexpr Milliseconds drainCheckInterval { 50 };

/// Part of the grace period that is reserved for the exit of the process.
static constexpr Milliseconds exitMargin { 800 };

/// Time for peers to read the last responses. A busy processor also delays the responses themselves.
static constexpr Milliseconds maxResponseTime { 500 };

static std::pair<std::string, uint16_t> splitAddress(const std::string& address)
{
    auto colon = address.rfind(':');
    uint16_t port = 0;
    if (colon != std::string::npos)
        std::from_chars(address.data() + colon + 1, address.data() + address.size(), port);
    return { address.substr(0, colon), port };
}

static uint64_t generateIncarnation()
{
    std::random_device device;
    return (uint64_t { device() } << 32 | device()) | 1;
}

absl::StatusOr<std::unique_ptr<NodeProcess>> NodeProcess::create(
    const Platform::PlatformSettings& settings, uint16_t metricsPort)
{
    std::unique_ptr<NodeProcess> process(new NodeProcess(settings));
    if (auto status = process->watchSignals(); !status.ok())
        return status;
    if (auto status = process->startServers(); !status.ok())
        return status;
    if (auto status = process->startMetrics(metricsPort); !status.ok())
        return status;
    return process;
}

NodeProcess::NodeProcess(const Platform::PlatformSettings& settings)
    : m_settings(settings)
    , m_loop(EventLoop::create(m_clock))
    , m_engine(HttpEngine::create(*m_loop, HttpEngine::Options::forSocketLimit(settings.maxSockets)))
    , m_store(std::make_unique<Platform::PlatformStore>(*m_engine,
          Platform::PlatformStore::Options {
              .address = settings.storeAddress, .maxRecordBytes = static_cast<size_t>(settings.maxRecordBytes) }))
    , m_workers(std::make_unique<Platform::PlatformWorkers>(*m_engine))
{
}

NodeProcess::~NodeProcess()
{
    m_front.reset();
    m_readiness.reset();
    m_metrics.reset();
    m_peers.reset();
    if (m_signalFd >= 0)
        close(m_signalFd);
}

static sigset_t handledSignals()
{
    sigset_t signals;
    sigemptyset(&signals);
    sigaddset(&signals, SIGTERM);
    sigaddset(&signals, SIGINT);
    sigaddset(&signals, SIGHUP);
    return signals;
}

void NodeProcess::blockSignals()
{
    auto signals = handledSignals();
    pthread_sigmask(SIG_BLOCK, &signals, nullptr);
}

absl::Status NodeProcess::watchSignals()
{
    auto signals = handledSignals();
    m_signalFd = signalfd(-1, &signals, SFD_NONBLOCK | SFD_CLOEXEC);
    if (m_signalFd < 0)
        return absl::UnavailableError("cannot create a signal file descriptor");
    m_loop->watch(m_signalFd, EPOLLIN, [this](uint32_t) { handleSignals(); });
    return absl::OkStatus();
}

absl::Status NodeProcess::startServers()
{
    auto peers = NngPeerTransport::create(m_settings.peerAddress);
    if (!peers.ok())
        return peers.status();
    m_peers = std::move(*peers);
    m_node = std::make_unique<Node>(
        Node::Services {
            .loop = *m_loop, .store = *m_store, .taskExecutor = *m_workers, .peers = *m_peers, .formats = m_formats },
        NodeOptions { .member = m_settings.node,
            .incarnation = generateIncarnation(),
            .peerAddress = m_settings.peerAddress,
            .cpuMillis = m_settings.cpuMillis,
            .workerSilenceUntilRemoval = Milliseconds { m_settings.workerSilenceMs },
            .maxLease = Milliseconds { m_settings.maxLeaseMs } });

    auto [readyIp, readyPort] = splitAddress(m_settings.readyAddress);
    auto readiness = HttpServer::create({ .address = readyIp,
        .port = readyPort,
        .handler = [node = m_node.get()](const HttpRequest&, HttpResponder responder) {
            responder.send({ .status = node->isReady() ? 200 : 503, .body = "{}" });
        } });
    if (!readiness.ok())
        return readiness.status();
    m_readiness = std::move(*readiness);

    auto [frontIp, frontPort] = splitAddress(m_settings.frontAddress);
    auto front = HttpServer::create({ .address = frontIp,
        .port = frontPort,
        .limits = { .maxRequestBytes = maxRequestBytes },
        .handler = [this](HttpRequest request, HttpResponder responder) {
            auto shared = std::make_shared<HttpResponder>(std::move(responder));
            m_loop->post([this, request = Platform::translatePlatformHeaders(std::move(request)), shared] {
                m_node->handle(request, std::move(*shared));
            });
        } });
    if (!front.ok())
        return front.status();
    m_front = std::move(*front);
    return absl::OkStatus();
}

absl::Status NodeProcess::startMetrics(uint16_t port)
{
    if (port == 0)
        return absl::OkStatus();
    auto metrics = HttpServer::create({ .address = splitAddress(m_settings.peerAddress).first,
        .port = port,
        .handler = [node = m_node.get()](const HttpRequest&, HttpResponder responder) {
            responder.send({ .contentType = "text/plain; version=0.0.4", .body = node->metricsText() });
        } });
    if (!metrics.ok())
        return metrics.status();
    m_metrics = std::move(*metrics);
    return absl::OkStatus();
}

void NodeProcess::run()
{
    m_loop->post([this] {
        m_node->start();
        updateLimits();
    });
    m_loop->run();
}

/// Applies the request limits of the newest configuration to the callers' server, and schedules the next update.
void NodeProcess::updateLimits()
{
    if (auto routing = m_node->routing(); routing && routing->version != m_limitsVersion) {
        m_limitsVersion = routing->version;
        m_front->setLimits({ .maxRequestBytes = maxRequestBytes,
            .maxBodyBytes = routing->maxBodyBytes,
            .maxHeaderBytes = routing->maxHeaderBytes,
            .headerTimeout = routing->headerTimeout,
            .idleTimeout = routing->idleTimeout });
    }
    m_loop->callAfter(limitsUpdateInterval, [this] { updateLimits(); });
}

void NodeProcess::handleSignals()
{
    signalfd_siginfo info {};
    while (read(m_signalFd, &info, sizeof(info)) == sizeof(info)) {
        logInfo("signal", { { "number", info.ssi_signo } });
        if (info.ssi_signo == SIGHUP || m_drainStartedAt != neverInstant)
            continue;
        m_drainStartedAt = m_loop->now();
        auto drainTime = std::max(Milliseconds { m_settings.gracePeriodMs } - exitMargin, maxResponseTime);
        auto endsBy = m_drainStartedAt + drainTime;
        m_answerBy = endsBy - maxResponseTime;
        m_node->prepareShutdown({ .answerBy = m_answerBy, .endsBy = endsBy });
        checkDrain();
    }
}

/// Stops the loop when every request that has been read has its response and this node leads no longer, or when the
/// time for both is over.
void NodeProcess::checkDrain()
{
    auto now = m_loop->now();
    bool mayStop = now - m_drainStartedAt >= readinessPropagationTime;
    // Until then, a new connection of the same caller may come back to this host.
    if (mayStop)
        m_front->closeConnectionsAfterResponses();
    if (now >= m_answerBy || (mayStop && m_node->mayEnd() && m_front->unfinishedRequests() == 0)) {
        m_isReadingStopped = true;
        m_front->stopReading();
    }
    if (now >= m_answerBy && m_answeredAt == neverInstant)
        m_answeredAt = now;
    auto unfinished = m_front->unfinishedRequests();
    bool isDrained = m_isReadingStopped && unfinished == 0;
    if ((isDrained && m_node->mayEnd()) || (m_answeredAt != neverInstant && now - m_answeredAt >= maxResponseTime)) {
        logInfo("process_stop",
            { { "drained", isDrained }, { "in_progress", unfinished }, { "ms", (now - m_drainStartedAt).count() } });
        m_loop->stop();
        return;
    }
    m_loop->callAfter(drainCheckInterval, [this] { checkDrain(); });
}

}
