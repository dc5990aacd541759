#include <LibDecision/BatchQueue.h>
#include <algorithm>

namespace Bergamot {

// Priorities are clamped to this magnitude, so that ageing overcomes the largest difference within two hours.
static constexpr int32_t maxPriority = 60;
// A job near its latest start sorts before jobs of the default priority that have waited less than this.
static constexpr Milliseconds deadlinePromotion { 1'800'000 };

int64_t BatchQueue::keyOf(Instant submittedAt, int32_t priority)
{
    auto level = std::clamp(priority, -maxPriority, maxPriority);
    return (submittedAt.time_since_epoch() - level * ageingStep).count();
}

int64_t BatchQueue::promotedKey(Instant latestStart)
{
    return (latestStart.time_since_epoch() - deadlinePromotion).count();
}

void BatchQueue::insert(size_t lane, Entry entry)
{
    if (m_lanes.size() <= lane)
        m_lanes.resize(lane + 1);
    m_size += m_lanes[lane].insert(entry).second ? 1 : 0;
}

void BatchQueue::erase(size_t lane, Entry entry)
{
    if (lane < m_lanes.size())
        m_size -= m_lanes[lane].erase(entry);
}

const BatchQueue::Lane& BatchQueue::lane(size_t index) const
{
    static const Lane empty;
    return index < m_lanes.size() ? m_lanes[index] : empty;
}

void BatchQueue::addTimer(Instant at, JobIndex job) { m_timers.insert({ at, job }); }

std::optional<JobIndex> BatchQueue::takeDueTimer(Instant now)
{
    if (m_timers.empty() || m_timers.begin()->at > now)
        return {};
    auto job = m_timers.begin()->job;
    m_timers.erase(m_timers.begin());
    return job;
}

size_t BatchQueue::stateBytes() const
{
    // A std::set node holds three pointers and a colour besides its value.
    constexpr size_t nodeBytes = sizeof(Entry) + 32;
    return (m_size + m_timers.size()) * nodeBytes + m_lanes.capacity() * sizeof(Lane);
}

}
