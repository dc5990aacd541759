#pragma once

#include <LibConfig/ConfigChange.h>
#include <LibConfig/SiteConfig.h>
#include <string>
#include <vector>

namespace Bergamot {

/// The keys whose values differ, sorted by key. A key of an entry that only one side has is empty on the other side.
std::vector<ConfigChange> diff(const SiteConfig& before, const SiteConfig& after);

/// One line for each change: `  key: before -> after`, `+ key: after` or `- key: before`.
std::string describeChanges(const std::vector<ConfigChange>& changes);

}
