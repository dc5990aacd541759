#pragma once

#include <LibCore/Ids.h>
#include <LibCore/Time.h>
#include <LibDecision/LoanGrant.h>
#include <LibDecision/LoanRequest.h>
#include <LibDecision/LoanReturn.h>
#include <absl/status/status.h>
#include <absl/status/statusor.h>
#include <array>
#include <cstdint>
#include <deque>
#include <map>
#include <optional>
#include <unordered_map>
#include <vector>

namespace Bergamot {

/// Decides which worker slots this member may use (section D8 of the design page).
///
/// Each slot (worker, index) is owned by the member with the highest rendezvous hash. A slot that this member gains
/// with a view is usable (settled) only when (1) a majority of the members of that view has reported a log position at
/// or after the view, and (2) the settle time has passed since then. Condition (1) is needed because a member may keep
/// its authority through contact with a majority while it cannot read the log (section D7 of the design page).
///
/// A request holds a slot for at most `maxHoldTime`; the caller aborts it then. The settle time is
/// `evidenceMaxAge + max(loanLease, maxHoldTime) + driftMargin`: the previous owner may start a request or a loan until
/// its evidence exceeds the maximum age, and both end within the second term.
///
/// Not thread-safe. A call with an earlier time than a previous call is an error and changes nothing.
class SlotTable {
public:
    struct Options {
        MemberId self {};
        uint64_t incarnation { 0 };
        ZoneId zone {};
        /// Maximum age of the evidence on which a member keeps its authority.
        Milliseconds evidenceMaxAge { 3000 };
        Milliseconds loanLease { 2000 };
        /// Maximum time for which one request may hold a slot.
        Milliseconds maxHoldTime { 2000 };
        Milliseconds driftMargin { 1000 };
        /// Delay after the end of the lease before the lender reuses a lent slot. It covers the clock drift and timer
        /// delays within one lease, which are far below 100 ms.
        Milliseconds loanMargin { 100 };
        /// A change that no majority confirms counts as confirmed after this time. Only the concurrency limit of the
        /// worker then prevents overload. Without the timeout, slots would remain unusable forever after the
        /// simultaneous loss of most members.
        Milliseconds confirmTimeout { 30000 };
        /// Window of the member's recent demand, which is the maximum number of slots in use and requests waiting for
        /// one. Longer windows keep slots that other members wait for (docs/decisions/limits.md).
        Milliseconds demandWindow { 100 };
        /// Share of the member's own slots that it never lends, in thousandths. The same share of the demand is kept or
        /// borrowed in addition to the demand.
        int64_t reserveShareMillis { 50 };
        /// Utilisation of the slots in the member's zone, in thousandths, from which requests may spill to other zones.
        int64_t spillThresholdMillis { 800 };
        /// Requests spill only while the utilisation of the other zones is lower by more than this, in thousandths.
        int64_t zonePenaltyMillis { 150 };
        /// Maximum number of slots requested or lent with one loan request.
        int64_t maxSlotsPerRequest { 64 };
    };

    struct Member {
        MemberId id {};
        uint64_t incarnation { 0 };
        ZoneId zone {};
        bool operator==(const Member&) const = default;
    };

    struct Worker {
        WorkerId id {};
        ZoneId zone {};
        int64_t slots { 0 };
        bool operator==(const Worker&) const = default;
    };

    /// Members and workers as of the record before `position`. Views are applied one by one in log order.
    struct View {
        LogPosition position { 0 };
        std::vector<Member> members {};
        std::vector<Worker> workers {};
        /// False when earlier views were skipped, as after a start from a snapshot. All own slots then settle again.
        bool isContiguous { true };
    };

    struct Use {
        uint64_t id { 0 };
        WorkerId worker {};
        /// True when the slot was lent by a peer.
        bool isBorrowed { false };
        /// Time by which the request must have ended.
        Instant until {};
        bool operator==(const Use&) const = default;
    };

    static absl::StatusOr<SlotTable> create(Options);

    /// Applies the members and workers of a view that was read at `now`. Returns AlreadyExists for the position of the
    /// last applied view and InvalidArgument for an earlier one.
    absl::Status applyView(const View&, Instant now);

    /// Records the log position that a member has reported. applyView() records the own position. Returns NotFound for
    /// an unknown member.
    absl::Status recordPosition(const MemberId&, LogPosition, Instant now);

    /// Sets the time at which the authority of this member expires (section D7 of the design page); it uses and lends
    /// slots only before then.
    void setAuthorityExpiry(Instant expiry) { m_authorityExpiry = expiry; }

