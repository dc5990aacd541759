#include <LibDecision/LiveOccurrences.h>
#include <algorithm>
#include <utility>

namespace Bergamot {

LiveOccurrences::LiveOccurrences(const JobSpec& spec, std::vector<TrackedStep> initialSteps)
    : m_initialSteps(std::move(initialSteps))
    , m_count(std::max<uint32_t>(1, spec.repeats))
    , m_firstDueMs(spec.firstDueMs)
    , m_intervalMs(spec.intervalMs)
    , m_isRepeating(spec.repeats > 0)
{
}

TrackedOccurrence* LiveOccurrences::find(uint32_t number)
{
    auto it = m_live.find(number);
    return it == m_live.end() ? nullptr : &it->second;
}

const TrackedOccurrence* LiveOccurrences::find(uint32_t number) const
{
    auto it = m_live.find(number);
    return it == m_live.end() ? nullptr : &it->second;
}

TrackedOccurrence* LiveOccurrences::findOrBuild(uint32_t number)
{
    if (auto* occurrence = find(number))
        return occurrence;
    if (number >= m_count || m_ended.contains(number))
        return nullptr;
    TrackedOccurrence occurrence { .steps = m_initialSteps,
        .remainingSteps = static_cast<uint32_t>(m_initialSteps.size()),
        .dueUnixMs = dueUnixMs(number),
        .due = !m_isRepeating };
    return &m_live.emplace(number, std::move(occurrence)).first->second;
}

uint32_t LiveOccurrences::countDue(int64_t unixMs) const
{
    if (m_isRepeating && unixMs < m_firstDueMs)
        return 0;
    auto end = m_count;
    if (m_isRepeating && m_intervalMs > 0)
        end = static_cast<uint32_t>(std::min<int64_t>(m_count, (unixMs - m_firstDueMs) / m_intervalMs + 1));
    auto next = m_ended.firstMissingFrom(m_next);
    return end > next ? end - next : 0;
}

std::optional<uint32_t> LiveOccurrences::takeDue(int64_t unixMs)
{
    auto number = m_ended.firstMissingFrom(m_next);
    if (number >= m_count || (m_isRepeating && dueUnixMs(number) > unixMs))
        return std::nullopt;
    m_next = number + 1;
    return number;
}

void LiveOccurrences::markEnded(OccurrenceRange range)
{
    if (range.first < m_count)
        m_ended.add({ range.first, std::min(range.count, m_count - range.first) });
}

}
