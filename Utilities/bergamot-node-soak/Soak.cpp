#include "Soak.h"
#include <LibCore/Digest.h>
#include <LibHttp/EventLoop.h>
#include <algorithm>
#include <csignal>
#include <fmt/format.h>
#include <sys/epoll.h>
#include <sys/signalfd.h>
#include <unistd.h>
#include <utility>

namespace Bergamot {

/// Time after the last fault within which every accepted job must be shown in an end state.
static constexpr Milliseconds settleBound { 25000 };
static constexpr Milliseconds settleCheckInterval { 100 };

/// Time for the state queries that follow the end of the last jobs.
static constexpr Milliseconds finalQueryTime { 2500 };

/// Delay before the first job, in which the nodes elect their first leader.
static constexpr Milliseconds trafficStartDelay { 2000 };

/// Limits the delay on links to workers, so that start commands arrive within the bound that JobChecker applies to
/// cancelled jobs.
static constexpr Milliseconds maxWorkerDelay { 300 };

/// Time for which the store answers slowly before a StoreResets fault resets its connections.
static constexpr Milliseconds maxDelayBeforeReset { 200 };

/// A WorkerShrinks fault affects every fifth worker, some that guard their capacity and some that do not.
static constexpr size_t shrinkStride = 5;
static constexpr int64_t maxShrunkPercent = 90;

/// A WorkersCutOff fault affects every fourth worker.
static constexpr size_t cutOffStride = 4;

/// A LateCalls fault affects every sixth worker. Its phases take a part of its duration.
static constexpr size_t lateCallsStride = 6;
static constexpr Milliseconds minSilentDowntime { 300 };
static constexpr Milliseconds minTimeUntilCutOff { 500 };
static constexpr Milliseconds lateCallsTime { 2000 };

/// Time within which a node ends after SIGTERM; `graceS` of its settings.
static constexpr Milliseconds terminationGrace { 6000 };

static constexpr uint16_t storePort = 8169;
static constexpr uint16_t workerPort = 9000;
static constexpr uint16_t workerServerPort = 9001;
static constexpr size_t storeHostNumber = 100;
static constexpr size_t firstLinkHostNumber = 110;
static constexpr size_t firstWorkerHostNumber = 150;

static const std::vector<std::string> zones { "zone-a", "zone-b", "zone-c" };

/// The queues that jobs are submitted to. Every version of the configuration contains them.
static const std::vector<QueuePlan> permanentQueues {
    { .name = "q-urgent", .pathPrefix = "/urgent/", .priority = 0, .maxAttempts = 3 },
    { .name = "q-usual", .pathPrefix = "/usual/", .priority = 1, .maxAttempts = 2 },
    { .name = "q-bulk", .pathPrefix = "/bulk/", .priority = 2, .maxAttempts = 4 },
};

Soak::Soak(Options options)
    : m_options(std::move(options))
    , m_loop(EventLoop::create(m_clock))
    , m_checker(*m_loop, m_options.seed)
{
}

Soak::~Soak() = default;

/// Derives loopback addresses from the process id, so that concurrent runs do not compete for ports.
std::string Soak::hostAddress(size_t number) const
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
    std::vector<NodeLocation> locations;
    std::vector<std::string> nodeUrls;
    for (size_t n = 0; n < m_options.nodes; ++n) {
        locations.push_back({ .name = fmt::format("node-{}", n),
            .zone = zones[n % zones.size()],
            .ip = hostAddress(n + 1),
            .storeAddress = fmt::format("{}:{}", hostAddress(firstLinkHostNumber + n), storePort) });
        nodeUrls.push_back(fmt::format("http://{}:{}", hostAddress(n + 1), nodeIngressPort));
    }
    m_nodes = std::make_unique<NodeGroup>(*m_loop,
        NodeGroup::Options { .program = m_options.program,
            .folder = m_options.folder,
            .locations = std::move(locations),
            .zones = zones,
            .onUnexpectedExit = [this](const std::string& what) { m_checker.reportViolation(nullptr, what); } });
    if (!m_nodes->startAll()) {
        m_nodes.reset();
        return absl::UnavailableError("the nodes cannot be started");
    }
    m_traffic = std::make_unique<JobTraffic>(*m_loop, m_checker,
        JobTraffic::Options { .seed = m_options.seed,
            .jobsPerSecond = m_options.jobsPerSecond,
            .nodeUrls = std::move(nodeUrls),
            .queues = permanentQueues });
    return absl::OkStatus();
}

