#pragma once

#include <LibAdmin/CommandContext.h>
#include <LibConfig/ConfigChange.h>
#include <LibConfig/SiteConfig.h>
#include <LibConfig/SiteConfigLoader.h>
#include <nlohmann/json.hpp>
#include <variant>

namespace Bergamot {

/// Loads the files named by BASE and OVERLAY. A fault is reported, and its exit status returned.
std::variant<SiteConfig, ExitStatus> loadSiteArguments(CommandContext& context);

/// The configuration in an answer of `GET /admin/config`; an empty one while none has been published.
SiteConfigResult siteOfAnswer(const nlohmann::json& answer);

/// The changes from `before` to `after` as JSON.
nlohmann::json changesToJson(const std::vector<ConfigChange>& changes);

}
