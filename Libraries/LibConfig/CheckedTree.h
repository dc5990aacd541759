#pragma once

#include <LibConfig/Findings.h>
#include <LibConfig/Schema.h>
#include <LibConfig/SourceTree.h>
#include <nlohmann/json.hpp>
#include <set>
#include <string>

namespace Bergamot {

/// The valid keys of one file, sorted lists included.
struct CheckedTree {
    nlohmann::json values = nlohmann::json::object();
    /// Paths of keys whose value is invalid, or required and missing.
    std::set<std::string, std::less<>> invalid {};
};

/// Compares a file with the schema: unknown sections and keys, types, units and ranges.
CheckedTree checkTree(const Schema& schema, const SourceTree& source, Findings& findings);

/// Adds the defaults. A required key that is missing adds a finding, unless its value was found invalid before, and
/// gets a placeholder. `source` gives the lines for the findings.
void fillDefaults(const Schema& schema, CheckedTree& tree, const SourceTree& source, Findings& findings);

}
