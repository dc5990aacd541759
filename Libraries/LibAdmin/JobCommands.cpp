#include <LibAdmin/Commands.h>
#include <LibAdmin/JsonFields.h>
#include <LibAdmin/TextTable.h>
#include <LibCore/StatusText.h>
#include <array>
#include <fmt/format.h>

namespace Bergamot {

namespace {

    using Json = nlohmann::json;

    std::string placementText(const Json& job)
    {
        auto worker = textField(job, "worker");
        return worker.empty() ? "-" : fmt::format("{} ({})", worker, textField(job, "zone"));
    }

    std::string stateText(const Json& job)
    {
        auto outcome = textField(job, "outcome");
        return outcome.empty() ? textField(job, "state") : outcome;
    }

    std::string jobText(const Json& job)
    {
        const auto& size = objectField(job, "size");
        auto text = fmt::format("job:        {}\nkind:       {}\nclient:     {}\nteam:       {}\nstate:      {}\n",
            textField(job, "job"), textField(job, "kind"), textField(job, "client"), textField(job, "team"),
            stateText(job));
        if (auto reason = textField(job, "reason"); !reason.empty())
            text += fmt::format("reason:     {}\n", reason);
        text += fmt::format("size:       {} cpu_millis, {} memory_mb, {} accelerators\n",
            numberField(size, "cpu_millis"), numberField(size, "memory_mb"), numberField(size, "accelerators"));
        text
            += fmt::format("run:        {} ms expected{}\nattempts:   {}\nworker:     {}\n", numberField(job, "run_ms"),
                flagField(job, "urgent") ? ", urgent" : "", numberField(job, "attempts"), placementText(job));
        if (auto checkpoint = textField(job, "checkpoint"); !checkpoint.empty())
            text += fmt::format("checkpoint: {}\n", checkpoint);
        return text + fmt::format("submitted:  {} s ago\n", numberField(job, "submitted_age_ms") / 1000);
    }

    std::string jobPath(const CommandContext& context, const char* prefix)
    {
        return prefix + percentEncoded(context.arguments.text("JOB"));
    }

    ExitStatus reportJob(CommandContext& context, const AdminResult& reply)
    {
        if (const auto* failure = std::get_if<AdminFailure>(&reply))
            return context.output.fail(*failure);
        context.output.writeResult(std::get<Json>(reply), jobText(std::get<Json>(reply)));
        return ExitStatus::Ok;
    }

}

ExitStatus submitJob(CommandContext& context)
{
    const auto& arguments = context.arguments;
    Json request { { "kind", arguments.text("KIND") }, { "client", arguments.text("--client") },
        { "team", arguments.text("--team") } };
    constexpr std::array<std::pair<const char*, const char*>, 4> numbers { { { "--cpu-millis", "cpu_millis" },
        { "--memory-mb", "memory_mb" }, { "--accelerators", "accelerators" }, { "--run-ms", "run_ms" } } };
    for (const auto& [option, field] : numbers) {
        auto number = arguments.number(option);
        if (!number.ok())
            return context.output.fail(
                ExitStatus::InvalidInput, statusText(number.status()), "see: bergamotctl --help");
        if (number->has_value())
            request[field] = **number;
    }
    if (arguments.has("--urgent"))
        request["urgent"] = true;
    // The idempotency key makes it safe to repeat the submission at another entry host when the reply is lost.
    auto key = arguments.text("--key");
    request["key"] = key.empty() ? "ctl-" + context.environment.generateUniqueId() : key;
    return reportJob(context, context.session.post("/v1/jobs", request));
}

ExitStatus listJobs(CommandContext& context)
{
    auto limit = context.arguments.number("--limit");
    if (!limit.ok())
        return context.output.fail(ExitStatus::InvalidInput, statusText(limit.status()), "see: bergamotctl --help");
    auto path = fmt::format("/v1/jobs?limit={}", limit->value_or(100));
    for (const char* filter : { "state", "kind", "team" }) {
        if (auto value = context.arguments.text(fmt::format("--{}", filter)); !value.empty())
            path += fmt::format("&{}={}", filter, percentEncoded(value));
    }
    auto reply = context.session.get(path);
    if (auto* failure = std::get_if<AdminFailure>(&reply))
        return context.output.fail(*failure);
    TextTable table({ "JOB", "KIND", "TEAM", "STATE", "ATTEMPTS", "WORKER" });
    for (const auto& it : listField(std::get<Json>(reply), "jobs"))
        table.addRow({ textField(it, "job"), textField(it, "kind"), textField(it, "team"), stateText(it),
            std::to_string(numberField(it, "attempts")), placementText(it) });
    auto more = flagField(std::get<Json>(reply), "more") ? "There are more jobs; raise --limit or filter.\n" : "";
    context.output.writeResult(std::get<Json>(reply), table.text() + more);
    return ExitStatus::Ok;
}

ExitStatus showJob(CommandContext& context)
{
    return reportJob(context, context.session.get(jobPath(context, "/v1/jobs/")));
}

ExitStatus cancelJob(CommandContext& context)
{
    return reportJob(context, context.session.remove(jobPath(context, "/v1/jobs/")));
}

ExitStatus explainJob(CommandContext& context)
{
    auto reply = context.session.get(jobPath(context, "/admin/why/"));
    if (auto* failure = std::get_if<AdminFailure>(&reply))
        return context.output.fail(*failure);
    const auto& why = std::get<Json>(reply);
    auto text = fmt::format("job {} is {}", textField(why, "job"), textField(why, "state"));
    if (textField(why, "state") == "pending")
        text += fmt::format(" and has waited {} s", numberField(why, "waiting_ms") / 1000);
    text += "\n";
    for (const auto& it : listField(why, "reasons"))
        text += fmt::format("  {}: {}\n", textField(it, "code"), textField(it, "detail"));
    if (const auto& attempts = listField(why, "attempts"); !attempts.empty()) {
        TextTable table({ "ATTEMPT", "WORKER", "ZONE", "OUTCOME", "DETAIL", "AGE" });
        for (const auto& it : attempts)
            table.addRow({ std::to_string(numberField(it, "attempt")), textField(it, "worker"), textField(it, "zone"),
                textField(it, "outcome"), textField(it, "detail"),
                fmt::format("{} s", numberField(it, "age_ms") / 1000) });
        text += table.text();
    }
    context.output.writeResult(why, text);
    return ExitStatus::Ok;
}

}
