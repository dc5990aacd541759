#pragma once

#include <LibConfig/SiteConfig.h>
#include <LibConfig/SiteConfigLoader.h>
#include <string>
#include <string_view>

namespace Bergamot {

/// Encodes the canonical JSON form, as published in `ConfigPublished::body`: one line, sorted keys, every key present.
/// Equal configurations have equal text.
std::string encodeSiteConfig(const SiteConfig& config);

/// Decodes the JSON form with the same checks as loadSite(). Missing keys get their defaults, so that bodies of
/// older versions can be decoded. Unknown keys are findings, because an entry daemon must not apply only a part of a
/// configuration.
SiteConfigResult decodeSiteConfig(std::string_view text);

}
