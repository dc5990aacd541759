#include <CppUTest/TestHarness.h>
#include <LibDecision/SlotCluster.h>
#include <algorithm>

namespace Bergamot {

static constexpr int stepMs = 20;
static constexpr int heartbeatIntervalMs = 200;

SlotCluster::SlotCluster(SlotTable::Options options, uint64_t seed, int maxDelayMs)
    : m_options(std::move(options))
    , m_random(seed)
    , m_maxDelayMs(maxDelayMs)
{
    for (int n = 0; n < 5; ++n)
        m_workers.push_back({ .id = "w" + std::to_string(n), .zone = n % 2 ? "a" : "b", .slots = slotsPerWorker });
    for (const auto* id : { "e0", "e1", "e2", "e3" })
        addNode(id, m_nextIncarnation++);
    for (auto& node : m_nodes)
        applyUpTo(*node, m_log.size(), 0);
}

void SlotCluster::addNode(const MemberId& id, uint64_t incarnation)
{
    std::erase_if(m_members, [&](const auto& member) { return member.id == id; });
    m_members.push_back({ .id = id, .incarnation = incarnation, .zone = m_members.size() % 2 ? "a" : "b" });
    auto node = std::make_unique<Node>();
    node->id = id;
    node->incarnation = incarnation;
    node->clockOffsetMs = static_cast<int>(incarnation) * 777;
    auto options = m_options;
    options.self = id;
    options.incarnation = incarnation;
    options.zone = m_members.back().zone;
    node->table = std::make_unique<SlotTable>(std::move(*SlotTable::create(options)));
    m_nodes.push_back(std::move(node));
    appendView();
}

void SlotCluster::appendView()
{
    m_log.push_back({ .position = m_log.size() + 1, .members = m_members, .workers = m_workers });
}

void SlotCluster::applyUpTo(Node& node, LogPosition position, int ms)
{
    // A new process starts from a snapshot; the others read every record.
    if (node.applied == 0 && position > 0) {
        auto view = m_log[position - 1];
        view.isContiguous = false;
        CHECK(node.table->applyView(view, node.now(ms)).ok());
        node.applied = position;
    }
    for (; node.applied < position; ++node.applied)
        CHECK(node.table->applyView(m_log[node.applied], node.now(ms)).ok());
}

void SlotCluster::inject(const ClusterFault& fault, int ms)
{
    auto& node = *m_nodes[static_cast<size_t>(fault.member) % m_nodes.size()];
    const auto until = ms + fault.durationMs;
    switch (fault.kind) {
    case ClusterFault::Kind::Join:
        if (m_members.size() < 7)
            addNode("e" + std::to_string(fault.member % 7), m_nextIncarnation++);
        break;
    case ClusterFault::Kind::Remove:
        if (m_members.size() > 1 && std::erase_if(m_members, [&](const auto& m) { return m.id == node.id; }))
            appendView();
        break;
    case ClusterFault::Kind::ReplaceWhilePaused: {
        node.pausedUntilMs = until;
        const auto id = node.id;
        addNode(id, m_nextIncarnation++);
        break;
    }
    case ClusterFault::Kind::Pause:
        node.pausedUntilMs = until;
        break;
    case ClusterFault::Kind::LogUnreachable:
        node.logUnreachableUntilMs = until;
        break;
    case ClusterFault::Kind::PeersUnreachable:
        node.peersUnreachableUntilMs = until;
        break;
    case ClusterFault::Kind::RelistWorker:
        m_workers.pop_back();
        appendView();
        m_workers.push_back({ .id = "w4", .zone = "b", .slots = slotsPerWorker });
        appendView();
        break;
    }
}

void SlotCluster::send(const Node& from, const MemberId& to, const Message& message, int ms)
{
    if (ms < from.peersUnreachableUntilMs || randomBelow(20) == 0)
        return;
    // One in ten messages has a long delay, and one in fifteen is duplicated.
    const auto copies = randomBelow(15) == 0 ? 2 : 1;
    for (int n = 0; n < copies; ++n) {
        const auto delay = randomBelow(10) == 0 ? randomBelow(m_maxDelayMs) : randomBelow(30);
        m_messages.emplace(ms + delay, std::pair { to, message });
    }
}

void SlotCluster::deliver(int ms)
{
    while (!m_messages.empty() && m_messages.begin()->first <= ms) {
        auto [to, message] = m_messages.begin()->second;
        m_messages.erase(m_messages.begin());
        for (auto& node : m_nodes) {
            if (node->id != to || ms < node->peersUnreachableUntilMs)
                continue;
            if (ms < node->pausedUntilMs)
                m_messages.emplace(node->pausedUntilMs, std::pair { to, message });
            else
                handle(*node, message, ms);
        }
    }
}

void SlotCluster::handle(Node& node, const Message& message, int ms)
{
    const auto now = node.now(ms);
    if (const auto* heartbeat = std::get_if<PositionHeartbeat>(&message)) {
        // A peer with a later log position relays the missing records.
        applyUpTo(node, std::max(node.applied, heartbeat->position), ms);
        auto& contact = node.contacts[heartbeat->from];
        contact.first = std::max(contact.first, heartbeat->sentMs);
        static_cast<void>(node.table->recordPosition(heartbeat->from, heartbeat->position, now));
        static_cast<void>(node.table->recordPeerFreeSlots(heartbeat->from, 4, now));
    } else if (const auto* loanRequest = std::get_if<LoanRequest>(&message)) {
        if (auto grants = node.table->lend(*loanRequest, now); grants.ok()) {
            for (const auto& grant : *grants)
                send(node, grant.borrower, grant, ms);
        }
    } else if (const auto* grant = std::get_if<LoanGrant>(&message)) {
        static_cast<void>(node.table->applyGrant(*grant, now));
    } else if (const auto* loan = std::get_if<LoanReturn>(&message)) {
        static_cast<void>(node.table->acceptReturn(*loan, now));
    }
}

void SlotCluster::readLogAndSendHeartbeats(Node& node, int ms)
{
    if (ms >= node.logUnreachableUntilMs) {
        applyUpTo(node, m_log.size(), ms);
        node.logReadAtMs = ms;
        static_cast<void>(node.table->recordPosition(node.id, node.applied, node.now(ms)));
    }
    if (node.applied == 0)
        return;
    for (const auto& member : m_log[node.applied - 1].members) {
        if (member.id != node.id)
            send(node, member.id, PositionHeartbeat { .from = node.id, .position = node.applied, .sentMs = ms }, ms);
    }
}

void SlotCluster::updateAuthority(Node& node, int ms)
{
    auto evidence = node.logReadAtMs;
    if (node.applied > 0) {
        std::vector<int> contacts;
        for (const auto& member : m_log[node.applied - 1].members)
            contacts.push_back(member.id == node.id ? ms : node.contacts[member.id].first);
        std::sort(contacts.rbegin(), contacts.rend());
        evidence = std::max(evidence, contacts[contacts.size() / 2]);
    }
    node.table->setAuthorityExpiry(node.now(evidence) + Milliseconds(3000));
}

void SlotCluster::serve(Node& node, int ms, Result& result)
{
    const auto now = node.now(ms);
    std::erase_if(node.running, [&](const RunningRequest& running) {
        if (ms < running.endsMs)
            return false;
        CHECK(node.table->release(running.use, now).ok());
        return true;
    });
    if (randomBelow(40) == 0)
        node.demand = randomBelow(3) == 0 ? randomBelow(16) : randomBelow(3);
    if (m_isSaturated)
        node.demand = static_cast<int>(m_workers.size() * slotsPerWorker);
    const auto waiting = std::max(0, node.demand - static_cast<int>(node.running.size()));
    CHECK(node.table->recordWaiting(waiting, now).ok());
    for (int n = 0; n < waiting; ++n) {
        const auto holdMs = 1 + randomBelow(static_cast<int>(m_options.maxHoldTime.count()));
        auto use = node.table->acquire(Milliseconds(holdMs), m_random(), now);
        if (!use.ok())
            continue;
        // Half of the requests use their whole hold time.
        const auto endsMs = ms + (randomBelow(2) ? holdMs : 1 + randomBelow(holdMs));
        node.running.push_back({ .use = use->id, .endsMs = endsMs, .worker = use->worker });
        result.excess = std::max(result.excess, ++m_inUse[use->worker] - slotsPerWorker);
        ++result.acquired;
        result.borrowed += use->isBorrowed ? 1 : 0;
    }
    auto loanRequests = node.table->makeLoanRequests(now, m_random());
    CHECK(loanRequests.ok());
    for (const auto& loanRequest : *loanRequests)
        send(node, loanRequest.lender, loanRequest, ms);
    auto returns = node.table->returnIdleLoans(now);
    CHECK(returns.ok());
    for (const auto& loan : *returns)
        send(node, loan.lender, loan, ms);
}

SlotCluster::Result SlotCluster::run(const std::vector<ClusterFault>& faults, int durationMs)
{
    Result result;
    for (int ms = 0; ms < durationMs; ms += stepMs) {
        for (const auto& fault : faults) {
            if (fault.atMs >= ms && fault.atMs < ms + stepMs)
                inject(fault, ms);
        }
        // A request ends at the worker even while its member is paused.
        for (auto& node : m_nodes) {
            for (auto& running : node->running) {
                if (running.isCounted && ms >= running.endsMs) {
                    running.isCounted = false;
                    --m_inUse[running.worker];
                }
            }
        }
        deliver(ms);
        for (size_t n = 0; n < m_nodes.size(); ++n) {
            auto& node = *m_nodes[n];
            if (ms < node.pausedUntilMs)
                continue;
            if ((ms + node.clockOffsetMs) / stepMs % (heartbeatIntervalMs / stepMs) == 0)
                readLogAndSendHeartbeats(node, ms);
            updateAuthority(node, ms);
            serve(node, ms, result);
        }
    }
    return result;
}

}
