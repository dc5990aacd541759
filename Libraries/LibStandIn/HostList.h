#pragma once

#include <LibCore/Time.h>
#include <LibPlatform/HostEntry.h>
#include <LibStandIn/HostState.h>
#include <absl/status/status.h>
#include <map>
#include <string>
#include <vector>

namespace Bergamot {

/// The platform's host list, which shows a change of state after a lag. Time is a parameter.
class HostList {
public:
    struct Change {
        WorkerId host;
        HostState state { HostState::Live };
        Instant shownAt {};
    };

    HostList(std::vector<HostEntry> hosts, Milliseconds lag);

    /// Changes one host, or all hosts of a zone. NotFound when there is none.
    absl::Status setHostState(const WorkerId&, HostState, Instant now);
    absl::Status setZoneState(const ZoneId&, HostState, Instant now);

    /// What the list shows at this time.
    std::vector<HostEntry> shown(Instant now) const;

    /// All changes so far, with the time from which each is shown.
    const std::vector<Change>& changes() const { return m_changes; }

private:
    std::vector<HostEntry> m_hosts;
    Milliseconds m_lag;
    std::vector<Change> m_changes;
};

}
