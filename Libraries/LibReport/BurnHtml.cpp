#include <LibReport/BurnFormat.h>
#include <algorithm>
#include <cmath>
#include <fmt/format.h>
#include <iterator>
#include <nlohmann/json.hpp>
#include <optional>

namespace Bergamot {

static constexpr std::string_view pageHead = R"(<!DOCTYPE html>
<html lang="en">
<head>
<meta charset="utf-8"/>
<meta name="viewport" content="width=device-width, initial-scale=1"/>
<meta http-equiv="Content-Security-Policy" content="default-src 'none'; style-src 'unsafe-inline'"/>
<title>Service-level burn report</title>
<style>
:root { color-scheme: light dark; --line: #2a6fb0; --limit: #b03030; --faint: #8888; }
body { font: 15px/1.45 system-ui, sans-serif; margin: 1.5rem auto; max-width: 62rem; padding: 0 1rem; }
table { border-collapse: collapse; margin: .5rem 0 1rem; width: 100%; }
th, td { border-bottom: 1px solid var(--faint); padding: .2rem .5rem; text-align: right; }
th:first-child, td:first-child { overflow-wrap: anywhere; text-align: left; }
td { font-variant-numeric: tabular-nums; }
.alert { color: var(--limit); font-weight: 600; }
.plots { display: flex; flex-wrap: wrap; gap: 1rem; }
figure { flex: 1 1 26rem; margin: 0; }
svg { height: auto; width: 100%; }
svg text { fill: currentColor; font-size: 11px; }
.axis { stroke: var(--faint); }
.limit { stroke: var(--limit); stroke-dasharray: 4 3; }
.line { fill: none; stroke: var(--line); stroke-width: 1.5; }
.dot { fill: var(--line); }
</style>
</head>
<body>
<h1>Service-level burn report</h1>
)";

// Maximum number of clients or zones listed per table. The JSON report lists all of them.
static constexpr size_t maxHtmlRows = 50;

// Plot geometry in SVG user units.
static constexpr double plotWidth = 520;
static constexpr double plotHeight = 180;
static constexpr double marginLeft = 46;
static constexpr double marginTop = 8;
static constexpr double marginRight = 8;
static constexpr double marginBottom = 22;

struct Plot {
    std::string title {};
    std::vector<std::optional<double>> values {}; ///< Oldest first; std::nullopt for intervals without requests.
    std::vector<double> limits {};
    std::string oldestLabel {};
    std::string unit {};
};

std::string escapeHtml(std::string_view text)
{
    // The JSON library replaces invalid UTF-8 when it serializes a string; parsing its output gives valid UTF-8.
    const nlohmann::json raw = std::string(text);
    const auto repaired = raw.dump(-1, ' ', false, nlohmann::json::error_handler_t::replace);
    std::string out;
    for (char c : nlohmann::json::parse(repaired).get<std::string>()) {
        const auto code = static_cast<unsigned char>(c);
        if (c == '&')
            out += "&amp;";
        else if (c == '<')
            out += "&lt;";
        else if (c == '>')
            out += "&gt;";
        else if (c == '"')
            out += "&quot;";
        else if (c == '\'')
            out += "&#39;";
        else if (code < 0x20 || code == 0x7f)
            out += "\xEF\xBF\xBD";
        else
            out += c;
    }
    return out;
}

// Rounds up to 1, 2 or 5 times a power of ten, so that the axis labels are short.
static double roundUpToAxisStep(double value)
{
    const double power = std::pow(10, std::floor(std::log10(value)));
    for (double step : { 1.0, 2.0, 5.0 }) {
        if (value <= step * power)
            return step * power;
    }
    return 10 * power;
}

static std::pair<double, double> axisRangeOf(const Plot& plot)
{
    double minValue = 0;
    double maxValue = 1;
    for (const auto& value : plot.values) {
        minValue = std::min(minValue, value.value_or(0));
        maxValue = std::max(maxValue, value.value_or(0));
    }
    return { minValue < 0 ? -roundUpToAxisStep(-minValue) : 0, roundUpToAxisStep(maxValue) };
}

static void appendPoints(std::string& out, const std::vector<std::pair<double, double>>& points)
{
    if (points.empty())
        return;
    if (points.size() == 1) {
        fmt::format_to(std::back_inserter(out), "<circle class=\"dot\" cx=\"{:.1f}\" cy=\"{:.1f}\" r=\"2\"/>\n",
            points[0].first, points[0].second);
        return;
    }
    out += "<polyline class=\"line\" points=\"";
    for (const auto& [x, y] : points)
        fmt::format_to(std::back_inserter(out), "{:.1f},{:.1f} ", x, y);
    out.back() = '"';
    out += "/>\n";
}

static void appendPlot(std::string& out, const Plot& plot)
{
    const auto [minValue, maxValue] = axisRangeOf(plot);
    const auto bottom = plotHeight - marginBottom;
    const auto right = plotWidth - marginRight;
    const auto y = [&, minValue = minValue, maxValue = maxValue](double value) {
        return bottom - (value - minValue) / (maxValue - minValue) * (bottom - marginTop);
    };
    const auto x = [&](size_t i) {
        const auto last = static_cast<double>(std::max<size_t>(plot.values.size(), 2) - 1);
        return marginLeft + static_cast<double>(i) / last * (right - marginLeft);
    };
    const auto inserter = std::back_inserter(out);
    fmt::format_to(inserter,
        "<figure><figcaption>{0}</figcaption>\n<svg viewBox=\"0 0 {1} {2}\" role=\"img\" aria-label=\"{0}\">\n"
        "<title>{0}</title>\n",
        escapeHtml(plot.title), plotWidth, plotHeight);
    // The labels of the axis range are placed left of the plot and those of the limits at its right edge, so that they
    // do not overlap.
    const auto appendHorizontalLine = [&](std::string_view style, double value, double labelX, double labelY) {
        fmt::format_to(inserter,
            "<line class=\"{0}\" x1=\"{1}\" x2=\"{2}\" y1=\"{3:.1f}\" y2=\"{3:.1f}\"/>\n"
            "<text x=\"{4}\" y=\"{5:.1f}\" text-anchor=\"end\">{6:g}{7}</text>\n",
            style, marginLeft, right, y(value), labelX, labelY, value, plot.unit);
    };
    appendHorizontalLine("axis", minValue, marginLeft - 4, y(minValue) + 4);
    appendHorizontalLine("axis", maxValue, marginLeft - 4, y(maxValue) + 4);
    for (double limit : plot.limits) {
        if (limit > minValue && limit < maxValue)
            appendHorizontalLine("limit", limit, right, y(limit) - 3);
    }
    std::vector<std::pair<double, double>> points;
    for (size_t i = 0; i < plot.values.size(); ++i) {
        if (plot.values[i]) {
            points.emplace_back(x(i), y(*plot.values[i]));
            continue;
        }
        appendPoints(out, points);
        points.clear();
    }
    appendPoints(out, points);
    fmt::format_to(inserter,
        "<text x=\"{}\" y=\"{}\">{}</text>\n<text x=\"{}\" y=\"{}\" text-anchor=\"end\">now</text>\n</svg></figure>\n",
        marginLeft, plotHeight - 6, plot.oldestLabel, right, plotHeight - 6);
}

static Plot createBurnRatePlot(const BurnService& service)
{
    Plot plot { .title = fmt::format("Burn rate of {}, 5 minutes each", service.objective.service),
        .limits = { slowBurnThreshold, fastBurnThreshold },
        .oldestLabel = "6 h ago" };
    for (const auto& counts : service.trend.recent) {
        WindowCounts windows {};
        windows[0] = counts;
        plot.values.push_back(counts.total() == 0
                ? std::nullopt
                : std::optional(computeBurnStats(windows, service.objective.objectivePercent).burnRates[0]));
    }
    return plot;
}

// Plots the remaining part of the 28-day error budget after each day. The last value equals the remaining budget in the
// table.
static Plot createBudgetPlot(const BurnService& service)
{
    Plot plot { .title = fmt::format("Error budget left of {}, by day", service.objective.service),
        .limits = { 0 },
        .oldestLabel = "28 d ago",
        .unit = " %" };
    BurnCounts sum;
    for (const auto& counts : service.trend.daily)
        sum += counts;
    const double budget = static_cast<double>(sum.total()) * (100 - service.objective.objectivePercent) / 100;
    BurnCounts consumed;
    for (const auto& counts : service.trend.daily) {
        consumed += counts;
        plot.values.push_back(consumed.total() == 0
                ? std::nullopt
                : std::optional(100 - 100 * static_cast<double>(consumed.bad) / budget));
    }
    return plot;
}

static void appendRow(std::string& out, std::string_view name, const BurnStats& stats)
{
    const auto& counts = countsOf(stats.windows, BurnWindow::TwentyEightDays);
    const auto inserter = std::back_inserter(out);
    fmt::format_to(inserter, "<tr><td>{}</td><td>{}</td><td>{}</td><td>{:.1f} %</td>", escapeHtml(name), counts.total(),
        counts.bad, stats.budgetRemaining * 100);
    for (size_t i = 0; i + 1 < burnWindowCount; ++i)
        fmt::format_to(inserter, "<td>{:.2f}</td>", stats.burnRates[i]);
    out += "</tr>\n";
}

static void appendTable(std::string& out, std::string_view kind, const std::map<std::string, BurnStats>& statsByName)
{
    fmt::format_to(std::back_inserter(out),
        "<table><thead><tr><th>{}</th><th>requests</th><th>bad</th><th>budget left</th>", kind);
    for (size_t i = 0; i + 1 < burnWindowCount; ++i)
        fmt::format_to(std::back_inserter(out), "<th>burn {}</th>", burnWindowNames[i]);
    out += "</tr></thead><tbody>\n";
    for (const auto& [name, stats] : selectWorst(statsByName, maxHtmlRows))
        appendRow(out, name, stats);
    out += "</tbody></table>\n";
    if (statsByName.size() > maxHtmlRows)
        fmt::format_to(
            std::back_inserter(out), "<p>{} more are in the JSON form.</p>\n", statsByName.size() - maxHtmlRows);
}

static void appendService(std::string& out, const BurnService& service)
{
    fmt::format_to(std::back_inserter(out), "<section>\n<h2>{}</h2>\n<p>Objective: {} % within {} ms.</p>\n",
        escapeHtml(service.objective.service), service.objective.objectivePercent,
        service.objective.latencyTarget.count());
    if (service.fastAlert)
        out += "<p class=\"alert\">Fast burn: 5 min and 1 h are over 14.4.</p>\n";
    if (service.slowAlert)
        out += "<p class=\"alert\">Slow burn: 6 h and 3 d are over 1.</p>\n";
    out += "<div class=\"plots\">\n";
    appendPlot(out, createBurnRatePlot(service));
    appendPlot(out, createBudgetPlot(service));
    out += "</div>\n";
    appendTable(out, "service", { { "all clients and zones", service.total } });
    appendTable(out, "zone", service.byZone);
    appendTable(out, "client", service.byClient);
    out += "</section>\n";
}

std::string formatBurnHtml(const BurnReport& report)
{
    std::string out(pageHead);
    fmt::format_to(std::back_inserter(out), "<p>Data of {} entry hosts reaches back {} to {} of 28 d.</p>\n",
        report.hosts.size(), formatMinutes(report.minCoverageMinutes()), formatMinutes(report.maxCoverageMinutes()));
    for (const auto& member : report.missingHosts)
        out += fmt::format("<p class=\"alert\">Entry host {} gave no figures.</p>\n", escapeHtml(member));
    for (const auto& service : report.services)
        appendService(out, service);
    return out + "</body>\n</html>\n";
}

}
