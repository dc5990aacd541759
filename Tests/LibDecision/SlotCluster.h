#pragma once

#include <LibDecision/SlotTable.h>
#include <map>
#include <memory>
#include <random>
#include <variant>
#include <vector>

namespace Bergamot {

/// A fault that a simulation run injects at `atMs` for `durationMs`.
struct ClusterFault {
    enum class Kind {
        Join,
        Remove,
        ReplaceWhilePaused,
        Pause,
        LogUnreachable,
        PeersUnreachable,
        RelistWorker,
    };
    Kind kind { Kind::Join };
    int member { 0 };
    int atMs { 0 };
    int durationMs { 0 };
};

/// Simulates members with slot tables in virtual time: a log, messages that are delayed, lost or duplicated, and
/// workers that count the slots in use. The clock of each member has a different offset.
class SlotCluster {
public:
    struct Result {
        int64_t acquired { 0 };
        int64_t borrowed { 0 };
        /// Maximum number of slots in use on one worker above its capacity; 0 when the invariant holds.
        int64_t excess { 0 };
    };

    SlotCluster(SlotTable::Options, uint64_t seed, int maxDelayMs);
    /// Sets the demand of each member to the total number of slots.
    void saturate() { m_isSaturated = true; }
    Result run(const std::vector<ClusterFault>&, int durationMs);

    static constexpr int64_t slotsPerWorker = 4;

private:
    struct PositionHeartbeat {
        MemberId from {};
        LogPosition position { 0 };
        int sentMs { 0 };
    };
    struct RunningRequest {
        uint64_t use { 0 };
        int endsMs { 0 };
        WorkerId worker {};
        bool isCounted { true };
    };
    struct Node {
        MemberId id {};
        uint64_t incarnation { 0 };
        int clockOffsetMs { 0 };
        std::unique_ptr<SlotTable> table {};
        LogPosition applied { 0 };
        int pausedUntilMs { 0 };
        int logUnreachableUntilMs { 0 };
        int peersUnreachableUntilMs { 0 };
        int logReadAtMs { -1000000 };
        std::map<MemberId, std::pair<int, LogPosition>> contacts {};
        std::vector<RunningRequest> running {};
        int demand { 0 };
        Instant now(int ms) const { return epochInstant + Milliseconds(ms + clockOffsetMs); }
    };
    using Message = std::variant<PositionHeartbeat, LoanRequest, LoanGrant, LoanReturn>;

    void inject(const ClusterFault&, int ms);
    void addNode(const MemberId&, uint64_t incarnation);
    void appendView();
    void applyUpTo(Node&, LogPosition, int ms);
    void send(const Node& from, const MemberId& to, const Message&, int ms);
    void deliver(int ms);
    void handle(Node&, const Message&, int ms);
    void readLogAndSendHeartbeats(Node&, int ms);
    void updateAuthority(Node&, int ms);
    void serve(Node&, int ms, Result&);
    int randomBelow(int n) { return static_cast<int>(m_random() % static_cast<uint64_t>(n)); }

    SlotTable::Options m_options;
    std::mt19937_64 m_random;
    int m_maxDelayMs;
    bool m_isSaturated { false };
    std::vector<SlotTable::View> m_log;
    std::vector<SlotTable::Member> m_members;
    std::vector<SlotTable::Worker> m_workers;
    std::vector<std::unique_ptr<Node>> m_nodes;
    std::multimap<int, std::pair<MemberId, Message>> m_messages;
    std::map<WorkerId, int64_t> m_inUse;
    uint64_t m_nextIncarnation { 1 };
};

}
