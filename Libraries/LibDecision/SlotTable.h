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

/// Decides which slots of which workers this member may use now (design D8).
///
/// Each slot (worker, index) belongs to the member with the highest rendezvous hash. A slot that this member gains
/// with a view becomes usable only after (1) a majority of the members of that view have reported a log position at or
/// past it, and (2) the settle time has passed since then. Step (1) is needed because a member may keep its authority
/// through contact with a majority while it cannot read the log (design D7).
///
/// A use holds a slot for at most `maxHold`; the caller aborts the request then. The settle time is the sum
/// `evidenceMaxAge + max(loanLease, maxHold) + driftMargin`: the previous owner may begin a use or a loan until its
/// evidence is too old, and both end within the second term.
///
/// Not thread-safe. Time must not go back between calls; a call with an earlier time is an error and changes nothing.
class SlotTable {
public:
    struct Options {
        MemberId self {};
        uint64_t incarnation { 0 };
        ZoneId zone {};
        Milliseconds evidenceMaxAge { 3000 };
        Milliseconds loanLease { 2000 };
        /// Longest time that one request may hold a slot.
        Milliseconds maxHold { 2000 };
        Milliseconds driftMargin { 1000 };
        /// The lender reuses a lent slot this long after the lease. It covers clock drift and timer lateness within
        /// one lease, which are far below 100 ms.
        Milliseconds loanMargin { 100 };
        /// A change that no majority confirms counts as confirmed after this time. The worker's own limit is then the
        /// only protection; without it, the slots stay unused for ever when most members are lost at once.
        Milliseconds confirmTimeout { 30000 };
        /// The window over which the member's own recent need of slots is the maximum. Longer windows keep slots that
        /// others wait for (docs/decisions/limits.md).
        Milliseconds needWindow { 100 };
        /// Share of the member's own slots that it never lends, in thousandths.
        int64_t reserveMillis { 50 };
        /// Share of zone-local slots in use, in thousandths, from which requests may go to other zones.
        int64_t spillMillis { 800 };
        /// A worker of another zone must be less busy by this share, in thousandths, to be chosen.
        int64_t zonePenaltyMillis { 150 };
        /// Most slots asked from one peer in one request.
        int64_t maxAsk { 64 };
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

    /// Members and workers after the record before `position`. Views are passed one by one in log order.
    struct View {
        LogPosition position { 0 };
        std::vector<Member> members {};
        std::vector<Worker> workers {};
        /// False when earlier views were skipped (start from a snapshot); all own slots then settle again.
        bool contiguous { true };
    };

    struct Use {
        uint64_t id { 0 };
        WorkerId worker {};
        /// True when the slot was lent by a peer.
        bool borrowed { false };
        /// The request must have ended by then.
        Instant until {};
        bool operator==(const Use&) const = default;
    };

    static absl::StatusOr<SlotTable> create(Options);

    /// Takes over the members and workers of a view, which was read at `now`.
    absl::Status applyView(const View&, Instant now);

    /// Notes the log position that a member has reported (own position: applyView does it).
    absl::Status notePosition(const MemberId&, LogPosition, Instant now);

    /// Slots are used and lent only before this time (end of the evidence of design D7).
    void setAuthorityUntil(Instant until) { m_authorityUntil = until; }

    /// Weight of a worker in thousandths: 0 excludes it (ejected, zone out, leaving), 1000 is normal.
    absl::Status setWeight(const WorkerId&, int64_t weightMillis);

    /// Notes how busy a worker is apart from this member's requests, in thousandths (lagging usage reports).
    absl::Status noteBusy(const WorkerId&, int64_t busyMillis);

    /// Takes a slot on the best worker for a request that lasts at most `hold`. ResourceExhausted when there is no
    /// usable slot, FailedPrecondition without authority.
    absl::StatusOr<Use> acquire(
        Milliseconds hold, uint64_t random, Instant now, const std::vector<WorkerId>& excluded = {});

    /// Takes a slot on one worker.
    absl::StatusOr<Use> acquireOn(const WorkerId&, Milliseconds hold, Instant now);

    /// Gives a slot back. NotFound for an unknown or already released use.
    absl::Status release(uint64_t use, Instant now);

    /// Notes how many requests wait for a slot; together with the slots in use this is the member's need.
    absl::Status noteWaiting(int64_t waiting, Instant now);

    /// Notes what a peer reported in its heartbeat or in an answer.
    absl::Status notePeer(const MemberId&, int64_t freeSlots, Instant now);

    /// The loan requests to send now. The lease of the answers counts from `now`. Call it when a request waits and
    /// every 100 ms or so.
    absl::StatusOr<std::vector<LoanRequest>> loanRequests(Instant now, uint64_t random);

    /// Lender: decides what to lend. The grants are all to be sent, also an empty one (which says that there is
    /// nothing to lend). A request that was already answered is AlreadyExists.
    absl::StatusOr<std::vector<LoanGrant>> lend(const LoanRequest&, Instant now);

    /// Borrower: takes a loan or its extension into use. DeadlineExceeded when it has lapsed on the way,
    /// AlreadyExists when it was taken before, NotFound when it answers nothing.
    absl::Status receive(const LoanGrant&, Instant now);

    /// Borrower: loans without a slot in use that are not needed any more. They are given up by this call.
    absl::StatusOr<std::vector<LoanReturn>> returns(Instant now);

    /// Lender: takes a returned loan back. NotFound when it has lapsed or was returned before.
    absl::Status takeBack(const LoanReturn&, Instant now);

