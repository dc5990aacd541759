#include <LibDecision/TermsLedger.h>
#include <algorithm>
#include <fmt/format.h>

namespace Bergamot {

namespace {

    /// Larger amounts could overflow the growth or the sum.
    constexpr int64_t maxAmount = int64_t { 1 } << 40;
    constexpr int64_t maxGrowthMillis = 10000;

    bool isAmount(int64_t n) { return n >= 0 && n <= maxAmount; }

    int64_t grown(int64_t n, int64_t growthMillis, int64_t max)
    {
        // Terms that were granted under an earlier plan never shrink.
        return std::max(n, std::min(max, n + (n * growthMillis + 999) / 1000));
    }

}

absl::StatusOr<TermsLedger> TermsLedger::create(Overflow overflow) { return TermsLedger(overflow); }

absl::Status TermsLedger::setPlan(const Plan& plan)
{
    if (plan.client.empty())
        return absl::InvalidArgumentError("terms: the client id is empty");
    for (auto amount : { plan.requestsPerSecond, plan.concurrency, plan.maxRequestsPerSecond, plan.maxConcurrency }) {
        if (!isAmount(amount))
            return absl::InvalidArgumentError("terms: an amount is out of range");
    }
    if (plan.growthMillis < 0 || plan.growthMillis > maxGrowthMillis)
        return absl::InvalidArgumentError("terms: the growth is out of range");
    if (plan.requestsPerSecond > plan.maxRequestsPerSecond || plan.concurrency > plan.maxConcurrency)
        return absl::InvalidArgumentError("terms: the first terms exceed the largest ones");
    m_plans[plan.client] = plan;
    return absl::OkStatus();
}

absl::Status TermsLedger::setCapacity(const std::map<ZoneId, int64_t>& slotsPerZone)
{
    for (const auto& [zone, slots] : slotsPerZone) {
        if (zone.empty() || !isAmount(slots))
            return absl::InvalidArgumentError("terms: a zone id is empty or its slots are out of range");
    }
    m_slots = slotsPerZone;
    return absl::OkStatus();
}

int64_t TermsLedger::heldBy(const ClientId& client) const
{
    auto it = m_terms.find(client);
    return it == m_terms.end() ? 0 : it->second.concurrency;
}

int64_t TermsLedger::roomFor(const ClientId& client) const
{
    return slotsWithLargestZoneOut() - (guaranteed() - heldBy(client));
}

absl::Status TermsLedger::doesNotFit() const
{
    return absl::ResourceExhaustedError(fmt::format("terms: {} slots are guaranteed and {} remain with the largest "
                                                    "zone out",
        guaranteed(), slotsWithLargestZoneOut()));
}

absl::StatusOr<TermsLedger::Terms> TermsLedger::propose(const ClientId& client) const
{
    auto plan = m_plans.find(client);
    if (plan == m_plans.end())
        return absl::NotFoundError("terms: the client has no plan");
    const auto& p = plan->second;
    Terms next {
        .client = client, .renewal = 1, .requestsPerSecond = p.requestsPerSecond, .concurrency = p.concurrency
    };
    if (auto it = m_terms.find(client); it != m_terms.end()) {
        const auto& last = it->second;
        next.renewal = last.renewal + 1;
        next.requestsPerSecond = grown(last.requestsPerSecond, p.growthMillis, p.maxRequestsPerSecond);
        next.concurrency = grown(last.concurrency, p.growthMillis, p.maxConcurrency);
    }
    const auto room = roomFor(client);
    if (next.concurrency <= room)
        return next;
    if (m_overflow == Overflow::Refuse || room <= heldBy(client))
        return doesNotFit();
    next.concurrency = room;
    return next;
}

absl::StatusOr<TermsLedger::Terms> TermsLedger::apply(const Terms& recorded, LogPosition position)
{
    if (recorded.client.empty() || !isAmount(recorded.requestsPerSecond) || !isAmount(recorded.concurrency))
        return absl::InvalidArgumentError("terms: the client id is empty or an amount is out of range");
    if (m_lastPosition && position <= *m_lastPosition)
        return absl::AlreadyExistsError("terms: a record at or after this log position was applied before");
    m_lastPosition = position;
    const auto it = m_terms.find(recorded.client);
    const auto last = it == m_terms.end() ? Terms {} : it->second;
    if (recorded.renewal <= last.renewal)
        return absl::AlreadyExistsError("terms: this renewal took effect before");
    if (recorded.renewal != last.renewal + 1)
        return absl::FailedPreconditionError("terms: a renewal before this one is missing");
    if (recorded.requestsPerSecond < last.requestsPerSecond || recorded.concurrency < last.concurrency)
        return absl::FailedPreconditionError("terms: a renewal must not shrink the terms");
    if (recorded.concurrency > roomFor(recorded.client))
        return doesNotFit();
    m_terms[recorded.client] = recorded;
    return recorded;
}

absl::Status TermsLedger::restore(const std::vector<Terms>& terms, std::optional<LogPosition> lastPosition)
{
    std::map<ClientId, Terms> restored;
    for (const auto& entry : terms) {
        const bool isValid = !entry.client.empty() && entry.renewal > 0 && isAmount(entry.requestsPerSecond)
            && isAmount(entry.concurrency);
        if (!isValid || !restored.emplace(entry.client, entry).second)
            return absl::InvalidArgumentError("terms: an entry of the snapshot is out of range or listed twice");
    }
    m_terms = std::move(restored);
    m_lastPosition = lastPosition;
    return absl::OkStatus();
}

absl::StatusOr<TermsLedger::Terms> TermsLedger::termsOf(const ClientId& client) const
{
    auto it = m_terms.find(client);
    if (it == m_terms.end())
        return absl::NotFoundError("terms: the client has no terms");
    return it->second;
}

std::vector<TermsLedger::Terms> TermsLedger::all() const
{
    std::vector<Terms> result;
    for (const auto& [client, terms] : m_terms)
        result.push_back(terms);
    return result;
}

int64_t TermsLedger::slotsWithLargestZoneOut() const
{
    int64_t sum = 0;
    int64_t largest = 0;
    for (const auto& [zone, slots] : m_slots) {
        sum += slots;
        largest = std::max(largest, slots);
    }
    return sum - largest;
}

int64_t TermsLedger::guaranteed() const
{
    int64_t sum = 0;
    for (const auto& [client, terms] : m_terms)
        sum += terms.concurrency;
    return sum;
}

}
