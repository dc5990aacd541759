#pragma once

#include <LibAdmin/CommandContext.h>
#include <LibConfig/SiteConfig.h>
#include <map>
#include <nlohmann/json.hpp>
#include <string>

namespace Bergamot {

/// Publishes a configuration that is based on a given version. When two operators publish concurrently, the second
/// publication is rejected with the difference to the first.
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
    ExitStatus resolveLostReply(const SiteConfig& before);
    ExitStatus reportPublished(const SiteConfig& before);
    ExitStatus reportConflict(const nlohmann::json& inForce);
    ExitStatus waitForHosts(nlohmann::json result);
    /// The highest version of each live member in the status replies of all given entry hosts.
    std::map<std::string, int64_t> versionsOfLiveMembers();
    int64_t version() const { return m_options.basedOn + 1; }

    CommandContext& m_context;
    SiteConfig m_config;
    Options m_options;
};

}
