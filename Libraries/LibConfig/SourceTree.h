#pragma once

#include <LibConfig/Finding.h>
#include <map>
#include <nlohmann/json.hpp>
#include <string>
#include <string_view>

namespace Bergamot {

/// A configuration file as a tree of JSON values, with the line of each key.
struct SourceTree {
    std::string file {};
    nlohmann::json root = nlohmann::json::object();
    /// Lines by key path, such as `services.token.timeout_ms`.
    std::map<std::string, int, std::less<>> lines {};
    /// False when parts of the text could not be parsed, so that a key missing from the tree may exist in the file.
    bool isComplete { true };

    /// The line of the key, or of the innermost enclosing table with a known line; 0 when there is none.
    int lineOf(std::string_view path) const;

    /// Creates a finding with the file and line of the key.
    Finding makeFinding(std::string_view path, std::string message) const;
};

/// Appends a key to the path of its table.
std::string joinPath(std::string_view path, std::string_view key);

}
