#include <LibDecision/IsolationLimit.h>
#include <algorithm>
#include <cmath>

namespace Bergamot {

static constexpr uint32_t minIsolatedRuns = 3;
static constexpr uint32_t workersPerIsolatedRun = 12;

/// Workers with an isolated run take no other starts, so most of them stay free of isolated runs.
static constexpr uint32_t minWorkersPerIsolatedRun = 4;

/// Weight of the latest outcome in the share of runs that crash.
static constexpr double outcomeWeight = 0.125;

/// What earlier outcomes say about the next runs halves in this time.
static constexpr double outcomeHalfLifeMs = 30000;

/// Keeps the limit finite while no isolated run crashes.
static constexpr double minCrashShare = 0.05;

double IsolationLimit::crashShareAt(Instant now) const
{
    if (m_updatedAt == neverInstant)
        return 1;
    auto ageMs = static_cast<double>(std::max<int64_t>(0, (now - m_updatedAt).count()));
    return 1 - (1 - m_crashShare) * std::exp2(-ageMs / outcomeHalfLifeMs);
}

void IsolationLimit::recordOutcome(double crashed, Instant now)
{
    auto share = crashShareAt(now);
    m_crashShare = share + outcomeWeight * (crashed - share);
    m_updatedAt = now;
}

uint32_t IsolationLimit::initialLimitFor(uint32_t workers)
{
    return std::max(minIsolatedRuns, workers / workersPerIsolatedRun);
}

uint32_t IsolationLimit::limitFor(uint32_t workers, Instant now) const
{
    auto initial = initialLimitFor(workers);
    auto limit = static_cast<uint32_t>(static_cast<double>(initial) / std::max(minCrashShare, crashShareAt(now)));
    return std::min(limit, std::max(initial, workers / minWorkersPerIsolatedRun));
}

}
