#include <LibCore/Digest.h>
#include <LibDecision/ClientLimiter.h>
#include <algorithm>
#include <set>

namespace Bergamot {

namespace {
    constexpr int64_t maxAmount = int64_t { 1 } << 40;
    constexpr int64_t microTokensPerRequest = 1000000;
    constexpr Milliseconds minReportInterval { 10 };
    constexpr size_t maxClientsPerReport = 100000;

    bool isAmount(int64_t n) { return n >= 0 && n <= maxAmount; }

    uint64_t scoreOf(const ClientId& client, const MemberId& member)
    {
        return mixDigest(digestOf(client), digestOf(member));
    }

    /// Computes n x part / whole in 128 bits, because the product of two factors of up to 2^40 overflows 64 bits.
    int64_t scaled(int64_t n, int64_t part, int64_t whole)
    {
        return static_cast<int64_t>(static_cast<__int128>(n) * part / whole);
    }
}

absl::StatusOr<ClientLimiter> ClientLimiter::create(Options options)
{
    if (options.self.empty())
        return absl::InvalidArgumentError("client limiter: the member id is empty");
    if (options.baseShareMillis < 0 || options.baseShareMillis > 1000)
        return absl::InvalidArgumentError("client limiter: the base share is not between 0 and 1000 thousandths");
    for (auto length : { options.evidenceMaxAge, options.shareLease, options.maxRequestDuration, options.burstWindow,
             options.reportInterval }) {
        if (length <= Milliseconds(0) || length > std::chrono::hours(1))
            return absl::InvalidArgumentError("client limiter: a duration is not between 1 ms and 1 h");
    }
    if (options.driftMargin < Milliseconds(0) || options.leaseMargin < Milliseconds(0))
        return absl::InvalidArgumentError("client limiter: a margin is negative");
    return ClientLimiter(std::move(options));
}

ClientLimiter::ClientLimiter(Options options)
    : m_options(std::move(options))
    // The last request under an old membership starts under a lease that was granted on the oldest valid evidence, and
    // runs for the maximum duration.
    , m_settleTime(
          m_options.evidenceMaxAge + m_options.shareLease + m_options.maxRequestDuration + m_options.driftMargin)
    // The empty membership keeps all base shares at zero until the first membership has settled.
    , m_memberships { Membership {} }
{
}

absl::Status ClientLimiter::advance(Instant now)
{
    if (now < m_now)
        return absl::InvalidArgumentError("client limiter: the time is earlier than that of a previous call");
    m_now = now;
    while (m_memberships.size() > 1 && now >= m_memberships[1].settledAt) {
        m_memberships.pop_front();
        ++m_revision;
    }
    return absl::OkStatus();
}

ClientLimiter::Quota ClientLimiter::evenQuota(const Limit& limit, const std::vector<Member>& members) const
{
    const bool isListed = std::any_of(members.begin(), members.end(), [this](const auto& member) {
        return member.id == m_options.self && member.incarnation == m_options.incarnation;
    });
    if (!isListed)
        return {};
    const auto count = static_cast<int64_t>(members.size());
    const auto baseConcurrency = scaled(limit.concurrency, m_options.baseShareMillis, 1000);
    // The remainder of the division goes to the first members in the client's rendezvous order, one unit each.
    const auto own = scoreOf(limit.client, m_options.self);
    const auto rank = std::count_if(members.begin(), members.end(), [&](const auto& member) {
        const auto score = scoreOf(limit.client, member.id);
        return score > own || (score == own && member.id < m_options.self);
    });
    return { .rateMillis = scaled(limit.rateMillis, m_options.baseShareMillis, 1000) / count,
        .concurrency = baseConcurrency / count + (rank < baseConcurrency % count ? 1 : 0) };
}

void ClientLimiter::updateBase(Client& client) const
{
    if (client.baseRevision == m_revision)
        return;
    client.baseRevision = m_revision;
    client.base = { .rateMillis = maxAmount, .concurrency = maxAmount };
    for (const auto& membership : m_memberships) {
        const auto quota = evenQuota(client.limit, membership.members);
        client.base.rateMillis = std::min(client.base.rateMillis, quota.rateMillis);
        client.base.concurrency = std::min(client.base.concurrency, quota.concurrency);
    }
}

absl::Status ClientLimiter::setMembers(const std::vector<Member>& members, Instant now)
{
    std::set<MemberId> ids;
    for (const auto& member : members) {
        if (member.id.empty() || !ids.insert(member.id).second)
            return absl::InvalidArgumentError("client limiter: a member id is empty or listed twice");
    }
    if (auto status = advance(now); !status.ok())
        return status;
    m_members = members;
    m_memberships.push_back({ .settledAt = now + m_settleTime, .members = members });
    ++m_revision;
    for (auto& [id, client] : m_clients) {
        refill(client, now);
        updateBase(client);
        assignCoordinator(client, now + m_settleTime);
    }
    return absl::OkStatus();
}

void ClientLimiter::assignCoordinator(Client& client, Instant from)
{
    auto coordinator = std::max_element(m_members.begin(), m_members.end(), [&](const auto& a, const auto& b) {
        const auto scoreA = scoreOf(client.limit.client, a.id);
        const auto scoreB = scoreOf(client.limit.client, b.id);
        return scoreA != scoreB ? scoreA < scoreB : a.id > b.id;
    });
    const auto next = coordinator == m_members.end() ? Member {} : *coordinator;
    if (next == client.coordinator)
        return;
    client.coordinator = next;
    client.coordinatingFrom = from;
    client.holders.clear();
}

absl::Status ClientLimiter::setLimit(const Limit& limit, Instant now)
{
    if (limit.client.empty() || !isAmount(limit.rateMillis) || !isAmount(limit.concurrency))
        return absl::InvalidArgumentError("client limiter: the client id is empty or a limit is out of range");
    if (auto status = advance(now); !status.ok())
        return status;
    auto [it, isNew] = m_clients.try_emplace(limit.client);
    auto& client = it->second;
    if (isNew) {
        client.refilledAt = now;
        client.limit.client = limit.client;
        std::erase_if(m_removedAt, [&](const auto& entry) { return now >= entry.second + m_settleTime; });
        // Requests and leases from before the removal of the client may be active until the settle time has passed.
        if (auto removed = m_removedAt.find(limit.client); removed != m_removedAt.end())
            client.baseUsableFrom = removed->second + m_settleTime;
        assignCoordinator(client, std::max(client.baseUsableFrom, m_memberships.back().settledAt));
    }
    refill(client, now);
    client.limit = limit;
    client.baseRevision = 0;
    updateBase(client);
    return absl::OkStatus();
}

absl::Status ClientLimiter::removeClient(const ClientId& client, Instant now)
{
    if (auto status = advance(now); !status.ok())
        return status;
    if (m_clients.erase(client) == 0)
        return absl::NotFoundError("client limiter: unknown client");
    m_removedAt[client] = now;
    return absl::OkStatus();
}

ClientLimiter::Quota ClientLimiter::baseQuotaOf(const Client& client, Instant now) const
{
    return now < client.baseUsableFrom ? Quota {} : client.base;
}

ClientLimiter::Quota ClientLimiter::usableQuota(const Client& client, Instant now) const
{
    auto quota = baseQuotaOf(client, now);
    if (now < client.leasedUntil) {
        quota.rateMillis += client.leased.rateMillis;
        quota.concurrency += client.leased.concurrency;
    }
    return quota;
}

void ClientLimiter::refill(Client& client, Instant now) const
{
    // Tokens accrue at the base rate plus the leased rate until the lease expires, and at the base rate afterwards.
    auto accrue = [&](Instant until) {
        if (until <= client.refilledAt)
            return;
        const auto rate = usableQuota(client, client.refilledAt).rateMillis;
        const auto elapsed = (until - client.refilledAt).count();
        // Thousandths of a request per second times milliseconds give millionths of a request.
        const auto accrued = static_cast<__int128>(rate) * elapsed;
        const auto maxTokens = std::max<int64_t>(scaled(rate, m_options.burstWindow.count(), 1), microTokensPerRequest);
        client.tokensMicro = static_cast<int64_t>(std::min<__int128>(client.tokensMicro + accrued, maxTokens));
        client.refilledAt = until;
    };
    accrue(std::min(now, client.leasedUntil));
    accrue(now);
}

void ClientLimiter::advanceNextReport(const Client& client, Instant now)
{
    // Without the earlier report, requests of a client that is new at this member are limited for a whole report
    // interval.
    if (now >= client.leasedUntil)
        m_nextReport = std::min(m_nextReport, m_lastReport + minReportInterval);
}

absl::StatusOr<ClientLimiter::Outcome> ClientLimiter::admit(const ClientId& id, Instant now)
{
    auto it = m_clients.find(id);
    if (it == m_clients.end())
        return absl::NotFoundError("client limiter: unknown client");
    if (auto status = advance(now); !status.ok())
        return status;
    auto& client = it->second;
    ++client.arrivals;
    client.rejected = std::min(client.rejected, maxAmount);
    if (now >= m_authorityExpiry)
        return absl::FailedPreconditionError("client limiter: no authority to use shares");
    updateBase(client);
    refill(client, now);
    if (client.inUse >= usableQuota(client, now).concurrency) {
        ++client.rejected;
        client.peakDemand = std::max(client.peakDemand, client.inUse + client.rejected);
        advanceNextReport(client, now);
        return Outcome::ConcurrencyLimited;
    }
    if (client.tokensMicro < microTokensPerRequest) {
        advanceNextReport(client, now);
        return Outcome::RateLimited;
    }
    client.tokensMicro -= microTokensPerRequest;
    ++client.inUse;
    client.peakDemand = std::max(client.peakDemand, client.inUse);
    return Outcome::Admitted;
}

absl::Status ClientLimiter::finish(const ClientId& id, Instant now)
{
    auto it = m_clients.find(id);
    if (it == m_clients.end())
        return absl::NotFoundError("client limiter: unknown client");
    if (it->second.inUse == 0)
        return absl::FailedPreconditionError("client limiter: the client has no request in progress");
    if (auto status = advance(now); !status.ok())
        return status;
    --it->second.inUse;
    return absl::OkStatus();
}

absl::StatusOr<std::vector<ShareReport>> ClientLimiter::makeReports(Instant now)
{
    if (auto status = advance(now); !status.ok())
        return status;
    std::vector<ShareReport> result;
    if (now < m_nextReport)
        return result;
    const auto elapsed = std::max<int64_t>(1, (now - m_lastReport).count());
    m_lastReport = now;
    m_nextReport = now + m_options.reportInterval;
    std::map<MemberId, std::vector<ClientDemand>> demands;
    for (auto& [id, client] : m_clients) {
        const auto rate = std::min<int64_t>(maxAmount, client.arrivals * 1000000 / elapsed);
        // The estimate follows an increase at once and decays by at most a quarter per interval.
        client.rateDemandMillis = std::max(rate, (client.rateDemandMillis * 3 + rate) / 4);
        client.concurrencyDemand = std::max(client.peakDemand, client.concurrencyDemand * 3 / 4);
        client.arrivals = 0;
        client.rejected = 0;
        client.peakDemand = client.inUse;
        const bool isIdle = client.rateDemandMillis < 1000 && client.concurrencyDemand == 0;
        if (client.coordinator.id.empty() || (isIdle && now >= client.leasedUntil))
            continue;
        demands[client.coordinator.id].push_back({ .client = id,
            .rateMillis = client.rateDemandMillis,
            .concurrency = std::min(client.concurrencyDemand, maxAmount),
            .inUse = client.inUse,
            .heldGrantId = client.grantor == client.coordinator ? client.heldGrantId : 0 });
    }
    std::erase_if(m_reportSentAt, [&](const auto& entry) { return now >= entry.second + m_options.shareLease; });
    for (auto& [coordinator, clients] : demands) {
        m_reportSentAt[++m_sequence] = now;
        result.push_back({ .member = m_options.self,
            .incarnation = m_options.incarnation,
            .coordinator = coordinator,
            .sequence = m_sequence,
            .clients = std::move(clients) });
    }
    return result;
}

absl::StatusOr<ShareGrant> ClientLimiter::grant(const ShareReport& report, Instant now)
{
    if (report.coordinator != m_options.self)
        return absl::InvalidArgumentError("client limiter: the report is addressed to another member");
    if (report.clients.size() > maxClientsPerReport)
        return absl::InvalidArgumentError("client limiter: the report has too many clients");
    for (const auto& demand : report.clients) {
        if (!isAmount(demand.rateMillis) || !isAmount(demand.concurrency) || !isAmount(demand.inUse))
            return absl::InvalidArgumentError("client limiter: a demand is out of range");
    }
    if (auto status = advance(now); !status.ok())
        return status;
    const Member reporter { .id = report.member, .incarnation = report.incarnation };
    if (std::find(m_members.begin(), m_members.end(), reporter) == m_members.end())
        return absl::NotFoundError("client limiter: the reporting member is unknown");
    if (now >= m_authorityExpiry)
        return absl::FailedPreconditionError("client limiter: no authority to grant shares");

    ShareGrant result { .coordinator = m_options.self,
        .coordinatorIncarnation = m_options.incarnation,
        .member = report.member,
        .incarnation = report.incarnation,
        .sequence = report.sequence,
        .lease = m_options.shareLease };
    const Member self { .id = m_options.self, .incarnation = m_options.incarnation };
    for (const auto& demand : report.clients) {
        auto it = m_clients.find(demand.client);
        // Members receive configuration changes at different times, so a report may name a client that is not known
        // here.
        if (it == m_clients.end() || it->second.coordinator != self || now < it->second.coordinatingFrom)
            continue;
        if (auto share = grantShare(it->second, reporter, report.sequence, demand, now))
            result.shares.push_back(*share);
    }
    return result;
}

void ClientLimiter::expireHolders(Client& client, Instant now) const
{
    for (auto it = client.holders.begin(); it != client.holders.end();) {
        auto& holder = it->second;
        std::erase_if(holder.grants, [&](const auto& entry) { return now >= entry.concurrencyReusableAt; });
        const bool isReportExpired = now >= holder.reportedAt + m_options.shareLease;
        if (isReportExpired)
            holder.demand = {};
        it = isReportExpired && holder.grants.empty() ? client.holders.erase(it) : std::next(it);
    }
}

std::optional<ClientShare> ClientLimiter::grantShare(
    Client& client, const Member& reporter, uint64_t sequence, const ClientDemand& demand, Instant now)
{
    expireHolders(client, now);
    const std::pair key { reporter.id, reporter.incarnation };
    auto& holder = client.holders[key];
    if (sequence <= holder.sequence)
        return {};
    holder.sequence = sequence;
    holder.reportedAt = now;
    holder.demand = { .rateMillis = demand.rateMillis, .concurrency = demand.concurrency };
    // Grants older than the one that the member holds are no longer valid, but requests that it admitted under them may
    // be in progress.
    int64_t stillRunning = 0;
    const auto base = scaled(client.limit.concurrency, m_options.baseShareMillis, 1000)
        / std::max<int64_t>(1, static_cast<int64_t>(m_members.size()));
    std::erase_if(holder.grants, [&](const auto& entry) { return entry.grantId < demand.heldGrantId; });
    stillRunning = std::max<int64_t>(0, demand.inUse - base);
    holder.inUse = stillRunning;

    const auto targeted = targetQuota(client, key);
    const auto& limit = client.limit;
    Quota remaining { .rateMillis = limit.rateMillis - scaled(limit.rateMillis, m_options.baseShareMillis, 1000),
        .concurrency = limit.concurrency - scaled(limit.concurrency, m_options.baseShareMillis, 1000) };
    for (const auto& [id, other] : client.holders) {
        if (id == key)
            continue;
        Quota reserved { .rateMillis = 0, .concurrency = other.inUse };
        for (const auto& entry : other.grants) {
            if (now < entry.rateReusableAt)
                reserved.rateMillis = std::max(reserved.rateMillis, entry.share.rateMillis);
            reserved.concurrency = std::max(reserved.concurrency, entry.share.concurrency);
        }
        remaining.rateMillis -= reserved.rateMillis;
        remaining.concurrency -= reserved.concurrency;
    }
    const Quota share { .rateMillis
        = std::clamp<int64_t>(targeted.rateMillis, 0, std::max<int64_t>(0, remaining.rateMillis)),
        .concurrency = std::clamp<int64_t>(targeted.concurrency, 0, std::max<int64_t>(0, remaining.concurrency)) };
    const auto rateReusableAt = now + m_options.shareLease + m_options.leaseMargin;
    holder.grants.push_back({ .grantId = ++m_nextGrant,
        .share = share,
        .rateReusableAt = rateReusableAt,
        .concurrencyReusableAt = rateReusableAt + m_options.maxRequestDuration });
    return ClientShare { .client = client.limit.client,
        .grantId = m_nextGrant,
        .rateMillis = share.rateMillis,
        .concurrency = share.concurrency };
}

ClientLimiter::Quota ClientLimiter::targetQuota(const Client& client, const std::pair<MemberId, uint64_t>& member) const
{
    // Each reporting member has a minimum weight, so that an idle member has a share for its first requests.
    const Quota leasable { .rateMillis
        = client.limit.rateMillis - scaled(client.limit.rateMillis, m_options.baseShareMillis, 1000),
        .concurrency = client.limit.concurrency - scaled(client.limit.concurrency, m_options.baseShareMillis, 1000) };
    auto portion = [&](int64_t Quota::*field) {
        const auto minWeight = std::max<int64_t>(1, client.limit.*limitField(field) / 1000);
        const auto base = scaled(client.limit.*limitField(field), m_options.baseShareMillis, 1000)
            / std::max<int64_t>(1, static_cast<int64_t>(m_members.size()));
        __int128 before = 0;
        __int128 own = 0;
        __int128 total = 0;
        // The base share covers the first part of a member's demand.
        for (const auto& [id, holder] : client.holders) {
            const auto weight = std::max<int64_t>(minWeight, holder.demand.*field - base);
            before += id < member ? weight : 0;
            own += id == member ? weight : 0;
            total += weight;
        }
        // Rounding the cumulative sums instead of each portion makes the portions add up to exactly `whole`.
        const __int128 whole = leasable.*field;
        return static_cast<int64_t>(whole * (before + own) / total - whole * before / total);
    };
    return { .rateMillis = portion(&Quota::rateMillis), .concurrency = portion(&Quota::concurrency) };
}

absl::Status ClientLimiter::applyGrant(const ShareGrant& grant, Instant now)
{
    if (grant.member != m_options.self || grant.incarnation != m_options.incarnation)
        return absl::InvalidArgumentError("client limiter: the grant is addressed to another member");
    if (grant.lease <= Milliseconds(0) || grant.lease > m_options.shareLease)
        return absl::InvalidArgumentError("client limiter: the lease of the grant is out of range");
    for (const auto& share : grant.shares) {
        if (!isAmount(share.rateMillis) || !isAmount(share.concurrency))
            return absl::InvalidArgumentError("client limiter: a share is out of range");
    }
    if (auto status = advance(now); !status.ok())
        return status;
    auto sent = m_reportSentAt.find(grant.sequence);
    if (sent == m_reportSentAt.end())
        return absl::NotFoundError("client limiter: the grant matches no recent report");
    const auto until = sent->second + grant.lease;
    if (now >= until)
        return absl::DeadlineExceededError("client limiter: the lease of the grant expired before the grant arrived");
    const Member grantor { .id = grant.coordinator, .incarnation = grant.coordinatorIncarnation };
    for (const auto& share : grant.shares) {
        auto it = m_clients.find(share.client);
        if (it == m_clients.end() || it->second.coordinator != grantor)
            continue;
        auto& client = it->second;
        if (client.grantor == grantor && share.grantId <= client.heldGrantId)
            continue;
        updateBase(client);
        refill(client, now);
        client.grantor = grantor;
        client.heldGrantId = share.grantId;
        client.leased = { .rateMillis = share.rateMillis, .concurrency = share.concurrency };
        client.leasedUntil = until;
    }
    return absl::OkStatus();
}

absl::StatusOr<ClientShare> ClientLimiter::shareOf(const ClientId& id, Instant now) const
{
    auto it = m_clients.find(id);
    if (it == m_clients.end())
        return absl::NotFoundError("client limiter: unknown client");
    auto client = it->second;
    updateBase(client);
    const auto quota = usableQuota(client, now);
    return ClientShare { .client = id,
        .grantId = it->second.heldGrantId,
        .rateMillis = quota.rateMillis,
        .concurrency = quota.concurrency };
}

MemberId ClientLimiter::coordinatorOf(const ClientId& client) const
{
    auto it = m_clients.find(client);
    return it == m_clients.end() ? MemberId {} : it->second.coordinator.id;
}

}
