#include <LibCore/Digest.h>
#include <LibCore/Logger.h>
#include <LibCore/StatusText.h>
#include <LibHttp/EventLoop.h>
#include <LibNode/Node.h>
#include <utility>

namespace Bergamot {

static constexpr Milliseconds tickInterval { 100 };

/// A gap between two ticks that shows that the process stood still.
static constexpr Milliseconds suspensionGap { 700 };

/// A node that the store has not answered for this long sends callers elsewhere.
static constexpr Milliseconds readyStoreAge { 3000 };

/// Starts go on for this long while the store does not confirm the leadership: no other node can be elected while the
/// store is down, and workers refuse the orders of a leader that has been replaced.
static constexpr Milliseconds longestUnconfirmed { 12000 };

Node::Node(Services services, NodeOptions options)
    : m_services(services)
    , m_options(std::move(options))
    , m_operators(services.loop, services.store,
          { .stream = StreamName::Operators,
              .onReload = [this] { m_zonesBeingRead.clear(); },
              .onRecord = [this](const KeyedRecord& record) { applyOperatorRecord(record); },
              .onCaughtUp = [this] { configurationRead(); } })
    , m_leadership(services.loop, services.store,
          { .node = m_options,
              .mayClaim = [this] { return m_operatorsRead && m_routing; },
              .onElected = [this](uint64_t epoch, bool earlierLeader) { elected(epoch, earlierLeader); },
              .onDeposed = [this] { deposed(); } })
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
              .answerHere =
                  [this](const JobQuery& query, QueryRouter::Reply reply) {
                      // The asking node asks again, perhaps another leader.
                      if (m_leader && isConfirmedSinceSuspension())
                          m_leader->answer(query, std::move(reply));
                  } })
    , m_ingress(services.loop, m_acceptor, m_queries, services.formats, m_metrics,
          { .routing = [this] { return m_routing; } })
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
            m_zonesBeingRead.insert(zone->zone);
        else
            m_zonesBeingRead.erase(zone->zone);
    }
}

void Node::configurationRead()
{
    m_zonesOut = m_zonesBeingRead;
    updateLeader();
    if (!std::exchange(m_operatorsRead, true))
        m_leadership.considerClaim();
}

void Node::updateLeader()
{
    if (!m_leader)
        return;
    if (m_routing) {
        std::map<std::string, QueuePolicy> queues;
        for (const auto& route : m_routing->routes)
            queues[route.queue] = route.policy;
        m_leader->setQueues(m_routing->version, std::move(queues));
    }
    m_leader->setZonesOut(m_zonesOut);
}

void Node::elected(uint64_t epoch, bool earlierLeader)
{
    m_leader = std::make_unique<TaskLeader>(m_services.loop, m_services.store, m_services.taskExecutor,
        m_services.formats, m_metrics,
        TaskLeader::Options { .node = m_options,
            .epoch = epoch,
            .earlierLeader = earlierLeader,
            .onFenced = [this] { m_leadership.stepDown(); },
            .mayStart = [this] { return mayStart(); } });
    m_metrics.setLeader(true, epoch);
    logInfo("leadership_begins", { { "epoch", epoch }, { "config_version", m_routing ? m_routing->version : 0 } });
    updateLeader();
    m_leader->start();
}

void Node::deposed()
{
    m_metrics.setLeader(false, 0);
    // The leader may be the caller, so it ends after it has returned.
    m_services.loop.post([leader = std::shared_ptr<TaskLeader>(std::move(m_leader))] {});
}

bool Node::mayStart()
{
    auto now = m_services.loop.now();
    bool storeIsRecent = m_leadership.holdsLease(now) || now - m_leadership.storeContactAt() < longestUnconfirmed;
    return isConfirmedSinceSuspension() && storeIsRecent;
}

bool Node::isConfirmedSinceSuspension()
{
    auto now = m_services.loop.now();
    noteSuspension(now);
    if (m_leadership.holdsLease(now))
        m_wasSuspended = false;
    return !m_wasSuspended;
}

void Node::noteSuspension(Instant now)
{
    if (m_wasSuspended || m_lastTick == neverInstant || now - m_lastTick <= suspensionGap)
        return;
    logWarning("process_was_suspended", { { "ms", (now - m_lastTick).count() } });
    m_wasSuspended = true;
}

void Node::tick()
{
    auto now = m_services.loop.now();
    noteSuspension(now);
    m_lastTick = now;
    bool ready
        = !m_retired && m_routing && m_leadership.leader() && now - m_leadership.storeContactAt() < readyStoreAge;
    if (ready != m_ready.exchange(ready))
        logInfo("readiness_changed", { { "ready", ready } });
    m_services.loop.callAfter(tickInterval, [this, alive = m_alive] {
        if (*alive)
            tick();
    });
}

void Node::retire()
{
    m_retired = true;
    m_leadership.retire();
}

}
