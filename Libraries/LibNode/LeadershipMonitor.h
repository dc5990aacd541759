#pragma once

#include <LibDecision/ElectionHistory.h>
#include <LibDecision/Succession.h>
#include <LibNode/NodeOptions.h>
#include <LibPlatform/RecordStore.h>
#include <LibWire/LeadershipRecord.h>
#include <cstddef>
#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <vector>

namespace Bergamot {

class EventLoop;

/// Leader election over the leadership stream: follows the stream, claims leadership when the leader's keepalives stop,
/// and sends keepalives while this node leads. The last claim in the stream names the leader. A claim is appended only
/// if the stream still ends where the claiming node has read to.
class LeadershipMonitor {
public:
    struct Leader {
        uint64_t epoch { 0 };
        MemberId member {};
        uint64_t incarnation { 0 };
        std::string peerAddress {};

        bool operator==(const Leader&) const = default;
    };

    struct Options {
        NodeOptions node {};

        /// Whether this node has loaded the data that a leader needs. An empty function means always true.
        std::function<bool()> canClaim {};

        /// `hasPredecessor` is false only if no earlier leader can exist.
        std::function<void(uint64_t epoch, bool hasPredecessor)> onElected {};
        std::function<void()> onDeposed {};

        /// Returns what the keepalives of this leader say; an empty function means nothing.
        std::function<std::vector<ExpectedWait>()> expectedWaits {};
    };

    /// `loop` and `store` must outlive the monitor.
    LeadershipMonitor(EventLoop&, RecordStore&, Options);
    ~LeadershipMonitor();

    void start();

    /// Claims leadership if a claim is due. Must be called when the result of `canClaim` becomes true.
    void claimIfDue();
    const std::optional<Leader>& leader() const { return m_leader; }
    bool isLeader() const { return m_isLeader; }

    /// The expected waits in the latest keepalive of the current leader; empty if it was read too long ago.
    std::vector<ExpectedWait> expectedWaits() const;
    const ElectionHistory& elections() const { return m_elections; }

    /// True while this node leads and its leadership lease guarantees that no other node has been elected.
    bool holdsLease(Instant now) const { return m_isLeader && now < m_leaseExpiresAt; }

    /// Time up to which no other node has been elected for certain. While the leadership lease holds, this is `now`;
    /// afterwards, the time at which the last keepalive was sent that this node has read back.
    Instant soleLeaderUntil(Instant now) const { return holdsLease(now) ? now : m_confirmedAt; }

    /// Time of the last successful reply to a read of the leadership stream.
    Instant lastStoreReplyAt() const { return m_lastStoreReplyAt; }

    /// When this node sent its last claim. Other nodes may have known of its election from then on.
    Instant claimedAt() const { return m_claimedAt; }

    /// The newest fencing token of this leader: its epoch, and from the first confirmed keepalive on the offset behind
    /// the last one. So it is above those of all earlier leaders, and below the epoch of each later one, whose claim
    /// follows the keepalive in the stream.
    uint64_t fenceToken() const { return m_fenceToken; }

    /// Resigns if this node is the leader. The node makes no further claims.
    void resign();

    /// Must be called when the process has been asked to end and will end at `endsBy` at the latest. The node hands its
    /// leadership over as soon as a process is known that goes on. It claims only after all that go on.
    void drain(Instant endsBy);

    /// Whether this node does not lead, and whether it is stored that it has stopped wherever it has led.
    bool mayEnd() const;

    /// Must be called when a worker or the store has rejected the epoch of this leader.
    void stepDown();

private:
    void readNext();
    void handleReadReply(const ReadReply&);
    void applyRecord(const KeyedRecord&);
    void applyCandidacy(const LeadershipRecord&);
    void applyClaim(const LeadershipRecord&, uint64_t epoch);
    void applyKeepaliveOfUnknownLeader(const LeadershipRecord&);
    void announceCandidacy();
    void announceRestart();
    void announceStop(uint64_t epoch);
    void applyLeaderRecord(LogPosition offset);
    void handOverIfDue();
    void takeBackResignation();
    void resignEpoch();
    void endDrain();
    bool drains() const { return m_endsBy != Instant::max(); }
    bool hasTimeToLead() const;
    bool isStreamCurrent() const;
    bool hasResignedEpoch() const { return m_hasResigned || m_hasHandedOver; }
    void logWithheldClaim();
    LeaderProcess ownProcess() const;
    Milliseconds electionAge() const;
    bool canClaim() const;
    Instant claimDueAt() const;
    void claim();
    void sendKeepalive();
    void confirmLeadership();

    EventLoop& m_loop;
    RecordStore& m_store;
    Options m_options;
    LogPosition m_position { 0 };
    std::optional<Leader> m_leader;
    ElectionHistory m_elections;
    bool m_isLeader { false };
    bool m_hasLeaderResigned { false };
    bool m_hasResigned { false };

    /// This leader has resigned in favour of a process that goes on. It may claim again once it is deposed.
    bool m_hasHandedOver { false };
    Instant m_endsBy { Instant::max() };
    bool m_isClaiming { false };
    Instant m_claimedAt { neverInstant };

    /// End of the last claim of this node that is known to be stored.
    LogPosition m_claimEnd { 0 };

    /// Announcements that this node has stopped leading which are not known to be stored.
    size_t m_unstoredStops { 0 };

    /// The announcement that earlier processes of this host have ended is sent and not yet read back.
    bool m_isRestartAnnounced { false };

    /// The latest epoch in which this node has led.
    uint64_t m_ownEpoch { 0 };

    Succession m_succession;
    Instant m_startedAt { neverInstant };

    /// Start of the current period without a record of the leader, as this node or an author of a record has seen it. A
    /// period in which this node could not read the stream does not count.
    Instant m_leaderSilentSince { neverInstant };

    /// End of the last record of a leader that this node has read.
    LogPosition m_leaderRecordsEnd { 0 };
    Instant m_withheldClaimLoggedAt { neverInstant };
    Instant m_leaseExpiresAt { neverInstant };

    /// When the keepalives were sent that are stored but not read yet, by offset.
    std::map<LogPosition, Instant> m_storedKeepalives;

    /// When the last keepalive was sent that is stored and up to which this leader has read the stream.
    Instant m_confirmedAt { neverInstant };
    uint64_t m_fenceToken { 0 };

    /// When this node last found that it had missed records that the store has deleted, among them perhaps a claim.
    Instant m_missedRecordsAt { neverInstant };
    Instant m_lastStoreReplyAt { neverInstant };

    /// From the latest keepalive of the current leader, and when it was read.
    std::vector<ExpectedWait> m_expectedWaits;
    Instant m_expectedWaitsReadAt { neverInstant };
    std::shared_ptr<bool> m_alive { std::make_shared<bool>(true) };
};

}
