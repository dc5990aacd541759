#pragma once

#include <LibConfig/Findings.h>
#include <LibConfig/SiteConfig.h>
#include <string>
#include <string_view>
#include <variant>

namespace Bergamot {

/// A valid configuration, or all findings, sorted by file and line.
using SiteConfigResult = std::variant<SiteConfig, Findings>;

/// The texts of the base file, which all sites share, and of the overlay of one site, with the file names for findings.
struct SiteFiles {
    std::string_view baseText {};
    std::string_view overlayText {};
    std::string baseFile { "base.toml" };
    std::string overlayFile { "overlay.toml" };
};

/// Loads the effective configuration of a site. Invalid input results in findings, never in an exception.
SiteConfigResult loadSite(const SiteFiles& files);

}
