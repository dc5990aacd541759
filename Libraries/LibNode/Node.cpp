#include <LibCore/Digest.h>
#include <LibCore/Logger.h>
#include <LibCore/StatusText.h>
#include <LibHttp/EventLoop.h>
#include <LibNode/Node.h>
#include <utility>

namespace Bergamot {

static constexpr Milliseconds tickInterval { 100 };

/// A longer gap between two ticks means that the process was suspended.
static constexpr Milliseconds minSuspension { 700 };

/// A node without a store reply for this long reports not ready.
static constexpr Milliseconds maxStoreReplyAge { 3000 };

/// The leader keeps starting tasks for this long without confirmation of its leadership by the store: no other node can
/// be elected while the store is down, and workers reject the commands of a leader that has been replaced.
static constexpr Milliseconds maxUnconfirmedLeadership { 12000 };

/// Operators expect a new configuration to be in force within 17 s. A decision that cannot be taken back rests on a
/// configuration that was read within this time, so that it may wait for the store as long again.
static constexpr Milliseconds maxConfigurationAge { 5000 };

Node::Node(Services services, NodeOptions options)
    : m_services(services)
    , m_options(std::move(options))
    , m_operators(services.loop, services.store,
          { .stream = StreamName::Operators,
              .onReload = [this] { m_loadingZonesOut.clear(); },
              .onRecord = [this](const KeyedRecord& record) { applyOperatorRecord(record); },
              .onCaughtUp = [this] { handleOperatorsCaughtUp(); } })
    , m_leadership(services.loop, services.store,
          { .node = m_options,
              .canClaim = [this] { return m_hasReadOperators && m_routing; },
              .onElected = [this](uint64_t epoch, bool hasPredecessor) { handleElected(epoch, hasPredecessor); },
              .onDeposed = [this] { handleDeposed(); },
              .expectedWaits = [this] { return m_leader ? m_leader->expectedWaits() : std::vector<ExpectedWait> {}; } })
    , m_acceptor(services.loop, services.store, static_cast<uint32_t>(digestOf(m_options.member) % jobPartitions))
    , m_queries(services.loop, services.peers,
          { .firstQueryId = m_options.incarnation,
              .peerAddress = m_options.peerAddress,
              .leaderAddress = [this]() -> std::optional<std::string> {
                  if (m_leadership.isLeader())
                      return m_options.peerAddress;
                  if (const auto& leader = m_leadership.leader())
                      return leader->peerAddress;
                  return std::nullopt;
              },
              .handleLocally =
                  [this](const JobQuery& query, QueryRouter::ReplyCallback callback) {
                      // Without a reply, the requesting node retries, possibly with another leader.
                      if (m_leader && isConfirmedSinceSuspension())
                          m_leader->handleQuery(query, std::move(callback));
                  } })
    , m_ingress(services.loop, m_acceptor, m_queries, services.formats, m_metrics,
          { .routing = [this] { return m_routing; },
              .isConfigurationCurrent = [this] { return isConfigurationCurrent(); },
              .expectedWaits = [this] { return m_leadership.expectedWaits(); } })
{
}

Node::~Node() { *m_alive = false; }

void Node::start()
{
    m_operators.start();
    m_leadership.start();
    tick();
}

void Node::applyOperatorRecord(const KeyedRecord& record)
{
    auto change = m_services.formats.readOperatorRecord(record);
    if (!change.ok()) {
        logWarning("operator_record_unreadable", { { "key", record.key }, { "error", statusText(change.status()) } });
        return;
    }
    if (auto* table = std::get_if<RoutingTable>(&*change)) {
        if (m_routing && table->version <= m_routing->version)
            return;
        logInfo("configuration_applied", { { "version", table->version }, { "routes", table->routes.size() } });
        m_metrics.setConfigVersion(table->version);
        m_routing = std::make_shared<const RoutingTable>(std::move(*table));
    } else if (const auto* zone = std::get_if<ZoneOut>(&*change)) {
        logInfo("zone_changed", { { "zone", zone->zone }, { "out", zone->out } });
        if (zone->out)
            m_loadingZonesOut.insert(zone->zone);
        else
            m_loadingZonesOut.erase(zone->zone);
    }
}

void Node::handleOperatorsCaughtUp()
{
    m_zonesOut = m_loadingZonesOut;
    updateLeader();
    if (!std::exchange(m_hasReadOperators, true))
        m_leadership.claimIfDue();
}

void Node::updateLeader()
{
    if (!m_leader)
        return;
    if (m_routing) {
        std::map<std::string, QueuePolicy> queues;
        for (const auto& route : m_routing->routes)
            queues[route.queue] = route.policy;
        m_leader->setServices(m_routing->services);
        m_leader->setQueues(m_routing->version, std::move(queues));
    }
    m_leader->setExcludedZones(m_zonesOut);
}

void Node::handleElected(uint64_t epoch, bool hasPredecessor)
{
    m_leader = std::make_unique<TaskLeader>(m_services.loop, m_services.store, m_services.taskExecutor,
        m_services.formats, m_metrics,
        TaskLeader::Options { .node = m_options,
            .epoch = epoch,
            .hasPredecessor = hasPredecessor,
            .claimedAt = m_leadership.claimedAt(),
            .elections = m_leadership.elections(),
            .haveLeadersStopped
            = [this](uint64_t first, uint64_t end) { return m_leadership.elections().haveLeadersStopped(first, end); },
            .onFenced =
                [this, alive = m_alive] {
                    // The leader calls this in a later turn of the event loop, which need not be before the node's end.
                    if (*alive)
                        m_leadership.stepDown();
                },
            .canStart = [this] { return canStart(); },
            .isConfigurationCurrent = [this] { return isConfigurationCurrent(); },
            .soleLeaderUntil = [this] { return m_leadership.soleLeaderUntil(m_services.loop.now()); },
            .fenceToken = [this] { return m_leadership.fenceToken(); } });
    m_metrics.setLeader(true, epoch);
    logInfo("leadership_begins", { { "epoch", epoch }, { "config_version", m_routing ? m_routing->version : 0 } });
    updateLeader();
    m_leader->start();
}

void Node::handleDeposed()
{
    m_metrics.setLeader(false, 0);
    // This function may be called by the leader itself, so the leader is destroyed in a later turn of the event loop.
    // The node keeps it until then, because it uses the node and replies to it may arrive after the node's end.
    m_formerLeaders.push_back(std::move(m_leader));
    m_services.loop.post([this, alive = m_alive] {
        if (*alive)
            m_formerLeaders.clear();
    });
}

bool Node::canStart()
{
    auto now = m_services.loop.now();
    bool isStoreRecent
        = m_leadership.holdsLease(now) || now - m_leadership.lastStoreReplyAt() < maxUnconfirmedLeadership;
    return isConfirmedSinceSuspension() && isStoreRecent;
}

bool Node::isConfigurationCurrent() const
{
    return m_services.loop.now() - m_operators.currentAsOf() < maxConfigurationAge;
}

bool Node::isConfirmedSinceSuspension()
{
    auto now = m_services.loop.now();
    detectSuspension(now);
    if (m_leadership.holdsLease(now))
        m_wasSuspended = false;
    return !m_wasSuspended;
}

void Node::detectSuspension(Instant now)
{
    if (m_wasSuspended || m_lastTickAt == neverInstant || now - m_lastTickAt <= minSuspension)
        return;
    logWarning("process_was_suspended", { { "ms", (now - m_lastTickAt).count() } });
    m_wasSuspended = true;
}

void Node::tick()
{
    auto now = m_services.loop.now();
    detectSuspension(now);
    m_lastTickAt = now;
    bool isReady = !m_isShuttingDown && m_routing && m_leadership.leader()
        && now - m_leadership.lastStoreReplyAt() < maxStoreReplyAge;
    if (isReady != m_ready.exchange(isReady))
        logInfo("readiness_changed", { { "ready", isReady } });
    m_services.loop.callAfter(tickInterval, [this, alive = m_alive] {
        if (*alive)
            tick();
    });
}

void Node::prepareShutdown(const ShutdownTimes& times)
{
    m_isShuttingDown = true;
    m_leadership.drain(times.endsBy);
    if (times.answerBy == Instant::max())
        return;
    m_ingress.setAnswerBy(times.answerBy);
    m_services.loop.callAfter(times.answerBy - m_services.loop.now(), [this, alive = m_alive] {
        if (!*alive)
            return;
        m_acceptor.answerPending();
        m_queries.answerPending();
    });
}

}
