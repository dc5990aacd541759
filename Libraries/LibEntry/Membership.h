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

/// Manages the membership of one entry host in its region: joins through the log, exchanges heartbeats, claims
/// leadership, and as leader admits, removes and resets voters (sections D1 and D7 of the design page).
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
    void logReadSucceeded(Instant requestSentAt) { m_renewalAuthority.logReadSucceeded(requestSentAt); }

    /// Marks this member as leaving in its heartbeats, so that peers treat it as unreachable. Used during
    /// a planned shutdown.
    void announceLeaving() { m_isLeaving = true; }

    void setConfigVersion(uint64_t version) { m_configVersion = version; }
    void setFreeSlots(uint32_t slots) { m_freeSlots = slots; }

    /// Sets the unreachable workers that heartbeats report. The leader needs the reports of all members, because it
    /// polls only some of the workers itself.
    void setUnreachableWorkers(std::vector<WorkerId> workers) { m_unreachableWorkers = std::move(workers); }

    bool isMember() const;
    bool isLeader() const;
    uint64_t epoch() const { return m_region.state().image().leader.epoch; }
    bool mayRenew(Instant now) const;
    const RenewalAuthority& renewalAuthority() const { return m_renewalAuthority; }
    std::set<MemberId> voters() const;

    /// Members that reply to heartbeats, including this one, ordered by id.
    std::vector<MemberId> reachableMembers(Instant now) const;

    /// Reachable members that can carry out decisions. While this process can read the log, members that cannot are
    /// excluded, because they cannot start tasks.
    std::vector<MemberId> servingMembers(Instant now) const;

    /// True when a majority of the voters has read the log up to `position`. False after a membership reset until
    /// leases that former voters may have renewed have expired.
    bool majorityHasRead(LogPosition position) const;

    /// The newest heartbeat of each peer.
    const std::map<MemberId, Heartbeat>& heartbeats() const { return m_heartbeats; }
    std::string peerAddress(const MemberId&) const;

private:
    void joinIfCaughtUp(Instant now);
    void sendHeartbeats(Instant now);
    void claimLeadershipIfVacant(Instant now);
    void performLeaderDuties(Instant now);
    void admitOneVoter(Instant now);
    void removeOneMember(Instant now);
    void resetIfMajorityUnreachable(Instant now);
    bool mayChangeVoters(Instant now) const;
    size_t rankAmongReachable(Instant now) const;

    Options m_options;
    LogStream& m_region;
    RenewalAuthority m_renewalAuthority;
    Leadership m_leadership;
    std::map<MemberId, Heartbeat> m_heartbeats;
    std::map<MemberId, Instant> m_lastHeartbeatAt;
    Instant m_nextHeartbeat { neverInstant };
    Instant m_nextJoin { neverInstant };
    Instant m_nextKeepalive { neverInstant };
    Instant m_nextVoterChange { neverInstant };
    Instant m_majorityUnreachableSince { neverInstant };
    uint64_t m_configVersion { 0 };
    uint32_t m_freeSlots { 0 };
    std::vector<WorkerId> m_unreachableWorkers;
    bool m_isLeaving { false };
};

}
