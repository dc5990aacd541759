#include "FaultSchedule.h"
#include "Soak.h"
#include <LibCore/Logger.h>
#include <LibCore/StatusText.h>
#include <charconv>
#include <csignal>
#include <curl/curl.h>
#include <docopt/docopt.h>
#include <fmt/format.h>

using namespace Bergamot;

static constexpr const char* usage = R"(Randomised run of bergamot-node processes under faults, against stand-ins.

Usage:
  bergamot-node-soak [options]

Options:
  --node=PATH      The program bergamot-node [default: Build/bergamot-node].
  --folder=PATH    An existing folder for settings, logs and process ids [default: .].
  --seed=N         Seed of jobs, workers and faults [default: 1].
  --seconds=N      Duration of jobs and faults, without the wait for unfinished jobs [default: 30].
  --nodes=N        Number of node processes [default: 4].
  --workers=N      Number of worker stand-ins [default: 12].
  --rate=X         New jobs per second [default: 6].
  --faults=LIST    Kinds of faults, separated by commas; -NAME removes a kind [default: all].
  --list-faults    Print the kinds of faults, and exit.

Exit status: 0 without a violation, 1 with at least one, 2 when the run cannot be started.
)";

int main(int argc, char** argv)
{
    auto arguments = docopt::docopt(usage, { argv + 1, argv + argc });
    if (arguments["--list-faults"].asBool()) {
        for (auto name : faultNames)
            fmt::print("{}\n", name);
        return 0;
    }
    Logger::the().setProcessName("node-soak");
    auto number = [&](const char* name) { return static_cast<uint64_t>(arguments[name].asLong()); };
    auto kinds = parseFaultKinds(arguments["--faults"].asString());
    if (!kinds.ok()) {
        logError("bad_option", { { "error", statusText(kinds.status()) } });
        return 2;
    }
    std::signal(SIGPIPE, SIG_IGN);
    curl_global_init(CURL_GLOBAL_DEFAULT);
    auto duration = Milliseconds { 1000 * number("--seconds") };
    auto* soak = new Soak({ .seed = number("--seed"),
        .duration = duration,
        .program = arguments["--node"].asString(),
        .folder = arguments["--folder"].asString(),
        .nodes = number("--nodes"),
        .workers = number("--workers"),
        .jobsPerSecond = std::stod(arguments["--rate"].asString()),
        .faults = generateFaults(number("--seed"), *kinds, duration) });
    if (auto status = soak->start(); !status.ok()) {
        logError("start_failed", { { "error", statusText(status) } });
        return 2;
    }
    bool passed = soak->run();
    std::fflush(stdout);
    // The stand-ins are not destroyed, because the destructors of unanswered requests would reply through destroyed
    // HTTP servers.
    std::_Exit(passed ? 0 : 1);
}
