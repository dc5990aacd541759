#include <LibConfig/TomlReader.h>
#include <algorithm>
#include <fmt/format.h>
#include <toml++/toml.h>
#include <variant>
#include <vector>

namespace Bergamot {

namespace {

    /// Bounds the number of parse attempts, for example for a file that is not TOML.
    constexpr int maxSyntaxFindings = 20;

    struct SyntaxError {
        int line { 0 };
        std::string message {};
    };

    std::variant<toml::table, SyntaxError> parse(std::string_view text)
    {
        try {
            return toml::parse(text);
        } catch (const toml::parse_error& error) {
            return SyntaxError { .line = static_cast<int>(error.source().begin.line),
                .message = std::string(error.description()) };
        }
    }

    std::vector<std::string> splitLines(std::string_view text)
    {
        std::vector<std::string> lines;
        while (true) {
            auto end = text.find('\n');
            lines.emplace_back(text.substr(0, end));
            if (end == std::string_view::npos)
                return lines;
            text.remove_prefix(end + 1);
        }
    }

    std::string joinLines(const std::vector<std::string>& lines)
    {
        std::string text;
        for (const auto& line : lines)
            text.append(line).push_back('\n');
        return text;
    }

    bool isHeader(const std::string& line)
    {
        auto first = line.find_first_not_of(" \t");
        return first != std::string::npos && line[first] == '[';
    }

    /// Clears the line with the syntax error. When the line is a table header, the lines up to the next header are
    /// cleared too, because their keys would become part of the previous table. Returns false when the line is empty
    /// already or does not exist.
    bool clearFaultyLines(std::vector<std::string>& lines, int line)
    {
        auto index = static_cast<size_t>(std::max(line, 1) - 1);
        if (index >= lines.size() || lines[index].empty())
            return false;
        auto wasHeader = isHeader(lines[index]);
        lines[index].clear();
        for (auto n = index + 1; wasHeader && n < lines.size() && !isHeader(lines[n]); ++n)
            lines[n].clear();
        return true;
    }

    nlohmann::json toJson(const toml::node& node, const std::string& path, SourceTree& tree)
    {
        if (!path.empty())
            tree.lines.emplace(path, static_cast<int>(node.source().begin.line));
        if (const auto* table = node.as_table()) {
            auto json = nlohmann::json::object();
            for (const auto& [key, value] : *table) {
                auto keyPath = joinPath(path, key.str());
                // A table defined only by a dotted key `a.b` has no header, so it gets the line of the key.
                tree.lines.emplace(keyPath, static_cast<int>(key.source().begin.line));
                json[std::string(key.str())] = toJson(value, keyPath, tree);
            }
            return json;
        }
        if (const auto* array = node.as_array()) {
            auto json = nlohmann::json::array();
            for (const auto& element : *array)
                json.push_back(toJson(element, joinPath(path, "#"), tree));
            return json;
        }
        if (const auto* text = node.as_string())
            return text->get();
        if (const auto* integer = node.as_integer())
            return integer->get();
        if (const auto* number = node.as_floating_point())
            return number->get();
        if (const auto* boolean = node.as_boolean())
            return boolean->get();
        return nullptr;
    }

}

SourceTree readToml(std::string_view text, const std::string& file, Findings& findings)
{
    SourceTree tree { .file = file };
    if (text.size() > maxConfigBytes) {
        tree.isComplete = false;
        findings.push_back({ .file = file,
            .message = fmt::format("the file has more than {} bytes; split the site", maxConfigBytes) });
        return tree;
    }
    auto lines = splitLines(text);
    for (int n = 0; n < maxSyntaxFindings; ++n) {
        auto result = parse(joinLines(lines));
        if (const auto* table = std::get_if<toml::table>(&result)) {
            tree.root = toJson(*table, {}, tree);
            return tree;
        }
        const auto& error = std::get<SyntaxError>(result);
        tree.isComplete = false;
        findings.push_back({ .file = file, .line = error.line, .message = error.message });
        if (!clearFaultyLines(lines, error.line))
            return tree;
    }
    return tree;
}

}
