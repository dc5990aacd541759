#include <LibReport/BurnReport.h>
#include <algorithm>
#include <set>
#include <tuple>

namespace Bergamot {

static double badShare(const BurnCounts& counts)
{
    return counts.total() == 0 ? 0 : static_cast<double>(counts.bad) / static_cast<double>(counts.total());
}

BurnFigures burnFiguresOf(const WindowCounts& windows, double objectivePercent)
{
    BurnFigures figures { .windows = windows };
    const double allowedShare = (100 - objectivePercent) / 100;
    for (size_t i = 0; i < burnWindowCount; ++i)
        figures.burnRates[i] = badShare(windows[i]) / allowedShare;
    figures.budgetLeft = 1 - figures.burnRates[static_cast<size_t>(BurnWindow::TwentyEightDays)];
    return figures;
}

int64_t BurnReport::shortestCoverageMinutes() const
{
    auto it = std::ranges::min_element(hosts, {}, &BurnHost::coverageMinutes);
    return it == hosts.end() ? 0 : it->coverageMinutes;
}

int64_t BurnReport::longestCoverageMinutes() const
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
    // Both end now, so they are aligned at their ends.
    if (entries.size() > sum.size())
        sum.insert(sum.begin(), entries.size() - sum.size(), {});
    for (size_t i = 0; i < entries.size(); ++i)
        sum[sum.size() - entries.size() + i] += entries[i];
}

static bool bothOver(const BurnFigures& figures, BurnWindow shortWindow, BurnWindow longWindow, double threshold)
{
    return figures.burnRates[static_cast<size_t>(shortWindow)] > threshold
        && figures.burnRates[static_cast<size_t>(longWindow)] > threshold;
}

static std::vector<const BurnSlice*> oneSlicePerMember(std::span<const BurnSlice> slices)
{
    std::map<MemberId, const BurnSlice*> byMember;
    for (const auto& slice : slices) {
        auto& chosen = byMember[slice.member];
        const auto rank = [](const BurnSlice& it) { return std::tuple(it.coverageMinutes, it.configVersion); };
        if (!chosen || rank(*chosen) < rank(slice))
            chosen = &slice;
    }
    std::vector<const BurnSlice*> result;
    result.reserve(byMember.size());
    for (const auto& [member, slice] : byMember)
        result.push_back(slice);
    return result;
}

// Older configurations come first and are overwritten; members with equal versions are in the order of their names.
static std::map<std::string, BurnService> servicesOf(std::vector<const BurnSlice*> slices)
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
    std::map<BurnKey, WindowCounts> sums;
    for (const auto* slice : slices) {
        for (const auto& series : slice->series)
            addWindows(sums[series.key], series.windows);
        for (const auto& trend : slice->trends) {
            auto it = services.find(trend.service);
            if (it == services.end())
                continue;
            addTrend(it->second.trend.recent, trend.recent);
            addTrend(it->second.trend.daily, trend.daily);
        }
    }
    for (const auto& [key, windows] : sums) {
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

static void completeFigures(BurnService& service)
{
    const auto percent = service.objective.objectivePercent;
    service.total = burnFiguresOf(service.total.windows, percent);
    for (auto& [client, figures] : service.byClient)
        figures = burnFiguresOf(figures.windows, percent);
    for (auto& [zone, figures] : service.byZone)
        figures = burnFiguresOf(figures.windows, percent);
    service.fastAlert = bothOver(service.total, BurnWindow::FiveMinutes, BurnWindow::OneHour, fastBurnThreshold);
    service.slowAlert = bothOver(service.total, BurnWindow::SixHours, BurnWindow::ThreeDays, slowBurnThreshold);
}

BurnReport mergeBurn(std::span<const BurnSlice> slices, std::span<const MemberId> missing)
{
    BurnReport report;
    std::set<MemberId> absent(missing.begin(), missing.end());
    const auto chosen = oneSlicePerMember(slices);
    for (const auto* slice : chosen) {
        report.hosts.push_back({ slice->member, slice->configVersion, slice->coverageMinutes });
        absent.erase(slice->member);
    }
    report.missing.assign(absent.begin(), absent.end());
    auto services = servicesOf(chosen);
    addSeries(services, chosen);
    for (auto& [name, service] : services) {
        completeFigures(service);
        report.services.push_back(std::move(service));
    }
    return report;
}

}
