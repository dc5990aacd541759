#include <LibDecision/RunSpeed.h>
#include <algorithm>

namespace Bergamot {

/// Estimates are off by up to nine tenths.
static constexpr double estimateMargin = 2;

/// Workers report twice a second, so a younger run may not have been reported at all.
static constexpr Milliseconds leastElapsed { 700 };

/// Stands for a run that has made no progress.
static constexpr Milliseconds standingStill { 60000 };

void RunSpeed::record(Milliseconds runTime)
{
    m_total += runTime;
    ++m_runs;
}

Milliseconds RunSpeed::expected(Milliseconds estimate) const
{
    if (m_runs > 0)
        return m_total / m_runs;
    return Milliseconds { static_cast<int64_t>(estimateMargin * static_cast<double>(estimate.count())) };
}

std::optional<Milliseconds> RunSpeed::remaining(Milliseconds elapsed, uint32_t progressPercent)
{
    if (elapsed < leastElapsed)
        return std::nullopt;
    if (progressPercent == 0)
        return standingStill;
    auto total = elapsed * 100 / std::min(progressPercent, 100U);
    return std::min(total - elapsed, standingStill);
}

}
