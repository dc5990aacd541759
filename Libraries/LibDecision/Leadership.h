#pragma once

#include <LibCore/Time.h>
#include <cstddef>

namespace Bergamot {

/// Decides when a member claims the leader epoch. Claims are staggered by rank, so that a lost leader is followed
/// by one claim and not by one from every member; the log decides in any case.
class Leadership {
public:
    /// A record of the leader, or a new claim, was applied at local time `now`.
    void leaderRecordApplied(Instant now) { m_lastLeaderRecord = now; }
    void claimSent(Instant now) { m_lastClaim = now; }

    /// `rank` is the position of this member among the reachable members, in id order.
    bool shouldClaim(Instant now, bool logIsFresh, size_t rank) const;

private:
    Instant m_lastLeaderRecord { neverInstant };
    Instant m_lastClaim { neverInstant };
};

}
