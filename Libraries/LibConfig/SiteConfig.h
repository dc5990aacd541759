#pragma once

#include <LibConfig/ClientConfig.h>
#include <LibConfig/JobKindConfig.h>
#include <LibConfig/PolicyConfig.h>
#include <LibConfig/RegionConfig.h>
#include <LibConfig/ServiceConfig.h>
#include <LibConfig/TeamConfig.h>
#include <algorithm>
#include <string_view>
#include <vector>

namespace Bergamot {

/// The effective configuration of one site: base and overlay merged, defaults applied, disabled entries left out.
/// Shared between threads as `std::shared_ptr<const SiteConfig>`. Every list is sorted by name.
struct SiteConfig {
    std::vector<RegionConfig> regions {};
    std::vector<ServiceConfig> services {};
    std::vector<JobKindConfig> kinds {};
    std::vector<ClientConfig> clients {};
    std::vector<TeamConfig> teams {};
    PolicyConfig policy {};

    bool operator==(const SiteConfig&) const = default;

    /// The find functions return null when no entry has the name.
    const ServiceConfig* findService(std::string_view name) const { return find(services, name); }
    const JobKindConfig* findKind(std::string_view name) const { return find(kinds, name); }
    const ClientConfig* findClient(std::string_view name) const { return find(clients, name); }
    const TeamConfig* findTeam(std::string_view name) const { return find(teams, name); }
    const RegionConfig* findRegion(std::string_view name) const { return find(regions, name); }

    /// The region that the zone belongs to, or null.
    const RegionConfig* findRegionOfZone(std::string_view zone) const
    {
        for (const auto& region : regions) {
            for (const auto& it : region.zones) {
                if (it == zone)
                    return &region;
            }
        }
        return nullptr;
    }

    /// True when client, team and kind exist, the team admits the client, and the kind admits the team.
    bool maySubmit(std::string_view client, std::string_view team, std::string_view kind) const
    {
        const auto* teamConfig = findTeam(team);
        const auto* kindConfig = findKind(kind);
        if (!findClient(client) || !teamConfig || !kindConfig)
            return false;
        auto admits = [](const std::vector<std::string>& names, std::string_view name) {
            return names.empty() || std::find(names.begin(), names.end(), name) != names.end();
        };
        return admits(teamConfig->clients, client) && admits(kindConfig->teams, team);
    }

private:
    template <typename Entry> static const Entry* find(const std::vector<Entry>& entries, std::string_view name)
    {
        for (const auto& entry : entries) {
            if (entry.name == name)
                return &entry;
        }
        return nullptr;
    }
};

}
