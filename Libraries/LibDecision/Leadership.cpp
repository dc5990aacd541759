#include <LibDecision/Leadership.h>
#include <LibDecision/Timing.h>

namespace Bergamot {

bool Leadership::shouldClaim(Instant now, bool logIsFresh, size_t rank) const
{
    if (!logIsFresh || now - m_lastClaim < Timing::keepaliveInterval)
        return false;
    return now - m_lastLeaderRecord > Timing::leaderTimeout + Timing::rankDelay * static_cast<int64_t>(rank);
}

}
