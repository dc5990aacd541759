#include <LibConfig/Findings.h>
#include <LibConfig/SiteConfigCodec.h>
#include <LibCore/Logger.h>
#include <LibCore/StatusText.h>
#include <LibDecision/Timing.h>
#include <LibEntry/EntryNode.h>
#include <LibEntry/ServiceUpstreams.h>
#include <LibWire/Codec.h>
#include <algorithm>
#include <array>
#include <fmt/format.h>
#include <utility>

namespace Bergamot {

static constexpr Milliseconds peerExchangeInterval { 100 };
static constexpr Milliseconds metricsInterval { 1000 };
static constexpr Milliseconds routingInterval { 250 };
/// A peer whose last log read is older than this is sent a newer configuration, well within the 5 s that P10 allows.
static constexpr Milliseconds minLogAgeForConfigRelay { 1500 };

/// A host becomes ready after this time even when its services have no usable slots, so that it accepts jobs.
static constexpr Milliseconds maxServiceReadinessWait { 15'000 };
static constexpr size_t maxConfigHistory = 20;
static constexpr std::string_view configStreamName = "config";

absl::StatusOr<std::unique_ptr<EntryNode>> EntryNode::create(Options options)
{
    auto metrics = Metrics::create({});
    if (!metrics.ok())
        return metrics.status();
    auto now = options.platform.clock->now();
    auto burn = BurnTracker::create({ .member = options.settings.member }, {}, 0, now);
    if (!burn.ok())
        return burn.status();
    std::unique_ptr<EntryNode> node(new EntryNode(std::move(options), std::move(*metrics), std::move(*burn)));
    const auto& settings = node->m_options.settings;
    auto requestPrefix = fmt::format("{}.{}.", settings.member, node->m_options.incarnation);
    auto quickPath = QuickPath::create({ .member = settings.member,
        .incarnation = node->m_options.incarnation,
        .zone = settings.zone,
        .clock = node->m_options.platform.clock,
        .executor = node->m_options.platform.executor,
        .engines = node->m_options.engines,
        .requestIds = std::make_shared<RequestIds>(requestPrefix),
        .ledger = &node->m_ledger,
        .metrics = node->m_metrics.get(),
        .burn = node->m_burn.get(),
        .seed = node->m_options.seed });
    if (!quickPath.ok())
        return quickPath.status();
    node->m_quickPath = std::move(*quickPath);
    return node;
}

EntryNode::EntryNode(Options options, std::unique_ptr<Metrics> metrics, std::unique_ptr<BurnTracker> burn)
    : m_options(std::move(options))
    , m_metrics(std::move(metrics))
    , m_burn(std::move(burn))
    , m_region(streamOptions("region-" + m_options.settings.region))
    , m_configStream(streamOptions(std::string(configStreamName)))
    , m_membership({ .member = m_options.settings.member,
                       .incarnation = m_options.incarnation,
                       .zone = m_options.settings.zone,
                       .peerAddress = m_options.settings.peerListen,
                       .callerAddress = m_options.settings.callerListen,
                       .seedPeers = m_options.settings.peers,
                       .transport = m_options.platform.peers },
          m_region)
    , m_hosts({ .hosts = m_options.platform.hosts,
          .clock = m_options.platform.clock,
          .executor = m_options.platform.executor })
    , m_dispatcher({ .member = m_options.settings.member,
                       .workers = m_options.platform.workers,
                       .clock = m_options.platform.clock,
                       .executor = m_options.platform.executor },
          m_region, m_membership)
    , m_scheduler({ .seed = m_options.seed }, m_region, m_membership, m_dispatcher, m_hosts)
    , m_ledger(m_region, *m_options.platform.clock, m_options.settings.member, m_options.incarnation)
    , m_regionSnapshots({ .log = m_options.platform.log,
                            .member = m_options.settings.member,
                            .incarnation = m_options.incarnation,
                            .executor = m_options.platform.executor,
                            .interval = m_options.snapshotInterval,
                            .maxEntries = m_options.snapshotEntries },
          m_region)
    , m_configSnapshots({ .log = m_options.platform.log,
                            .member = m_options.settings.member,
                            .incarnation = m_options.incarnation,
                            .executor = m_options.platform.executor,
                            .interval = m_options.snapshotInterval,
                            .maxEntries = m_options.snapshotEntries },
          m_configStream)
{
    m_region.setBatchObserver([this](const auto& batch, const auto& result) { regionBatchApplied(batch, result); });
    m_region.setReadObserver([this](Instant requestSentAt) { m_membership.logReadSucceeded(requestSentAt); });
    m_configStream.setReadObserver([this](Instant requestSentAt) { m_pauseGuard.configReadSucceeded(requestSentAt); });
    m_configStream.setBatchObserver(
        [this](const auto& batch, const auto& result) { configBatchApplied(batch, result); });
    m_dispatcher.setReportObserver(
        [this](const auto& worker, const auto& report) { m_scheduler.usageReported(worker, report); });
}

LogStream::Options EntryNode::streamOptions(std::string name) const
{
    return { .log = m_options.platform.log,
        .clock = m_options.platform.clock,
        .name = std::move(name),
        .member = m_options.settings.member,
        .incarnation = m_options.incarnation,
        .executor = m_options.platform.executor,
        .readWait = m_options.readWait };
}

void EntryNode::tick(Instant now)
{
    m_pauseGuard.ticked(now, m_membership.mayRenew(now));
    m_region.tick(now);
    m_configStream.tick(now);
    // A configuration loaded from a snapshot does not call the batch observer.
    adoptPublishedConfig(m_configStream.state().image().config);
    adoptInitialConfig();
    m_membership.tick(now);
    m_hosts.tick(now);
    m_dispatcher.tick(now);
    m_scheduler.tick(now);
    m_regionSnapshots.tick(now, m_membership.isLeader());
    m_configSnapshots.tick(now, m_membership.isLeader());
    updateRouting(now);
    updateLimits(now);
    updateServiceReadiness(now);
    if (now >= m_nextPeerExchange) {
        m_nextPeerExchange = now + peerExchangeInterval;
        exchangeLoans();
        exchangeShares(now);
    }
    m_burnCollector.tick(now);
    if (now >= m_nextMetricsUpdate) {
        m_nextMetricsUpdate = now + metricsInterval;
        updateMetrics(now);
        relayToStalePeers(now);
    }
}

void EntryNode::regionBatchApplied(const RecordBatch& batch, const ApplyResult& result)
{
    m_membership.batchApplied(batch, result, clock().now());
    m_scheduler.batchApplied(batch, result);
    m_ledger.batchApplied(batch, result);
    for (size_t i = 0; i < batch.records.size(); ++i) {
        if (!result.statuses[i].ok())
            continue;
        if (std::holds_alternative<TermsRenewed>(batch.records[i])
            || std::holds_alternative<MemberJoined>(batch.records[i])
            || std::holds_alternative<MemberRemoved>(batch.records[i]))
            m_limitsChanged = true;
        recordMetrics(batch.records[i]);
        if (const auto* zone = std::get_if<ZoneChanged>(&batch.records[i])) {
            m_metrics->setZoneOut(zone->zone, zone->out);
            logInfo("zone_changed", { { "zone", zone->zone }, { "out", zone->out } });
        }
    }
}

static std::string_view toLabelValue(TaskOutcome outcome)
{
    constexpr std::array<std::string_view, 6> names { "completed", "failed", "evicted", "lost", "refused", "stopped" };
    return names.at(static_cast<size_t>(outcome));
}

static std::string_view toLabelValue(RevokeReason reason)
{
    constexpr std::array<std::string_view, 6> names { "eviction", "zone_out", "cancelled", "worker_lost", "host_drain",
        "superseded" };
    return names.at(static_cast<size_t>(reason));
}

// Every member applies every record, but only the leader counts it, so that the sum over all hosts counts each event
// once.
void EntryNode::recordMetrics(const Record& record)
{
    if (!m_membership.isLeader())
        return;
    if (const auto* revoked = std::get_if<TaskRevoked>(&record))
        m_metrics->recordEviction(toLabelValue(revoked->reason));
    const auto* ended = std::get_if<TaskEnded>(&record);
    if (!ended)
        return;
    m_metrics->recordTaskEnded(toLabelValue(ended->outcome));
    const auto* job = m_region.state().findJob(ended->job);
    bool isAnyZoneOut = !m_region.state().image().zonesOut.empty();
    if (isAnyZoneOut && job && ended->outcome == TaskOutcome::Completed)
        m_metrics->recordWorkWhileZoneOut(
            static_cast<double>(job->spec.size.cpuMillis) / 1000.0 * static_cast<double>(job->spec.runMs) / 1000.0);
}

void EntryNode::configBatchApplied(const RecordBatch&, const ApplyResult&)
{
    adoptPublishedConfig(m_configStream.state().image().config);
}

void EntryNode::adoptPublishedConfig(const ConfigPublished& published)
{
    if (published.version <= m_configVersion)
        return;
    m_configVersion = published.version;
    m_activeConfig = published;
    m_configHistory.push_back({ published, m_configStream.state().image().logTimeMs });
    if (m_configHistory.size() > maxConfigHistory)
        m_configHistory.pop_front();
    m_membership.setConfigVersion(published.version);
    auto decoded = decodeSiteConfig(published.body);
    const auto* config = std::get_if<SiteConfig>(&decoded);
    if (!config) {
        logError("config_invalid",
            { { "version", published.version }, { "findings", describeFindings(std::get<Findings>(decoded)) } });
        return;
    }
    activateConfig(std::make_shared<const SiteConfig>(*config), published.version);
    logInfo("config_in_force", { { "version", published.version }, { "author", published.author } });
}

// The initial configuration must not replace a published one, so the configuration stream is read to its head first.
void EntryNode::adoptInitialConfig()
{
    bool isConfigUnpublished = m_configStream.hasCaughtUp() && m_configStream.state().image().config.version == 0;
    if (m_config || !m_options.initialConfig || !isConfigUnpublished)
        return;
    activateConfig(m_options.initialConfig, 0);
    logInfo("config_in_force", { { "version", 0 }, { "author", "settings file" } });
}

void EntryNode::activateConfig(std::shared_ptr<const SiteConfig> config, uint64_t version)
{
    m_config = std::move(config);
    std::vector<BurnObjective> objectives;
    for (const auto& service : m_config->services)
        objectives.push_back({ .service = service.name,
            .latencyTarget = service.latencyTarget,
            .objectivePercent = service.objectivePercent });
    if (auto status = m_burn->setObjectives(std::move(objectives), version); !status.ok())
        logWarning("objectives_refused", { { "error", statusText(status) } });
    m_quickPath->setConfig(m_config);
    m_scheduler.setConfig(m_config);
    m_metrics->setConfigVersion(version);
    m_routingPosition = 0;
    m_limitsChanged = true;
}

const EntryNode::ConfigVersion* EntryNode::findConfigVersion(std::string_view version) const
{
    for (const auto& it : m_configHistory) {
        if (std::to_string(it.config.version) == version)
            return &it;
    }
    return nullptr;
}

std::vector<SlotTable::Member> EntryNode::slotMembers() const
{
    std::vector<SlotTable::Member> members;
    members.reserve(m_region.state().image().members.size());
    for (const auto& [id, member] : m_region.state().image().members)
        members.push_back({ .id = id, .incarnation = member.spec.incarnation, .zone = member.spec.zone });
    return members;
}

void EntryNode::updateRouting(Instant now)
{
    // Quick requests wait for the configuration as well, because they use its services, clients and limits.
    auto authorityExpiry = isConfigConfirmed()
        ? m_membership.renewalAuthority().renewalsAllowedUntil(now, m_membership.voters(), m_region.state().position())
        : neverInstant;
    auto paths = m_quickPath->paths();
    for (const auto& [name, path] : paths)
        path->setAuthorityExpiry(authorityExpiry);
    m_quickPath->withLimiter([&](auto& limiter) { limiter.setAuthorityExpiry(authorityExpiry); });
    if (now < m_nextRoutingUpdate)
        return;
    m_nextRoutingUpdate = now + routingInterval;
    auto position = m_region.state().position();
    const auto& image = m_region.state().image();
    auto unreachableWorkers = m_dispatcher.unreachableWorkers(now);
    m_membership.setUnreachableWorkers(unreachableWorkers);
    auto isRoutable = [&](const WorkerId& id) {
        const auto* worker = m_region.state().findWorker(id);
        return worker && !worker->spec.leaving && !worker->spec.gone && m_hosts.isLive(id)
            && !image.zonesOut.contains(worker->spec.zone)
            && std::ranges::find(unreachableWorkers, id) == unreachableWorkers.end();
    };
    auto upstreams = position == m_routingPosition ? decltype(upstreamsByService(m_region.state())) {}
                                                   : upstreamsByService(m_region.state());
    for (const auto& [name, path] : paths) {
        if (position != m_routingPosition)
            path->setView(position, slotMembers(), upstreams[name], true);
        path->setRoutable(isRoutable);
        for (const auto& [peer, evidence] : m_membership.renewalAuthority().peers())
            path->recordPosition(peer, evidence.position);
        m_membership.setFreeSlots(static_cast<uint32_t>(std::max<int64_t>(0, path->freeSlots())));
    }
    m_routingPosition = position;
}

void EntryNode::updateLimits(Instant now)
{
    if (!m_limitsChanged || !m_config)
        return;
    m_limitsChanged = false;
    std::vector<ClientLimiter::Member> members;
    members.reserve(m_region.state().image().members.size());
    for (const auto& [id, member] : m_region.state().image().members)
        members.push_back({ .id = id, .incarnation = member.spec.incarnation });
    m_quickPath->withLimiter([&](ClientLimiter& limiter) {
        if (auto status = limiter.setMembers(members, now); !status.ok())
            logWarning("limiter_members_refused", { { "error", statusText(status) } });
        for (const auto& client : m_config->clients) {
            auto terms = client.terms;
            auto renewed = m_region.state().image().terms.find(client.name);
            if (renewed != m_region.state().image().terms.end())
                terms = { .requestsPerSecond = renewed->second.current.requestsPerSecond,
                    .concurrency = renewed->second.current.concurrency };
            auto status = limiter.setLimit({ .client = client.name,
                                               .rateMillis = terms.requestsPerSecond * 1000,
                                               .concurrency = terms.concurrency },
                now);
            if (!status.ok())
                logWarning("limit_refused", { { "client", client.name }, { "error", statusText(status) } });
        }
    });
}

void EntryNode::sendToMember(const MemberId& member, const PeerMessage& message)
{
    auto address = m_membership.peerAddress(member);
    if (!address.empty())
        m_options.platform.peers->send(address, encodePeerMessage(message));
}

void EntryNode::exchangeLoans()
{
    const auto& self = m_options.settings.member;
    for (const auto& [name, path] : m_quickPath->paths()) {
        for (const auto& [peer, heartbeat] : m_membership.heartbeats())
            path->recordPeerFreeSlots(peer, heartbeat.freeSlots);
        auto loans = path->tick();
        for (const auto& loanRequest : loans.loanRequests)
            sendToMember(loanRequest.lender,
                SlotLoanRequest { .borrower = self,
                    .requestId = loanRequest.requestId,
                    .slots = loanRequest.slots,
                    .renewals = loanRequest.renewals,
                    .service = name });
        for (const auto& loan : loans.returns)
            sendToMember(loan.lender, SlotReturn { .borrower = self, .loanId = loan.loanId, .service = name });
    }
}

static ShareGrantMessage toMessage(const ShareGrant& grant)
{
    ShareGrantMessage message { .coordinator = grant.coordinator,
        .coordinatorIncarnation = grant.coordinatorIncarnation,
        .incarnation = grant.incarnation,
        .sequence = grant.sequence,
        .leaseMs = grant.lease.count() };
    for (const auto& share : grant.shares)
        message.shares.push_back({ share.client, share.grantId, share.rateMillis, share.concurrency });
    return message;
}

static ShareReportMessage toMessage(const ShareReport& report)
{
    ShareReportMessage message {
        .member = report.member, .incarnation = report.incarnation, .sequence = report.sequence
    };
    for (const auto& it : report.clients)
        message.clients.push_back({ it.client, it.rateMillis, it.concurrency, it.inUse, it.heldGrantId });
    return message;
}

void EntryNode::exchangeShares(Instant now)
{
    const auto& self = m_options.settings.member;
    auto reports = m_quickPath->withLimiter([&](ClientLimiter& limiter) { return limiter.makeReports(now); });
    if (!reports.ok())
        return;
    for (const auto& report : *reports) {
        if (report.coordinator != self) {
            sendToMember(report.coordinator, toMessage(report));
            continue;
        }
        m_quickPath->withLimiter([&](ClientLimiter& limiter) {
            if (auto grant = limiter.grant(report, now); grant.ok())
                limiter.applyGrant(*grant, now).IgnoreError();
        });
    }
}

/// Handles one decoded peer message on the control thread.
struct EntryNode::PeerMessageHandler {
    EntryNode& node;
    Instant now;

    void operator()(const Heartbeat& heartbeat) { node.m_membership.heartbeatReceived(heartbeat, now); }

    void operator()(const SlotLoanRequest& message)
    {
        auto path = node.m_quickPath->path(message.service);
        if (!path)
            return;
        auto grants = path->lend({ .lender = node.m_options.settings.member,
            .borrower = message.borrower,
            .requestId = message.requestId,
            .slots = message.slots,
            .renewals = message.renewals });
        for (const auto& grant : grants)
            node.sendToMember(message.borrower,
                SlotLoan { .lender = grant.lender,
                    .requestId = grant.requestId,
                    .loanId = grant.loanId,
                    .workers = grant.workers,
                    .leaseMs = grant.lease.count(),
                    .service = message.service });
    }

    void operator()(const SlotLoan& message)
    {
        if (auto path = node.m_quickPath->path(message.service))
            path->applyGrant({ .lender = message.lender,
                .borrower = node.m_options.settings.member,
                .requestId = message.requestId,
                .loanId = message.loanId,
                .workers = message.workers,
                .lease = Milliseconds { message.leaseMs } });
    }

    void operator()(const SlotReturn& message)
    {
        if (auto path = node.m_quickPath->path(message.service))
            path->acceptReturn(
                { .lender = node.m_options.settings.member, .borrower = message.borrower, .loanId = message.loanId });
    }

    void operator()(const ShareReportMessage& message)
    {
        ShareReport report { .member = message.member,
            .incarnation = message.incarnation,
            .coordinator = node.m_options.settings.member,
            .sequence = message.sequence };
        for (const auto& it : message.clients)
            report.clients.push_back({ it.client, it.rateMillis, it.concurrency, it.inUse, it.heldGrantId });
        auto grant = node.m_quickPath->withLimiter([&](ClientLimiter& limiter) { return limiter.grant(report, now); });
        if (grant.ok())
            node.sendToMember(message.member, toMessage(*grant));
    }

    void operator()(const ShareGrantMessage& message)
    {
        ShareGrant grant { .coordinator = message.coordinator,
            .coordinatorIncarnation = message.coordinatorIncarnation,
            .member = node.m_options.settings.member,
            .incarnation = message.incarnation,
            .sequence = message.sequence,
            .lease = Milliseconds { message.leaseMs } };
        for (const auto& it : message.shares)
            grant.shares.push_back({ it.client, it.grantId, it.rateMillis, it.concurrency });
        // The limiter rejects late and duplicate grants, which is not an error.
        node.m_quickPath->withLimiter([&](ClientLimiter& limiter) { limiter.applyGrant(grant, now).IgnoreError(); });
    }

    void operator()(const BurnRequest& message)
    {
        node.sendToMember(message.member,
            BurnReply { .member = node.m_options.settings.member,
                .request = message.request,
                .slice = encodeBurnSlice(node.m_burn->slice(now)) });
    }

    void operator()(const BurnReply& message)
    {
        node.m_burnCollector.receiveReply(message.request, message.member, message.slice);
    }

    void operator()(const ConfigOffer& offer)
    {
        // The configuration stream has accepted any version that is active on a peer, so a member that cannot read the
        // log can use it.
        if (offer.version > node.m_configVersion)
            node.adoptPublishedConfig({ .version = offer.version,
                .basedOn = offer.version - 1,
                .author = "relayed by " + offer.member,
                .body = offer.body });
    }

    void operator()(const RecordRelay& relay)
    {
        for (size_t i = 0; i < relay.entries.size(); ++i)
            node.m_region.applyRelayed(relay.position + i, relay.entries[i]);
    }

    /// Only the nodes of LibNode exchange job queries, so both messages are ignored.
    void operator()(const JobQuery&) { }
    void operator()(const JobQueryReply&) { }
};

void EntryNode::peerMessageReceived(std::string_view bytes)
{
    auto message = decodePeerMessage(bytes);
    if (!message.ok()) {
        logWarning("peer_message_ignored", { { "error", statusText(message.status()) } });
        return;
    }
    std::visit(PeerMessageHandler { *this, clock().now() }, *message);
}

void EntryNode::collectBurn(BurnCollector::Done done)
{
    std::set<MemberId> peers;
    for (const auto& [id, member] : m_region.state().image().members) {
        if (id != m_options.settings.member)
            peers.insert(id);
    }
    auto now = clock().now();
    auto request = m_burnCollector.startReport(m_burn->slice(now), peers, now, std::move(done));
    for (const auto& peer : peers)
        sendToMember(peer, BurnRequest { .member = m_options.settings.member, .request = request });
}

void EntryNode::relayToStalePeers(Instant now)
{
    if (!m_membership.renewalAuthority().hasFreshLog(now))
        return;
    for (const auto& [member, heartbeat] : m_membership.heartbeats()) {
        if (heartbeat.logAgeMs > minLogAgeForConfigRelay.count() && heartbeat.configVersion < m_configVersion)
            sendToMember(member,
                ConfigOffer {
                    .member = m_options.settings.member, .version = m_configVersion, .body = m_activeConfig.body });
        if (heartbeat.logAgeMs <= Timing::evidenceMaxAge.count() || heartbeat.position >= m_region.state().position())
            continue;
        if (auto entries = m_region.recentEntries(heartbeat.position); !entries.empty())
            sendToMember(member,
                RecordRelay { .member = m_options.settings.member,
                    .position = heartbeat.position,
                    .entries = std::move(entries) });
    }
}

void EntryNode::updateMetrics(Instant now)
{
    m_metrics->setLeaderEpoch(m_membership.epoch(), m_membership.isLeader());
    m_metrics->setLogLag(0, now - m_membership.renewalAuthority().lastLogRead());
    if (!m_region.state().image().zonesOut.empty() && m_membership.isLeader())
        m_metrics->recordZoneOutTime(metricsInterval);
    m_metrics->sampleControlThread("control");
    m_metrics->sampleProcess();
}

bool EntryNode::isReady(Instant now) const
{
    return !m_isShuttingDown && m_config && isConfigConfirmed() && m_servicesReady && m_membership.mayRenew(now);
}

// For some seconds after a process joins, it has no usable slots and client shares and rejects requests that other
// hosts can serve, so the load balancer must not select it yet.
void EntryNode::updateServiceReadiness(Instant now)
{
    if (m_servicesReady || !m_config)
        return;
    if (m_configActivatedAt == neverInstant)
        m_configActivatedAt = now;
    auto paths = m_quickPath->paths();
    bool hasUsableSlots = std::ranges::all_of(paths, [](const auto& it) { return it.second->settledSlots() > 0; });
    bool hasUsableShares = m_quickPath->withLimiter([&](const ClientLimiter& limiter) {
        return std::ranges::all_of(m_config->clients, [&](const auto& client) {
            auto share = limiter.shareOf(client.name, now);
            return client.terms.concurrency == 0 || (share.ok() && share->concurrency > 0);
        });
    });
    m_servicesReady = (hasUsableSlots && hasUsableShares) || now - m_configActivatedAt > maxServiceReadinessWait;
}

void EntryNode::beginShutdown()
{
    m_isShuttingDown = true;
    m_membership.announceLeaving();
}

}
