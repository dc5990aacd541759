#pragma once

#include <cstdint>
#include <nlohmann/json.hpp>
#include <string>

namespace Bergamot {

// These read fields of answers. A field that is missing or of another type gives the default, so that an answer of an
// older or newer daemon never stops a command.

std::string textField(const nlohmann::json& object, const char* key);
int64_t numberField(const nlohmann::json& object, const char* key);
bool flagField(const nlohmann::json& object, const char* key);
/// An empty object or list when the field is missing.
const nlohmann::json& objectField(const nlohmann::json& object, const char* key);
const nlohmann::json& listField(const nlohmann::json& object, const char* key);

/// Parses JSON; a discarded value on bad input.
nlohmann::json parseJson(const std::string& text);

/// One line; bytes that are not UTF-8 are replaced.
std::string toText(const nlohmann::json& json);

}
