#pragma once

#include <LibDecision/PeerEvidence.h>
#include <map>
#include <set>
#include <utility>

namespace Bergamot {

/// Decides whether this process may renew leases and use slots (section D7 of the design page).
/// Evidence is a recent log read, or recent contact with a majority of the voters none of which knows more.
class RenewalAuthority {
public:
    explicit RenewalAuthority(MemberId self)
        : m_self(std::move(self))
    {
    }

    /// `began` is the local time at which the read request was sent.
    void logReadSucceeded(Instant began);
    void peerConfirmed(const MemberId&, const PeerEvidence&);
    void forgetPeer(const MemberId&);

    bool hasFreshLog(Instant now) const;
    bool mayRenew(Instant now, const std::set<MemberId>& voters, LogPosition ownPosition) const;

    /// Until when mayRenew() holds on the evidence so far; a time in the past when it does not hold now.
    Instant renewalsAllowedUntil(Instant now, const std::set<MemberId>& voters, LogPosition ownPosition) const;

    /// True when a majority of the voters is known to have read past `position`.
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
