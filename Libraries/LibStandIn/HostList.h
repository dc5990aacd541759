#pragma once

#include <LibCore/Time.h>
#include <LibPlatform/HostEntry.h>
#include <LibStandIn/HostState.h>
#include <absl/status/status.h>
#include <map>
#include <string>
#include <vector>

namespace Bergamot {

/// The platform's host list, in which a state change becomes visible after a lag. Callers pass the current time, so
/// that tests run in virtual time.
class HostList {
public:
    struct Change {
        WorkerId host;
        HostState state { HostState::Live };
        Instant visibleFrom {};
    };

    HostList(std::vector<HostEntry> hosts, Milliseconds lag);

    /// Both setters change the state of one host or of all hosts of a zone, and return NotFound when no host matches.
    absl::Status setHostState(const WorkerId&, HostState, Instant now);
    absl::Status setZoneState(const ZoneId&, HostState, Instant now);

    /// Returns the hosts that are visible at this time, without those in state Gone.
    std::vector<HostEntry> visibleHosts(Instant now) const;

    /// Returns all state changes so far, with the time from which each is visible.
    const std::vector<Change>& changes() const { return m_changes; }

private:
    std::vector<HostEntry> m_hosts;
    Milliseconds m_lag;
    std::vector<Change> m_changes;
};

}
