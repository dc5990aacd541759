#pragma once

#include <cstdint>
#include <nlohmann/json.hpp>
#include <string>
#include <string_view>

namespace Bergamot {

/// These functions read a JSON key and never throw: an absent key or a value of another type gives the fallback.
inline const nlohmann::json& jsonMember(const nlohmann::json& object, std::string_view key)
{
    static const nlohmann::json null;
    if (!object.is_object())
        return null;
    auto it = object.find(key);
    return it == object.end() ? null : *it;
}

inline int64_t jsonInteger(const nlohmann::json& object, std::string_view key, int64_t fallback = 0)
{
    const auto& value = jsonMember(object, key);
    return value.is_number_integer() ? value.get<int64_t>() : fallback;
}

inline double jsonNumber(const nlohmann::json& object, std::string_view key, double fallback)
{
    const auto& value = jsonMember(object, key);
    return value.is_number() ? value.get<double>() : fallback;
}

inline std::string jsonText(const nlohmann::json& object, std::string_view key)
{
    const auto& value = jsonMember(object, key);
    return value.is_string() ? value.get<std::string>() : std::string {};
}

inline bool jsonFlag(const nlohmann::json& object, std::string_view key)
{
    const auto& value = jsonMember(object, key);
    return value.is_boolean() && value.get<bool>();
}

/// Returns a discarded value, for which is_object() is false, when the text is not valid JSON.
inline nlohmann::json parseJson(std::string_view text) { return nlohmann::json::parse(text, nullptr, false); }

}
