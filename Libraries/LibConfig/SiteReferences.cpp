#include <LibConfig/NearestName.h>
#include <LibConfig/SiteReferences.h>
#include <LibConfig/SourceTree.h>
#include <algorithm>
#include <fmt/format.h>
#include <fmt/ranges.h>
#include <map>

namespace Bergamot {

namespace {

    template <typename Entry> void appendNames(std::vector<std::string>& names, const std::vector<Entry>& entries)
    {
        for (const auto& entry : entries)
            names.push_back(entry.name);
    }

    template <typename Entry> std::vector<std::string> namesOf(const std::vector<Entry>& entries)
    {
        std::vector<std::string> names;
        appendNames(names, entries);
        return names;
    }

    class ReferenceChecker {
    public:
        ReferenceChecker(const SiteConfig& config, const ReferenceContext& context)
            : m_config(config)
            , m_context(context)
        {
        }

        Findings check()
        {
            checkRegions();
            for (const auto& service : m_config.services)
                checkService(service);
            for (const auto& kind : m_config.kinds)
                checkKind(kind);
            for (const auto& client : m_config.clients)
                checkClient(client);
            for (const auto& team : m_config.teams)
                checkList(
                    joinPath("teams", team.name) + ".clients", team.clients, { "clients" }, namesOf(m_config.clients));
            return std::move(m_findings);
        }

    private:
        void checkRegions()
        {
            if (m_config.regions.empty())
                add("regions", "at least one region is required");
            std::map<std::string, std::string> regionNamesByZone;
            for (const auto& region : m_config.regions) {
                auto path = joinPath("regions", region.name) + ".zones";
                if (region.zones.empty())
                    add(path, "at least one zone is required");
                for (const auto& zone : region.zones) {
                    auto [it, isNew] = regionNamesByZone.emplace(zone, region.name);
                    if (!isNew)
                        add(path, fmt::format("zone \"{}\" belongs to region \"{}\" already", zone, it->second));
                }
            }
        }

        void checkService(const ServiceConfig& service)
        {
            auto path = joinPath("services", service.name);
            if (areUsable(path, { "slots_per_worker" }) && service.connectionsPerWorker < service.slotsPerWorker)
                add(path + ".connections_per_worker",
                    fmt::format("must be at least slots_per_worker, which is {}: each request in progress holds a "
                                "connection",
                        service.slotsPerWorker));
            if (areUsable(path, { "timeout_ms" }) && service.latencyTarget > service.timeout)
                add(path + ".latency_target_ms",
                    fmt::format("must be at most timeout_ms, which is {}", service.timeout.count()));
        }

        void checkKind(const JobKindConfig& kind)
        {
            auto path = joinPath("kinds", kind.name);
            if (m_config.findService(kind.name))
                add(path, "a service has the same name; yields_to could mean either");
            auto known = namesOf(m_config.services);
            appendNames(known, m_config.kinds);
            checkList(path + ".yields_to", kind.yieldsTo, { "services", "kinds" }, known);
            checkList(path + ".teams", kind.teams, { "teams" }, namesOf(m_config.teams));
            std::set<std::string> visited;
            if (reaches(kind, kind.name, visited))
                add(path + ".yields_to",
                    fmt::format("\"{}\" yields to itself, directly or through other kinds; jobs would evict each other "
                                "in turn",
                        kind.name));
        }

        bool reaches(const JobKindConfig& kind, const std::string& target, std::set<std::string>& visited) const
        {
            for (const auto& name : kind.yieldsTo) {
                if (name == target)
                    return true;
                const auto* next = m_config.findKind(name);
                if (next && visited.insert(name).second && reaches(*next, target, visited))
                    return true;
            }
            return false;
        }

        void checkClient(const ClientConfig& client)
        {
            auto path = joinPath("clients", client.name);
            checkList(path + ".services", client.services, { "services" }, namesOf(m_config.services));
            if (areUsable(path, { "services" }) && client.services.empty() && client.terms.concurrency > 0)
                add(path + ".concurrency", "guarantees requests, but the client may call no service");
            if (!areUsable(path, { "requests_per_second", "concurrency" }))
                return;
            const auto* previous = &client.terms;
            for (size_t n = 0; n < client.renewals.size(); ++n) {
                if (!client.renewals[n].isAtLeast(*previous))
                    add(path + ".renewals",
                        fmt::format("renewal {} ({} requests/s, {} requests) is below the terms before it ({} "
                                    "requests/s, {} requests)",
                            n + 1, client.renewals[n].requestsPerSecond, client.renewals[n].concurrency,
                            previous->requestsPerSecond, previous->concurrency));
                previous = &client.renewals[n];
            }
        }

        void checkList(const std::string& path, const std::vector<std::string>& names,
            const std::vector<std::string>& sections, const std::vector<std::string>& known)
        {
            for (const auto& name : names) {
                if (std::find(known.begin(), known.end(), name) != known.end())
                    continue;
                if (isDisabled(name, sections))
                    add(path, fmt::format("\"{}\" is left out at this site (enabled = false)", name));
                else
                    add(path,
                        fmt::format("\"{}\" does not exist in {}{}", name, fmt::join(sections, " or "),
                            suggestion(name, known)));
            }
        }

        bool isDisabled(const std::string& name, const std::vector<std::string>& sections) const
        {
            return std::any_of(sections.begin(), sections.end(),
                [&](const auto& section) { return m_context.disabled.contains(joinPath(section, name)); });
        }

        bool areUsable(const std::string& path, std::initializer_list<const char*> keys) const
        {
            return std::none_of(keys.begin(), keys.end(),
                [&](const char* key) { return m_context.unusable.contains(joinPath(path, key)); });
        }

        void add(const std::string& path, std::string message)
        {
            if (!m_context.unusable.contains(path))
                m_findings.push_back(m_context.makeFinding(path, std::move(message)));
        }

        const SiteConfig& m_config;
        const ReferenceContext& m_context;
        Findings m_findings;
    };

}

Findings checkReferences(const SiteConfig& config, const ReferenceContext& context)
{
    return ReferenceChecker(config, context).check();
}

}
