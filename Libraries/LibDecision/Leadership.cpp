#include <LibDecision/Leadership.h>
#include <LibDecision/Timing.h>

namespace Bergamot {

bool Leadership::shouldClaim(Instant now, bool isLogFresh, size_t rank) const
{
    if (!isLogFresh || now - m_lastClaim < Timing::keepaliveInterval)
        return false;
    return now - m_lastLeaderRecord > Timing::leaderTimeout + Timing::claimDelayPerRank * static_cast<int64_t>(rank);
}

}
