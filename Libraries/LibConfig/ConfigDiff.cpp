#include <LibConfig/ConfigDiff.h>
#include <LibConfig/SiteConfigTree.h>
#include <LibConfig/SourceTree.h>
#include <fmt/format.h>
#include <map>

namespace Bergamot {

namespace {

    void flatten(const nlohmann::json& value, const std::string& path, std::map<std::string, std::string>& leaves)
    {
        if (!value.is_object()) {
            leaves[path] = value.dump(-1, ' ', false, nlohmann::json::error_handler_t::replace);
            return;
        }
        for (const auto& [key, child] : value.items())
            flatten(child, joinPath(path, key), leaves);
    }

}

std::vector<ConfigChange> diff(const SiteConfig& before, const SiteConfig& after)
{
    std::map<std::string, std::string> leavesBefore;
    std::map<std::string, std::string> leavesAfter;
    flatten(treeFromSite(before), {}, leavesBefore);
    flatten(treeFromSite(after), {}, leavesAfter);

    std::map<std::string, ConfigChange> changes;
    for (const auto& [key, value] : leavesBefore)
        changes[key] = { .key = key, .before = value };
    for (const auto& [key, value] : leavesAfter) {
        auto& change = changes[key];
        change.key = key;
        change.after = value;
    }
    std::vector<ConfigChange> result;
    for (auto& [key, change] : changes) {
        if (change.before != change.after)
            result.push_back(std::move(change));
    }
    return result;
}

std::string describeChanges(const std::vector<ConfigChange>& changes)
{
    std::string text;
    for (const auto& change : changes) {
        if (change.before.empty())
            text += fmt::format("+ {}: {}\n", change.key, change.after);
        else if (change.after.empty())
            text += fmt::format("- {}: {}\n", change.key, change.before);
        else
            text += fmt::format("  {}: {} -> {}\n", change.key, change.before, change.after);
    }
    return text;
}

}
