#include <LibAdmin/JsonFields.h>
#include <LibAdmin/SiteInput.h>
#include <LibConfig/ConfigDiff.h>
#include <LibConfig/SiteConfigCodec.h>
#include <LibCore/StatusText.h>

namespace Bergamot {

std::variant<SiteConfig, ExitStatus> loadSiteArguments(CommandContext& context)
{
    SiteFiles files { .baseFile = context.arguments.text("BASE"), .overlayFile = context.arguments.text("OVERLAY") };
    auto base = context.environment.readFile(files.baseFile);
    auto overlay = files.overlayFile.empty() ? absl::StatusOr<std::string>(std::string {})
                                             : context.environment.readFile(files.overlayFile);
    for (const auto* text : { &base, &overlay }) {
        if (!text->ok())
            return context.output.fail(
                ExitStatus::InvalidInput, statusText(text->status()), "check the path of the file");
    }
    files.baseText = *base;
    files.overlayText = *overlay;
    auto result = loadSite(files);
    if (auto* findings = std::get_if<Findings>(&result))
        return context.output.reportFindings(*findings);
    return std::get<SiteConfig>(std::move(result));
}

SiteConfigResult siteFromReply(const nlohmann::json& reply)
{
    if (numberField(reply, "version") == 0)
        return SiteConfig {};
    return decodeSiteConfig(toText(objectField(reply, "body")));
}

nlohmann::json changesToJson(const std::vector<ConfigChange>& changes)
{
    auto value = [](const std::string& text) { return text.empty() ? nlohmann::json() : parseJson(text); };
    auto list = nlohmann::json::array();
    for (const auto& it : changes)
        list.push_back({ { "key", it.key }, { "before", value(it.before) }, { "after", value(it.after) } });
    return list;
}

}
