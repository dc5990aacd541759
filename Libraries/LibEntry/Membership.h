#pragma once

#include <LibDecision/Leadership.h>
#include <LibDecision/RenewalAuthority.h>
#include <LibEntry/LogStream.h>
#include <LibPlatform/PeerTransport.h>
#include <LibWire/Heartbeat.h>
#include <map>
#include <set>
#include <string>
#include <utility>
#include <vector>

namespace Bergamot {

/// Membership of one entry host in its region: joins through the log, exchanges heartbeats, claims the leader epoch,
/// and as leader admits, removes and resets voters (sections D1 and D7 of the design page).
class Membership {
public:
    struct Options {
        MemberId member {};
        uint64_t incarnation { 0 };
        ZoneId zone {};
        std::string peerAddress {};
        std::string callerAddress {};
        std::vector<std::string> seedPeers {};
        PeerTransport* transport { nullptr };
    };

    Membership(Options, LogStream& region);

    void tick(Instant now);
    void heartbeatReceived(const Heartbeat&, Instant now);
    void batchApplied(const RecordBatch&, const ApplyResult&, Instant now);
    void logReadSucceeded(Instant began) { m_renewalAuthority.logReadSucceeded(began); }

    /// From here on peers treat this member as gone; used during a planned stop.
    void announceLeaving() { m_leaving = true; }

    void setConfigVersion(uint64_t version) { m_configVersion = version; }
    void setFreeSlots(uint32_t slots) { m_freeSlots = slots; }

    /// Told to peers in each heartbeat, because the leader itself polls only a part of the workers.
    void setUnreachableWorkers(std::vector<WorkerId> workers) { m_unreachableWorkers = std::move(workers); }

    bool isMember() const;
    bool isLeader() const;
    uint64_t epoch() const { return m_region.state().image().leader.epoch; }
    bool mayRenew(Instant now) const;
    const RenewalAuthority& renewalAuthority() const { return m_renewalAuthority; }
    std::set<MemberId> voters() const;

    /// Members that answer heartbeats, this one included, in id order.
    std::vector<MemberId> reachableMembers(Instant now) const;

    /// Reachable members that can carry out decisions: while this process reads the log, a member that does not is
    /// left out, because it could not start anything.
    std::vector<MemberId> servingMembers(Instant now) const;

    /// True when a majority of the voters has read past `position`, and no membership reset is recent.
    bool majorityHasRead(LogPosition position) const;

    /// The newest heartbeat of each peer.
    const std::map<MemberId, Heartbeat>& heartbeats() const { return m_heartbeats; }
    std::string peerAddress(const MemberId&) const;

private:
    void joinWhenCaughtUp(Instant now);
    void sendHeartbeats(Instant now);
    void claimWhenLeaderIsGone(Instant now);
    void lead(Instant now);
    void admitOne(Instant now);
    void removeOne(Instant now);
    void resetWhenVotersAreGone(Instant now);
    bool mayChangeVoters(Instant now) const;
    size_t rankAmongReachable(Instant now) const;

    Options m_options;
    LogStream& m_region;
    RenewalAuthority m_renewalAuthority;
    Leadership m_leadership;
    std::map<MemberId, Heartbeat> m_heartbeats;
    std::map<MemberId, Instant> m_lastHeard;
    Instant m_nextHeartbeat { neverInstant };
    Instant m_nextJoin { neverInstant };
    Instant m_nextKeepalive { neverInstant };
    Instant m_nextChange { neverInstant };
    Instant m_votersGoneSince { neverInstant };
    uint64_t m_configVersion { 0 };
    uint32_t m_freeSlots { 0 };
    std::vector<WorkerId> m_unreachableWorkers;
    bool m_leaving { false };
};

}
