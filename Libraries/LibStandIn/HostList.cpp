#include <LibStandIn/HostList.h>
#include <algorithm>
#include <utility>

namespace Bergamot {

HostList::HostList(std::vector<HostEntry> hosts, Milliseconds lag)
    : m_hosts(std::move(hosts))
    , m_lag(lag)
{
}

absl::Status HostList::setHostState(const WorkerId& id, HostState state, Instant now)
{
    if (std::ranges::none_of(m_hosts, [&](const auto& host) { return host.id == id; }))
        return absl::NotFoundError("unknown host");
    m_changes.push_back({ id, state, now + m_lag });
    return absl::OkStatus();
}

absl::Status HostList::setZoneState(const ZoneId& zone, HostState state, Instant now)
{
    bool found = false;
    for (const auto& host : m_hosts) {
        if (host.zone != zone)
            continue;
        found = true;
        m_changes.push_back({ host.id, state, now + m_lag });
    }
    return found ? absl::OkStatus() : absl::NotFoundError("unknown zone");
}

std::vector<HostEntry> HostList::visibleHosts(Instant now) const
{
    std::map<WorkerId, HostState> states;
    for (const auto& change : m_changes) {
        if (change.visibleFrom <= now)
            states[change.host] = change.state;
    }
    std::vector<HostEntry> result;
    for (auto host : m_hosts) {
        auto it = states.find(host.id);
        auto state = it == states.end() ? HostState::Live : it->second;
        if (state == HostState::Gone)
            continue;
        host.leaving = state == HostState::Leaving;
        result.push_back(std::move(host));
    }
    return result;
}

}
