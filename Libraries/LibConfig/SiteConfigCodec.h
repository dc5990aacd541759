#pragma once

#include <LibConfig/SiteConfig.h>
#include <LibConfig/SiteConfigLoader.h>
#include <string>
#include <string_view>

namespace Bergamot {

/// The canonical JSON form, as published in `ConfigPublished::body`: one line, sorted keys, every key present. Equal
/// configurations have equal text.
std::string encodeSiteConfig(const SiteConfig& config);

/// Decodes the JSON form with the same checks as loadSite(). Missing keys get their defaults, so that an older body
/// stays readable; unknown keys are findings, because a member must not put only a part of a configuration in force.
SiteConfigResult decodeSiteConfig(std::string_view text);

}
