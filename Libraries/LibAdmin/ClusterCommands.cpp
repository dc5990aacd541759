#include <LibAdmin/Commands.h>
#include <LibAdmin/JsonFields.h>
#include <LibAdmin/TextTable.h>
#include <fmt/format.h>

namespace Bergamot {

namespace {

    using Json = nlohmann::json;

    const char* yesNo(bool value) { return value ? "yes" : "no"; }

    std::string membersText(const Json& status)
    {
        TextTable table({ "MEMBER", "ZONE", "LIVE", "CONFIG", "POSITION", "LOG AGE", "HEARTBEAT AGE" });
        for (const auto& it : listField(status, "members"))
            table.addRow({ textField(it, "member"), textField(it, "zone"), yesNo(flagField(it, "live")),
                std::to_string(numberField(it, "config_version")), std::to_string(numberField(it, "position")),
                fmt::format("{} ms", numberField(it, "log_age_ms")),
                fmt::format("{} ms", numberField(it, "heartbeat_age_ms")) });
        return table.text();
    }

    std::string zonesText(const Json& status)
    {
        TextTable table({ "ZONE", "STATE", "WORKERS", "USABLE" });
        for (const auto& it : listField(status, "zones"))
            table.addRow({ textField(it, "zone"), flagField(it, "out") ? "out" : "in service",
                std::to_string(numberField(it, "workers")), std::to_string(numberField(it, "usable")) });
        return table.text();
    }

    std::string clusterText(const Json& status)
    {
        const auto& leader = objectField(status, "leader");
        const auto& log = objectField(status, "log");
        const auto& config = objectField(status, "config");
        const auto& workers = objectField(status, "workers");
        const auto& jobs = objectField(status, "jobs");
        auto leaderName = textField(leader, "member");
        auto text = fmt::format("entry host {} (region {}, zone {}): {}, {}\n", textField(status, "member"),
            textField(status, "region"), textField(status, "zone"), flagField(status, "ready") ? "ready" : "not ready",
            flagField(status, "authority") ? "with authority" : "without authority");
        text += leaderName.empty() ? "leader: none known\n"
                                   : fmt::format("leader: {}, epoch {}, last record {} ms ago\n", leaderName,
                                       numberField(leader, "epoch"), numberField(leader, "keepalive_age_ms"));
        text += fmt::format("log: {}, position {}, read {} ms ago\n",
            flagField(log, "reachable") ? "reachable" : "not reachable", numberField(log, "position"),
            numberField(log, "age_ms"));
        text += fmt::format(
            "configuration: version {} by {}\n", numberField(config, "version"), textField(config, "author"));
        text += fmt::format("workers: {} total, {} usable, {} leaving, {} draining, {} quarantined, {} unreachable\n",
            numberField(workers, "total"), numberField(workers, "usable"), numberField(workers, "leaving"),
            numberField(workers, "draining"), numberField(workers, "quarantined"), numberField(workers, "unreachable"));
        text += fmt::format("jobs: {} pending, {} placed, {} revoking\n\n", numberField(jobs, "pending"),
            numberField(jobs, "placed"), numberField(jobs, "revoking"));
        text += membersText(status) + "\n" + zonesText(status);
        for (const auto& problem : listField(status, "problems")) {
            if (problem.is_string())
                text += fmt::format("problem: {}\n", problem.get<std::string>());
        }
        return text;
    }

    std::string hostState(const Json& worker)
    {
        auto state = textField(worker, "state");
        for (const auto* flag : { "draining", "quarantined" }) {
            if (flagField(worker, flag))
                state += fmt::format(", {}", flag);
        }
        return flagField(worker, "reachable") ? state : state + ", unreachable";
    }

    std::string usageText(const Json& worker, const char* key)
    {
        return fmt::format("{}/{}", numberField(objectField(worker, "committed"), key),
            numberField(objectField(worker, "capacity"), key));
    }

}

ExitStatus showStatus(CommandContext& context)
{
    auto reply = context.session.get("/admin/status");
    if (auto* failure = std::get_if<AdminFailure>(&reply))
        return context.output.fail(*failure);
    context.output.writeResult(std::get<Json>(reply), clusterText(std::get<Json>(reply)));
    return ExitStatus::Ok;
}

ExitStatus changeZone(CommandContext& context)
{
    auto zone = context.arguments.text("ZONE");
    auto isOut = context.arguments.has("out");
    auto reply = context.session.post("/admin/zones/" + percentEncoded(zone), { { "out", isOut } });
    if (auto* failure = std::get_if<AdminFailure>(&reply))
        return context.output.fail(*failure);
    auto changed = flagField(std::get<Json>(reply), "changed");
    context.output.writeResult(std::get<Json>(reply),
        fmt::format(
            "Zone {} {} {}.\n", zone, changed ? "is now" : "was already", isOut ? "out of service" : "in service"));
    return ExitStatus::Ok;
}

ExitStatus listHosts(CommandContext& context)
{
    auto reply = context.session.get("/admin/state");
    if (auto* failure = std::get_if<AdminFailure>(&reply))
        return context.output.fail(*failure);
    TextTable table({ "HOST", "ZONE", "RACK", "STATE", "TASKS", "CPU MILLIS", "MEMORY MB", "ACCELERATORS" });
    const auto& workers = listField(std::get<Json>(reply), "workers");
    for (const auto& it : workers)
        table.addRow({ textField(it, "worker"), textField(it, "zone"), textField(it, "rack"), hostState(it),
            std::to_string(numberField(it, "tasks")), usageText(it, "cpu_millis"), usageText(it, "memory_mb"),
            usageText(it, "accelerators") });
    context.output.writeResult({ { "workers", workers } }, table.text());
    return ExitStatus::Ok;
}

ExitStatus changeHost(CommandContext& context)
{
    auto host = context.arguments.text("HOST");
    auto isDraining = context.arguments.has("drain");
    auto reply = context.session.post("/admin/hosts/" + percentEncoded(host), { { "draining", isDraining } });
    if (auto* failure = std::get_if<AdminFailure>(&reply))
        return context.output.fail(*failure);
    auto changed = flagField(std::get<Json>(reply), "changed");
    context.output.writeResult(std::get<Json>(reply),
        fmt::format("Host {} {} {}.\n", host, changed ? "is now" : "was already", isDraining ? "draining" : "in use"));
    return ExitStatus::Ok;
}

ExitStatus showBurn(CommandContext& context)
{
    auto format = context.arguments.text("--format");
    if (format.empty())
        format = context.output.isJson() ? "json" : "text";
    if (format != "text" && format != "json" && format != "html")
        return context.output.fail(ExitStatus::InvalidInput,
            fmt::format("--format \"{}\" is not text, json or html", format), "see: bergamotctl --help");
    auto reply = context.session.getText("/admin/burn?format=" + format);
    if (auto* failure = std::get_if<AdminFailure>(&reply))
        return context.output.fail(*failure);
    auto text = std::get<std::string>(reply);
    if (!text.ends_with('\n'))
        text += '\n';
    context.output.writeRaw(text);
    return ExitStatus::Ok;
}

}
