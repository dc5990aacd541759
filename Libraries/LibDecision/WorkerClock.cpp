#include <LibDecision/WorkerClock.h>
#include <algorithm>

namespace Bergamot {

Milliseconds WorkerClock::maxLocalTime(int64_t ms)
{
    return Milliseconds { static_cast<int64_t>(static_cast<double>(ms) / minRate) } + margin;
}

void WorkerClock::read(int64_t clockMs, Instant requestSentAt, Instant now)
{
    m_clockMs = clockMs;
    m_requestSentAt = requestSentAt;
    m_readAt = now;
}

/// The last reading was taken between its request and its reply, and so is this one; replies may overtake each other.
bool WorkerClock::canShow(int64_t clockMs, Instant requestSentAt, Instant now) const
{
    if (!isKnown())
        return true;
    auto advance
        = [](Milliseconds time, double rate) { return static_cast<int64_t>(static_cast<double>(time.count()) * rate); };
    auto shortest = requestSentAt - m_readAt;
    auto min = m_clockMs + advance(shortest, shortest.count() < 0 ? maxRate : minRate) - margin.count();
    auto max = m_clockMs + advance(now - m_requestSentAt, maxRate) + margin.count();
    return clockMs >= min && clockMs <= max;
}

}
