#pragma once

#include <LibConfig/Findings.h>
#include <LibConfig/SiteConfig.h>
#include <functional>
#include <set>
#include <string>
#include <string_view>

namespace Bergamot {

/// Creates a finding with the file and line of a key path.
using FindingMaker = std::function<Finding(std::string_view path, std::string message)>;

/// Input of checkReferences() about the source files of the configuration.
struct ReferenceContext {
    /// Paths of the entries that the site disables, such as `services.token`.
    std::set<std::string, std::less<>> disabled {};
    /// Paths of keys whose value is missing or invalid. The configuration has placeholders for them, which are not
    /// checked.
    std::set<std::string, std::less<>> unusable {};
    FindingMaker makeFinding {};
};

/// Checks the constraints between keys: references, duplicate names, cycles in `yields_to` and values that limit each
/// other.
Findings checkReferences(const SiteConfig& config, const ReferenceContext& context);

}