    /// Sets the weight of a worker in thousandths: 0 excludes it (ejected, zone out, leaving), 1000 is the full weight.
    /// Returns NotFound for an unknown worker.
    absl::Status setWeight(const WorkerId&, int64_t weightMillis);

    /// Records the utilisation of a worker without this member's requests, in thousandths. It comes from usage reports
    /// and lags behind. Returns NotFound for an unknown worker.
    absl::Status recordReportedUtilisation(const WorkerId&, int64_t reportedMillis);

    /// Takes a slot for a request that lasts at most `holdTime`, on the less busy of two randomly chosen workers.
    /// Returns ResourceExhausted without a usable slot and FailedPrecondition without authority.
    absl::StatusOr<Use> acquire(
        Milliseconds holdTime, uint64_t random, Instant now, const std::vector<WorkerId>& excluded = {});

    /// Takes a slot on the given worker. Returns NotFound for an unknown worker, otherwise the errors of acquire().
    absl::StatusOr<Use> acquireOn(const WorkerId&, Milliseconds holdTime, Instant now);

    /// Releases a slot. Returns NotFound for an unknown or already released use.
    absl::Status release(uint64_t use, Instant now);

    /// Records the number of requests that wait for a slot. The demand of the member is this number plus the slots in
    /// use.
    absl::Status recordWaiting(int64_t waiting, Instant now);

    /// Records the number of free slots that a peer has reported. Returns NotFound for an unknown peer.
    absl::Status recordPeerFreeSlots(const MemberId&, int64_t freeSlots, Instant now);

    /// Returns the loan requests to send now. The leases of the granted loans start at `now`. Called when requests wait
    /// for a slot, and about every 100 ms.
    absl::StatusOr<std::vector<LoanRequest>> makeLoanRequests(Instant now, uint64_t random);

    /// Lender: returns the grants to send in reply to a loan request. An empty grant tells the borrower that there are
    /// no slots to lend and must be sent too. Returns AlreadyExists for a repeated request, NotFound for an unknown
    /// borrower and FailedPrecondition without authority.
    absl::StatusOr<std::vector<LoanGrant>> lend(const LoanRequest&, Instant now);

    /// Borrower: applies a loan or the renewal of one. Returns DeadlineExceeded when the lease expired before the grant
    /// arrived, AlreadyExists for a repeated grant, and NotFound when the grant matches no pending request or renews a
    /// loan that is no longer held.
    absl::Status applyGrant(const LoanGrant&, Instant now);

    /// Borrower: removes loans that have no slot in use and exceed the current demand, and returns the messages to
    /// send.
    absl::StatusOr<std::vector<LoanReturn>> returnIdleLoans(Instant now);

    /// Lender: ends a returned loan. Returns NotFound for a loan that has expired or was returned before.
    absl::Status acceptReturn(const LoanReturn&, Instant now);

    /// Own slots that are settled, not in use and not lent, on workers with a weight above 0.
    int64_t freeOwn() const;
    /// Own and borrowed slots that are usable for a request that lasts `holdTime`.
    int64_t freeFor(Milliseconds holdTime, Instant now) const;
    int64_t inUse() const { return static_cast<int64_t>(m_uses.size()); }
    int64_t inUseOn(const WorkerId&) const;
    /// Own slots, settled or not.
    int64_t owned() const;
    int64_t settled() const;
    int64_t lent() const;
    int64_t borrowed(Instant now) const;
    /// Own slots that this member can lend.
    int64_t lendable() const;
    Milliseconds settleTime() const { return m_settleTime; }

    /// Member that owns a slot of a worker; empty without members.
    static MemberId ownerOf(const std::vector<Member>&, const WorkerId&, int64_t slot);

private:
    struct Slot {
        bool isOwned { false };
        bool isSettled { false };
        /// Position of the view with which this member gained the slot.
        LogPosition gainedAtPosition { 0 };
    };

    struct BorrowedSlot {
        uint64_t serial { 0 };
        Instant until {};
        bool isInUse { false };
    };

    struct WorkerState {
        WorkerId id {};
        ZoneId zone {};
        bool isListed { false };
        std::vector<Slot> slots {};
        std::vector<BorrowedSlot> borrowedSlots {};
        int64_t weightMillis { 1000 };
        int64_t reportedUtilisationMillis { 0 };
        int64_t settled { 0 };
        int64_t ownInUse { 0 };
        int64_t borrowedInUse { 0 };
        int64_t lent { 0 };
    };

    struct Change {
        LogPosition position { 0 };
        std::vector<MemberId> members {};
        Instant appliedAt {};
        std::optional<Instant> confirmedAt {};
        /// Slots gained with this view, as pairs of worker index and slot.
        std::vector<std::pair<size_t, size_t>> gainedSlots {};
    };

