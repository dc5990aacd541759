#pragma once

#include <cstdint>
#include <nlohmann/json.hpp>
#include <string>

namespace Bergamot {

// These functions read fields of replies. A field that is missing or has another type gives the default, so that a
// reply of an older or newer daemon does not make a command fail.

std::string textField(const nlohmann::json& object, const char* key);
int64_t numberField(const nlohmann::json& object, const char* key);
bool flagField(const nlohmann::json& object, const char* key);
/// Returns an empty object or list when the field is missing.
const nlohmann::json& objectField(const nlohmann::json& object, const char* key);
const nlohmann::json& listField(const nlohmann::json& object, const char* key);

/// Parses JSON. Returns a discarded value for invalid input.
nlohmann::json parseJson(const std::string& text);

/// Serializes to one line. Replaces bytes that are not UTF-8.
std::string toText(const nlohmann::json& json);

}
