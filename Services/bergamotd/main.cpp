#include "Daemon.h"
#include <LibConfig/Findings.h>
#include <LibConfig/NodeSettingsLoader.h>
#include <LibConfig/SiteConfigLoader.h>
#include <LibCore/Logger.h>
#include <LibCore/StatusText.h>
#include <curl/curl.h>
#include <docopt/docopt.h>
#include <fmt/format.h>
#include <fstream>
#include <iterator>
#include <memory>
#include <optional>
#include <string>

using namespace Bergamot;

static constexpr const char* usage = R"(bergamotd: entry daemon of the bergamotbay scheduler.

Usage:
  bergamotd --settings FILE [--snapshot-seconds N] [--snapshot-entries N] [--seed N]
  bergamotd --help

Options:
  --settings FILE        TOML file with the addresses, zone and peers of this host (docs/configuration.md).
  --snapshot-seconds N   Longest time between two snapshots of the state [default: 600].
  --snapshot-entries N   Log entries after which a snapshot is written early [default: 20000].
  --seed N               Seed of random choices [default: 1].

SIGTERM and SIGINT drain: readiness fails first, requests in progress end, then the process exits with status 0.
SIGHUP is ignored: settings are read once at the start. Exit status 2 means findings in the settings.
)";

static std::optional<std::string> readFile(const std::string& path)
{
    std::ifstream file(path, std::ios::binary);
    if (!file)
        return std::nullopt;
    return std::string(std::istreambuf_iterator<char>(file), {});
}

static std::string trimmed(const std::string& text)
{
    auto first = text.find_first_not_of(" \t\r\n");
    auto last = text.find_last_not_of(" \t\r\n");
    return first == std::string::npos ? std::string {} : text.substr(first, last - first + 1);
}

/// Loads the initial configuration from the files that the settings name. Returns null when they name none. Prints an
/// error and returns nullopt when a file cannot be read or has findings.
static std::optional<std::shared_ptr<const SiteConfig>> loadInitialConfig(const NodeSettings& settings)
{
    if (!settings.baseConfig || !settings.overlayConfig)
        return std::shared_ptr<const SiteConfig> {};
    auto base = readFile(*settings.baseConfig);
    auto overlay = readFile(*settings.overlayConfig);
    if (!base || !overlay) {
        fmt::print(stderr, "bergamotd: cannot read {}\n", base ? *settings.overlayConfig : *settings.baseConfig);
        return std::nullopt;
    }
    auto loaded = loadSite({ .baseText = *base,
        .overlayText = *overlay,
        .baseFile = *settings.baseConfig,
        .overlayFile = *settings.overlayConfig });
    if (const auto* findings = std::get_if<Findings>(&loaded)) {
        fmt::print(stderr, "{}", describeFindings(*findings));
        return std::nullopt;
    }
    return std::make_shared<const SiteConfig>(std::get<SiteConfig>(std::move(loaded)));
}

static LogLevel parseLogLevel(const std::string& name)
{
    if (name == "debug")
        return LogLevel::Debug;
    if (name == "warning")
        return LogLevel::Warning;
    return name == "error" ? LogLevel::Error : LogLevel::Info;
}

int main(int argc, char** argv)
{
    auto arguments = docopt::docopt(usage, { argv + 1, argv + argc });
    auto path = arguments["--settings"].asString();
    auto text = readFile(path);
    if (!text) {
        fmt::print(stderr, "bergamotd: cannot read {}\n", path);
        return 2;
    }
    auto loaded = loadNodeSettings(*text, path);
    if (const auto* findings = std::get_if<Findings>(&loaded)) {
        fmt::print(stderr, "{}", describeFindings(*findings));
        return 2;
    }
    const auto& settings = std::get<NodeSettings>(loaded);
    auto token = readFile(settings.adminTokenFile);
    if (!token || trimmed(*token).empty()) {
        fmt::print(stderr, "bergamotd: cannot read a token from {}\n", settings.adminTokenFile);
        return 2;
    }
    auto initialConfig = loadInitialConfig(settings);
    if (!initialConfig)
        return 2;
    Logger::the().setStream(stdout);
    Logger::the().setProcessName(settings.member);
    Logger::the().setLevel(parseLogLevel(settings.logLevel));
    curl_global_init(CURL_GLOBAL_DEFAULT);
    auto daemon = Daemon::create({ .settings = settings,
        .initialConfig = *initialConfig,
        .adminToken = trimmed(*token),
        .snapshotInterval = std::chrono::seconds { arguments["--snapshot-seconds"].asLong() },
        .snapshotEntries = static_cast<uint64_t>(arguments["--snapshot-entries"].asLong()),
        .seed = static_cast<uint64_t>(arguments["--seed"].asLong()) });
    if (!daemon.ok()) {
        fmt::print(stderr, "bergamotd: {}\n", statusText(daemon.status()));
        return 1;
    }
    (*daemon)->run();
    return 0;
}
