#include <LibAdmin/Arguments.h>
#include <charconv>
#include <fmt/format.h>

namespace Bergamot {

bool Arguments::has(const std::string& name) const
{
    auto it = m_values.find(name);
    return it != m_values.end() && it->second.isBool() && it->second.asBool();
}

std::string Arguments::text(const std::string& name) const
{
    auto it = m_values.find(name);
    return it != m_values.end() && it->second.isString() ? it->second.asString() : std::string {};
}

std::vector<std::string> Arguments::list(const std::string& name) const
{
    auto it = m_values.find(name);
    return it != m_values.end() && it->second.isStringList() ? it->second.asStringList() : std::vector<std::string> {};
}

absl::StatusOr<std::optional<int64_t>> Arguments::number(const std::string& name) const
{
    auto value = text(name);
    if (value.empty())
        return std::nullopt;
    auto number = parseWholeNumber(value);
    if (!number)
        return absl::InvalidArgumentError(
            fmt::format("{} must be a whole number of at least 0, but is \"{}\"", name, value));
    return number;
}

std::optional<int64_t> parseWholeNumber(const std::string& text)
{
    constexpr int64_t maxNumber = int64_t { 1 } << 53;
    int64_t number = 0;
    auto [end, ec] = std::from_chars(text.data(), text.data() + text.size(), number);
    if (ec != std::errc {} || end != text.data() + text.size() || number < 0 || number > maxNumber)
        return std::nullopt;
    return number;
}

}
