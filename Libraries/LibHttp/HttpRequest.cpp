#include <LibHttp/HttpRequest.h>
#include <string_view>

namespace Bergamot {

std::vector<std::string> HttpRequest::segments() const
{
    std::vector<std::string> parts;
    std::string_view rest = path;
    while (!rest.empty()) {
        if (rest.front() == '/') {
            rest.remove_prefix(1);
            continue;
        }
        auto end = rest.find('/');
        parts.emplace_back(rest.substr(0, end));
        rest = end == std::string_view::npos ? std::string_view {} : rest.substr(end);
    }
    return parts;
}

}
