#include <LibConfig/NearestName.h>
#include <algorithm>
#include <array>
#include <fmt/format.h>
#include <fmt/ranges.h>
#include <numeric>

namespace Bergamot {

namespace {

    /// Longer names are not compared, because the edit distance takes quadratic time and valid names have at most 64
    /// characters.
    constexpr size_t maxComparedLength = 80;
    constexpr size_t maxListedNames = 8;

    size_t editDistance(std::string_view a, std::string_view b)
    {
        std::vector<size_t> row(b.size() + 1);
        std::iota(row.begin(), row.end(), size_t { 0 });
        for (size_t i = 1; i <= a.size(); ++i) {
            auto diagonal = row[0];
            row[0] = i;
            for (size_t j = 1; j <= b.size(); ++j) {
                auto above = row[j];
                auto replaced = diagonal + (a[i - 1] == b[j - 1] ? 0 : 1);
                row[j] = std::min({ above + 1, row[j - 1] + 1, replaced });
                diagonal = above;
            }
        }
        return row[b.size()];
    }

    std::string_view withoutUnit(std::string_view name)
    {
        static constexpr std::array units { "_ms", "_s", "_sec", "_seconds", "_minutes", "_mb", "_gb", "_kb", "_bytes",
            "_millis", "_cores", "_percent", "_ratio" };
        for (std::string_view unit : units) {
            if (name.size() > unit.size() && name.ends_with(unit))
                return name.substr(0, name.size() - unit.size());
        }
        return name;
    }

}

std::string nearestName(std::string_view name, const std::vector<std::string>& candidates)
{
    if (name.size() > maxComparedLength)
        return {};
    std::string best;
    auto bestDistance = std::max<size_t>(2, name.size() / 3) + 1;
    for (const auto& candidate : candidates) {
        if (withoutUnit(candidate) == withoutUnit(name))
            return candidate;
        if (auto distance = editDistance(name, candidate); distance < bestDistance) {
            best = candidate;
            bestDistance = distance;
        }
    }
    return best;
}

std::string suggestion(std::string_view name, const std::vector<std::string>& candidates)
{
    if (auto nearest = nearestName(name, candidates); !nearest.empty())
        return fmt::format("; did you mean \"{}\"?", nearest);
    if (candidates.empty() || candidates.size() > maxListedNames)
        return {};
    return fmt::format("; known are {}", fmt::join(candidates, ", "));
}

}
