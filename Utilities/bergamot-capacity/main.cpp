#include "CapacityBench.h"
#include <LibCapacity/MarkdownTable.h>
#include <LibCapacity/MarkedBlock.h>
#include <LibCore/StatusText.h>
#include <cstdio>
#include <docopt/docopt.h>
#include <fmt/format.h>
#include <fstream>
#include <iterator>
#include <nlohmann/json.hpp>

static constexpr const char* usage
    = R"(Capacity benchmark. Prints one JSON line for each series, with its least-squares fit.

Usage:
  bergamot-capacity [--seed N] [--write PAGE]

Options:
  --seed N      Random seed of the scheduler [default: 1].
  --write PAGE  Replaces the block "measured" of this page by a table of the fits.
)";

int main(int argc, char** argv)
{
    using namespace Bergamot;
    auto arguments = docopt::docopt(usage, { argv + 1, argv + argc });
    MarkdownTable table({ "series", "unit", "slope", "per", "intercept", "sizes", "largest residual" });
    CapacityBench bench { std::stoull(arguments["--seed"].asString()) };
    for (const auto& measurement : bench.run()) {
        auto fit = fitLine(measurement.points);
        if (!fit.ok()) {
            fmt::print(stderr, "event=no_line series={} error=\"{}\"\n", measurement.name, statusText(fit.status()));
            return 1;
        }
        nlohmann::json points = nlohmann::json::array();
        for (const auto& point : measurement.points)
            points.push_back({ point.size, point.value });
        nlohmann::json line { { "name", measurement.name }, { "unit", measurement.unit }, { "per", measurement.per },
            { "slope", fit->slope }, { "intercept", fit->intercept }, { "largest_residual", fit->maxRelativeResidual },
            { "points", points } };
        table.addRow({ measurement.name, measurement.unit, formatSignificantDigits(fit->slope), measurement.per,
            formatSignificantDigits(fit->intercept),
            fmt::format("{} to {}", measurement.points.front().size, measurement.points.back().size),
            fmt::format("{:.1f}%", 100 * fit->maxRelativeResidual) });
        std::puts(line.dump().c_str());
    }
    if (!arguments["--write"])
        return 0;
    auto path = arguments["--write"].asString();
    std::ifstream in(path);
    auto page = replaceMarkedBlock({ std::istreambuf_iterator<char>(in), {} }, "measured", table.text());
    if (!page.ok()) {
        fmt::print(stderr, "event=page_not_written error=\"{}\"\n", statusText(page.status()));
        return 1;
    }
    in.close();
    std::ofstream out(path);
    out << *page;
    out.close();
    return out ? 0 : 1;
}
