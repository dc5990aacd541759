#pragma once

#include <LibCore/Time.h>
#include <cstddef>

namespace Bergamot {

/// Decides when a member claims the leader epoch. Claims are delayed by rank, so that usually only one member claims
/// after the loss of a leader. Simultaneous claims are safe, because the log order decides between them.
class Leadership {
public:
    /// Called when a record of the leader, or a new claim, is applied at local time `now`.
    void leaderRecordApplied(Instant now) { m_lastLeaderRecord = now; }
    void claimSent(Instant now) { m_lastClaim = now; }

    /// `rank` is the index of this member among the reachable members, sorted by id.
    bool shouldClaim(Instant now, bool isLogFresh, size_t rank) const;

private:
    Instant m_lastLeaderRecord { neverInstant };
    Instant m_lastClaim { neverInstant };
};

}
