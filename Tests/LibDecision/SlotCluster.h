#pragma once

#include <LibDecision/SlotTable.h>
#include <map>
#include <memory>
#include <random>
#include <variant>
#include <vector>

namespace Bergamot {

/// A fault of a test run.
struct ClusterFault {
    enum class Kind {
        Join,
        Remove,
        ReplaceWhilePaused,
        Pause,
        CutLog,
        CutPeers,
        RelistWorker,
    };
    Kind kind { Kind::Join };
    int member { 0 };
    int atMs { 0 };
    int lengthMs { 0 };
};

/// Members with slot tables in virtual time, with a log, delayed and repeated messages, and workers that count the
/// slots in use. Each member has a clock of its own offset.
class SlotCluster {
public:
    struct Result {
        int64_t acquired { 0 };
        int64_t borrowed { 0 };
        /// Most slots in use of one worker beyond its slots; 0 when the invariant held.
        int64_t excess { 0 };
    };

    SlotCluster(SlotTable::Options, uint64_t seed, int maxDelayMs);
    /// Makes every member want more slots than there are.
    void saturate() { m_isSaturated = true; }
    Result run(const std::vector<ClusterFault>&, int lengthMs);

    static constexpr int64_t slotsPerWorker = 4;

private:
    struct Beat {
        MemberId from {};
        LogPosition position { 0 };
        int sentMs { 0 };
    };
    struct Running {
        uint64_t use { 0 };
        int endsMs { 0 };
        WorkerId worker {};
        bool counted { true };
    };
    struct Node {
        MemberId id {};
        uint64_t incarnation { 0 };
        int offsetMs { 0 };
        std::unique_ptr<SlotTable> table {};
        LogPosition applied { 0 };
        int pausedUntil { 0 };
        int logCutUntil { 0 };
        int peersCutUntil { 0 };
        int logEvidence { -1000000 };
        std::map<MemberId, std::pair<int, LogPosition>> contacts {};
        std::vector<Running> running {};
        int demand { 0 };
        Instant now(int ms) const { return epochInstant + Milliseconds(ms + offsetMs); }
    };
    using Message = std::variant<Beat, LoanRequest, LoanGrant, LoanReturn>;

    void inject(const ClusterFault&, int ms);
    void addNode(const MemberId&, uint64_t incarnation);
    void appendView();
    void applyUpTo(Node&, LogPosition, int ms);
    void send(const Node& from, const MemberId& to, const Message&, int ms);
    void deliver(int ms);
    void handle(Node&, const Message&, int ms);
    void communicate(Node&, int ms);
    void updateAuthority(Node&, int ms);
    void serve(Node&, int ms, Result&);
    int pick(int n) { return static_cast<int>(m_random() % static_cast<uint64_t>(n)); }

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
