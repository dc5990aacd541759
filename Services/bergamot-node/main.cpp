#include "NodeProcess.h"
#include <LibCore/Logger.h>
#include <LibCore/StatusText.h>
#include <csignal>
#include <curl/curl.h>
#include <docopt/docopt.h>
#include <fmt/format.h>
#include <fstream>
#include <iterator>
#include <optional>
#include <string>

using namespace Bergamot;

static constexpr const char* usage = R"(bergamot-node: a node of bergamotbay on the users' platform.

Usage:
  bergamot-node [--settings FILE] [--metrics-port N] [--check]
  bergamot-node --help

Options:
  --settings FILE  The platform's settings file; without it, the file that BERGAMOTBAY_NODE_FILE names.
  --metrics-port N  Serve /metrics on this port of the host's address; 0 serves none [default: 0].
  --check          Read the settings, print what is used, and exit.

SIGTERM and SIGINT drain: leadership and readiness are given up first, requests in progress end, then the process exits
with status 0. Exit status 2 means that the settings cannot be used.
)";

static std::optional<std::string> readFile(const std::string& path)
{
    std::ifstream file(path, std::ios::binary);
    if (!file)
        return std::nullopt;
    return std::string(std::istreambuf_iterator<char>(file), {});
}

static int fail(const std::string& problem)
{
    fmt::print(stderr, "bergamot-node: {}\n", problem);
    return 2;
}

int main(int argc, char** argv)
{
    NodeProcess::blockSignals();
    auto arguments = docopt::docopt(usage, { argv + 1, argv + argc }, true);
    std::string path;
    if (arguments["--settings"])
        path = arguments["--settings"].asString();
    else if (const char* named = std::getenv("BERGAMOTBAY_NODE_FILE"))
        path = named;
    auto text = readFile(path);
    if (!text)
        return fail(fmt::format("cannot read the settings file '{}'", path));
    auto settings = Platform::parsePlatformSettings(*text);
    if (!settings.ok())
        return fail(statusText(settings.status()));
    if (arguments["--check"].asBool()) {
        fmt::print("node={} zone={} front={} ready={} peers={} store={}\n", settings->node, settings->zone,
            settings->frontAddress, settings->readyAddress, settings->peerAddress, settings->storeAddress);
        return 0;
    }
    std::signal(SIGPIPE, SIG_IGN);
    curl_global_init(CURL_GLOBAL_DEFAULT);
    Logger::the().setStream(stdout);
    Logger::the().setProcessName(settings->node);
    auto metricsPort = arguments["--metrics-port"].asLong();
    if (metricsPort < 0 || metricsPort > UINT16_MAX)
        return fail("--metrics-port must be from 0 to 65535");
    auto process = NodeProcess::create(*settings, static_cast<uint16_t>(metricsPort));
    if (!process.ok()) {
        logError("start_failed", { { "error", statusText(process.status()) } });
        return 1;
    }
    logInfo("process_start",
        { { "front", settings->frontAddress }, { "peers", settings->peerAddress },
            { "store", settings->storeAddress } });
    (*process)->run();
    return 0;
}
