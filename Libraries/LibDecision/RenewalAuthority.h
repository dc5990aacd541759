#pragma once

#include <LibDecision/PeerEvidence.h>
#include <map>
#include <set>
#include <utility>

namespace Bergamot {

/// Decides whether this process has the authority to renew leases and use slots (section D7 of the design page).
/// The evidence for it is a recent log read, or recent contact with a majority of the voters while no peer reports a
/// later log position.
class RenewalAuthority {
public:
    explicit RenewalAuthority(MemberId self)
        : m_self(std::move(self))
    {
    }

    /// `requestSentAt` is the local time at which the read request was sent.
    void logReadSucceeded(Instant requestSentAt);
    void peerConfirmed(const MemberId&, const PeerEvidence&);
    void forgetPeer(const MemberId&);

    bool hasFreshLog(Instant now) const;
    bool mayRenew(Instant now, const std::set<MemberId>& voters, LogPosition ownPosition) const;

    /// Time until which mayRenew() is true on the present evidence; in the past when it is false now.
    Instant renewalsAllowedUntil(Instant now, const std::set<MemberId>& voters, LogPosition ownPosition) const;

    /// True when a majority of the voters is known to have read the log up to `position` or further.
    bool majorityHasRead(LogPosition position, const std::set<MemberId>& voters, LogPosition ownPosition) const;

    bool isReachable(const MemberId&, Instant now) const;
    size_t reachableVoters(Instant now, const std::set<MemberId>& voters) const;

    Instant lastLogRead() const { return m_lastLogRead; }
    const std::map<MemberId, PeerEvidence>& peers() const { return m_peers; }

private:
    MemberId m_self;
    Instant m_lastLogRead { neverInstant };
    std::map<MemberId, PeerEvidence> m_peers;
};

}
