#pragma once

#include <LibConfig/ConfigChange.h>
#include <LibConfig/SiteConfig.h>
#include <string>
#include <vector>

namespace Bergamot {

/// Returns the keys whose values differ, sorted by key. When an entry exists in one configuration only, its keys have
/// empty values for the other one.
std::vector<ConfigChange> diff(const SiteConfig& before, const SiteConfig& after);

/// Formats each change as one line: `  key: before -> after`, `+ key: after` or `- key: before`.
std::string describeChanges(const std::vector<ConfigChange>& changes);

}
