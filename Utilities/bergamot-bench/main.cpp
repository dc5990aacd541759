#include "DayBench.h"
#include "DecisionBench.h"
#include "RecoveryBench.h"
#include <LibCore/StatusText.h>
#include <LibDecision/LimitsBench.h>
#include <csignal>
#include <cstdio>
#include <curl/curl.h>
#include <docopt/docopt.h>
#include <filesystem>
#include <iostream>
#include <map>
#include <stdexcept>
#include <string>
#include <utility>

static constexpr const char* usage = R"(Scheduling benchmark. Prints one JSON line for each measurement.

Usage:
  bergamot-bench [--seed N] [--only NAME] [--node PATH] [--ended N]

Options:
  --seed N     Random seed of workload and faults [default: 1].
  --only NAME  One of riga, sofia, design, limits, days, riga-day, sofia-day, riga-grown-day, sofia-grown-day,
               riga-wide-day, riga-large-day, ablation, recovery, store-size. All but the last three run by default.
  --node PATH  The program bergamot-node for the recovery; by default the one beside this program.
  --ended N    Number of ended jobs of a single recovery; by default several recoveries run, up to 1,000,000.

The recovery starts processes of the node on loopback, and needs up to 1.5 GB of memory. "recovery" includes "store-size".
)";

static int runRecoveryBench(uint64_t seed, std::map<std::string, docopt::value>& arguments, bool withRecoveries)
{
    using namespace Bergamot;
    RecoveryBench::Options options { .seed = seed };
    options.program = arguments["--node"]
        ? arguments["--node"].asString()
        : (std::filesystem::read_symlink("/proc/self/exe").parent_path() / "bergamot-node").string();
    if (arguments["--ended"])
        options.endedJobs = { static_cast<uint64_t>(arguments["--ended"].asLong()) };
    RecoveryBench bench(std::move(options));
    if (withRecoveries) {
        std::signal(SIGPIPE, SIG_IGN);
        curl_global_init(CURL_GLOBAL_DEFAULT);
        if (auto status = bench.measureRecoveries(std::cout); !status.ok()) {
            std::fprintf(stderr, "event=recovery_failed error=\"%s\"\n", statusText(status).c_str());
            return 1;
        }
    }
    bench.modelStoreSize(std::cout);
    return 0;
}

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
    if (only == "recovery" || only == "store-size")
        return runRecoveryBench(seed, arguments, only == "recovery");
    if (!known) {
        std::fprintf(stderr, "event=bad_argument name=only\n");
        return 2;
    }
    return 0;
}
