#include <LibEntry/TermsPolicy.h>
#include <algorithm>
#include <map>

namespace Bergamot {

uint32_t TermsPolicy::renewalCount(const ClientConfig& client) const
{
    auto it = m_image.terms.find(client.name);
    return it == m_image.terms.end() ? 0 : it->second.current.renewal;
}

ClientTerms TermsPolicy::currentTerms(const ClientConfig& client) const
{
    auto it = m_image.terms.find(client.name);
    if (it == m_image.terms.end())
        return client.terms;
    return { .requestsPerSecond = it->second.current.requestsPerSecond, .concurrency = it->second.current.concurrency };
}

std::optional<ClientTerms> TermsPolicy::nextTerms(const ClientConfig& client) const
{
    auto count = renewalCount(client);
    if (count >= client.renewals.size())
        return std::nullopt;
    return client.renewals[count];
}

static std::map<ZoneId, int64_t> slotsByZone(const SiteConfig& config, const StateImage& image)
{
    std::map<ZoneId, int64_t> slots;
    for (const auto& [id, worker] : image.workers) {
        if (worker.spec.gone || worker.spec.leaving)
            continue;
        for (const auto& service : config.services)
            slots[worker.spec.zone] += service.slotsPerWorker;
    }
    return slots;
}

int64_t TermsPolicy::totalSlots() const
{
    int64_t sum = 0;
    for (const auto& [zone, slots] : slotsByZone(m_config, m_image))
        sum += slots;
    return sum;
}

int64_t TermsPolicy::slotsWithLargestZoneOut() const
{
    int64_t largestZoneSlots = 0;
    for (const auto& [zone, slots] : slotsByZone(m_config, m_image))
        largestZoneSlots = std::max(largestZoneSlots, slots);
    return totalSlots() - largestZoneSlots;
}

int64_t TermsPolicy::guaranteedConcurrency() const
{
    int64_t sum = 0;
    for (const auto& client : m_config.clients)
        sum += currentTerms(client).concurrency;
    return sum;
}

std::variant<TermsPolicy::Grant, TermsPolicy::Rejection> TermsPolicy::renew(
    const ClientConfig& client, uint64_t renewal) const
{
    auto heldTerms = currentTerms(client);
    auto count = renewalCount(client);
    if (renewal != uint64_t { count } + 1)
        return Rejection { .type = "renewal-conflict", .title = "This is not the next renewal" };
    auto requestedTerms = nextTerms(client);
    if (!requestedTerms)
        return Rejection { .type = "no-renewal-left", .title = "The configuration holds no further renewal" };
    auto availableSlots = slotsWithLargestZoneOut() - (guaranteedConcurrency() - heldTerms.concurrency);
    TermsRenewed record { .client = client.name,
        .renewal = count + 1,
        .requestsPerSecond = requestedTerms->requestsPerSecond,
        .concurrency = requestedTerms->concurrency,
        .basedOn = m_image.termsChangedAt };
    if (requestedTerms->concurrency <= availableSlots)
        return Grant { .record = record };
    // A renewal never lowers the guaranteed concurrency below the client's current one.
    ClientTerms largestThatFits { .requestsPerSecond = requestedTerms->requestsPerSecond,
        .concurrency = std::max(heldTerms.concurrency, availableSlots) };
    if (client.onInsufficientCapacity == InsufficientCapacityRule::Refuse
        || largestThatFits.concurrency <= heldTerms.concurrency)
        return Rejection { .type = "insufficient-capacity",
            .title = "The terms do not fit the slots that remain with the largest zone out",
            .requested = *requestedTerms,
            .largestThatFits = largestThatFits };
    record.concurrency = largestThatFits.concurrency;
    return Grant { .record = record, .isReduced = true };
}

}
