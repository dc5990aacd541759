#include <LibConfig/KeyTablePage.h>
#include <fmt/format.h>
#include <fmt/ranges.h>

namespace Bergamot {

namespace {

    std::string typeText(const KeySpec& spec)
    {
        switch (spec.type) {
        case KeyType::Integer:
            return fmt::format("integer, {:.15g} to {:.15g}", spec.min, spec.max);
        case KeyType::Number:
            return fmt::format("number, {:.15g} to {:.15g}", spec.min, spec.max);
        case KeyType::Boolean:
            return "true or false";
        case KeyType::Choice:
            return fmt::format("`{}`", fmt::join(spec.choices, "`, `"));
        case KeyType::Name:
            return "name";
        case KeyType::NameList:
            return "list of names";
        case KeyType::TermsList:
            return "list of tables";
        case KeyType::Path:
            return "path";
        case KeyType::Address:
            return "address";
        case KeyType::AddressList:
            return "list of addresses";
        case KeyType::Url:
            return "URL";
        }
        return {};
    }

    std::string defaultText(const KeySpec& spec)
    {
        if (spec.isRequired())
            return "required";
        return spec.defaultJson == "null" ? "none" : fmt::format("`{}`", spec.defaultJson);
    }

}

std::string keyTablePage(const Schema& schema)
{
    std::string page;
    for (const auto& section : schema.sections()) {
        if (!section.name.empty())
            page += fmt::format("### [{}{}]\n\n", section.name, section.hasEntries ? ".NAME" : "");
        page += fmt::format("{}\n\n| key | type | unit | default | effect |\n|---|---|---|---|---|\n", section.effect);
        for (const auto* spec : schema.keysOf(section.name))
            page += fmt::format("| `{}` | {} | {} | {} | {} |\n", spec->name, typeText(*spec),
                spec->unit.empty() ? "-" : spec->unit, defaultText(*spec), spec->effect);
        page += "\n";
    }
    return page;
}

}
