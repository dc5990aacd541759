#include <LibConfig/CheckedTree.h>
#include <LibConfig/NearestName.h>
#include <LibConfig/ValueCheck.h>
#include <algorithm>
#include <fmt/format.h>

namespace Bergamot {

namespace {

    using Json = nlohmann::json;

    class TreeChecker {
    public:
        TreeChecker(const Schema& schema, const SourceTree& source, Findings& findings)
            : m_schema(schema)
            , m_source(source)
            , m_findings(findings)
        {
        }

        CheckedTree check()
        {
            if (m_schema.isFlat()) {
                m_tree.values = checkKeys("", "", m_source.root);
                return std::move(m_tree);
            }
            for (const auto& [name, value] : m_source.root.items())
                checkSection(name, value);
            return std::move(m_tree);
        }

    private:
        void checkSection(const std::string& name, const Json& value)
        {
            const auto* section = m_schema.findSection(name);
            if (!section) {
                std::vector<std::string> known;
                for (const auto& it : m_schema.sections())
                    known.emplace_back(it.name);
                add(name, "is no section" + suggestion(name, known));
                return;
            }
            if (!value.is_object()) {
                add(name,
                    section->hasEntries ? fmt::format("must hold tables [{}.NAME]", name)
                                        : fmt::format("must be a table [{}]", name));
                return;
            }
            auto& checked = m_tree.values[name] = Json::object();
            if (!section->hasEntries) {
                checked = checkKeys(name, name, value);
                return;
            }
            for (const auto& [entry, keys] : value.items())
                checkEntry(name, entry, keys, checked);
        }

        void checkEntry(const std::string& section, const std::string& entry, const Json& keys, Json& checked)
        {
            auto path = joinPath(section, entry);
            if (!isValidName(entry)) {
                add(path, "is not a name of a-z, 0-9 and - with at most 64 characters");
                return;
            }
            if (!keys.is_object()) {
                add(path, fmt::format("must be a table [{}.NAME]", section));
                return;
            }
            checked[entry] = checkKeys(section, path, keys);
        }

        Json checkKeys(const std::string& section, const std::string& path, const Json& keys)
        {
            auto checked = Json::object();
            for (const auto& [name, value] : keys.items()) {
                auto keyPath = joinPath(path, name);
                const auto* spec = m_schema.findKey(section, name);
                if (!spec) {
                    add(keyPath, "unknown key" + suggestion(name, namesOf(section)) + unitHint(section, name));
                    continue;
                }
                auto faults = valueFaults(*spec, value);
                for (auto& fault : faults)
                    add(keyPath, std::move(fault));
                if (!faults.empty()) {
                    m_tree.invalid.insert(keyPath);
                    continue;
                }
                auto& checkedValue = checked[name] = value;
                if (spec->type == KeyType::NameList)
                    std::sort(checkedValue.begin(), checkedValue.end());
            }
            return checked;
        }

        /// The unit of the suggested key, because the value has to be converted when `timeout_s` is renamed to
        /// `timeout_ms`.
        std::string unitHint(std::string_view section, std::string_view name) const
        {
            const auto* nearest = m_schema.findKey(section, nearestName(name, namesOf(section)));
            return nearest && !nearest->unit.empty() ? fmt::format(" Its unit is {}.", nearest->unit) : std::string {};
        }

        std::vector<std::string> namesOf(std::string_view section) const
        {
            std::vector<std::string> names;
            for (const auto* spec : m_schema.keysOf(section))
                names.emplace_back(spec->name);
            return names;
        }

        void add(std::string_view path, std::string message)
        {
            m_findings.push_back(m_source.makeFinding(path, std::move(message)));
        }

        const Schema& m_schema;
        const SourceTree& m_source;
        Findings& m_findings;
        CheckedTree m_tree;
    };

    void applyEntryDefaults(const Schema& schema, std::string_view section, const std::string& path, Json& entry,
        CheckedTree& tree, const SourceTree& source, Findings& findings)
    {
        for (const auto* spec : schema.keysOf(section)) {
            std::string name(spec->name);
            if (entry.contains(name))
                continue;
            auto keyPath = joinPath(path, name);
            if (spec->isRequired() && tree.invalid.insert(keyPath).second && source.isComplete) {
                auto unit = spec->unit.empty() ? std::string {} : fmt::format(" ({})", spec->unit);
                findings.push_back(source.makeFinding(keyPath, fmt::format("is required{}", unit)));
            }
            entry[name] = spec->isRequired() ? placeholder(*spec) : Json::parse(spec->defaultJson);
        }
    }

}

CheckedTree checkTree(const Schema& schema, const SourceTree& source, Findings& findings)
{
    return TreeChecker(schema, source, findings).check();
}

void applyDefaults(const Schema& schema, CheckedTree& tree, const SourceTree& source, Findings& findings)
{
    if (schema.isFlat()) {
        applyEntryDefaults(schema, "", "", tree.values, tree, source, findings);
        return;
    }
    for (const auto& section : schema.sections()) {
        std::string name(section.name);
        auto& values = tree.values[name];
        if (values.is_null())
            values = Json::object();
        if (!section.hasEntries) {
            applyEntryDefaults(schema, name, name, values, tree, source, findings);
            continue;
        }
        for (auto& [entryName, entry] : values.items())
            applyEntryDefaults(schema, name, joinPath(name, entryName), entry, tree, source, findings);
    }
}

}
