#pragma once

#include <LibConfig/KeySpec.h>
#include <nlohmann/json.hpp>
#include <string>
#include <string_view>
#include <vector>

namespace Bergamot {

/// The faults of a value, judged by its row of the key table; empty when the value is valid.
std::vector<std::string> valueFaults(const KeySpec& spec, const nlohmann::json& value);

/// A value of the right form for a key whose own value is missing or invalid, so that checking can go on.
nlohmann::json placeholder(const KeySpec& spec);

/// True for 1 to 64 characters of `a-z`, `0-9` and `-` that do not start with `-`.
bool isValidName(std::string_view name);

}
