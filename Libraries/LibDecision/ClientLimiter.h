#pragma once

#include <LibCore/Ids.h>
#include <LibCore/Time.h>
#include <LibDecision/ShareGrant.h>
#include <LibDecision/ShareReport.h>
#include <absl/status/status.h>
#include <absl/status/statusor.h>
#include <cstdint>
#include <deque>
#include <map>
#include <optional>
#include <utility>
#include <vector>

namespace Bergamot {

/// Holds the rate and concurrency limits of each client over all members of a region together.
///
/// A part of each limit (the base) is split evenly over the members. The rest is handed out by the client's coordinator
/// (first member in rendezvous order of the client) as leased shares in proportion to recent demand. The sum of base
/// and leased shares never exceeds the limit: a share that grows with a membership change, and the grants of a new
/// coordinator, wait for the settle time. Every object plays both roles. Not thread-safe.
class ClientLimiter {
public:
    struct Options {
        MemberId self {};
        uint64_t incarnation { 0 };
        /// Part of each limit that is split evenly, in thousandths. A larger part leaves more of the limit unused under
        /// uneven load, a smaller one leaves less to use when the coordinator dies.
        int64_t baseMillis { 250 };
        Milliseconds evidenceMaxAge { 3000 };
        Milliseconds shareLease { 2000 };
        /// Longest run time of a request; concurrency is given to another member only after it.
        Milliseconds maxHold { 2000 };
        Milliseconds driftMargin { 1000 };
        Milliseconds leaseMargin { 100 };
        /// Length of traffic that a rate share may save up for a burst.
        Milliseconds burst { 200 };
        /// Window of the demand estimate, and the interval between reports.
        Milliseconds reportInterval { 250 };
    };

    struct Limit {
        ClientId client {};
        /// Requests per second, in thousandths.
        int64_t rateMillis { 0 };
        int64_t concurrency { 0 };
        bool operator==(const Limit&) const = default;
    };

    struct Member {
        MemberId id {};
        uint64_t incarnation { 0 };
        bool operator==(const Member&) const = default;
    };

    enum class Verdict {
        Admitted,
        RateLimited,
        ConcurrencyLimited,
    };

    static absl::StatusOr<ClientLimiter> create(Options);

    /// Takes over a membership that is known to a majority since `now`. Memberships are passed one by one in log order.
    absl::Status setMembers(const std::vector<Member>&, Instant now);

    /// Sets the limits of a client; they take effect at once, shares that are leased end within the lease.
    absl::Status setLimit(const Limit&, Instant now);

    absl::Status removeClient(const ClientId&, Instant now);

    /// Shares are used and granted only before this time.
    void setAuthorityUntil(Instant until) { m_authorityUntil = until; }

    /// Admits a request of a client. NotFound for an unknown client, FailedPrecondition without authority.
    absl::StatusOr<Verdict> admit(const ClientId&, Instant now);

    /// Ends a request that was admitted.
    absl::Status finish(const ClientId&, Instant now);

    /// The reports to send now, one for each coordinator (this member included: pass it to grant()). Empty before the
    /// interval has passed, or before 10 ms have passed when a client without a leased share was refused.
    absl::StatusOr<std::vector<ShareReport>> reports(Instant now);

    /// Coordinator: decides on the shares of the reporting member.
    absl::StatusOr<ShareGrant> grant(const ShareReport&, Instant now);

    /// Member: takes shares into use.
    absl::Status receive(const ShareGrant&, Instant now);

    /// What this member may use now: base and leased share.
    absl::StatusOr<ClientShare> shareOf(const ClientId&, Instant now) const;
    MemberId coordinatorOf(const ClientId&) const;
    Milliseconds settleTime() const { return m_settle; }

private:
    struct Split {
        int64_t rateMillis { 0 };
        int64_t concurrency { 0 };
    };

    /// The base share follows the lowest of the newest settled membership and all later ones.
    struct Membership {
        Instant settled {};
        std::vector<Member> members {};
    };

    struct Outstanding {
        uint64_t grant { 0 };
        Split share {};
        Instant rateFree {};
        Instant concurrencyFree {};
    };

    struct Holder {
        uint64_t incarnation { 0 };
        uint64_t sequence { 0 };
        Split demand {};
        int64_t inUse { 0 };
        Instant reported {};
        std::deque<Outstanding> grants {};
    };

    struct Client {
        Limit limit {};
        /// No base share before this time.
        Instant baseFrom {};
        Split base {};
        uint64_t baseRevision { 0 };
        Member coordinator {};
        Instant coordinatingFrom {};
        std::map<std::pair<MemberId, uint64_t>, Holder> holders {};

        Member grantor {};
        uint64_t heldGrant { 0 };
        Split leased {};
        Instant leasedUntil {};

        int64_t inUse { 0 };
        int64_t tokensMicro { 0 };
        Instant refilled {};
        int64_t arrivals { 0 };
        int64_t rateDemandMillis { 0 };
        int64_t refused { 0 };
        int64_t peakWanted { 0 };
        int64_t wantedDemand { 0 };
    };

    explicit ClientLimiter(Options);
    absl::Status advance(Instant now);
    Split baseOf(const Client&, Instant now) const;
    Split usable(const Client&, Instant now) const;
    static constexpr int64_t Limit::*limitPart(int64_t Split::*part)
    {
        return part == &Split::rateMillis ? &Limit::rateMillis : &Limit::concurrency;
    }
    Split evenSplit(const Limit&, const std::vector<Member>&) const;
    void updateBase(Client&) const;
    void assignCoordinator(Client&, Instant from);
    void hastenReport(const Client&, Instant now);
    void refill(Client&, Instant now) const;
    void expireHolders(Client&, Instant now) const;
    std::optional<ClientShare> grantOne(
        Client&, const Member& reporter, uint64_t sequence, const ClientDemand&, Instant now);
    Split target(const Client&, const std::pair<MemberId, uint64_t>& member) const;

    Options m_options;
    Milliseconds m_settle { 0 };
    Instant m_now {};
    Instant m_authorityUntil {};
    Instant m_nextReport {};
    Instant m_lastReport {};
    std::vector<Member> m_members;
    std::deque<Membership> m_memberships;
    /// Grows with each change of m_memberships.
    uint64_t m_revision { 1 };
    std::map<ClientId, Instant> m_removed;
    std::map<ClientId, Client> m_clients;
    std::map<uint64_t, Instant> m_sent;
    uint64_t m_sequence { 0 };
    uint64_t m_nextGrant { 0 };
};

}
