#include <LibDecision/OccurrenceSet.h>
#include <algorithm>
#include <iterator>
#include <limits>

namespace Bergamot {

void OccurrenceSet::add(OccurrenceRange range)
{
    if (range.count == 0)
        return;
    auto first = range.first;
    auto end = first + std::min(range.count, std::numeric_limits<uint32_t>::max() - first);
    auto it = m_ranges.upper_bound(first);
    if (it != m_ranges.begin() && std::prev(it)->second >= first)
        --it;
    // Merges all ranges that overlap this one or adjoin it.
    while (it != m_ranges.end() && it->first <= end) {
        first = std::min(first, it->first);
        end = std::max(end, it->second);
        m_size -= it->second - it->first;
        it = m_ranges.erase(it);
    }
    m_ranges.emplace(first, end);
    m_size += end - first;
}

uint32_t OccurrenceSet::firstMissingFrom(uint32_t number) const
{
    auto it = m_ranges.upper_bound(number);
    if (it == m_ranges.begin())
        return number;
    return std::max(number, std::prev(it)->second);
}

std::vector<OccurrenceRange> OccurrenceSet::ranges() const
{
    std::vector<OccurrenceRange> result;
    for (const auto& [first, end] : m_ranges)
        result.push_back({ first, end - first });
    return result;
}

}
