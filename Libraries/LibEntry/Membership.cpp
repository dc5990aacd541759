#include <LibCore/Logger.h>
#include <LibDecision/Timing.h>
#include <LibEntry/Membership.h>
#include <LibWire/Codec.h>
#include <algorithm>
#include <tuple>

namespace Bergamot {

static constexpr Milliseconds joinRetryInterval { 2000 };
static constexpr Milliseconds voterChangeInterval { 500 };

Membership::Membership(Options options, LogStream& region)
    : m_options(std::move(options))
    , m_region(region)
    , m_renewalAuthority(m_options.member)
{
}

bool Membership::isMember() const
{
    const auto& members = m_region.state().image().members;
    auto it = members.find(m_options.member);
    return it != members.end() && it->second.spec.incarnation == m_options.incarnation;
}

bool Membership::isLeader() const
{
    const auto& leader = m_region.state().image().leader;
    return leader.member == m_options.member && leader.incarnation == m_options.incarnation;
}

std::set<MemberId> Membership::voters() const
{
    std::set<MemberId> result;
    for (const auto& [id, member] : m_region.state().image().members) {
        if (member.voter)
            result.insert(id);
    }
    return result;
}

bool Membership::mayRenew(Instant now) const
{
    return m_renewalAuthority.mayRenew(now, voters(), m_region.state().position());
}

std::vector<MemberId> Membership::reachableMembers(Instant now) const
{
    std::vector<MemberId> result;
    for (const auto& [id, member] : m_region.state().image().members) {
        if (m_renewalAuthority.isReachable(id, now))
            result.push_back(id);
    }
    return result;
}

std::vector<MemberId> Membership::servingMembers(Instant now) const
{
    auto members = reachableMembers(now);
    if (!m_renewalAuthority.hasFreshLog(now))
        return members;
    std::erase_if(members, [&](const auto& id) {
        auto it = m_heartbeats.find(id);
        return it != m_heartbeats.end() && it->second.logAgeMs > Timing::evidenceMaxAge.count();
    });
    return members;
}

bool Membership::majorityHasRead(LogPosition position) const
{
    const auto& image = m_region.state().image();
    auto resetSettledAtMs
        = image.membershipResetAtMs + (Timing::outageRenewalLimit + Timing::renewedLeaseDuration).count();
    if (image.membershipResetAtMs != 0 && image.logTimeMs < resetSettledAtMs)
        return false;
    return m_renewalAuthority.majorityHasRead(position, voters(), m_region.state().position());
}

std::string Membership::peerAddress(const MemberId& member) const
{
    const auto& members = m_region.state().image().members;
    auto it = members.find(member);
    return it == members.end() ? std::string {} : it->second.spec.peerAddress;
}

void Membership::tick(Instant now)
{
    if (now >= m_nextHeartbeat)
        sendHeartbeats(now);
    if (m_isLeaving)
        return;
    joinIfCaughtUp(now);
    claimLeadershipIfVacant(now);
    if (isLeader())
        performLeaderDuties(now);
}

void Membership::joinIfCaughtUp(Instant now)
{
    if (!m_region.hasCaughtUp() || isMember() || now < m_nextJoin)
        return;
    m_nextJoin = now + joinRetryInterval;
    m_region.appends().submit(MemberJoined {
        .member = m_options.member,
        .incarnation = m_options.incarnation,
        .zone = m_options.zone,
        .peerAddress = m_options.peerAddress,
        .callerAddress = m_options.callerAddress,
    });
}

void Membership::sendHeartbeats(Instant now)
{
    m_nextHeartbeat = now + Timing::heartbeatInterval;
    std::map<std::string, MemberId> targets;
    for (const auto& address : m_options.seedPeers)
        targets.emplace(address, MemberId {});
    for (const auto& [id, member] : m_region.state().image().members)
        targets[member.spec.peerAddress] = id;
    targets.erase(m_options.peerAddress);
    for (const auto& [address, id] : targets) {
        auto lastHeartbeat = m_heartbeats.find(id);
        Heartbeat heartbeat {
            .member = m_options.member,
            .incarnation = m_options.incarnation,
            .position = m_region.state().position(),
            .logAgeMs = (now - m_renewalAuthority.lastLogRead()).count(),
            .freeSlots = m_freeSlots,
            .unreachableWorkers = m_unreachableWorkers,
            .configVersion = m_configVersion,
            .sentAtMs = now.time_since_epoch().count(),
            .echoMs = lastHeartbeat == m_heartbeats.end() ? 0 : lastHeartbeat->second.sentAtMs,
            .leaving = m_isLeaving,
        };
        m_options.transport->send(address, encodePeerMessage(heartbeat));
    }
}

void Membership::heartbeatReceived(const Heartbeat& heartbeat, Instant now)
{
    if (heartbeat.member.empty() || heartbeat.member == m_options.member)
        return;
    auto& newest = m_heartbeats[heartbeat.member];
    if (std::tie(heartbeat.incarnation, heartbeat.sentAtMs) < std::tie(newest.incarnation, newest.sentAtMs))
        return;
    newest = heartbeat;
    m_lastHeartbeatAt[heartbeat.member] = now;
    m_renewalAuthority.peerConfirmed(heartbeat.member,
        {
            .incarnation = heartbeat.incarnation,
            .confirmedAt = heartbeat.echoMs == 0 ? neverInstant : Instant { Milliseconds { heartbeat.echoMs } },
            .position = heartbeat.position,
            .isLeaving = heartbeat.leaving,
        });
}

void Membership::batchApplied(const RecordBatch& batch, const ApplyResult& result, Instant now)
{
    const auto& leader = m_region.state().image().leader;
    bool accepted = std::ranges::any_of(result.statuses, [](const auto& status) { return status.ok(); });
    if (accepted && batch.member == leader.member && batch.incarnation == leader.incarnation)
        m_leadership.leaderRecordApplied(now);
    for (size_t i = 0; i < batch.records.size(); ++i) {
        if (!result.statuses[i].ok())
            continue;
        if (const auto* claim = std::get_if<LeaderClaimed>(&batch.records[i]))
            logInfo("leader_changed", { { "leader", batch.member }, { "epoch", claim->epoch } });
        if (const auto* removed = std::get_if<MemberRemoved>(&batch.records[i])) {
            m_renewalAuthority.forgetPeer(removed->member);
            m_heartbeats.erase(removed->member);
            logInfo("member_removed", { { "member", removed->member } });
        }
    }
}

size_t Membership::rankAmongReachable(Instant now) const
{
    auto members = reachableMembers(now);
    return static_cast<size_t>(std::ranges::find(members, m_options.member) - members.begin());
}

void Membership::claimLeadershipIfVacant(Instant now)
{
    if (!isMember() || isLeader()
        || !m_leadership.shouldClaim(now, m_renewalAuthority.hasFreshLog(now), rankAmongReachable(now)))
        return;
    m_leadership.claimSent(now);
    m_region.appends().submit(LeaderClaimed { .epoch = epoch() + 1 });
}

void Membership::performLeaderDuties(Instant now)
{
    if (now >= m_nextKeepalive) {
        m_nextKeepalive = now + Timing::keepaliveInterval;
        m_region.appends().submit(LeaderKeepalive { .epoch = epoch() });
    }
    resetIfMajorityUnreachable(now);
    if (now < m_nextVoterChange || !mayChangeVoters(now))
        return;
    admitOneVoter(now);
    removeOneMember(now);
}

// Voters change one at a time, and only after a majority has read the previous change, so that any two majorities in
// use at the same time overlap.
bool Membership::mayChangeVoters(Instant now) const
{
    auto allVoters = voters();
    if (2 * m_renewalAuthority.reachableVoters(now, allVoters) <= allVoters.size())
        return false;
    return m_renewalAuthority.majorityHasRead(
        m_region.state().image().votersChangedAt + 1, allVoters, m_region.state().position());
}

void Membership::admitOneVoter(Instant now)
{
    for (const auto& [id, member] : m_region.state().image().members) {
        if (member.voter || !m_renewalAuthority.isReachable(id, now))
            continue;
        m_nextVoterChange = now + voterChangeInterval;
        m_region.appends().submit(
            MemberAdmitted { .epoch = epoch(), .member = id, .incarnation = member.spec.incarnation });
        return;
    }
}

void Membership::removeOneMember(Instant now)
{
    if (now < m_nextVoterChange)
        return;
    for (const auto& [id, member] : m_region.state().image().members) {
        auto& lastHeartbeatAt = m_lastHeartbeatAt.try_emplace(id, now).first->second;
        if (id == m_options.member || m_renewalAuthority.isReachable(id, now)
            || now - lastHeartbeatAt <= Timing::peerTimeout)
            continue;
        m_nextVoterChange = now + voterChangeInterval;
        m_region.appends().submit(
            MemberRemoved { .epoch = epoch(), .member = id, .incarnation = member.spec.incarnation });
        return;
    }
}

void Membership::resetIfMajorityUnreachable(Instant now)
{
    auto allVoters = voters();
    bool isMajorityReachable = 2 * m_renewalAuthority.reachableVoters(now, allVoters) > allVoters.size();
    if (isMajorityReachable || m_majorityUnreachableSince == neverInstant) {
        m_majorityUnreachableSince = now;
        return;
    }
    if (now - m_majorityUnreachableSince < Timing::membershipResetDelay)
        return;
    m_majorityUnreachableSince = now;
    logWarning("membership_reset", { { "voters", allVoters.size() } });
    m_region.appends().submit(MembershipReset { .epoch = epoch() });
}

}
