#include <LibDecision/SiblingRunTimes.h>
#include <algorithm>

namespace Bergamot {

/// Estimates are wrong by up to 90 %.
static constexpr double estimateMargin = 2;

/// Workers report twice a second, so a younger run may not have been reported yet.
static constexpr Milliseconds minElapsed { 700 };

/// Upper bound, also used for a run that has made no progress.
static constexpr Milliseconds maxRemaining { 60000 };

void SiblingRunTimes::record(Milliseconds runTime)
{
    m_total += runTime;
    ++m_runs;
}

Milliseconds SiblingRunTimes::expected(Milliseconds estimate) const
{
    if (m_runs > 0)
        return m_total / m_runs;
    return Milliseconds { static_cast<int64_t>(estimateMargin * static_cast<double>(estimate.count())) };
}

std::optional<Milliseconds> SiblingRunTimes::remaining(Milliseconds elapsed, uint32_t progressPercent)
{
    if (elapsed < minElapsed)
        return std::nullopt;
    if (progressPercent == 0)
        return maxRemaining;
    auto total = elapsed * 100 / std::min(progressPercent, 100U);
    return std::min(total - elapsed, maxRemaining);
}

}
