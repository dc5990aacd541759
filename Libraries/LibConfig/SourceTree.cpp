#include <LibConfig/SourceTree.h>

namespace Bergamot {

int SourceTree::lineOf(std::string_view path) const
{
    while (!path.empty()) {
        if (auto it = lines.find(path); it != lines.end())
            return it->second;
        auto dot = path.rfind('.');
        path = dot == std::string_view::npos ? std::string_view {} : path.substr(0, dot);
    }
    return 0;
}

Finding SourceTree::makeFinding(std::string_view path, std::string message) const
{
    return { .file = file, .line = lineOf(path), .key = std::string(path), .message = std::move(message) };
}

std::string joinPath(std::string_view path, std::string_view key)
{
    std::string joined(path);
    if (!joined.empty())
        joined += '.';
    return joined.append(key);
}

}
