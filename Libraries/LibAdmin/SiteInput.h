#pragma once

#include <LibAdmin/CommandContext.h>
#include <LibConfig/ConfigChange.h>
#include <LibConfig/SiteConfig.h>
#include <LibConfig/SiteConfigLoader.h>
#include <nlohmann/json.hpp>
#include <variant>

namespace Bergamot {

/// Loads the files named by BASE and OVERLAY. Reports an error and returns its exit status when loading fails.
std::variant<SiteConfig, ExitStatus> loadSiteArguments(CommandContext& context);

/// Decodes the configuration in a reply to `GET /admin/config`. Returns an empty configuration when none has been
/// published.
SiteConfigResult siteFromReply(const nlohmann::json& reply);

/// The changes from `before` to `after` as JSON.
nlohmann::json changesToJson(const std::vector<ConfigChange>& changes);

}
