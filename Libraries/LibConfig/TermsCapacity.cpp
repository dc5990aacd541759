#include <LibConfig/TermsCapacity.h>
#include <algorithm>
#include <fmt/format.h>
#include <fmt/ranges.h>
#include <set>

namespace Bergamot {

namespace {

    using ServiceSet = std::set<std::string>;

    /// Bounds the time of the check, because the number of unions can grow exponentially. Sites have few services, so a
    /// site that exceeds the limit is rejected.
    constexpr size_t maxServiceSets = 1024;

    int64_t workersWithLargestZoneOut(const SiteConfig& config, const ZoneCapacities& capacity)
    {
        std::map<ZoneId, int64_t> workers;
        for (const auto& it : capacity) {
            if (config.findRegionOfZone(it.zone))
                workers[it.zone] += std::max<int64_t>(0, it.workers);
        }
        int64_t total = 0;
        int64_t largest = 0;
        for (const auto& [zone, n] : workers) {
            total += n;
            largest = std::max(largest, n);
        }
        return total - largest;
    }

    /// The sets of services that clients are limited to, and the unions of these sets. All guarantees can be met at the
    /// same time exactly when, for each of these sets, the guaranteed concurrency of the clients limited to its
    /// services fits the slots of these services (Hall's condition).
    std::set<ServiceSet> serviceSets(const SiteConfig& config)
    {
        std::set<ServiceSet> sets;
        for (const auto& client : config.clients) {
            ServiceSet clientServices(client.services.begin(), client.services.end());
            if (clientServices.empty() || sets.contains(clientServices))
                continue;
            auto unions = sets;
            for (auto merged : unions) {
                merged.insert(clientServices.begin(), clientServices.end());
                sets.insert(merged);
            }
            sets.insert(clientServices);
            if (sets.size() > maxServiceSets)
                break;
        }
        return sets;
    }

    int64_t concurrencyOf(const ClientConfig& client, const TermsInForce& inForce)
    {
        auto it = inForce.find(client.name);
        return it == inForce.end() ? client.terms.concurrency : it->second.concurrency;
    }

}

int64_t slotsWithLargestZoneOut(const SiteConfig& config, const ServiceConfig& service, const ZoneCapacities& capacity)
{
    auto workers = workersWithLargestZoneOut(config, capacity);
    // When a zone fails, services are placed before other work, so a fixed number of replicas moves to the remaining
    // zones.
    auto replicas = service.replicas > 0 ? std::min(service.replicas, workers) : workers;
    return replicas * service.slotsPerWorker;
}

Findings checkTermsFit(const SiteConfig& config, const ZoneCapacities& capacity, const TermsInForce& inForce)
{
    Findings findings;
    auto sets = serviceSets(config);
    if (sets.size() > maxServiceSets)
        findings.push_back({ .key = "clients",
            .message = "the clients use too many different combinations of services to check that their terms fit" });
    for (const auto& set : sets) {
        int64_t slots = 0;
        for (const auto& name : set) {
            if (const auto* service = config.findService(name))
                slots += slotsWithLargestZoneOut(config, *service, capacity);
        }
        int64_t guaranteed = 0;
        for (const auto& client : config.clients) {
            auto isLimitedToSet = std::includes(set.begin(), set.end(), client.services.begin(), client.services.end());
            if (!client.services.empty() && isLimitedToSet)
                guaranteed += concurrencyOf(client, inForce);
        }
        if (guaranteed > slots)
            findings.push_back({ .key = "clients",
                .message
                = fmt::format("{} requests in progress are guaranteed for {}, but only {} slots remain with the "
                              "largest zone out; lower concurrency by {} or add workers",
                    guaranteed, fmt::join(set, ", "), slots, guaranteed - slots) });
    }
    sortFindings(findings);
    return findings;
}

}
