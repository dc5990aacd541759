#include <LibReport/BurnReport.h>
#include <algorithm>
#include <set>
#include <tuple>

namespace Bergamot {

static double errorRate(const BurnCounts& counts)
{
    return counts.total() == 0 ? 0 : static_cast<double>(counts.bad) / static_cast<double>(counts.total());
}

BurnStats computeBurnStats(const WindowCounts& windows, double objectivePercent)
{
    BurnStats stats { .windows = windows };
    const double allowedErrorRate = (100 - objectivePercent) / 100;
    for (size_t i = 0; i < burnWindowCount; ++i)
        stats.burnRates[i] = errorRate(windows[i]) / allowedErrorRate;
    stats.budgetRemaining = 1 - stats.burnRates[static_cast<size_t>(BurnWindow::TwentyEightDays)];
    return stats;
}

int64_t BurnReport::minCoverageMinutes() const
{
    auto it = std::ranges::min_element(hosts, {}, &BurnHost::coverageMinutes);
    return it == hosts.end() ? 0 : it->coverageMinutes;
}

int64_t BurnReport::maxCoverageMinutes() const
{
    auto it = std::ranges::max_element(hosts, {}, &BurnHost::coverageMinutes);
    return it == hosts.end() ? 0 : it->coverageMinutes;
}

static void addWindows(WindowCounts& sum, const WindowCounts& windows)
{
    for (size_t i = 0; i < burnWindowCount; ++i)
        sum[i] += windows[i];
}

static void addTrend(std::vector<BurnCounts>& sum, const std::vector<BurnCounts>& entries)
{
    // The last entries of both trends end at the same time, so the trends are aligned at their ends.
    if (entries.size() > sum.size())
        sum.insert(sum.begin(), entries.size() - sum.size(), {});
    for (size_t i = 0; i < entries.size(); ++i)
        sum[sum.size() - entries.size() + i] += entries[i];
}

static bool exceedsInBothWindows(
    const BurnStats& stats, BurnWindow shortWindow, BurnWindow longWindow, double threshold)
{
    return stats.burnRates[static_cast<size_t>(shortWindow)] > threshold
        && stats.burnRates[static_cast<size_t>(longWindow)] > threshold;
}

static std::vector<const BurnSlice*> selectOneSlicePerMember(std::span<const BurnSlice> slices)
{
    std::map<MemberId, const BurnSlice*> byMember;
    for (const auto& slice : slices) {
        auto& selected = byMember[slice.member];
        const auto rank = [](const BurnSlice& it) { return std::tuple(it.coverageMinutes, it.configVersion); };
        if (!selected || rank(*selected) < rank(slice))
            selected = &slice;
    }
    std::vector<const BurnSlice*> result;
    result.reserve(byMember.size());
    for (const auto& [member, slice] : byMember)
        result.push_back(slice);
    return result;
}

// Newer configurations overwrite the objectives of older ones. The slices are ordered by member name, so for equal
// versions the objective of the last member name is used.
static std::map<std::string, BurnService> collectServices(std::vector<const BurnSlice*> slices)
{
    std::ranges::stable_sort(slices, {}, &BurnSlice::configVersion);
    std::map<std::string, BurnService> services;
    for (const auto* slice : slices) {
        for (const auto& objective : slice->objectives) {
            services[objective.service].objective = objective;
            services[objective.service].trend.service = objective.service;
        }
    }
    return services;
}

static void addSeries(std::map<std::string, BurnService>& services, const std::vector<const BurnSlice*>& slices)
{
    std::map<BurnKey, WindowCounts> windowsByKey;
    for (const auto* slice : slices) {
        for (const auto& series : slice->series)
            addWindows(windowsByKey[series.key], series.windows);
        for (const auto& trend : slice->trends) {
            auto it = services.find(trend.service);
            if (it == services.end())
                continue;
            addTrend(it->second.trend.recent, trend.recent);
            addTrend(it->second.trend.daily, trend.daily);
        }
    }
    for (const auto& [key, windows] : windowsByKey) {
        auto it = services.find(key.service);
        if (it == services.end())
            continue;
        auto& service = it->second;
        addWindows(service.total.windows, windows);
        addWindows(service.byClient[key.client].windows, windows);
        addWindows(service.byZone[key.zone].windows, windows);
        service.series.push_back({ .key = key, .windows = windows });
    }
}

static void computeServiceStats(BurnService& service)
{
    const auto percent = service.objective.objectivePercent;
    service.total = computeBurnStats(service.total.windows, percent);
    for (auto& [client, stats] : service.byClient)
        stats = computeBurnStats(stats.windows, percent);
    for (auto& [zone, stats] : service.byZone)
        stats = computeBurnStats(stats.windows, percent);
    service.fastAlert
        = exceedsInBothWindows(service.total, BurnWindow::FiveMinutes, BurnWindow::OneHour, fastBurnThreshold);
    service.slowAlert
        = exceedsInBothWindows(service.total, BurnWindow::SixHours, BurnWindow::ThreeDays, slowBurnThreshold);
}

BurnReport mergeBurn(std::span<const BurnSlice> slices, std::span<const MemberId> missingHosts)
{
    BurnReport report;
    std::set<MemberId> uniqueMissingHosts(missingHosts.begin(), missingHosts.end());
    const auto selected = selectOneSlicePerMember(slices);
    for (const auto* slice : selected) {
        report.hosts.push_back({ slice->member, slice->configVersion, slice->coverageMinutes });
        uniqueMissingHosts.erase(slice->member);
    }
    report.missingHosts.assign(uniqueMissingHosts.begin(), uniqueMissingHosts.end());
    auto services = collectServices(selected);
    addSeries(services, selected);
    for (auto& [name, service] : services) {
        computeServiceStats(service);
        report.services.push_back(std::move(service));
    }
    return report;
}

}
