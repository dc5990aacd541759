#pragma once

#include <LibAdmin/CommandContext.h>
#include <LibConfig/SiteConfig.h>
#include <map>
#include <nlohmann/json.hpp>
#include <string>

namespace Bergamot {

/// Publishes a configuration that is based on a named version, so that of two racing operators one wins and the other
/// is told what changed.
class Publisher {
public:
    struct Options {
        int64_t basedOn { 0 };
        std::string author {};
        /// Waits until every live entry host reports the version.
        bool wait { false };
        Milliseconds waitTimeout { 17'000 };
    };

    Publisher(CommandContext& context, SiteConfig config, Options options);

    ExitStatus publish();

private:
    Findings capacityFindings();
    ExitStatus post(const SiteConfig& before);
    ExitStatus afterLostAnswer(const SiteConfig& before);
    ExitStatus reportPublished(const SiteConfig& before);
    ExitStatus reportLostRace(const nlohmann::json& inForce);
    ExitStatus waitForHosts(nlohmann::json result);
    /// The versions reported by live members, joined over the views of all entry hosts given.
    std::map<std::string, int64_t> versionsOfLiveMembers();
    int64_t version() const { return m_options.basedOn + 1; }

    CommandContext& m_context;
    SiteConfig m_config;
    Options m_options;
};

}
