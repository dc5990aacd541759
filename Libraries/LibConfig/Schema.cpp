#include <LibConfig/Schema.h>
#include <utility>

namespace Bergamot {

Schema::Schema(std::vector<SectionSpec> sections, std::vector<KeySpec> keys)
    : m_sections(std::move(sections))
    , m_keys(std::move(keys))
{
}

const SectionSpec* Schema::findSection(std::string_view name) const
{
    for (const auto& section : m_sections) {
        if (section.name == name)
            return &section;
    }
    return nullptr;
}

std::vector<const KeySpec*> Schema::keysOf(std::string_view section) const
{
    std::vector<const KeySpec*> keys;
    for (const auto& key : m_keys) {
        if (key.section == section)
            keys.push_back(&key);
    }
    return keys;
}

const KeySpec* Schema::findKey(std::string_view section, std::string_view name) const
{
    for (const auto& key : m_keys) {
        if (key.section == section && key.name == name)
            return &key;
    }
    return nullptr;
}

}