    struct LentLoan {
        MemberId borrower {};
        std::vector<size_t> workers {};
        Instant reusableAt {};
    };

    struct BorrowedLoan {
        uint64_t serial { 0 };
        std::vector<size_t> workers {};
        Instant until {};
        int64_t inUse { 0 };
        Instant nextRenewal {};
    };

    struct PendingRequest {
        LoanRequest loanRequest {};
        Instant sentAt {};
        int64_t pendingSlots { 0 };
        std::vector<uint64_t> received {};
    };

    struct Peer {
        int64_t freeSlots { 0 };
        Instant nextRequestAt {};
        Milliseconds backoff { 0 };
    };

    struct UseState {
        size_t worker { 0 };
        /// Serial of the loan, or 0 for an own slot.
        uint64_t serial { 0 };
    };

    /// Usable slots and slots in use, of the member's zone or of all other zones.
    struct Usage {
        int64_t usable { 0 };
        int64_t inUse { 0 };
    };

    using LoanKey = std::pair<MemberId, uint64_t>;

    explicit SlotTable(Options);
    absl::Status advance(Instant now);
    absl::Status checkView(const View&, Instant now) const;
    void confirmChanges(Instant now);
    void settleChanges(Instant now);
    void expireLoans(Instant now);
    void advanceDemandWindow(Instant now);
    void recordDemand();
    int64_t recentDemand() const;
    /// Demand of the last two of the ten buckets of the window. It determines the slots to borrow and to return, so
    /// that a borrower does not keep slots that others wait for. A lender keeps slots for its demand of the whole
    /// window.
    int64_t currentDemand() const;
    int64_t headroom() const;

    bool isMember(const MemberId&) const;
    bool isOwnIncarnationListed() const;
    size_t indexOf(const WorkerId&);
    void unlistRemovedWorkers(const std::vector<Worker>&);
    void recomputeOwnership(const View&, Change&);
    void recomputeUsage();
    void adjustInUse(const WorkerState&, int64_t change);

    int64_t freeOwnOn(const WorkerState&) const;
    static int64_t freeBorrowedOn(const WorkerState&, Instant until);
    int64_t freeOn(const WorkerState&, Instant until) const;
    static int64_t utilisationMillisOf(const WorkerState&);
    int64_t utilisationMillis(bool local) const;
    std::optional<size_t> chooseWorker(
        bool local, Instant until, uint64_t random, const std::vector<WorkerId>& excluded) const;
    Use takeSlot(size_t worker, Instant until);
    void removeLoan(std::map<LoanKey, BorrowedLoan>::iterator);

    int64_t slotsToRequest() const;
    void addRenewals(std::map<MemberId, LoanRequest>&, Instant now);
    void addLoanRequests(std::map<MemberId, LoanRequest>&, Instant now, uint64_t random);
    bool canRenewLoan(const LentLoan&) const;
    std::vector<size_t> chooseSlotsToLend(int64_t count, const ZoneId&);
    void renewLoan(BorrowedLoan&, Instant until);
    void addLoan(const LoanGrant&, Instant until);
    void recordReply(PendingRequest&, const LoanGrant&, Instant now);

    Options m_options;
    Milliseconds m_settleTime { 0 };
    Instant m_now {};
    Instant m_authorityExpiry {};
    std::vector<Member> m_members;
    std::optional<LogPosition> m_position;
    std::vector<WorkerState> m_workers;
    std::unordered_map<WorkerId, size_t> m_workerIndex;
    std::vector<size_t> m_localWorkers;
    std::vector<size_t> m_remoteWorkers;
    std::deque<Change> m_changes;
    std::map<MemberId, LogPosition> m_positions;
    std::map<uint64_t, LentLoan> m_lent;
    std::map<LoanKey, BorrowedLoan> m_borrowed;
    std::unordered_map<uint64_t, LoanKey> m_loanOfSerial;
    std::map<uint64_t, PendingRequest> m_pending;
    std::map<LoanKey, Instant> m_answeredRequests;
    std::map<MemberId, Peer> m_peers;
    std::unordered_map<uint64_t, UseState> m_uses;
    Usage m_localUsage;
    Usage m_remoteUsage;
    Instant m_nextExpiry {};
    static constexpr size_t demandBuckets = 10;
    std::array<int64_t, demandBuckets> m_demand {};
    int64_t m_demandBucket { 0 };
    int64_t m_waiting { 0 };
    size_t m_nextLendIndex { 0 };
    uint64_t m_nextId { 0 };
};

}
