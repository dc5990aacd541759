#include <LibConfig/CheckedTree.h>
#include <LibConfig/NodeSettingsLoader.h>
#include <LibConfig/TomlReader.h>
#include <array>
#include <fmt/format.h>

namespace Bergamot {

namespace {

    using Json = nlohmann::json;

    std::optional<std::string> optionalText(const Json& value)
    {
        if (!value.is_string())
            return std::nullopt;
        return value.get<std::string>();
    }

    NodeSettings settingsFromTree(const Json& tree)
    {
        auto text = [&](const char* key) { return tree.at(key).get<std::string>(); };
        return {
            .member = text("member"),
            .zone = text("zone"),
            .region = text("region"),
            .callerListen = text("caller_listen"),
            .operatorListen = text("operator_listen"),
            .peerListen = text("peer_listen"),
            .peers = tree.at("peers").get<std::vector<std::string>>(),
            .logUrl = text("log_url"),
            .hostListUrl = text("host_list_url"),
            .adminTokenFile = text("admin_token_file"),
            .baseConfig = optionalText(tree.at("base_config")),
            .overlayConfig = optionalText(tree.at("overlay_config")),
            .quickThreads = tree.at("quick_threads").get<int64_t>(),
            .logLevel = text("log_level"),
        };
    }

    void checkDistinctAddresses(const SourceTree& source, const NodeSettings& settings, Findings& findings)
    {
        const std::array<std::pair<const char*, const std::string&>, 3> addresses { {
            { "caller_listen", settings.callerListen },
            { "operator_listen", settings.operatorListen },
            { "peer_listen", settings.peerListen },
        } };
        for (size_t n = 1; n < addresses.size(); ++n) {
            for (size_t m = 0; m < n; ++m) {
                if (!addresses[n].second.empty() && addresses[n].second == addresses[m].second)
                    findings.push_back(source.makeFinding(
                        addresses[n].first, fmt::format("is the same address as {}", addresses[m].first)));
            }
        }
    }

    void checkConfigPaths(const SourceTree& source, const NodeSettings& settings, Findings& findings)
    {
        if (settings.baseConfig && !settings.overlayConfig)
            findings.push_back(source.makeFinding("base_config", "needs overlay_config, too"));
        if (settings.overlayConfig && !settings.baseConfig)
            findings.push_back(source.makeFinding("overlay_config", "needs base_config, too"));
    }

}

NodeSettingsResult loadNodeSettings(std::string_view text, const std::string& file)
{
    Findings findings;
    auto source = readToml(text, file, findings);
    auto tree = checkTree(nodeSchema(), source, findings);
    applyDefaults(nodeSchema(), tree, source, findings);
    auto settings = settingsFromTree(tree.values);
    checkDistinctAddresses(source, settings, findings);
    if (tree.invalid.empty())
        checkConfigPaths(source, settings, findings);
    if (findings.empty())
        return settings;
    sortFindings(findings);
    return findings;
}

}
