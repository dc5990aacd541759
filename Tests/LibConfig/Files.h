#pragma once

#include <filesystem>
#include <fstream>
#include <sstream>
#include <string>

namespace Bergamot {

/// Reads a file of the repository. `path` is relative to the root of the repository.
inline std::string repositoryFile(const std::string& path)
{
    auto root = std::filesystem::path(__FILE__).parent_path().parent_path().parent_path();
    std::ifstream file(root / path);
    std::ostringstream text;
    text << file.rdbuf();
    return text.str();
}

}
