#include "Daemon.h"
#include <LibCore/Logger.h>
#include <LibPlatform/HttpHostListService.h>
#include <LibPlatform/HttpLogService.h>
#include <LibPlatform/HttpWorkerService.h>
#include <LibPlatform/NngPeerTransport.h>
#include <algorithm>
#include <charconv>
#include <csignal>
#include <fmt/format.h>
#include <utility>

namespace Bergamot {

static constexpr Milliseconds tickInterval { 20 };
static constexpr int callerThreads = 4;
static constexpr int adminThreads = 1;
static constexpr size_t maxCallerRequestBytes = size_t { 256 } * 1024;
static constexpr size_t maxAdminRequestBytes = size_t { 1 } << 20;
static constexpr long connectionsPerWorker = 64;

/// Time within which the load balancer sees the failing readiness check and stops sending new requests.
static constexpr Milliseconds readinessPropagationTime { 2000 };

/// New requests are accepted for this long after the start of a drain, and rejected with 503 afterwards.
static constexpr Milliseconds acceptPeriod { 4000 };

/// The listener closes after no request has been in progress for this long.
static constexpr Milliseconds idleTimeBeforeClose { 500 };
static constexpr Milliseconds maxDrainTime { 60'000 };

static volatile std::sig_atomic_t stopRequested = 0;

static void onStopSignal(int) { stopRequested = 1; }

absl::StatusOr<std::unique_ptr<Daemon>> Daemon::create(Options options)
{
    std::unique_ptr<Daemon> daemon(new Daemon(std::move(options)));
    for (auto step : { &Daemon::registerPlatform, &Daemon::startNode, &Daemon::startServers }) {
        if (auto status = (daemon.get()->*step)(); !status.ok())
            return status;
    }
    return daemon;
}

Daemon::Daemon(Options options)
    : m_options(std::move(options))
{
}

Daemon::~Daemon()
{
    if (m_callerServer)
        m_callerServer->shutdown();
    if (m_adminServer)
        m_adminServer->shutdown();
    // The engines hold callbacks of the node, so they are destroyed first.
    m_quickEngines.clear();
}

absl::Status Daemon::registerPlatform()
{
    const auto& settings = m_options.settings;
    m_controlEngine = HttpEngine::create({});
    for (int64_t i = 0; i < settings.quickThreads; ++i)
        m_quickEngines.push_back(HttpEngine::create({ .maxConnectionsPerHost = connectionsPerWorker }));
    auto prefix = fmt::format("{}.c{}.", settings.member, m_clock.now().time_since_epoch().count());
    auto requestIds = std::make_shared<RequestIds>(prefix);
    auto transport = NngPeerTransport::create(settings.peerListen);
    if (!transport.ok())
        return transport.status();
    std::vector<std::pair<std::string, std::shared_ptr<Service>>> services {
        { "log",
            std::make_shared<HttpLogService>(HttpLogService::Options { .baseUrl = settings.logUrl,
                .member = settings.member,
                .engine = m_controlEngine,
                .requestIds = requestIds }) },
        { "hosts", std::make_shared<HttpHostListService>(settings.hostListUrl, m_controlEngine, requestIds) },
        { "workers", std::make_shared<HttpWorkerService>(m_controlEngine, requestIds) },
        { "peers", std::shared_ptr<Service>(std::move(*transport)) },
    };
    for (auto& [name, service] : services) {
        if (auto status = m_kernel.add(name, std::move(service)); !status.ok())
            return status;
    }
    return absl::OkStatus();
}

absl::Status Daemon::startNode()
{
    auto log = m_kernel.find<LogService>("log");
    auto hosts = m_kernel.find<HostListService>("hosts");
    auto workers = m_kernel.find<WorkerService>("workers");
    auto peers = m_kernel.find<PeerTransport>("peers");
    for (const auto& status : { log.status(), hosts.status(), workers.status(), peers.status() }) {
        if (!status.ok())
            return status;
    }
    Executor executor = [mailbox = m_mailbox](std::function<void()> task) { mailbox->post(std::move(task)); };
    auto wallClock = std::chrono::system_clock::now().time_since_epoch();
    auto node = EntryNode::create({ .settings = m_options.settings,
        .initialConfig = m_options.initialConfig,
        // A restarted process needs a higher incarnation than before and stores none on disk, so the wall clock gives
        // it.
        .incarnation = static_cast<uint64_t>(std::chrono::duration_cast<Milliseconds>(wallClock).count()),
        .seed = m_options.seed,
        .platform = { .log = log->get(),
            .workers = workers->get(),
            .hosts = hosts->get(),
            .peers = peers->get(),
            .clock = &m_clock,
            .executor = executor },
        .engines = m_quickEngines,
        .snapshotInterval = m_options.snapshotInterval,
        .snapshotEntries = m_options.snapshotEntries });
    if (!node.ok())
        return node.status();
    m_node = std::move(*node);
    m_jobApi = std::make_unique<JobApi>(*m_node);
    m_callerApi = std::make_unique<CallerApi>(*m_node, *m_jobApi, executor);
    m_operatorApi = std::make_unique<OperatorApi>(*m_node, *m_jobApi, executor, m_options.adminToken, m_clock.now());
    (*peers)->setReceiver([this, executor](std::string_view bytes) {
        executor([this, message = std::string(bytes)] { m_node->peerMessageReceived(message); });
    });
    return absl::OkStatus();
}

static std::pair<std::string, uint16_t> splitAddress(const std::string& address)
{
    auto colon = address.rfind(':');
    uint16_t port = 0;
    std::from_chars(address.data() + colon + 1, address.data() + address.size(), port);
    return { address.substr(0, colon), port };
}

absl::Status Daemon::startServers()
{
    auto [callerIp, callerPort] = splitAddress(m_options.settings.callerListen);
    auto callerServer = HttpServer::create({ .address = callerIp,
        .port = callerPort,
        .threads = callerThreads,
        .limits = { .maxRequestBytes = maxCallerRequestBytes },
        .handler = [this](HttpRequest request, HttpResponder responder) {
            m_callerApi->handle(std::move(request), std::move(responder));
        } });
    if (!callerServer.ok())
        return callerServer.status();
    m_callerServer = std::move(*callerServer);
    auto [adminIp, adminPort] = splitAddress(m_options.settings.operatorListen);
    auto adminServer = HttpServer::create({ .address = adminIp,
        .port = adminPort,
        .threads = adminThreads,
        .limits = { .maxRequestBytes = maxAdminRequestBytes },
        .handler = [this](HttpRequest request, HttpResponder responder) {
            m_operatorApi->handle(std::move(request), std::move(responder));
        } });
    if (!adminServer.ok())
        return adminServer.status();
    m_adminServer = std::move(*adminServer);
    return absl::OkStatus();
}

void Daemon::run()
{
    std::signal(SIGTERM, onStopSignal);
    std::signal(SIGINT, onStopSignal);
    std::signal(SIGHUP, SIG_IGN);
    std::signal(SIGPIPE, SIG_IGN);
    logInfo("started",
        { { "caller_listen", m_options.settings.callerListen },
            { "operator_listen", m_options.settings.operatorListen } });
    auto nextTick = m_clock.now();
    while (true) {
        auto now = m_clock.now();
        auto wait = std::max(Milliseconds { 0 }, nextTick - now);
        for (auto& task : m_mailbox->waitAndTake(wait))
            task();
        now = m_clock.now();
        if (now < nextTick)
            continue;
        nextTick = now + tickInterval;
        m_node->tick(now);
        m_callerApi->setReady(m_node->isReady(now));
        if (stopRequested && !m_node->isShuttingDown()) {
            logInfo("draining", {});
            m_drainStartedAt = now;
            m_node->beginShutdown();
        }
        if (m_node->isShuttingDown() && updateDrain(now))
            break;
    }
    logInfo("stopped", {});
}

bool Daemon::updateDrain(Instant now)
{
    if (now - m_drainStartedAt > maxDrainTime) {
        logWarning("drain_timed_out", { { "requests", m_callerServer->requestsInProgress() } });
        return true;
    }
    // Callers that bypass the load balancer keep sending; unless they are rejected, the drain lasts until they stop.
    if (now - m_drainStartedAt >= acceptPeriod)
        m_callerApi->rejectNewRequests();
    if (now - m_drainStartedAt < readinessPropagationTime || m_callerServer->requestsInProgress() > 0) {
        m_idleSince = neverInstant;
        return false;
    }
    if (m_idleSince == neverInstant)
        m_idleSince = now;
    return now - m_idleSince >= idleTimeBeforeClose;
}

}
