#pragma once

#include <LibConfig/Findings.h>
#include <LibConfig/SiteConfig.h>
#include <functional>
#include <set>
#include <string>
#include <string_view>

namespace Bergamot {

/// Makes a finding for a key path at the place where the key is written.
using FindingMaker = std::function<Finding(std::string_view path, std::string message)>;

/// What checkReferences() needs to know about the files besides the configuration itself.
struct ReferenceContext {
    /// Paths of the entries that the site leaves out, such as `services.token`.
    std::set<std::string, std::less<>> disabled {};
    /// Paths of keys whose value is missing or invalid. A placeholder stands there, so they are not judged again.
    std::set<std::string, std::less<>> unusable {};
    FindingMaker makeFinding {};
};

/// Checks what a single key cannot show: references, duplicate names, circular yielding and values that depend on each
/// other.
Findings checkReferences(const SiteConfig& config, const ReferenceContext& context);

}
