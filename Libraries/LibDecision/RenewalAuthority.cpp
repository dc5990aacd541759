#include <LibDecision/RenewalAuthority.h>
#include <LibDecision/Timing.h>
#include <algorithm>
#include <functional>
#include <vector>

namespace Bergamot {

static bool isMajority(size_t count, size_t total) { return total > 0 && 2 * count > total; }

void RenewalAuthority::logReadSucceeded(Instant requestSentAt)
{
    m_lastLogRead = std::max(m_lastLogRead, requestSentAt);
}

void RenewalAuthority::peerConfirmed(const MemberId& member, const PeerEvidence& evidence)
{
    auto& stored = m_peers[member];
    if (evidence.incarnation < stored.incarnation)
        return;
    bool hasRestarted = evidence.incarnation > stored.incarnation;
    auto confirmedAt = hasRestarted ? evidence.confirmedAt : std::max(stored.confirmedAt, evidence.confirmedAt);
    stored = evidence;
    stored.confirmedAt = confirmedAt;
}

void RenewalAuthority::forgetPeer(const MemberId& member) { m_peers.erase(member); }

bool RenewalAuthority::hasFreshLog(Instant now) const { return now - m_lastLogRead <= Timing::evidenceMaxAge; }

bool RenewalAuthority::isReachable(const MemberId& member, Instant now) const
{
    if (member == m_self)
        return true;
    auto it = m_peers.find(member);
    return it != m_peers.end() && !it->second.isLeaving && now - it->second.confirmedAt <= Timing::peerTimeout;
}

size_t RenewalAuthority::reachableVoters(Instant now, const std::set<MemberId>& voters) const
{
    return std::ranges::count_if(voters, [&](const auto& member) { return isReachable(member, now); });
}

bool RenewalAuthority::mayRenew(Instant now, const std::set<MemberId>& voters, LogPosition ownPosition) const
{
    if (hasFreshLog(now))
        return true;
    if (now - m_lastLogRead > Timing::outageRenewalLimit)
        return false;
    auto isAhead = [&](const auto& it) {
        return now - it.second.confirmedAt <= Timing::evidenceMaxAge && it.second.position > ownPosition;
    };
    if (std::ranges::any_of(m_peers, isAhead))
        return false;
    return isMajority(reachableVoters(now, voters), voters.size());
}

Instant RenewalAuthority::renewalsAllowedUntil(
    Instant now, const std::set<MemberId>& voters, LogPosition ownPosition) const
{
    auto logEvidenceExpiry = m_lastLogRead + Timing::evidenceMaxAge;
    if (hasFreshLog(now) || !mayRenew(now, voters, ownPosition))
        return logEvidenceExpiry;
    std::vector<Instant> confirmations;
    for (const auto& member : voters) {
        if (isReachable(member, now))
            confirmations.push_back(member == m_self ? now : m_peers.at(member).confirmedAt);
    }
    // The majority lasts until the oldest confirmation that it needs exceeds the maximum age.
    std::ranges::sort(confirmations, std::greater {});
    return std::max(logEvidenceExpiry, confirmations.at(voters.size() / 2) + Timing::evidenceMaxAge);
}

bool RenewalAuthority::majorityHasRead(
    LogPosition position, const std::set<MemberId>& voters, LogPosition ownPosition) const
{
    auto hasRead = [&](const auto& member) {
        if (member == m_self)
            return ownPosition >= position;
        auto it = m_peers.find(member);
        return it != m_peers.end() && it->second.position >= position;
    };
    return isMajority(std::ranges::count_if(voters, hasRead), voters.size());
}

}
