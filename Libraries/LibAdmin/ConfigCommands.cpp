#include <LibAdmin/Commands.h>
#include <LibAdmin/JsonFields.h>
#include <LibAdmin/Publisher.h>
#include <LibAdmin/SiteInput.h>
#include <LibAdmin/TextTable.h>
#include <LibConfig/ConfigDiff.h>
#include <LibConfig/KeyTablePage.h>
#include <LibConfig/NodeSettingsLoader.h>
#include <LibConfig/SiteConfigCodec.h>
#include <LibConfig/TermsCapacity.h>
#include <LibCore/StatusText.h>
#include <absl/status/statusor.h>
#include <chrono>
#include <ctime>
#include <fmt/chrono.h>
#include <fmt/format.h>

namespace Bergamot {

namespace {

    using Json = nlohmann::json;

    /// Parses the number of workers by zone, such as `a=16,b=16`.
    absl::StatusOr<ZoneCapacities> parseCapacity(const std::string& text)
    {
        ZoneCapacities capacities;
        for (size_t start = 0; start <= text.size();) {
            auto end = std::min(text.find(',', start), text.size());
            auto item = text.substr(start, end - start);
            auto equals = item.find('=');
            auto workers = equals == std::string::npos ? std::nullopt : parseWholeNumber(item.substr(equals + 1));
            if (!workers || equals == 0)
                return absl::InvalidArgumentError(fmt::format("--capacity: \"{}\" is not ZONE=WORKERS", item));
            capacities.push_back({ .zone = item.substr(0, equals), .workers = *workers });
            start = end + 1;
        }
        return capacities;
    }

    ExitStatus validateSettings(CommandContext& context)
    {
        auto file = context.arguments.text("SETTINGS");
        auto text = context.environment.readFile(file);
        if (!text.ok())
            return context.output.fail(
                ExitStatus::InvalidInput, statusText(text.status()), "check the path of the file");
        auto result = loadNodeSettings(*text, file);
        if (auto* findings = std::get_if<Findings>(&result))
            return context.output.reportFindings(*findings);
        context.output.writeResult({ { "findings", Json::array() } }, fmt::format("{}: no findings\n", file));
        return ExitStatus::Ok;
    }

    std::string utcTime(int64_t timeMs)
    {
        // The end of the year 9999. Later times are not representable on every platform, and a reply can hold any
        // number.
        constexpr int64_t maxTimeMs = 253'402'300'799'000;
        if (timeMs < 0 || timeMs > maxTimeMs)
            return "-";
        return fmt::format("{:%Y-%m-%d %H:%M:%S} UTC", fmt::gmtime(static_cast<std::time_t>(timeMs / 1000)));
    }

    /// Gets a version of the configuration, or the one in force when `version` is empty.
    AdminResult getConfig(CommandContext& context, const std::string& version)
    {
        if (!version.empty() && !parseWholeNumber(version))
            return AdminFailure { .status = ExitStatus::InvalidInput,
                .message = fmt::format("\"{}\" is not a version", version),
                .next = "see the versions with: bergamotctl config history" };
        return context.session.get(version.empty() ? "/admin/config" : "/admin/config?version=" + version);
    }

