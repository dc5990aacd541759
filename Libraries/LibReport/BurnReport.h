#pragma once

#include <LibCore/Ids.h>
#include <LibReport/BurnObjective.h>
#include <LibReport/BurnSlice.h>
#include <LibReport/BurnTrend.h>
#include <LibReport/BurnWindow.h>
#include <cstdint>
#include <map>
#include <span>
#include <string>
#include <vector>

namespace Bergamot {

/// Burn rate above which the 5-minute and 1-hour windows together raise the fast alert. At this rate one hour consumes
/// 2 % of a 30-day error budget.
inline constexpr double fastBurnThreshold = 14.4;
/// Burn rate above which the 6-hour and 3-day windows together raise the slow alert. Above this rate the error budget
/// is exhausted before the 28-day window ends.
inline constexpr double slowBurnThreshold = 1.0;

/// Request counts, burn rates and error budget of a service, or of one client or zone of the service.
struct BurnStats {
    WindowCounts windows {};
    /// Error rate divided by the error rate that the objective allows, for each window. 0 without requests.
    std::array<double, burnWindowCount> burnRates {};
    /// Remaining fraction of the error budget of the 28-day window; negative when overspent, 1 without requests.
    double budgetRemaining { 1 };

    bool operator==(const BurnStats&) const = default;
};

BurnStats computeBurnStats(const WindowCounts&, double objectivePercent);

/// Burn report of one service, summed over all entry hosts.
struct BurnService {
    BurnObjective objective {};
    BurnStats total {};
    bool fastAlert { false };
    bool slowAlert { false };
    std::map<ClientId, BurnStats> byClient {};
    std::map<ZoneId, BurnStats> byZone {};
    std::vector<BurnSeries> series {};
    BurnTrend trend {};

    bool operator==(const BurnService&) const = default;
};

/// Configuration version of one entry host, and the age of its oldest data.
struct BurnHost {
    MemberId member {};
    uint64_t configVersion { 0 };
    int64_t coverageMinutes { 0 };

    bool operator==(const BurnHost&) const = default;
};

/// Burn report merged from all entry hosts. When hosts are missing, the counts are lower bounds and the rates cover
/// only the hosts that replied.
struct BurnReport {
    std::vector<BurnHost> hosts {};
    std::vector<MemberId> missingHosts {};
    std::vector<BurnService> services {};

    bool operator==(const BurnReport&) const = default;

    /// Coverage of the host whose data reaches back least, or 0 without hosts.
    int64_t minCoverageMinutes() const;
    /// Coverage of the host whose data reaches back furthest, or 0 without hosts.
    int64_t maxCoverageMinutes() const;
};

/// Sums the slices of all entry hosts. The result does not depend on the order of the slices. Of several slices from
/// one member only the one with the longest coverage is used. The objective of a service comes from the slice with the
/// newest configuration. A member with a slice is removed from the list of missing hosts.
BurnReport mergeBurn(std::span<const BurnSlice> slices, std::span<const MemberId> missingHosts);

}
