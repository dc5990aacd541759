#include <LibCapacity/MarkedBlock.h>
#include <fmt/format.h>

namespace Bergamot {

absl::StatusOr<std::string> replaceMarkedBlock(const std::string& page, std::string_view name, std::string_view lines)
{
    auto begin = fmt::format("<!-- begin {} -->\n", name);
    auto end = fmt::format("<!-- end {} -->\n", name);
    auto beginAt = page.find(begin);
    auto endAt = page.find(end);
    if (beginAt == std::string::npos || endAt == std::string::npos)
        return absl::NotFoundError(fmt::format("the page lacks a begin or end marker for block {}", name));
    if (endAt < beginAt || page.rfind(begin) != beginAt || page.rfind(end) != endAt)
        return absl::InvalidArgumentError(fmt::format("the markers for block {} are out of order or repeated", name));
    auto from = beginAt + begin.size();
    return page.substr(0, from) + std::string(lines) + page.substr(endAt);
}

}