    std::variant<SiteConfig, ExitStatus> getSite(CommandContext& context, const std::string& version)
    {
        auto reply = getConfig(context, version);
        if (auto* failure = std::get_if<AdminFailure>(&reply))
            return context.output.fail(*failure);
        auto site = siteFromReply(std::get<Json>(reply));
        if (auto* findings = std::get_if<Findings>(&site))
            return context.output.reportFindings(*findings);
        return std::get<SiteConfig>(site);
    }

}

ExitStatus validate(CommandContext& context)
{
    if (context.arguments.has("--node"))
        return validateSettings(context);
    auto site = loadSiteArguments(context);
    if (auto* status = std::get_if<ExitStatus>(&site))
        return *status;
    auto capacityText = context.arguments.text("--capacity");
    if (!capacityText.empty()) {
        auto capacity = parseCapacity(capacityText);
        if (!capacity.ok())
            return context.output.fail(
                ExitStatus::InvalidInput, statusText(capacity.status()), "for example: --capacity a=16,b=16");
        if (auto findings = checkTermsFit(std::get<SiteConfig>(site), *capacity); !findings.empty())
            return context.output.reportFindings(findings);
    }
    context.output.writeResult({ { "findings", Json::array() } },
        capacityText.empty() ? "No findings. Capacity was not checked; give --capacity to check it.\n"
                             : "No findings.\n");
    return ExitStatus::Ok;
}

ExitStatus showEffective(CommandContext& context)
{
    auto site = loadSiteArguments(context);
    if (auto* status = std::get_if<ExitStatus>(&site))
        return *status;
    auto json = parseJson(encodeSiteConfig(std::get<SiteConfig>(site)));
    context.output.writeResult(json, json.dump(2) + "\n");
    return ExitStatus::Ok;
}

ExitStatus publish(CommandContext& context)
{
    const auto& arguments = context.arguments;
    auto site = loadSiteArguments(context);
    if (auto* status = std::get_if<ExitStatus>(&site))
        return *status;
    auto basedOn = arguments.number("--based-on");
    auto timeout = arguments.number("--timeout");
    for (const auto* number : { &basedOn, &timeout }) {
        if (!number->ok())
            return context.output.fail(
                ExitStatus::InvalidInput, statusText(number->status()), "see: bergamotctl --help");
    }
    if (!basedOn->has_value()) {
        auto inForce = context.session.get("/admin/config");
        if (auto* failure = std::get_if<AdminFailure>(&inForce))
            return context.output.fail(*failure);
        auto version = numberField(std::get<Json>(inForce), "version");
        return context.output.fail(ExitStatus::InvalidInput,
            fmt::format(
                "--based-on is missing: name the version that your files were made from; version {} is in force",
                version),
            "look at the difference with `bergamotctl config diff --files BASE OVERLAY`, then publish with --based-on");
    }
    auto author = arguments.text("--author");
    if (author.empty())
        author = context.environment.getVariable("USER");
    Publisher::Options options {
        .basedOn = **basedOn, .author = author.empty() ? "operator" : author, .wait = arguments.has("--wait")
    };
    if (timeout->has_value())
        options.waitTimeout = Milliseconds(std::min<int64_t>(**timeout, 86'400) * 1000);
    return Publisher(context, std::get<SiteConfig>(std::move(site)), std::move(options)).publish();
}

ExitStatus showKeys(CommandContext& context)
{
    auto toJson = [](const Schema& schema) {
        auto list = Json::array();
        for (const auto& section : schema.sections()) {
            for (const auto* spec : schema.keysOf(section.name))
                list.push_back({ { "section", section.name }, { "key", spec->name }, { "unit", spec->unit },
                    { "default", spec->isRequired() ? Json() : Json::parse(spec->defaultJson) },
                    { "required", spec->isRequired() }, { "effect", spec->effect } });
        }
        return list;
    };
    context.output.writeResult({ { "site", toJson(siteSchema()) }, { "node", toJson(nodeSchema()) } },
        keyTablePage(siteSchema()) + "## Daemon's settings\n\n" + keyTablePage(nodeSchema()));
    return ExitStatus::Ok;
}

ExitStatus showConfig(CommandContext& context)
{
    auto reply = getConfig(context, context.arguments.text("VERSION"));
    if (auto* failure = std::get_if<AdminFailure>(&reply))
        return context.output.fail(*failure);
    const auto& config = std::get<Json>(reply);
    if (numberField(config, "version") == 0) {
        context.output.writeResult(config, "No configuration has been published.\n");
        return ExitStatus::Ok;
    }
    context.output.writeResult(config,
        fmt::format("Version {} by {}, {}, based on version {}:\n{}\n", numberField(config, "version"),
            textField(config, "author"), utcTime(numberField(config, "time_ms")), numberField(config, "based_on"),
            objectField(config, "body").dump(2, ' ', false, Json::error_handler_t::replace)));
    return ExitStatus::Ok;
}

ExitStatus diffConfig(CommandContext& context)
{
    const auto& arguments = context.arguments;
    auto comparesFiles = arguments.has("--files");
    auto after = comparesFiles ? loadSiteArguments(context) : getSite(context, arguments.text("TO"));
    if (auto* status = std::get_if<ExitStatus>(&after))
        return *status;
    auto before = getSite(context, comparesFiles ? std::string {} : arguments.text("FROM"));
    if (auto* status = std::get_if<ExitStatus>(&before))
        return *status;
    auto changes = diff(std::get<SiteConfig>(before), std::get<SiteConfig>(after));
    context.output.writeResult(
        { { "changes", changesToJson(changes) } }, changes.empty() ? "No difference.\n" : describeChanges(changes));
    return ExitStatus::Ok;
}

ExitStatus showConfigHistory(CommandContext& context)
{
    auto limit = context.arguments.number("--limit");
    if (!limit.ok())
        return context.output.fail(ExitStatus::InvalidInput, statusText(limit.status()), "see: bergamotctl --help");
    auto reply = context.session.get(fmt::format("/admin/config/history?limit={}", limit->value_or(20)));
    if (auto* failure = std::get_if<AdminFailure>(&reply))
        return context.output.fail(*failure);
    TextTable table({ "VERSION", "BASED ON", "AUTHOR", "TIME" });
    for (const auto& it : listField(std::get<Json>(reply), "entries"))
        table.addRow({ std::to_string(numberField(it, "version")), std::to_string(numberField(it, "based_on")),
            textField(it, "author"), utcTime(numberField(it, "time_ms")) });
    context.output.writeResult(std::get<Json>(reply), table.text());
    return ExitStatus::Ok;
}

}
