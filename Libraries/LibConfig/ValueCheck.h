#pragma once

#include <LibConfig/KeySpec.h>
#include <nlohmann/json.hpp>
#include <string>
#include <string_view>
#include <vector>

namespace Bergamot {

/// Validates a value against its row of the key table. Returns a message for each fault; empty when the value is valid.
std::vector<std::string> valueFaults(const KeySpec& spec, const nlohmann::json& value);

/// Returns a value of the right type for a key whose value is missing or invalid, so that the remaining checks can run.
nlohmann::json placeholder(const KeySpec& spec);

/// True for 1 to 64 characters of `a-z`, `0-9` and `-` that do not start with `-`.
bool isValidName(std::string_view name);

}
