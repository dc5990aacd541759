#pragma once

#include <LibConfig/KeySpec.h>
#include <LibConfig/SectionSpec.h>
#include <string_view>
#include <vector>

namespace Bergamot {

/// The sections and keys of one kind of configuration file.
class Schema {
public:
    Schema(std::vector<SectionSpec> sections, std::vector<KeySpec> keys);

    const std::vector<SectionSpec>& sections() const { return m_sections; }
    const SectionSpec* findSection(std::string_view name) const;
    /// The keys of a section in the order of the key table.
    std::vector<const KeySpec*> keysOf(std::string_view section) const;
    const KeySpec* findKey(std::string_view section, std::string_view name) const;
    /// True when all keys are at the top level of the file, without sections.
    bool isFlat() const { return m_sections.size() == 1 && m_sections.front().name.empty(); }

private:
    std::vector<SectionSpec> m_sections;
    std::vector<KeySpec> m_keys;
};

/// The schema of base and overlay files.
const Schema& siteSchema();

/// The schema of the settings file of an entry daemon.
const Schema& nodeSchema();

}
