#include "DayBench.h"
#include "DecisionBench.h"
#include <LibDecision/LimitsBench.h>
#include <cstdio>
#include <docopt/docopt.h>
#include <iostream>
#include <stdexcept>

static constexpr const char* usage = R"(Scheduling benchmark. Prints one JSON line for each measurement.

Usage:
  bergamot-bench [--seed N] [--only NAME]

Options:
  --seed N     Random seed of workload and faults [default: 1].
  --only NAME  One of riga, sofia, design, limits, days, riga-day, sofia-day, riga-grown-day, sofia-grown-day,
               riga-wide-day, riga-large-day, ablation. All but the ablation run by default.
)";

int main(int argc, char** argv)
{
    using namespace Bergamot;
    auto arguments = docopt::docopt(usage, { argv + 1, argv + argc });
    uint64_t seed = 0;
    try {
        seed = std::stoull(arguments["--seed"].asString());
    } catch (const std::logic_error&) {
        std::fprintf(stderr, "event=bad_argument name=seed\n");
        return 2;
    }
    DecisionBench bench { seed };
    auto only = arguments["--only"] ? arguments["--only"].asString() : "";
    bool known = only.empty();
    for (const auto& size : { Workload::riga(), Workload::sofia(), Workload::design() }) {
        if (only.empty() || only == size.name) {
            known = true;
            bench.compare(size);
        }
    }
    if (only.empty() || only == "limits") {
        known = true;
        runLimitsBench(seed, std::cout);
    }
    if (only.empty() || only == "days" || only.ends_with("-day"))
        known = runDayBench(seed, only == "days" ? "" : only, std::cout) || known;
    if (only == "ablation") {
        known = true;
        bench.ablate(Workload::riga());
        bench.ablate(Workload::mixed());
    }
    if (!known) {
        std::fprintf(stderr, "event=bad_argument name=only\n");
        return 2;
    }
    return 0;
}
