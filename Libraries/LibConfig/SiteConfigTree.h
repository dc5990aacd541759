#pragma once

#include <LibConfig/SiteConfig.h>
#include <nlohmann/json.hpp>
#include <set>
#include <string>

namespace Bergamot {

/// Builds the configuration from a tree that passed checkTree() and applyDefaults(). Entries with `enabled = false` are
/// left out and their paths added to `disabled`.
SiteConfig siteFromTree(const nlohmann::json& tree, std::set<std::string, std::less<>>& disabled);

/// Builds a tree with every key of the key table except `enabled`.
nlohmann::json treeFromSite(const SiteConfig& config);

}
