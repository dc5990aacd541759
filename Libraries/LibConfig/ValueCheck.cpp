#include <LibConfig/IpAddress.h>
#include <LibConfig/ValueCheck.h>
#include <algorithm>
#include <cmath>
#include <fmt/format.h>
#include <fmt/ranges.h>
#include <set>

namespace Bergamot {

namespace {

    using Json = nlohmann::json;
    using Faults = std::vector<std::string>;

    constexpr size_t maxNameLength = 64;
    constexpr size_t maxListLength = 10'000;
    constexpr int64_t maxTermsValue = 1'000'000;

    std::string typeName(const Json& value)
    {
        switch (value.type()) {
        case Json::value_t::boolean:
            return "a boolean";
        case Json::value_t::number_integer:
        case Json::value_t::number_unsigned:
            return "an integer";
        case Json::value_t::number_float:
            return "a decimal number";
        case Json::value_t::string:
            return "a string";
        case Json::value_t::array:
            return "a list";
        case Json::value_t::object:
            return "a table";
        default:
            return "a date, a time or null";
        }
    }

    std::string withUnit(std::string_view type, const KeySpec& spec)
    {
        return spec.unit.empty() ? std::string(type) : fmt::format("{} ({})", type, spec.unit);
    }

    Faults typeMismatch(std::string_view expected, const Json& value)
    {
        return { fmt::format("expects {}, but is {}", expected, typeName(value)) };
    }

    Faults rangeFaults(const KeySpec& spec, double value)
    {
        // Both comparisons are false for NaN, so NaN is out of range.
        if (value >= spec.min && value <= spec.max)
            return {};
        return { fmt::format("must be from {:.15g} to {:.15g}{}", spec.min, spec.max,
            spec.unit.empty() ? std::string {} : fmt::format(" ({})", spec.unit)) };
    }

    Faults textFaults(const Json& value, std::string_view expected, bool (*isValid)(std::string_view))
    {
        if (!value.is_string())
            return typeMismatch(expected, value);
        const auto& text = value.get_ref<const std::string&>();
        if (isValid(text))
            return {};
        return { fmt::format("\"{}\" is not {}", text.substr(0, maxNameLength), expected) };
    }

    Faults textListFaults(const Json& value, std::string_view expected, bool (*isValid)(std::string_view))
    {
        if (!value.is_array())
            return typeMismatch(fmt::format("a list, each element {}", expected), value);
        if (value.size() > maxListLength)
            return { fmt::format("has more than {} elements", maxListLength) };
        Faults faults;
        std::set<std::string> seen;
        for (const auto& element : value) {
            auto elementFaults = textFaults(element, expected, isValid);
            faults.insert(faults.end(), elementFaults.begin(), elementFaults.end());
            if (element.is_string() && !seen.insert(element.get<std::string>()).second)
                faults.push_back(
                    fmt::format("names \"{}\" twice", element.get<std::string>().substr(0, maxNameLength)));
        }
        return faults;
    }

    bool isTermsValue(const Json& value) { return value.is_number_integer() && value >= 0 && value <= maxTermsValue; }

    Faults termsFaults(const Json& value)
    {
        if (!value.is_array())
            return typeMismatch("a list of tables { requests_per_second = N, concurrency = N }", value);
        if (value.size() > maxListLength)
            return { fmt::format("has more than {} elements", maxListLength) };
        Faults faults;
        for (size_t n = 0; n < value.size(); ++n) {
            const auto& entry = value[n];
            auto hasBothKeys = entry.is_object() && entry.size() == 2 && entry.contains("requests_per_second")
                && entry.contains("concurrency");
            if (!hasBothKeys || !isTermsValue(entry["requests_per_second"]) || !isTermsValue(entry["concurrency"]))
                faults.push_back(
                    fmt::format("renewal {} must have exactly requests_per_second and concurrency, integers "
                                "from 0 to {}",
                        n + 1, maxTermsValue));
        }
        return faults;
    }

    Faults choiceFaults(const KeySpec& spec, const Json& value)
    {
        auto expected = fmt::format("one of \"{}\"", fmt::join(spec.choices, "\", \""));
        if (!value.is_string())
            return typeMismatch(expected, value);
        const auto& text = value.get_ref<const std::string&>();
        if (std::find(spec.choices.begin(), spec.choices.end(), text) != spec.choices.end())
            return {};
        return { fmt::format("\"{}\" is not {}", text.substr(0, maxNameLength), expected) };
    }

    bool isValidPath(std::string_view text)
    {
        return !text.empty() && text.size() < 4096 && text.find('\0') == std::string_view::npos;
    }

}

bool isValidName(std::string_view name)
{
    auto isNameCharacter = [](char c) { return (c >= 'a' && c <= 'z') || (c >= '0' && c <= '9') || c == '-'; };
    return !name.empty() && name.size() <= maxNameLength && name.front() != '-'
        && std::all_of(name.begin(), name.end(), isNameCharacter);
}

std::vector<std::string> valueFaults(const KeySpec& spec, const Json& value)
{
    static constexpr std::string_view nameDescription = "a name of a-z, 0-9 and - with at most 64 characters";
    static constexpr std::string_view addressDescription
        = "an address IP:port with an IP number that other hosts can reach";
    switch (spec.type) {
    case KeyType::Integer:
        return value.is_number_integer() ? rangeFaults(spec, value.get<double>())
                                         : typeMismatch(withUnit("an integer", spec), value);
    case KeyType::Number:
        return value.is_number() ? rangeFaults(spec, value.get<double>())
                                 : typeMismatch(withUnit("a number", spec), value);
    case KeyType::Boolean:
        return value.is_boolean() ? Faults {} : typeMismatch("true or false", value);
    case KeyType::Choice:
        return choiceFaults(spec, value);
    case KeyType::Name:
        return textFaults(value, nameDescription, isValidName);
    case KeyType::NameList:
        return textListFaults(value, nameDescription, isValidName);
    case KeyType::TermsList:
        return termsFaults(value);
    case KeyType::Path:
        return textFaults(value, "a file path", isValidPath);
    case KeyType::Address:
        return textFaults(value, addressDescription, isIpEndpoint);
    case KeyType::AddressList:
        return textListFaults(value, addressDescription, isIpEndpoint);
    case KeyType::Url:
        return textFaults(value, "a URL http://IP:port with an IP number", isIpUrl);
    }
    return { "has an unknown form" };
}

Json placeholder(const KeySpec& spec)
{
    switch (spec.type) {
    case KeyType::Integer:
        return static_cast<int64_t>(spec.min);
    case KeyType::Number:
        return spec.min;
    case KeyType::Boolean:
        return false;
    case KeyType::NameList:
    case KeyType::TermsList:
    case KeyType::AddressList:
        return Json::array();
    case KeyType::Choice:
    case KeyType::Name:
    case KeyType::Path:
    case KeyType::Address:
    case KeyType::Url:
        return "";
    }
    return nullptr;
}

}