absl::Status Soak::startStandIns()
{
    auto store = StoreStandIn::create(*m_loop, { .address = hostAddress(storeHostNumber), .port = storePort });
    if (!store.ok())
        return store.status();
    m_store = std::move(*store);
    for (size_t n = 0; n < m_options.nodes; ++n) {
        auto link = TcpProxy::create(
            *m_loop, { hostAddress(firstLinkHostNumber + n), storePort }, { hostAddress(storeHostNumber), storePort });
        if (!link.ok())
            return link.status();
        m_storeLinks.push_back(std::move(*link));
    }
    Random random(m_options.seed);
    for (size_t n = 0; n < m_options.workers; ++n) {
        auto worker = TaskWorker::create(*m_loop, *m_store, m_checker,
            { .id = fmt::format("w-{:02}", n),
                .service = taskService,
                .zone = zones[n % zones.size()],
                .rack = fmt::format("rack-{}", n % 4),
                .ip = hostAddress(firstWorkerHostNumber + n),
                .publicPort = workerPort,
                .serverPort = workerServerPort,
                .guardsCapacity = n % 2 == 0,
                .clockRate = 1.0 - 0.001 * static_cast<double>(random.between(0, 20)),
                .clockOffsetMs = random.between(1000, 10'000'000),
                .seed = mixDigest(m_options.seed, n) });
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
    m_signalDescriptor = signalfd(-1, &signals, SFD_NONBLOCK | SFD_CLOEXEC);
    if (m_signalDescriptor < 0)
        return absl::UnavailableError("cannot watch signals");
    m_loop->watch(m_signalDescriptor, EPOLLIN, [this](uint32_t) {
        m_interrupted = true;
        m_loop->stop();
    });
    return absl::OkStatus();
}

bool Soak::run()
{
    m_loop->callAfter(trafficStartDelay, [this] { m_traffic->start(); });
    for (const auto& fault : m_options.faults)
        m_loop->callAfter(fault.startOffset, [this, fault] { inject(fault); });
    m_loop->callAfter(m_options.duration, [this] { settle(); });
    m_loop->run();
    if (m_interrupted)
        m_checker.reportViolation(nullptr, "the run was interrupted");
    // The nodes are killed before the stand-ins stop, so that no node runs against a partly stopped platform.
    m_nodes.reset();
    fmt::print("seed={} {}\n", m_options.seed, m_checker.summary());
    return m_checker.violations() == 0;
}

void Soak::publishConfiguration()
{
    Random random(m_options.seed + m_configurationVersion);
    auto queues = permanentQueues;
    for (auto& queue : queues)
        queue.timeoutMs = 1000 * random.between(2, 5);
    // Each version of the configuration adds its own unused queues and drops those of the previous version.
    for (int64_t n = random.between(0, 20); n > 0; --n) {
        auto name = fmt::format("q-{}-{}", m_configurationVersion, n);
        queues.push_back({ .name = name, .pathPrefix = fmt::format("/{}/", name) });
    }
    m_configurationVersion += static_cast<uint64_t>(random.between(1, 5));
    m_store->putOperatorRecord(configurationKey, configurationText(m_configurationVersion, queues));
}

/// Whether a fault of this kind interrupts the processes of the nodes, the store, or connections of the nodes.
static bool disturbsNodes(FaultKind kind) { return kind < FaultKind::WorkerShrinks && kind != FaultKind::WorkerCrash; }

void Soak::inject(const Fault& fault)
{
    fmt::print("{} ms: {} target={} duration_ms={} delay_ms={}\n", m_checker.elapsedMs(),
        faultNames[static_cast<size_t>(fault.kind)], fault.target, fault.duration.count(), fault.delay.count());
    if (disturbsNodes(fault.kind))
        m_checker.nodesDisturbedUntil(m_loop->now() + fault.duration + fault.delay
            + (fault.kind == FaultKind::NodeTerminate ? terminationGrace : Milliseconds { 0 }));
    if (fault.kind <= FaultKind::AllKillOperatorsSlow)
        return injectNodeFault(fault);
    if (fault.kind == FaultKind::StoreResets)
        return injectStoreResets(fault);
    if (fault.kind <= FaultKind::StoreForgets)
        return injectStoreFault(fault);
    if (fault.kind <= FaultKind::LinkSilentToStore)
        return injectLinkFault(fault);
    if (fault.kind <= FaultKind::WorkerShrinks)
        return injectWorkerFault(fault);
    if (fault.kind == FaultKind::CrashingTasks)
        return m_traffic->addCrashingTasks(fault.duration);
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
        m_store->apply({ .kind = StoreFault::Kind::LostOperatorReplies, .duration = fault.duration });
        break;
    case FaultKind::AllKillOperatorsSlow:
        m_store->apply(
            { .kind = StoreFault::Kind::SlowOperatorReplies, .duration = fault.duration, .delay = 2 * fault.delay });
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
    static constexpr std::array kinds { StoreFault::Kind::Unavailable, StoreFault::Kind::Unresponsive,
        StoreFault::Kind::Slow, StoreFault::Kind::LostAppendReplies, StoreFault::Kind::DelayedAppends,
        StoreFault::Kind::LostOperatorReplies, StoreFault::Kind::HistoryTruncation };
    auto kind = kinds[static_cast<size_t>(fault.kind) - static_cast<size_t>(FaultKind::StoreRefuses)];
    m_store->apply({ .kind = kind, .duration = fault.duration, .delay = fault.delay });
}

/// Resets the connections of all nodes while the store has carried out requests that it has not answered yet, and lets
/// it reject all requests from then on.
void Soak::injectStoreResets(const Fault& fault)
{
    auto slowTime = std::min(fault.delay, maxDelayBeforeReset);
    m_store->apply({ .kind = StoreFault::Kind::Slow, .duration = slowTime, .delay = slowTime });
    m_loop->callAfter(slowTime, [this, duration = fault.duration] {
        m_store->apply({ .kind = StoreFault::Kind::Unavailable, .duration = duration });
        for (auto& link : m_storeLinks)
            link->resetConnections();
    });
}

void Soak::injectLinkFault(const Fault& fault)
{
    auto& link = *m_storeLinks[fault.target % m_storeLinks.size()];
    if (fault.kind == FaultKind::LinkDelay)
        link.delay(fault.delay, fault.duration);
    else if (fault.kind == FaultKind::LinkReset)
        link.resetConnections();
    else
        link.stall(fault.kind == FaultKind::LinkSilentToNode, fault.duration);
}

void Soak::injectWorkerFault(const Fault& fault)
{
    auto& worker = *m_workers[fault.target % m_workers.size()];
    if (fault.kind == FaultKind::WorkerCrash) {
        worker.crash(fault.duration);
    } else if (fault.kind == FaultKind::WorkerDelay) {
        worker.proxy().delay(std::min(fault.delay, maxWorkerDelay), fault.duration);
    } else if (fault.kind == FaultKind::WorkerReset) {
        worker.proxy().resetConnections();
    } else if (fault.kind == FaultKind::WorkerZoneSilent) {
        // Commands reach the workers and the replies are held back, so that a new leader does not learn which tasks run
        // in the zone.
        for (size_t n = fault.target % zones.size(); n < m_workers.size(); n += zones.size())
            m_workers[n]->proxy().stall(true, fault.duration);
    } else if (fault.kind == FaultKind::WorkersCutOff) {
        for (size_t n = fault.target % cutOffStride; n < m_workers.size(); n += cutOffStride)
            m_workers[n]->cutOff(fault.duration);
    } else if (fault.kind == FaultKind::LateCalls) {
        for (size_t n = fault.target % lateCallsStride; n < m_workers.size(); n += lateCallsStride)
            injectLateCalls(*m_workers[n], fault);
    } else if (fault.kind == FaultKind::WorkerShrinks) {
        for (size_t n = fault.target % shrinkStride; n < m_workers.size(); n += shrinkStride)
            m_workers[n]->shrinkCapacity(static_cast<int64_t>(fault.target) % maxShrunkPercent, fault.duration);
    } else {
        worker.proxy().stall(fault.target % 2 == 0, fault.duration);
    }
}

/// The worker is silent, starts again, and is cut off soon afterwards for the rest of the time.
void Soak::injectLateCalls(TaskWorker& worker, const Fault& fault)
{
    auto downtime = minSilentDowntime + fault.delay;
    auto timeUntilCutOff = downtime + minTimeUntilCutOff + 2 * fault.delay;
    worker.crashSilently(downtime, lateCallsTime);
    if (fault.duration > timeUntilCutOff)
        m_loop->callAfter(timeUntilCutOff, [&worker, time = fault.duration - timeUntilCutOff] { worker.cutOff(time); });
}

void Soak::injectOperatorChange(const Fault& fault)
{
    if (fault.kind == FaultKind::NewConfiguration)
        return publishConfiguration();
    auto key = zoneEvacuationKey(zones[fault.target % zones.size()]);
    m_store->putOperatorRecord(key, "{}");
    m_loop->callAfter(fault.duration, [this, key] { m_store->putOperatorRecord(key, {}); });
}

void Soak::settle()
{
    fmt::print("{} ms: faults and new jobs stopped, {} accepted jobs have not ended\n", m_checker.elapsedMs(),
        m_checker.countUnfinishedJobs());
    m_traffic->stop();
    m_store->clearFaults();
    m_settleDeadline = m_loop->now() + settleBound;
    checkSettled();
}

void Soak::checkSettled()
{
    bool settled = m_nodes->allRunning() && m_checker.countUnfinishedJobs() == 0;
    if (!settled && m_loop->now() < m_settleDeadline) {
        m_loop->callAfter(settleCheckInterval, [this] { checkSettled(); });
        return;
    }
    fmt::print("{} ms: {}\n", m_checker.elapsedMs(),
        settled ? "all accepted jobs have ended" : "the time limit for accepted jobs expired");
    m_checker.checkAllEnded();
    m_loop->callAfter(finalQueryTime, [this] { m_loop->stop(); });
}

}
