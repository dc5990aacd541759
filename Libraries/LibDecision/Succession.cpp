#include <LibCore/Digest.h>
#include <LibDecision/Succession.h>
#include <algorithm>
#include <utility>

namespace Bergamot {

/// Nodes with less than this share of the CPU of the largest candidate delay their claim by `lowCpuClaimDelay`. One
/// leader sends the commands to all workers, so a leader on a small host would limit the whole cluster.
static constexpr double minCpuShare = 0.75;
static constexpr Milliseconds lowCpuClaimDelay { 400 };

/// The others claim this much after the process that has started last, plus a delay that differs by node.
static constexpr Milliseconds earlierStartDelay { 100 };
static constexpr Milliseconds maxMemberDelay { 100 };

/// By how much the claim of a process that drains follows those of all that do not.
static constexpr Milliseconds drainingMargin { 200 };

static_assert(Succession::maxClaimDelay == lowCpuClaimDelay + earlierStartDelay + maxMemberDelay);

Succession::Succession(Options options)
    : m_options(std::move(options))
{
}

void Succession::candidateSeen(const MemberId& member, const Candidate& candidate)
{
    m_maxCpuMillis = std::max(m_maxCpuMillis, candidate.cpuMillis);
    auto& entry = m_entries[member];
    if (entry.formerIncarnation == candidate.incarnation)
        return;
    if (entry.candidate.incarnation != candidate.incarnation) {
        entry = { .candidate = candidate, .startOrder = ++m_starts, .formerIncarnation = entry.candidate.incarnation };
        return removeOldest();
    }
    entry.candidate.drains = entry.candidate.drains || candidate.drains;
    entry.hasMissedElection = false;
}

void Succession::removeOldest()
{
    if (m_entries.size() <= maxCandidates)
        return;
    m_entries.erase(std::ranges::min_element(m_entries, {}, [](const auto& it) { return it.second.startOrder; }));
}

void Succession::candidatesMissedElection()
{
    for (auto& [member, entry] : m_entries)
        entry.hasMissedElection = true;
}

bool Succession::isLasting(const Entry& entry) const { return !entry.candidate.drains && !entry.hasMissedElection; }

bool Succession::hasLastingCandidateBeside(uint64_t incarnation) const
{
    return std::ranges::any_of(m_entries, [&](const auto& it) {
        return it.first != m_options.member && it.second.candidate.incarnation != incarnation && isLasting(it.second);
    });
}

bool Succession::hasSuccessor() const { return hasLastingCandidateBeside(m_options.incarnation); }

bool Succession::hasEnoughCpu(int64_t cpuMillis) const
{
    return static_cast<double>(cpuMillis) >= minCpuShare * static_cast<double>(m_maxCpuMillis);
}

/// Whether this process has started after all candidates that may claim without delay.
bool Succession::hasStartedLast(uint64_t formerLeader) const
{
    auto own = m_entries.find(m_options.member);
    if (own == m_entries.end() || own->second.candidate.incarnation != m_options.incarnation)
        return false;
    return std::ranges::none_of(m_entries, [&](const auto& it) {
        const auto& candidate = it.second.candidate;
        return candidate.incarnation != formerLeader && isLasting(it.second) && hasEnoughCpu(candidate.cpuMillis)
            && it.second.startOrder > own->second.startOrder;
    });
}

Milliseconds Succession::claimDelay(uint64_t formerLeader, bool drains) const
{
    auto memberDelay = Milliseconds { static_cast<int64_t>(
        digestOf(m_options.member) % static_cast<uint64_t>(maxMemberDelay.count())) };
    if (drains)
        return memberDelay
            + (hasLastingCandidateBeside(formerLeader) ? maxClaimDelay + drainingMargin : Milliseconds { 0 });
    auto cpuDelay = hasEnoughCpu(m_options.cpuMillis) ? Milliseconds { 0 } : lowCpuClaimDelay;
    return hasStartedLast(formerLeader) ? cpuDelay : cpuDelay + earlierStartDelay + memberDelay;
}

}
