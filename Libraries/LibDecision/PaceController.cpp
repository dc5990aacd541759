#include <LibDecision/PaceController.h>
#include <algorithm>

namespace Bergamot {

/// The reported tail covers the last half second, so an order shows only after that time.
static constexpr Milliseconds reportLag { 600 };
static constexpr double reduceAbove = 0.8;
static constexpr double recoverBelow = 0.6;
static constexpr uint32_t lowestPercent = 10;
static constexpr uint32_t recoveryStepPercent = 20;

void PaceController::update(double worstRatio, Instant now)
{
    bool overTarget = worstRatio >= 1;
    if (now - m_changedAt < reportLag)
        return;
    auto previous = m_percent;
    if (overTarget)
        m_percent = m_percent / 4 < lowestPercent ? 0 : m_percent / 4;
    else if (worstRatio > reduceAbove)
        m_percent = std::max(m_percent / 2, std::min(m_percent, lowestPercent));
    else if (worstRatio < recoverBelow)
        m_percent = std::min<uint32_t>(100, m_percent + recoveryStepPercent);
    if (m_percent != previous)
        m_changedAt = now;
}

}
