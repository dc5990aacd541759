#include <LibDecision/Timing.h>
#include <LibEntry/PauseGuard.h>
#include <algorithm>

namespace Bergamot {

/// A gap between two ticks from this length on counts as a pause. Together with the usual delay of a new version it
/// stays well below the 5 s that P10 allows.
static constexpr Milliseconds minPause { 1000 };

void PauseGuard::ticked(Instant now, bool hasAuthority)
{
    bool wasPaused = m_lastTick != neverInstant && now - m_lastTick >= minPause;
    m_lastTick = now;
    if (wasPaused)
        m_resumedAt = now;
    // While the log is away, authority by a majority of peers has to do. After evidenceMaxAge none of its evidence is
    // older than the pause, and peers that read the log have offered a newer version.
    bool hasNewAuthority = hasAuthority && now - m_resumedAt > Timing::evidenceMaxAge;
    if (m_lastConfigRead >= m_resumedAt || hasNewAuthority)
        m_resumedAt = neverInstant;
}

void PauseGuard::configReadSucceeded(Instant requestSentAt)
{
    m_lastConfigRead = std::max(m_lastConfigRead, requestSentAt);
}

bool PauseGuard::isConfigConfirmed(Instant now) const
{
    return now - m_lastTick < minPause && (m_resumedAt == neverInstant || m_lastConfigRead >= m_resumedAt);
}

}
