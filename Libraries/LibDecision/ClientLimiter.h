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

/// Enforces the rate and concurrency limits of each client across all members of a region.
///
/// A part of each limit (the base) is split evenly over the members. The client's coordinator, the first member in
/// the client's rendezvous order, leases the rest to the members in proportion to their recent demand. The sum of base
/// and leased shares never exceeds the limit: after a membership change, larger base shares and the grants of a new
/// coordinator take effect only after the settle time. Each object is both a member and a coordinator. Not thread-safe.
class ClientLimiter {
public:
    struct Options {
        MemberId self {};
        uint64_t incarnation { 0 };
        /// Part of each limit that is split evenly, in thousandths. A larger part leaves more of the limit unused under
        /// uneven load; a smaller part leaves members a smaller share while the coordinator is unavailable.
        int64_t baseShareMillis { 250 };
        /// Maximum age of the evidence on which a member keeps its authority.
        Milliseconds evidenceMaxAge { 3000 };
        Milliseconds shareLease { 2000 };
        /// Maximum duration of a request. Concurrency is granted to another member only when this time has passed after
        /// the end of the lease.
        Milliseconds maxRequestDuration { 2000 };
        Milliseconds driftMargin { 1000 };
        Milliseconds leaseMargin { 100 };
        /// Unused rate accumulates for a burst over at most this time.
        Milliseconds burstWindow { 200 };
        /// Interval between reports, which is also the window of the demand estimate.
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

    enum class Outcome {
        Admitted,
        RateLimited,
        ConcurrencyLimited,
    };

    static absl::StatusOr<ClientLimiter> create(Options);

    /// Applies a membership that a majority of the members knows at `now`. Every membership is applied, in log order.
    absl::Status setMembers(const std::vector<Member>&, Instant now);

    /// Sets the limits of a client. Base shares change at once; shares that are leased already stay valid until their
    /// lease expires.
    absl::Status setLimit(const Limit&, Instant now);

    absl::Status removeClient(const ClientId&, Instant now);

    /// Sets the time at which the authority of this member expires; it uses and grants shares only before then.
    void setAuthorityExpiry(Instant expiry) { m_authorityExpiry = expiry; }

    /// Decides whether a request of a client may start. Returns NotFound for an unknown client and FailedPrecondition
    /// without authority.
    absl::StatusOr<Outcome> admit(const ClientId&, Instant now);

    /// Ends an admitted request. Returns FailedPrecondition when the client has no request in progress.
    absl::Status finish(const ClientId&, Instant now);

    /// Returns the reports to send now, one for each coordinator; a report to this member itself is passed to grant().
    /// Empty until the report interval has passed since the last reports; the interval is 10 ms once a request of a
    /// client without a leased share has been limited.
    absl::StatusOr<std::vector<ShareReport>> makeReports(Instant now);

    /// Coordinator: computes the shares of the reporting member. Returns NotFound for an unknown member and
    /// FailedPrecondition without authority.
    absl::StatusOr<ShareGrant> grant(const ShareReport&, Instant now);

    /// Member: applies granted shares. Returns NotFound when the grant matches no recent report and DeadlineExceeded
    /// when its lease has expired.
    absl::Status applyGrant(const ShareGrant&, Instant now);

    /// Sum of the base share and the leased share of this member. Returns NotFound for an unknown client.
    absl::StatusOr<ClientShare> shareOf(const ClientId&, Instant now) const;
    MemberId coordinatorOf(const ClientId&) const;
    Milliseconds settleTime() const { return m_settleTime; }

private:
    struct Quota {
        int64_t rateMillis { 0 };
        int64_t concurrency { 0 };
    };

    /// A membership from which base shares are computed. The base share of a client is the minimum over the newest
    /// settled membership and all later ones.
    struct Membership {
        Instant settledAt {};
        std::vector<Member> members {};
    };

    struct OutstandingGrant {
        uint64_t grantId { 0 };
        Quota share {};
        Instant rateReusableAt {};
        Instant concurrencyReusableAt {};
    };

    struct ShareHolder {
        uint64_t incarnation { 0 };
        uint64_t sequence { 0 };
        Quota demand {};
        int64_t inUse { 0 };
        Instant reportedAt {};
        std::deque<OutstandingGrant> grants {};
    };

    struct Client {
        Limit limit {};
        /// The base share is zero before this time.
        Instant baseUsableFrom {};
        Quota base {};
        uint64_t baseRevision { 0 };
        Member coordinator {};
        Instant coordinatingFrom {};
        std::map<std::pair<MemberId, uint64_t>, ShareHolder> holders {};

        Member grantor {};
        uint64_t heldGrantId { 0 };
        Quota leased {};
        Instant leasedUntil {};

        int64_t inUse { 0 };
        int64_t tokensMicro { 0 };
        Instant refilledAt {};
        int64_t arrivals { 0 };
        int64_t rateDemandMillis { 0 };
        int64_t rejected { 0 };
        int64_t peakDemand { 0 };
        int64_t concurrencyDemand { 0 };
    };

    explicit ClientLimiter(Options);
    absl::Status advance(Instant now);
    Quota baseQuotaOf(const Client&, Instant now) const;
    Quota usableQuota(const Client&, Instant now) const;
    static constexpr int64_t Limit::*limitField(int64_t Quota::*field)
    {
        return field == &Quota::rateMillis ? &Limit::rateMillis : &Limit::concurrency;
    }
    Quota evenQuota(const Limit&, const std::vector<Member>&) const;
    void updateBase(Client&) const;
    void assignCoordinator(Client&, Instant from);
    void advanceNextReport(const Client&, Instant now);
    void refill(Client&, Instant now) const;
    void expireHolders(Client&, Instant now) const;
    std::optional<ClientShare> grantShare(
        Client&, const Member& reporter, uint64_t sequence, const ClientDemand&, Instant now);
    Quota targetQuota(const Client&, const std::pair<MemberId, uint64_t>& member) const;

    Options m_options;
    Milliseconds m_settleTime { 0 };
    Instant m_now {};
    Instant m_authorityExpiry {};
    Instant m_nextReport {};
    Instant m_lastReport {};
    std::vector<Member> m_members;
    std::deque<Membership> m_memberships;
    /// Increases with each change of m_memberships.
    uint64_t m_revision { 1 };
    std::map<ClientId, Instant> m_removedAt;
    std::map<ClientId, Client> m_clients;
    std::map<uint64_t, Instant> m_reportSentAt;
    uint64_t m_sequence { 0 };
    uint64_t m_nextGrant { 0 };
};

}
