#include <LibDecision/ElectionHistory.h>
#include <algorithm>
#include <chrono>
#include <iterator>
#include <utility>

namespace Bergamot {

/// The least time that passes here while the clock of another host counts `age`.
static Milliseconds leastTimeOf(Milliseconds age)
{
    constexpr double fastestClockRate = 1.03;
    return std::chrono::duration_cast<Milliseconds>(age / fastestClockRate);
}

void ElectionHistory::add(uint64_t epoch, Instant learnedAt, LeaderProcess leader, ElectionClaim claim)
{
    bool isLatest = m_elections.empty() || m_elections.rbegin()->first < epoch;
    m_elections.try_emplace(epoch, Election { .knownBy = learnedAt, .leader = std::move(leader), .claim = claim });
    if (isLatest)
        m_placementsRecordedSince = claim.placementsRecordedSince;
    if (m_elections.size() <= maxElections)
        return;
    m_elections.erase(m_elections.begin());
    m_isComplete = false;
}

void ElectionHistory::clear()
{
    m_elections.clear();
    m_placementsRecordedSince = 0;
    m_isComplete = false;
}

std::optional<uint64_t> ElectionHistory::predecessorOf(uint64_t epoch) const
{
    auto it = m_elections.find(epoch);
    if (it == m_elections.end() || it == m_elections.begin())
        return std::nullopt;
    return std::prev(it)->first;
}

void ElectionHistory::electedBefore(uint64_t epoch, Instant readAt, Milliseconds age)
{
    if (auto it = m_elections.find(epoch); it != m_elections.end())
        it->second.knownBy = std::min(it->second.knownBy, readAt - leastTimeOf(age));
}

/// Whether the claims of all leaders elected after `author` and before `epoch`, which must be known, state this.
bool ElectionHistory::doLeadersBetween(uint64_t author, uint64_t epoch, bool ElectionClaim::*claim) const
{
    auto first = m_elections.find(author);
    return author < epoch && first != m_elections.end() && m_elections.contains(epoch)
        && std::all_of(std::next(first), m_elections.lower_bound(epoch),
            [claim](const auto& it) { return it.second.claim.*claim; });
}

bool ElectionHistory::doLeadersStoreReachedWorkers(uint64_t author, uint64_t epoch) const
{
    return doLeadersBetween(author, epoch, &ElectionClaim::storesReachedWorkers);
}

bool ElectionHistory::doLeadersRecordStartsOfIdleTasks(uint64_t author, uint64_t epoch) const
{
    return doLeadersBetween(author, epoch, &ElectionClaim::recordsStartsOfIdleTasks);
}

std::optional<uint64_t> ElectionHistory::placementsRecordedSince() const
{
    if (m_elections.empty() && m_isComplete)
        return 1;
    if (m_placementsRecordedSince == 0)
        return std::nullopt;
    return m_placementsRecordedSince;
}

bool ElectionHistory::arePlacementsRecordedSince(uint64_t author) const
{
    return m_placementsRecordedSince > 0 && m_placementsRecordedSince <= std::max<uint64_t>(author, 1);
}

std::optional<Instant> ElectionHistory::electedBy(uint64_t epoch) const
{
    auto first = m_elections.lower_bound(epoch);
    if (first == m_elections.end())
        return std::nullopt;
    auto electedBy = m_elections.rbegin()->second.knownBy;
    for (auto it = std::prev(m_elections.end()); it != first;) {
        auto sincePredecessor = leastTimeOf(it->second.claim.sincePredecessor);
        --it;
        electedBy = std::min(it->second.knownBy, electedBy - sincePredecessor);
    }
    return electedBy;
}

void ElectionHistory::processSeenAfter(uint64_t epoch, const LeaderProcess& process)
{
    auto end = m_elections.upper_bound(epoch);
    for (auto it = m_elections.begin(); it != end; ++it)
        it->second.hasStopped = it->second.hasStopped || process.isOtherProcessOfHostOf(it->second.leader);
}

void ElectionHistory::leaderStopped(uint64_t epoch, const MemberId& member, uint64_t incarnation)
{
    auto it = m_elections.find(epoch);
    if (it == m_elections.end())
        return;
    const auto& leader = it->second.leader;
    it->second.hasStopped = it->second.hasStopped || (leader.member == member && leader.incarnation == incarnation);
}

bool ElectionHistory::mayLeadEarlierProcessOf(const LeaderProcess& process) const
{
    return std::ranges::any_of(m_elections,
        [&](const auto& it) { return !it.second.hasStopped && process.isOtherProcessOfHostOf(it.second.leader); });
}

bool ElectionHistory::haveLeadersStopped(uint64_t first, uint64_t end) const
{
    bool isKnown = first == 0 ? m_isComplete : m_elections.contains(first);
    return isKnown && std::all_of(m_elections.lower_bound(first), m_elections.lower_bound(end), [](const auto& it) {
        return it.second.hasStopped;
    });
}

}
