#include <LibPlatform/WorkerJson.h>
#include <exception>
#include <fmt/format.h>
#include <map>
#include <nlohmann/json.hpp>
#include <stdexcept>

namespace Bergamot {

using Json = nlohmann::json;

static Json toJson(const TaskId& task) { return { { "job", task.job }, { "attempt", task.attempt } }; }

static Json toJson(const Resources& size)
{
    return { { "cpu_millis", size.cpuMillis }, { "memory_mb", size.memoryMb }, { "accelerators", size.accelerators } };
}

static Json toJson(const std::vector<TaskId>& tasks)
{
    auto json = Json::array();
    for (const auto& task : tasks)
        json.push_back(toJson(task));
    return json;
}

static TaskId taskFromJson(const Json& json) { return { .job = json.at("job"), .attempt = json.at("attempt") }; }

static Resources resourcesFromJson(const Json& json)
{
    return {
        .cpuMillis = json.at("cpu_millis"), .memoryMb = json.at("memory_mb"), .accelerators = json.at("accelerators")
    };
}

// Throws on an unknown name: a default value could turn an unknown task outcome into a completion.
template <typename Value>
static Value valueFromName(const std::map<std::string, Value>& values, const std::string& name)
{
    auto it = values.find(name);
    if (it == values.end())
        throw std::invalid_argument("unknown value " + name);
    return it->second;
}

static TaskOutcome outcomeFromJson(const Json& json)
{
    static const std::map<std::string, TaskOutcome> values {
        { "completed", TaskOutcome::Completed },
        { "failed", TaskOutcome::Failed },
        { "evicted", TaskOutcome::Evicted },
        { "lost", TaskOutcome::Lost },
        { "refused", TaskOutcome::Refused },
        { "stopped", TaskOutcome::Stopped },
    };
    return valueFromName(values, json.get<std::string>());
}

static StartResult startResultFromJson(const Json& json)
{
    static const std::map<std::string, StartResult> values {
        { "started", StartResult::Started },
        { "already_running", StartResult::AlreadyRunning },
        { "already_ended", StartResult::AlreadyEnded },
        { "refused", StartResult::Refused },
    };
    return valueFromName(values, json.get<std::string>());
}

static EndedTask endedFromJson(const Json& json)
{
    return {
        .task = taskFromJson(json.at("task")),
        .outcome = outcomeFromJson(json.at("outcome")),
        .checkpoint = json.at("checkpoint"),
        .result = json.at("result"),
    };
}

static TaskUsage usageFromJson(const Json& json)
{
    return {
        .task = taskFromJson(json.at("task")),
        .used = resourcesFromJson(json.at("used")),
        .progressPerMille = json.at("progress_milli"),
    };
}

std::string encodeTaskStart(const TaskStart& start)
{
    return Json {
        { "task", toJson(start.task) },
        { "kind", start.kind },
        { "size", toJson(start.size) },
        { "run_ms", start.runMs },
        { "lease_until_ms", start.leaseUntilMs },
        { "checkpoint", start.checkpoint },
        { "is_service", start.isService },
    }
        .dump();
}

std::string encodeLeaseRenewal(const LeaseRenewal& renewal)
{
    return Json {
        { "lease_until_ms", renewal.leaseUntilMs },
        { "tasks", toJson(renewal.tasks) },
        { "acknowledged", toJson(renewal.acknowledged) },
    }
        .dump();
}

std::string encodeTaskId(const TaskId& task) { return Json { { "task", toJson(task) } }.dump(); }

std::string encodeStop(const TaskId& task, bool checkpoint)
{
    return Json { { "task", toJson(task) }, { "checkpoint", checkpoint } }.dump();
}

std::string encodeThrottle(const TaskId& task, int cpuPercent)
{
    return Json { { "task", toJson(task) }, { "cpu_percent", cpuPercent } }.dump();
}

// nlohmann-json throws on missing and mistyped keys; the exceptions are converted to a status here.
template <typename Result, typename Convert>
static absl::StatusOr<Result> decodeJson(std::string_view text, std::string_view what, Convert convert)
{
    try {
        return convert(Json::parse(text));
    } catch (const std::exception& error) {
        return absl::InvalidArgumentError(fmt::format("malformed {}: {}", what, error.what()));
    }
}

absl::StatusOr<StartReply> decodeStartReply(std::string_view text)
{
    return decodeJson<StartReply>(text, "start reply", [](const Json& json) {
        return StartReply {
            .result = startResultFromJson(json.at("result")),
            .workerClockMs = json.at("worker_clock_ms"),
            .reason = json.at("reason"),
        };
    });
}

absl::StatusOr<LeaseReport> decodeLeaseReport(std::string_view text)
{
    return decodeJson<LeaseReport>(text, "lease report", [](const Json& json) {
        LeaseReport report { .workerClockMs = json.at("worker_clock_ms") };
        for (const auto& it : json.at("running"))
            report.running.push_back(usageFromJson(it));
        for (const auto& it : json.at("ended"))
            report.ended.push_back(endedFromJson(it));
        return report;
    });
}

absl::StatusOr<StopReply> decodeStopReply(std::string_view text)
{
    return decodeJson<StopReply>(text, "stop reply", [](const Json& json) {
        return StopReply {
            .ended = endedFromJson(json.at("ended")),
            .workerClockMs = json.at("worker_clock_ms"),
        };
    });
}

}
