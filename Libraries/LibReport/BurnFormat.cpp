#include <LibCore/Logger.h>
#include <LibReport/BurnFormat.h>
#include <algorithm>
#include <fmt/format.h>
#include <iterator>
#include <nlohmann/json.hpp>

namespace Bergamot {

using Json = nlohmann::json;

// Maximum number of clients or zones listed per service in the text report. The JSON report lists all of them.
static constexpr size_t maxTextRows = 20;

std::string formatMinutes(int64_t minutes)
{
    if (minutes >= 1440)
        return fmt::format("{} d {} h", minutes / 1440, minutes % 1440 / 60);
    if (minutes >= 60)
        return fmt::format("{} h {} min", minutes / 60, minutes % 60);
    return fmt::format("{} min", minutes);
}

std::vector<std::pair<std::string, BurnStats>> selectWorst(
    const std::map<std::string, BurnStats>& statsByName, size_t limit)
{
    std::vector<std::pair<std::string, BurnStats>> rows(statsByName.begin(), statsByName.end());
    std::ranges::stable_sort(rows, std::greater {},
        [](const auto& row) { return countsOf(row.second.windows, BurnWindow::TwentyEightDays).bad; });
    if (rows.size() > limit)
        rows.erase(rows.begin() + static_cast<std::ptrdiff_t>(limit), rows.end());
    return rows;
}

static void appendRows(std::string& out, std::string_view kind, const std::map<std::string, BurnStats>& statsByName)
{
    for (const auto& [name, stats] : selectWorst(statsByName, maxTextRows)) {
        const auto& counts = countsOf(stats.windows, BurnWindow::TwentyEightDays);
        fmt::format_to(std::back_inserter(out), "  {:6} {:24} bad {:>9} of {:>11}  budget left {:7.1f} %  burn", kind,
            Logger::quoted(name), counts.bad, counts.total(), stats.budgetRemaining * 100);
        for (size_t i = 0; i + 1 < burnWindowCount; ++i)
            fmt::format_to(std::back_inserter(out), " {} {:.2f}", burnWindowNames[i], stats.burnRates[i]);
        out += '\n';
    }
    if (statsByName.size() > maxTextRows)
        fmt::format_to(
            std::back_inserter(out), "  {} more {}s are in the JSON form\n", statsByName.size() - maxTextRows, kind);
}

std::string formatBurnText(const BurnReport& report)
{
    std::string out = fmt::format("data of {} entry hosts reaches back {} to {} of 28 d\n", report.hosts.size(),
        formatMinutes(report.minCoverageMinutes()), formatMinutes(report.maxCoverageMinutes()));
    for (const auto& member : report.missingHosts)
        out += fmt::format("MISSING: entry host {} gave no figures\n", Logger::quoted(member));
    for (const auto& service : report.services) {
        out += fmt::format("\nservice {}: {} % within {} ms{}{}\n", Logger::quoted(service.objective.service),
            service.objective.objectivePercent, service.objective.latencyTarget.count(),
            service.fastAlert ? "  ALERT fast burn" : "", service.slowAlert ? "  ALERT slow burn" : "");
        appendRows(out, "total", { { "all", service.total } });
        appendRows(out, "zone", service.byZone);
        appendRows(out, "client", service.byClient);
    }
    return out;
}

static Json toJson(const BurnStats& stats)
{
    Json json { { "budget_left", stats.budgetRemaining } };
    for (size_t i = 0; i < burnWindowCount; ++i) {
        json["windows"][std::string(burnWindowNames[i])] = { { "good", stats.windows[i].good },
            { "bad", stats.windows[i].bad }, { "burn_rate", stats.burnRates[i] } };
    }
    return json;
}

static Json toJson(const BurnService& service)
{
    Json json { { "service", service.objective.service },
        { "latency_target_ms", service.objective.latencyTarget.count() },
        { "objective_percent", service.objective.objectivePercent }, { "total", toJson(service.total) },
        { "alerts", { { "fast", service.fastAlert }, { "slow", service.slowAlert } } }, { "series", Json::array() } };
    for (const auto& it : service.series) {
        auto series = toJson(computeBurnStats(it.windows, service.objective.objectivePercent));
        series["client"] = it.key.client;
        series["zone"] = it.key.zone;
        json["series"].push_back(std::move(series));
    }
    return json;
}

std::string formatBurnJson(const BurnReport& report)
{
    Json json { { "shortest_coverage_minutes", report.minCoverageMinutes() },
        { "longest_coverage_minutes", report.maxCoverageMinutes() }, { "hosts", Json::array() },
        { "missing_hosts", report.missingHosts }, { "services", Json::array() } };
    for (const auto& host : report.hosts) {
        json["hosts"].push_back({ { "member", host.member }, { "config_version", host.configVersion },
            { "coverage_minutes", host.coverageMinutes } });
    }
    for (const auto& service : report.services)
        json["services"].push_back(toJson(service));
    return json.dump(2, ' ', false, Json::error_handler_t::replace);
}

}
