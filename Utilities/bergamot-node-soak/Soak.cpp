#include "Soak.h"
#include <LibHttp/EventLoop.h>
#include <algorithm>
#include <csignal>
#include <fmt/format.h>
#include <sys/epoll.h>
#include <sys/signalfd.h>
#include <unistd.h>
#include <utility>

namespace Bergamot {

/// Every accepted job has its end shown within this time after the last fault.
static constexpr Milliseconds settleBound { 25000 };
static constexpr Milliseconds settleCheckInterval { 100 };

/// Callers ask again after the end of each job.
static constexpr Milliseconds lastAnswers { 2500 };

/// The nodes have elected their first leader.
static constexpr Milliseconds trafficBegins { 2000 };

/// Delays of links to workers stay below the bound that cancelled jobs are checked with.
static constexpr Milliseconds longestWorkerDelay { 300 };

static constexpr uint16_t storePort = 8169;
static constexpr uint16_t workerPort = 9000;
static constexpr uint16_t workerServerPort = 9001;
static constexpr size_t storeHost = 100;
static constexpr size_t firstLinkHost = 110;
static constexpr size_t firstWorkerHost = 150;

static const std::vector<std::string> zones { "zone-a", "zone-b", "zone-c" };

/// Jobs use these queues, which all versions of the configuration have.
static const std::vector<QueuePlan> longRunningQueues {
    { .name = "q-urgent", .pathPrefix = "/urgent/", .priority = 0, .maxAttempts = 3 },
    { .name = "q-usual", .pathPrefix = "/usual/", .priority = 1, .maxAttempts = 2 },
    { .name = "q-bulk", .pathPrefix = "/bulk/", .priority = 2, .maxAttempts = 4 },
};

Soak::Soak(Options options)
    : m_options(std::move(options))
    , m_loop(EventLoop::create(m_clock))
    , m_book(*m_loop, m_options.seed)
{
}

Soak::~Soak() = default;

/// Every run has hosts of its own in the loopback network, so that runs side by side share no port.
std::string Soak::ipOf(size_t number) const
{
    auto pid = static_cast<unsigned>(getpid());
    return fmt::format("127.{}.{}.{}", 64 + (pid >> 8) % 128, pid % 256, number);
}

absl::Status Soak::start()
{
    if (auto status = watchStopSignals(); !status.ok())
        return status;
    if (auto status = startStandIns(); !status.ok())
        return status;
    publishConfiguration();
    std::vector<NodePlace> places;
    std::vector<std::string> fronts;
    for (size_t n = 0; n < m_options.nodes; ++n) {
        places.push_back({ .name = fmt::format("node-{}", n),
            .zone = zones[n % zones.size()],
            .ip = ipOf(n + 1),
            .storeAddress = fmt::format("{}:{}", ipOf(firstLinkHost + n), storePort) });
        fronts.push_back(fmt::format("http://{}:{}", ipOf(n + 1), nodeFrontPort));
    }
    m_nodes = std::make_unique<NodeGroup>(*m_loop,
        NodeGroup::Options { .program = m_options.program,
            .folder = m_options.folder,
            .places = std::move(places),
            .zones = zones,
            .onUnexpectedEnd = [this](const std::string& what) { m_book.violation(nullptr, what); } });
    if (!m_nodes->startAll()) {
        m_nodes.reset();
        return absl::UnavailableError("the nodes cannot be started");
    }
    m_traffic = std::make_unique<JobTraffic>(*m_loop, m_book,
        JobTraffic::Options { .seed = m_options.seed,
            .jobsPerSecond = m_options.jobsPerSecond,
            .fronts = std::move(fronts),
            .queues = longRunningQueues });
    return absl::OkStatus();
}

absl::Status Soak::startStandIns()
{
    auto store = StoreStandIn::create(*m_loop, { .address = ipOf(storeHost), .port = storePort });
    if (!store.ok())
        return store.status();
    m_store = std::move(*store);
    for (size_t n = 0; n < m_options.nodes; ++n) {
        auto link = TcpProxy::create(*m_loop, { ipOf(firstLinkHost + n), storePort }, { ipOf(storeHost), storePort });
        if (!link.ok())
            return link.status();
        m_storeLinks.push_back(std::move(*link));
    }
    Random random(m_options.seed);
    for (size_t n = 0; n < m_options.workers; ++n) {
        auto worker = TaskWorker::create(*m_loop, *m_store, m_book,
            { .id = fmt::format("w-{:02}", n),
                .service = taskService,
                .zone = zones[n % zones.size()],
                .rack = fmt::format("rack-{}", n % 4),
                .ip = ipOf(firstWorkerHost + n),
                .publicPort = workerPort,
                .serverPort = workerServerPort,
                .clockRate = 1.0 - 0.001 * static_cast<double>(random.between(0, 20)),
                .clockOffsetMs = random.between(1000, 10'000'000) });
        if (!worker.ok())
            return worker.status();
        m_workers.push_back(std::move(*worker));
    }
    return absl::OkStatus();
}

absl::Status Soak::watchStopSignals()
{
    sigset_t signals;
    sigemptyset(&signals);
    sigaddset(&signals, SIGTERM);
    sigaddset(&signals, SIGINT);
    pthread_sigmask(SIG_BLOCK, &signals, nullptr);
    m_signals = signalfd(-1, &signals, SFD_NONBLOCK | SFD_CLOEXEC);
    if (m_signals < 0)
        return absl::UnavailableError("cannot watch signals");
    m_loop->watch(m_signals, EPOLLIN, [this](uint32_t) {
        m_interrupted = true;
        m_loop->stop();
    });
    return absl::OkStatus();
}

bool Soak::run()
{
    m_loop->callAfter(trafficBegins, [this] { m_traffic->start(); });
    for (const auto& fault : m_options.faults)
        m_loop->callAfter(fault.at, [this, fault] { inject(fault); });
    m_loop->callAfter(m_options.duration, [this] { settle(); });
    m_loop->run();
    if (m_interrupted)
        m_book.violation(nullptr, "the run was interrupted");
    // Before the stand-ins end, so that no node meets a platform that is half gone.
    m_nodes.reset();
    fmt::print("seed={} {}\n", m_options.seed, m_book.summary());
    return m_book.violations() == 0;
}

void Soak::publishConfiguration()
{
    Random random(m_options.seed + m_version);
    auto queues = longRunningQueues;
    for (auto& queue : queues)
        queue.timeoutMs = 1000 * random.between(2, 5);
    // Queues that nobody uses come and go with the versions.
    for (int64_t n = random.between(0, 20); n > 0; --n) {
        auto name = fmt::format("q-{}-{}", m_version, n);
        queues.push_back({ .name = name, .pathPrefix = fmt::format("/{}/", name) });
    }
    m_version += static_cast<uint64_t>(random.between(1, 5));
    m_store->putOperatorRecord(configurationKey, configurationText(m_version, queues));
}

void Soak::inject(const Fault& fault)
{
    fmt::print("{} ms: {} target={} duration_ms={} delay_ms={}\n", m_book.elapsedMs(),
        faultNames[static_cast<size_t>(fault.kind)], fault.target, fault.duration.count(), fault.delay.count());
    if (fault.kind <= FaultKind::AllKillOperatorsSlow)
        return injectNodeFault(fault);
    if (fault.kind <= FaultKind::StoreForgets)
        return injectStoreFault(fault);
    if (fault.kind <= FaultKind::LinkSilentToStore)
        return injectLinkFault(fault);
    if (fault.kind <= FaultKind::WorkerZoneSilent)
        return injectWorkerFault(fault);
    injectOperatorChange(fault);
}

void Soak::injectNodeFault(const Fault& fault)
{
    auto node = fault.target % m_nodes->size();
    switch (fault.kind) {
    case FaultKind::NodeKill:
        return m_nodes->kill(node, fault.duration);
    case FaultKind::NodeTerminate:
        return m_nodes->terminate(node, fault.duration);
    case FaultKind::NodeFreeze:
        return m_nodes->freeze(node, fault.duration);
    case FaultKind::AllKillOperatorsLost:
        m_store->apply({ .kind = StoreFault::Kind::LosesOperatorAnswers, .duration = fault.duration });
        break;
    case FaultKind::AllKillOperatorsSlow:
        m_store->apply(
            { .kind = StoreFault::Kind::SlowOperatorAnswers, .duration = fault.duration, .delay = 2 * fault.delay });
        break;
    default:
        break;
    }
    killAll(fault);
}

void Soak::killAll(const Fault& fault)
{
    for (size_t n = 0; n < m_nodes->size(); ++n)
        m_nodes->kill(n, fault.delay / 2);
}

void Soak::injectStoreFault(const Fault& fault)
{
    static constexpr std::array kinds { StoreFault::Kind::Refusing, StoreFault::Kind::Silent, StoreFault::Kind::Slow,
        StoreFault::Kind::LosesAppendAnswers, StoreFault::Kind::LateAppends, StoreFault::Kind::LosesOperatorAnswers,
        StoreFault::Kind::Forgets };
    auto kind = kinds[static_cast<size_t>(fault.kind) - static_cast<size_t>(FaultKind::StoreRefuses)];
    m_store->apply({ .kind = kind, .duration = fault.duration, .delay = fault.delay });
}

void Soak::injectLinkFault(const Fault& fault)
{
    auto& link = *m_storeLinks[fault.target % m_storeLinks.size()];
    if (fault.kind == FaultKind::LinkDelay)
        link.delay(fault.delay, fault.duration);
    else if (fault.kind == FaultKind::LinkReset)
        link.resetConnections();
    else
        link.silence(fault.kind == FaultKind::LinkSilentToNode, fault.duration);
}

void Soak::injectWorkerFault(const Fault& fault)
{
    auto& worker = *m_workers[fault.target % m_workers.size()];
    if (fault.kind == FaultKind::WorkerCrash) {
        worker.crash();
        m_loop->callAfter(fault.duration, [&worker] { worker.revive(); });
    } else if (fault.kind == FaultKind::WorkerDelay) {
        worker.proxy().delay(std::min(fault.delay, longestWorkerDelay), fault.duration);
    } else if (fault.kind == FaultKind::WorkerReset) {
        worker.proxy().resetConnections();
    } else if (fault.kind == FaultKind::WorkerZoneSilent) {
        // Orders arrive and their answers do not, so that a new leader does not learn what runs there.
        for (size_t n = fault.target % zones.size(); n < m_workers.size(); n += zones.size())
            m_workers[n]->proxy().silence(true, fault.duration);
    } else {
        worker.proxy().silence(fault.target % 2 == 0, fault.duration);
    }
}

void Soak::injectOperatorChange(const Fault& fault)
{
    if (fault.kind == FaultKind::NewConfiguration)
        return publishConfiguration();
    auto key = zoneOutKey(zones[fault.target % zones.size()]);
    m_store->putOperatorRecord(key, "{}");
    m_loop->callAfter(fault.duration, [this, key] { m_store->putOperatorRecord(key, {}); });
}

void Soak::settle()
{
    fmt::print("{} ms: no more faults and jobs, {} accepted jobs are open\n", m_book.elapsedMs(), m_book.openJobs());
    m_traffic->stop();
    m_store->clearFaults();
    m_settledBy = m_loop->now() + settleBound;
    checkSettled();
}

void Soak::checkSettled()
{
    bool settled = m_nodes->allRunning() && m_book.openJobs() == 0;
    if (!settled && m_loop->now() < m_settledBy) {
        m_loop->callAfter(settleCheckInterval, [this] { checkSettled(); });
        return;
    }
    fmt::print("{} ms: {}\n", m_book.elapsedMs(), settled ? "all accepted jobs have ended" : "the bound is over");
    m_book.checkAllEnded();
    m_loop->callAfter(lastAnswers, [this] { m_loop->stop(); });
}

}
