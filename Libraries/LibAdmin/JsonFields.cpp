#include <LibAdmin/JsonFields.h>

namespace Bergamot {

using Json = nlohmann::json;

static const Json* find(const Json& object, const char* key)
{
    if (!object.is_object())
        return nullptr;
    auto it = object.find(key);
    return it == object.end() ? nullptr : &*it;
}

std::string textField(const Json& object, const char* key)
{
    const auto* field = find(object, key);
    return field && field->is_string() ? field->get<std::string>() : std::string {};
}

int64_t numberField(const Json& object, const char* key)
{
    const auto* field = find(object, key);
    return field && field->is_number_integer() ? field->get<int64_t>() : 0;
}

bool flagField(const Json& object, const char* key)
{
    const auto* field = find(object, key);
    return field && field->is_boolean() && field->get<bool>();
}

const Json& objectField(const Json& object, const char* key)
{
    static const auto empty = Json::object();
    const auto* field = find(object, key);
    return field && field->is_object() ? *field : empty;
}

const Json& listField(const Json& object, const char* key)
{
    static const auto empty = Json::array();
    const auto* field = find(object, key);
    return field && field->is_array() ? *field : empty;
}

Json parseJson(const std::string& text)
{
    // Replies are at most a few levels deep; deeper input could exhaust the stack when it is copied.
    constexpr int maxDepth = 32;
    bool isTooDeep = false;
    auto limitDepth = [&](int depth, Json::parse_event_t, Json&) {
        isTooDeep = isTooDeep || depth > maxDepth;
        return depth <= maxDepth;
    };
    auto json = Json::parse(text, limitDepth, false);
    return isTooDeep ? Json(Json::value_t::discarded) : json;
}

std::string toText(const Json& json) { return json.dump(-1, ' ', false, Json::error_handler_t::replace); }

}
