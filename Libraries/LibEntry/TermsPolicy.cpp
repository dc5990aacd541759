#include <LibEntry/TermsPolicy.h>
#include <algorithm>
#include <map>

namespace Bergamot {

uint32_t TermsPolicy::renewalsMade(const ClientConfig& client) const
{
    auto it = m_image.terms.find(client.name);
    return it == m_image.terms.end() ? 0 : it->second.current.renewal;
}

ClientTerms TermsPolicy::current(const ClientConfig& client) const
{
    auto it = m_image.terms.find(client.name);
    if (it == m_image.terms.end())
        return client.terms;
    return { .requestsPerSecond = it->second.current.requestsPerSecond, .concurrency = it->second.current.concurrency };
}

std::optional<ClientTerms> TermsPolicy::nextTerms(const ClientConfig& client) const
{
    auto made = renewalsMade(client);
    if (made >= client.renewals.size())
        return std::nullopt;
    return client.renewals[made];
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
    int64_t largest = 0;
    for (const auto& [zone, slots] : slotsByZone(m_config, m_image))
        largest = std::max(largest, slots);
    return totalSlots() - largest;
}

int64_t TermsPolicy::guaranteedConcurrency() const
{
    int64_t sum = 0;
    for (const auto& client : m_config.clients)
        sum += current(client).concurrency;
    return sum;
}

std::variant<TermsPolicy::Grant, TermsPolicy::Refusal> TermsPolicy::renew(
    const ClientConfig& client, uint64_t renewal) const
{
    auto held = current(client);
    auto made = renewalsMade(client);
    if (renewal != uint64_t { made } + 1)
        return Refusal { .type = "renewal-conflict", .title = "This is not the next renewal" };
    auto wanted = nextTerms(client);
    if (!wanted)
        return Refusal { .type = "no-renewal-left", .title = "The configuration holds no further renewal" };
    auto room = slotsWithLargestZoneOut() - (guaranteedConcurrency() - held.concurrency);
    TermsRenewed record { .client = client.name,
        .renewal = made + 1,
        .requestsPerSecond = wanted->requestsPerSecond,
        .concurrency = wanted->concurrency,
        .basedOn = m_image.termsChangedAt };
    if (wanted->concurrency <= room)
        return Grant { .record = record };
    // Terms never shrink at a renewal; what the client holds stays guaranteed.
    ClientTerms largest { .requestsPerSecond = wanted->requestsPerSecond,
        .concurrency = std::max(held.concurrency, room) };
    if (client.onInsufficientCapacity == InsufficientCapacityRule::Refuse || largest.concurrency <= held.concurrency)
        return Refusal { .type = "insufficient-capacity",
            .title = "The terms do not fit the slots that remain with the largest zone out",
            .requested = *wanted,
            .largest = largest };
    record.concurrency = largest.concurrency;
    return Grant { .record = record, .reduced = true };
}

}
