#include <LibCore/Digest.h>
#include <LibDecision/ClientLimiter.h>
#include <algorithm>
#include <set>

namespace Bergamot {

namespace {
    constexpr int64_t maxAmount = int64_t { 1 } << 40;
    constexpr int64_t oneRequest = 1000000;
    constexpr Milliseconds minReportInterval { 10 };
    constexpr size_t maxClientsPerReport = 100000;

    bool isAmount(int64_t n) { return n >= 0 && n <= maxAmount; }

    uint64_t scoreOf(const ClientId& client, const MemberId& member)
    {
        return mixDigest(digestOf(client), digestOf(member));
    }

    /// Without overflow: both factors are at most 2^40.
    int64_t scaled(int64_t n, int64_t part, int64_t whole)
    {
        return static_cast<int64_t>(static_cast<__int128>(n) * part / whole);
    }
}

absl::StatusOr<ClientLimiter> ClientLimiter::create(Options options)
{
    if (options.self.empty())
        return absl::InvalidArgumentError("client limiter: the member id is empty");
    if (options.baseMillis < 0 || options.baseMillis > 1000)
        return absl::InvalidArgumentError("client limiter: the base part is not between 0 and 1000 thousandths");
    for (auto length :
        { options.evidenceMaxAge, options.shareLease, options.maxHold, options.burst, options.reportInterval }) {
        if (length <= Milliseconds(0) || length > std::chrono::hours(1))
            return absl::InvalidArgumentError("client limiter: times must lie between 1 ms and 1 h");
    }
    if (options.driftMargin < Milliseconds(0) || options.leaseMargin < Milliseconds(0))
        return absl::InvalidArgumentError("client limiter: a margin is negative");
    return ClientLimiter(std::move(options));
}

ClientLimiter::ClientLimiter(Options options)
    : m_options(std::move(options))
    // The last use under an old membership begins with old evidence and a lease granted then, and lasts a hold.
    , m_settle(m_options.evidenceMaxAge + m_options.shareLease + m_options.maxHold + m_options.driftMargin)
    // Before the first membership has settled there is no share.
    , m_memberships { Membership {} }
{
}

absl::Status ClientLimiter::advance(Instant now)
{
    if (now < m_now)
        return absl::InvalidArgumentError("client limiter: time went back");
    m_now = now;
    while (m_memberships.size() > 1 && now >= m_memberships[1].settled) {
        m_memberships.pop_front();
        ++m_revision;
    }
    return absl::OkStatus();
}

ClientLimiter::Split ClientLimiter::evenSplit(const Limit& limit, const std::vector<Member>& members) const
{
    const bool isListed = std::any_of(members.begin(), members.end(), [this](const auto& member) {
        return member.id == m_options.self && member.incarnation == m_options.incarnation;
    });
    if (!isListed)
        return {};
    const auto count = static_cast<int64_t>(members.size());
    const auto baseConcurrency = scaled(limit.concurrency, m_options.baseMillis, 1000);
    // Whole units that are left over go to the first members in rendezvous order of the client.
    const auto own = scoreOf(limit.client, m_options.self);
    const auto rank = std::count_if(members.begin(), members.end(), [&](const auto& member) {
        const auto score = scoreOf(limit.client, member.id);
        return score > own || (score == own && member.id < m_options.self);
    });
    return { .rateMillis = scaled(limit.rateMillis, m_options.baseMillis, 1000) / count,
        .concurrency = baseConcurrency / count + (rank < baseConcurrency % count ? 1 : 0) };
}

void ClientLimiter::updateBase(Client& client) const
{
    if (client.baseRevision == m_revision)
        return;
    client.baseRevision = m_revision;
    client.base = { .rateMillis = maxAmount, .concurrency = maxAmount };
    for (const auto& membership : m_memberships) {
        const auto split = evenSplit(client.limit, membership.members);
        client.base.rateMillis = std::min(client.base.rateMillis, split.rateMillis);
        client.base.concurrency = std::min(client.base.concurrency, split.concurrency);
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
    m_memberships.push_back({ .settled = now + m_settle, .members = members });
    ++m_revision;
    for (auto& [id, client] : m_clients) {
        refill(client, now);
        updateBase(client);
        assignCoordinator(client, now + m_settle);
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
        client.refilled = now;
        client.limit.client = limit.client;
        std::erase_if(m_removed, [&](const auto& entry) { return now >= entry.second + m_settle; });
        // Requests and leases of a client that was removed a moment ago may still be in force.
        if (auto removed = m_removed.find(limit.client); removed != m_removed.end())
            client.baseFrom = removed->second + m_settle;
        assignCoordinator(client, std::max(client.baseFrom, m_memberships.back().settled));
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
    m_removed[client] = now;
    return absl::OkStatus();
}

ClientLimiter::Split ClientLimiter::baseOf(const Client& client, Instant now) const
{
    return now < client.baseFrom ? Split {} : client.base;
}

ClientLimiter::Split ClientLimiter::usable(const Client& client, Instant now) const
{
    auto split = baseOf(client, now);
    if (now < client.leasedUntil) {
        split.rateMillis += client.leased.rateMillis;
        split.concurrency += client.leased.concurrency;
    }
    return split;
}

void ClientLimiter::refill(Client& client, Instant now) const
{
    // Time before the end of the lease earns at the leased rate, the rest at the base rate.
    auto earn = [&](Instant until) {
        if (until <= client.refilled)
            return;
        const auto rate = usable(client, client.refilled).rateMillis;
        const auto passed = (until - client.refilled).count();
        // thousandths of requests per second x ms = millionths of requests
        const auto earned = static_cast<__int128>(rate) * passed;
        const auto most = std::max<int64_t>(scaled(rate, m_options.burst.count(), 1), oneRequest);
        client.tokensMicro = static_cast<int64_t>(std::min<__int128>(client.tokensMicro + earned, most));
        client.refilled = until;
    };
    earn(std::min(now, client.leasedUntil));
    earn(now);
}

void ClientLimiter::hastenReport(const Client& client, Instant now)
{
    // The first requests of a client at this member would otherwise be refused for a whole report interval.
    if (now >= client.leasedUntil)
        m_nextReport = std::min(m_nextReport, m_lastReport + minReportInterval);
}

absl::StatusOr<ClientLimiter::Verdict> ClientLimiter::admit(const ClientId& id, Instant now)
{
    auto it = m_clients.find(id);
    if (it == m_clients.end())
        return absl::NotFoundError("client limiter: unknown client");
    if (auto status = advance(now); !status.ok())
        return status;
    auto& client = it->second;
    ++client.arrivals;
    client.refused = std::min(client.refused, maxAmount);
    if (now >= m_authorityUntil)
        return absl::FailedPreconditionError("client limiter: no authority to use shares");
    updateBase(client);
    refill(client, now);
    if (client.inUse >= usable(client, now).concurrency) {
        ++client.refused;
        client.peakWanted = std::max(client.peakWanted, client.inUse + client.refused);
        hastenReport(client, now);
        return Verdict::ConcurrencyLimited;
    }
    if (client.tokensMicro < oneRequest) {
        hastenReport(client, now);
        return Verdict::RateLimited;
    }
    client.tokensMicro -= oneRequest;
    ++client.inUse;
    client.peakWanted = std::max(client.peakWanted, client.inUse);
    return Verdict::Admitted;
}

absl::Status ClientLimiter::finish(const ClientId& id, Instant now)
{
    auto it = m_clients.find(id);
    if (it == m_clients.end())
        return absl::NotFoundError("client limiter: unknown client");
    if (it->second.inUse == 0)
        return absl::FailedPreconditionError("client limiter: no request of the client runs");
    if (auto status = advance(now); !status.ok())
        return status;
    --it->second.inUse;
    return absl::OkStatus();
}

absl::StatusOr<std::vector<ShareReport>> ClientLimiter::reports(Instant now)
{
    if (auto status = advance(now); !status.ok())
        return status;
    std::vector<ShareReport> result;
    if (now < m_nextReport)
        return result;
    const auto passed = std::max<int64_t>(1, (now - m_lastReport).count());
    m_lastReport = now;
    m_nextReport = now + m_options.reportInterval;
    std::map<MemberId, std::vector<ClientDemand>> demands;
    for (auto& [id, client] : m_clients) {
        const auto rate = std::min<int64_t>(maxAmount, client.arrivals * 1000000 / passed);
        // A rise counts at once, a fall over a few intervals.
        client.rateDemandMillis = std::max(rate, (client.rateDemandMillis * 3 + rate) / 4);
        client.wantedDemand = std::max(client.peakWanted, client.wantedDemand * 3 / 4);
        client.arrivals = 0;
        client.refused = 0;
        client.peakWanted = client.inUse;
        const bool isIdle = client.rateDemandMillis < 1000 && client.wantedDemand == 0;
        if (client.coordinator.id.empty() || (isIdle && now >= client.leasedUntil))
            continue;
        demands[client.coordinator.id].push_back({ .client = id,
            .rateMillis = client.rateDemandMillis,
            .concurrency = std::min(client.wantedDemand, maxAmount),
            .inUse = client.inUse,
            .heldGrant = client.grantor == client.coordinator ? client.heldGrant : 0 });
    }
    std::erase_if(m_sent, [&](const auto& entry) { return now >= entry.second + m_options.shareLease; });
    for (auto& [coordinator, clients] : demands) {
        m_sent[++m_sequence] = now;
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
        return absl::InvalidArgumentError("client limiter: the report is for another member");
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
        return absl::NotFoundError("client limiter: the report is of an unknown member");
    if (now >= m_authorityUntil)
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
        // Configuration reaches members at different times, so an unknown client gets no share yet.
        if (it == m_clients.end() || it->second.coordinator != self || now < it->second.coordinatingFrom)
            continue;
        if (auto share = grantOne(it->second, reporter, report.sequence, demand, now))
            result.shares.push_back(*share);
    }
    return result;
}

void ClientLimiter::expireHolders(Client& client, Instant now) const
{
    for (auto it = client.holders.begin(); it != client.holders.end();) {
        auto& holder = it->second;
        std::erase_if(holder.grants, [&](const auto& entry) { return now >= entry.concurrencyFree; });
        const bool isSilent = now >= holder.reported + m_options.shareLease;
        if (isSilent)
            holder.demand = {};
        it = isSilent && holder.grants.empty() ? client.holders.erase(it) : std::next(it);
    }
}

std::optional<ClientShare> ClientLimiter::grantOne(
    Client& client, const Member& reporter, uint64_t sequence, const ClientDemand& demand, Instant now)
{
    expireHolders(client, now);
    const std::pair key { reporter.id, reporter.incarnation };
    auto& holder = client.holders[key];
    if (sequence <= holder.sequence)
        return {};
    holder.sequence = sequence;
    holder.reported = now;
    holder.demand = { .rateMillis = demand.rateMillis, .concurrency = demand.concurrency };
    // Grants before the one that the member holds are no longer in force, but requests that it admitted under them
    // may still run.
    int64_t stillRunning = 0;
    const auto base = scaled(client.limit.concurrency, m_options.baseMillis, 1000)
        / std::max<int64_t>(1, static_cast<int64_t>(m_members.size()));
    std::erase_if(holder.grants, [&](const auto& entry) { return entry.grant < demand.heldGrant; });
    stillRunning = std::max<int64_t>(0, demand.inUse - base);
    holder.inUse = stillRunning;

    const auto wanted = target(client, key);
    const auto& limit = client.limit;
    Split left { .rateMillis = limit.rateMillis - scaled(limit.rateMillis, m_options.baseMillis, 1000),
        .concurrency = limit.concurrency - scaled(limit.concurrency, m_options.baseMillis, 1000) };
    for (const auto& [id, other] : client.holders) {
        if (id == key)
            continue;
        Split reserved { .rateMillis = 0, .concurrency = other.inUse };
        for (const auto& entry : other.grants) {
            if (now < entry.rateFree)
                reserved.rateMillis = std::max(reserved.rateMillis, entry.share.rateMillis);
            reserved.concurrency = std::max(reserved.concurrency, entry.share.concurrency);
        }
        left.rateMillis -= reserved.rateMillis;
        left.concurrency -= reserved.concurrency;
    }
    const Split share { .rateMillis = std::clamp<int64_t>(wanted.rateMillis, 0, std::max<int64_t>(0, left.rateMillis)),
        .concurrency = std::clamp<int64_t>(wanted.concurrency, 0, std::max<int64_t>(0, left.concurrency)) };
    const auto rateFree = now + m_options.shareLease + m_options.leaseMargin;
    holder.grants.push_back({ .grant = ++m_nextGrant,
        .share = share,
        .rateFree = rateFree,
        .concurrencyFree = rateFree + m_options.maxHold });
    return ClientShare { .client = client.limit.client,
        .grant = m_nextGrant,
        .rateMillis = share.rateMillis,
        .concurrency = share.concurrency };
}

ClientLimiter::Split ClientLimiter::target(const Client& client, const std::pair<MemberId, uint64_t>& member) const
{
    // Every reporting member counts with a little demand, so that a first request does not find nothing.
    const Split dynamic { .rateMillis
        = client.limit.rateMillis - scaled(client.limit.rateMillis, m_options.baseMillis, 1000),
        .concurrency = client.limit.concurrency - scaled(client.limit.concurrency, m_options.baseMillis, 1000) };
    auto portion = [&](int64_t Split::*part) {
        const auto least = std::max<int64_t>(1, client.limit.*limitPart(part) / 1000);
        const auto base = scaled(client.limit.*limitPart(part), m_options.baseMillis, 1000)
            / std::max<int64_t>(1, static_cast<int64_t>(m_members.size()));
        __int128 before = 0;
        __int128 own = 0;
        __int128 total = 0;
        // The base share covers the first part of a member's demand.
        for (const auto& [id, holder] : client.holders) {
            const auto weight = std::max<int64_t>(least, holder.demand.*part - base);
            before += id < member ? weight : 0;
            own += id == member ? weight : 0;
            total += weight;
        }
        // Rounding of the running sum keeps the sum of all portions at the whole.
        const __int128 whole = dynamic.*part;
        return static_cast<int64_t>(whole * (before + own) / total - whole * before / total);
    };
    return { .rateMillis = portion(&Split::rateMillis), .concurrency = portion(&Split::concurrency) };
}

absl::Status ClientLimiter::receive(const ShareGrant& grant, Instant now)
{
    if (grant.member != m_options.self || grant.incarnation != m_options.incarnation)
        return absl::InvalidArgumentError("client limiter: the grant is for another member");
    if (grant.lease <= Milliseconds(0) || grant.lease > m_options.shareLease)
        return absl::InvalidArgumentError("client limiter: the lease of the grant is out of range");
    for (const auto& share : grant.shares) {
        if (!isAmount(share.rateMillis) || !isAmount(share.concurrency))
            return absl::InvalidArgumentError("client limiter: a share is out of range");
    }
    if (auto status = advance(now); !status.ok())
        return status;
    auto sent = m_sent.find(grant.sequence);
    if (sent == m_sent.end())
        return absl::NotFoundError("client limiter: the grant answers no report");
    const auto until = sent->second + grant.lease;
    if (now >= until)
        return absl::DeadlineExceededError("client limiter: the grant has lapsed on the way");
    const Member grantor { .id = grant.coordinator, .incarnation = grant.coordinatorIncarnation };
    for (const auto& share : grant.shares) {
        auto it = m_clients.find(share.client);
        if (it == m_clients.end() || it->second.coordinator != grantor)
            continue;
        auto& client = it->second;
        if (client.grantor == grantor && share.grant <= client.heldGrant)
            continue;
        updateBase(client);
        refill(client, now);
        client.grantor = grantor;
        client.heldGrant = share.grant;
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
    const auto split = usable(client, now);
    return ClientShare {
        .client = id, .grant = it->second.heldGrant, .rateMillis = split.rateMillis, .concurrency = split.concurrency
    };
}

MemberId ClientLimiter::coordinatorOf(const ClientId& client) const
{
    auto it = m_clients.find(client);
    return it == m_clients.end() ? MemberId {} : it->second.coordinator.id;
}

}
