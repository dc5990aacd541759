#include <LibHttp/HttpHeaders.h>
#include <algorithm>
#include <cctype>

namespace Bergamot {

static bool equalsIgnoringCase(std::string_view a, std::string_view b)
{
    return std::ranges::equal(
        a, b, [](unsigned char x, unsigned char y) { return std::tolower(x) == std::tolower(y); });
}

std::string_view headerValue(const HttpHeaders& headers, std::string_view name)
{
    auto it = std::ranges::find_if(headers, [&](const auto& header) { return equalsIgnoringCase(header.name, name); });
    return it == headers.end() ? std::string_view {} : std::string_view(it->value);
}

}
