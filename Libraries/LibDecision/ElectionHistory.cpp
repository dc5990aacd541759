#include <LibDecision/ElectionHistory.h>
#include <iterator>

namespace Bergamot {

void ElectionHistory::add(uint64_t epoch, Instant learnedAt)
{
    m_learnedAt.try_emplace(epoch, learnedAt);
    if (m_learnedAt.size() > maxElections)
        m_learnedAt.erase(m_learnedAt.begin());
}

std::optional<uint64_t> ElectionHistory::predecessorOf(uint64_t epoch) const
{
    auto it = m_learnedAt.find(epoch);
    if (it == m_learnedAt.end() || it == m_learnedAt.begin())
        return std::nullopt;
    return std::prev(it)->first;
}

std::optional<Instant> ElectionHistory::learnedAt(uint64_t epoch) const
{
    auto it = m_learnedAt.lower_bound(epoch);
    if (it == m_learnedAt.end())
        return std::nullopt;
    return it->second;
}

}
