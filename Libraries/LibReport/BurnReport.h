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

/// Burn rate above which the windows of 5 min and 1 h raise the fast alert: 2 % of a 30-day budget in one hour.
inline constexpr double fastBurnThreshold = 14.4;
/// Burn rate above which the windows of 6 h and 3 d raise the slow alert: the budget ends before its 28 days do.
inline constexpr double slowBurnThreshold = 1.0;

/// The figures of a service, or of one client or zone of it.
struct BurnFigures {
    WindowCounts windows {};
    /// Share of bad requests divided by the share that the objective allows, by window. 0 without requests.
    std::array<double, burnWindowCount> burnRates {};
    /// Part of the error budget of the requests of 28 days that is left; negative when overspent, 1 without requests.
    double budgetLeft { 1 };

    bool operator==(const BurnFigures&) const = default;
};

BurnFigures burnFiguresOf(const WindowCounts&, double objectivePercent);

/// The report of one service over all entry hosts.
struct BurnService {
    BurnObjective objective {};
    BurnFigures total {};
    bool fastAlert { false };
    bool slowAlert { false };
    std::map<ClientId, BurnFigures> byClient {};
    std::map<ZoneId, BurnFigures> byZone {};
    std::vector<BurnSeries> series {};
    BurnTrend trend {};

    bool operator==(const BurnService&) const = default;
};

/// How far the data of one entry host reaches back.
struct BurnHost {
    MemberId member {};
    uint64_t configVersion { 0 };
    int64_t coverageMinutes { 0 };

    bool operator==(const BurnHost&) const = default;
};

/// The merged report. With missing hosts the counts are lower bounds, and the rates are those of the other hosts.
struct BurnReport {
    std::vector<BurnHost> hosts {};
    std::vector<MemberId> missing {};
    std::vector<BurnService> services {};

    bool operator==(const BurnReport&) const = default;

    /// 0 without hosts.
    int64_t shortestCoverageMinutes() const;
    int64_t longestCoverageMinutes() const;
};

/// Adds up the slices of all entry hosts. The result does not depend on the order of the slices. Of two slices of one
/// member the one with the longer coverage counts. The objective of a service is that of the newest configuration. A
/// member that gave a slice is not missing.
BurnReport mergeBurn(std::span<const BurnSlice> slices, std::span<const MemberId> missing);

}