    /// Own slots that are settled, not in use and not lent.
    int64_t freeOwn() const;
    /// Slots that could be used now for a request of length `hold`, borrowed ones included.
    int64_t freeFor(Milliseconds hold, Instant now) const;
    int64_t inUse() const { return static_cast<int64_t>(m_uses.size()); }
    int64_t inUseOn(const WorkerId&) const;
    /// Own slots, settled or not.
    int64_t owned() const;
    int64_t settled() const;
    int64_t lent() const;
    int64_t borrowed(Instant now) const;
    /// Slots that the member may lend now.
    int64_t lendable() const;
    Milliseconds settleTime() const { return m_settle; }

    /// The member that owns a slot of a worker; empty without members.
    static MemberId ownerOf(const std::vector<Member>&, const WorkerId&, int64_t slot);

private:
    struct Slot {
        bool owned { false };
        bool settled { false };
        /// The view with which the slot was gained.
        LogPosition gained { 0 };
    };

    struct BorrowedSlot {
        uint64_t serial { 0 };
        Instant until {};
        bool inUse { false };
    };

    struct WorkerState {
        WorkerId id {};
        ZoneId zone {};
        bool listed { false };
        std::vector<Slot> slots {};
        std::vector<BorrowedSlot> borrowed {};
        int64_t weightMillis { 1000 };
        int64_t reportedBusyMillis { 0 };
        int64_t settled { 0 };
        int64_t ownInUse { 0 };
        int64_t borrowedInUse { 0 };
        int64_t lent { 0 };
    };

    struct Change {
        LogPosition position { 0 };
        std::vector<MemberId> members {};
        Instant known {};
        std::optional<Instant> confirmed {};
        /// (worker index, slot) pairs gained with this view.
        std::vector<std::pair<size_t, size_t>> gained {};
    };

    struct Lent {
        MemberId borrower {};
        std::vector<size_t> workers {};
        Instant reusable {};
    };

    struct Borrowed {
        uint64_t serial { 0 };
        std::vector<size_t> workers {};
        Instant until {};
        int64_t inUse { 0 };
        Instant nextRenewal {};
    };

    struct Pending {
        LoanRequest loanRequest {};
        Instant sent {};
        int64_t missing { 0 };
        std::vector<uint64_t> received {};
    };

    struct Peer {
        int64_t freeSlots { 0 };
        Instant nextAsk {};
        Milliseconds backoff { 0 };
    };

    struct UseState {
        size_t worker { 0 };
        /// Serial of the loan; 0 for an own slot.
        uint64_t serial { 0 };
    };

    /// Usable slots and slots in use, of the own zone or of all others.
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
    void rollNeed(Instant now);
    void noteNeed();
    int64_t recentNeed() const;
    /// The need of the last tenth or two of the window. Slots are asked for and returned by it, so that a borrower
    /// does not keep what others wait for; a lender keeps its need of the whole window.
    int64_t presentNeed() const;
    int64_t headroom() const;

    bool isMember(const MemberId&) const;
    bool isOwnIncarnationListed() const;
    size_t indexOf(const WorkerId&);
    void unlistAbsent(const std::vector<Worker>&);
    void recomputeOwnership(const View&, Change&);
    void recomputeUsage();
    void noteInUse(const WorkerState&, int64_t change);

    int64_t freeOwnOn(const WorkerState&) const;
    static int64_t freeBorrowedOn(const WorkerState&, Instant until);
    int64_t freeOn(const WorkerState&, Instant until) const;
    static int64_t busyMillisOf(const WorkerState&);
    int64_t utilisationMillis(bool local) const;
    std::optional<size_t> choose(
        bool local, Instant until, uint64_t random, const std::vector<WorkerId>& excluded) const;
    Use take(size_t worker, Instant until);
    void dropBorrowed(std::map<LoanKey, Borrowed>::iterator);

    int64_t slotsToAsk() const;
    void addRenewals(std::map<MemberId, LoanRequest>&, Instant now);
    void addLoanRequests(std::map<MemberId, LoanRequest>&, Instant now, uint64_t random);
    bool mayExtend(const Lent&) const;
    std::vector<size_t> chooseLent(int64_t count, const ZoneId&);
    void extendLoan(Borrowed&, Instant until);
    void addLoan(const LoanGrant&, Instant until);
    void noteAnswer(Pending&, const LoanGrant&, Instant now);

    Options m_options;
    Milliseconds m_settle { 0 };
    Instant m_now {};
    Instant m_authorityUntil {};
    std::vector<Member> m_members;
    std::optional<LogPosition> m_position;
    std::vector<WorkerState> m_workers;
    std::unordered_map<WorkerId, size_t> m_workerIndex;
    std::vector<size_t> m_localWorkers;
    std::vector<size_t> m_remoteWorkers;
    std::deque<Change> m_changes;
    std::map<MemberId, LogPosition> m_positions;
    std::map<uint64_t, Lent> m_lent;
    std::map<LoanKey, Borrowed> m_borrowed;
    std::unordered_map<uint64_t, LoanKey> m_loanOfSerial;
    std::map<uint64_t, Pending> m_pending;
    std::map<LoanKey, Instant> m_answered;
    std::map<MemberId, Peer> m_peers;
    std::unordered_map<uint64_t, UseState> m_uses;
    Usage m_localUsage;
    Usage m_remoteUsage;
    Instant m_nextExpiry {};
    static constexpr size_t needBuckets = 10;
    std::array<int64_t, needBuckets> m_need {};
    int64_t m_needBucket { 0 };
    int64_t m_waiting { 0 };
    size_t m_lendStart { 0 };
    uint64_t m_nextId { 0 };
};

}
