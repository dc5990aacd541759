#pragma once

#include <LibConfig/Findings.h>
#include <LibConfig/Schema.h>
#include <LibConfig/SourceTree.h>
#include <nlohmann/json.hpp>
#include <set>
#include <string>

namespace Bergamot {

/// The keys of one file whose values are valid, as a JSON tree. Lists of names are sorted.
struct CheckedTree {
    nlohmann::json values = nlohmann::json::object();
    /// Paths of keys whose value is invalid, or required and missing.
    std::set<std::string, std::less<>> invalid {};
};

/// Validates a file against the schema. Unknown sections and keys and values of a wrong type or out of range add
/// findings and are left out of the result.
CheckedTree checkTree(const Schema& schema, const SourceTree& source, Findings& findings);

/// Adds the defaults of missing keys. A missing required key gets a placeholder and adds a finding, unless
/// checkTree() has reported its value as invalid. `source` supplies the line numbers of the findings.
void applyDefaults(const Schema& schema, CheckedTree& tree, const SourceTree& source, Findings& findings);

}
