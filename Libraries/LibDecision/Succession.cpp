#include <LibDecision/Succession.h>
#include <algorithm>
#include <utility>

namespace Bergamot {

/// Nodes with less than this share of the CPU of the largest candidate delay their claim by `lowCpuClaimDelay`. One
/// leader sends the commands to all workers, so a leader on a small host would limit the whole cluster.
static constexpr double minCpuShare = 0.75;
static constexpr Milliseconds lowCpuClaimDelay { 400 };

/// By how much the claim of a process that drains follows those of all that do not. Covers the delay by node.
static constexpr Milliseconds drainingMargin { 400 };

static_assert(Succession::maxClaimDelay >= lowCpuClaimDelay);

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

bool Succession::hasLastingCandidateBeside(uint64_t incarnation) const
{
    return std::ranges::any_of(m_entries, [&](const auto& it) {
        const auto& candidate = it.second.candidate;
        return it.first != m_options.member && candidate.incarnation != incarnation && !candidate.drains
            && !it.second.hasMissedElection;
    });
}

bool Succession::hasSuccessor() const { return hasLastingCandidateBeside(m_options.incarnation); }

Milliseconds Succession::claimDelay(uint64_t formerLeader, bool drains) const
{
    if (drains && hasLastingCandidateBeside(formerLeader))
        return maxClaimDelay + drainingMargin;
    auto minCpuMillis = minCpuShare * static_cast<double>(m_maxCpuMillis);
    return static_cast<double>(m_options.cpuMillis) >= minCpuMillis ? Milliseconds { 0 } : lowCpuClaimDelay;
}

}
