#pragma once

#include <LibNode/NodeOptions.h>
#include <LibPlatform/RecordStore.h>
#include <LibWire/LeadershipRecord.h>
#include <cstdint>
#include <functional>
#include <memory>
#include <optional>
#include <string>

namespace Bergamot {

class EventLoop;

/// Follows the leadership stream, claims leadership when the leader is silent, and keeps the own leadership alive. The
/// last claim in the stream names the leader; a claim is appended only at the end that its author has seen.
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

        /// Whether this node knows what a leader needs to decide. Unset means always.
        std::function<bool()> mayClaim {};

        /// `earlierLeader` is false when the stream names no leader before.
        std::function<void(uint64_t epoch, bool earlierLeader)> onElected {};
        std::function<void()> onDeposed {};
    };

    /// `loop` and `store` must outlive the monitor.
    LeadershipMonitor(EventLoop&, RecordStore&, Options);
    ~LeadershipMonitor();

    void start();

    /// Claims at once when a claim is due; to be called when the result of `mayClaim` has become true.
    void considerClaim();
    const std::optional<Leader>& leader() const { return m_leader; }
    bool isLeader() const { return m_isLeader; }

    /// True while no other process can have been leader without this one knowing it.
    bool holdsLease(Instant now) const { return m_isLeader && now < m_leaseUntil; }

    /// When the store last answered a read.
    Instant storeContactAt() const { return m_storeContactAt; }

    /// Gives up leadership now, and claims none any more.
    void retire();

    /// The epoch of this leader was refused by a worker or the store.
    void stepDown();

private:
    void readNext();
    void readFinished(const ReadReply&);
    void applyRecord(const KeyedRecord&);
    void applyClaim(const LeadershipRecord&, uint64_t epoch);
    void announceCandidacy();
    bool mayClaim() const;
    Instant claimDueAt() const;

    /// How long this node leaves a claim to candidates with more processor time.
    Milliseconds strengthDelay() const;
    void claim();
    void sendKeepalive();

    EventLoop& m_loop;
    RecordStore& m_store;
    Options m_options;
    LogPosition m_position { 0 };
    std::optional<Leader> m_leader;
    bool m_isLeader { false };
    bool m_leaderResigned { false };
    bool m_retired { false };
    bool m_claiming { false };
    int64_t m_strongestCpuMillis { 0 };
    Instant m_startedAt { neverInstant };
    Instant m_leaderSeenAt { neverInstant };
    Instant m_leaseUntil { neverInstant };
    Instant m_storeContactAt { neverInstant };
    std::shared_ptr<bool> m_alive { std::make_shared<bool>(true) };
};

}
