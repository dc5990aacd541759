#include <LibStandIn/JsonField.h>
#include <LibStandIn/RunRecords.h>
#include <array>
#include <fmt/format.h>
#include <span>

namespace Bergamot {

using nlohmann::json;

namespace {

    struct LineReader {
        const json& line;

        std::string text(std::string_view key) const { return jsonText(line, key); }
        int64_t integer(std::string_view key) const { return jsonInteger(line, key); }
        bool flag(std::string_view key) const { return jsonFlag(line, key); }

        std::optional<int64_t> optionalInteger(std::string_view key) const
        {
            const auto& value = jsonMember(line, key);
            return value.is_number_integer() ? std::optional(value.get<int64_t>()) : std::nullopt;
        }

        Resources resources(std::string_view key) const
        {
            const auto& value = jsonMember(line, key);
            return { jsonInteger(value, "cpu_millis"), jsonInteger(value, "memory_mb"),
                jsonInteger(value, "accelerators") };
        }
    };

    struct LineType {
        std::string_view name;
        std::vector<std::string_view> required;
        void (*add)(RunRecords&, const LineReader&);
    };

}

static void addTask(RunRecords& records, const LineReader& in)
{
    records.tasks.push_back({ .task = { in.text("job"), static_cast<uint32_t>(in.integer("attempt")) },
        .worker = in.text("worker"),
        .zone = in.text("zone"),
        .kind = in.text("kind"),
        .isService = in.flag("is_service"),
        .startMs = in.integer("start_ms"),
        .endMs = in.optionalInteger("end_ms"),
        .resumedFrom = in.text("resumed_from"),
        .checkpoint = in.text("checkpoint"),
        .outcome = in.text("outcome"),
        .acknowledged = in.flag("acknowledged") });
}

static void addExecution(RunRecords& records, const LineReader& in)
{
    records.executions.push_back({ .requestId = in.text("request_id"),
        .key = in.text("key"),
        .nonIdempotent = in.flag("non_idempotent"),
        .digest = in.text("digest"),
        .worker = in.text("worker"),
        .zone = in.text("zone"),
        .startMs = in.integer("start_ms"),
        .endMs = in.optionalInteger("end_ms") });
}

static void addWorker(RunRecords& records, const LineReader& in)
{
    records.workers.push_back({ .worker = in.text("worker"),
        .zone = in.text("zone"),
        .capacity = in.resources("capacity"),
        .highest = in.resources("highest"),
        .overCommitAttempts = in.integer("over_commit_attempts"),
        .slots = in.integer("slots"),
        .highestSlots = in.integer("highest_slots"),
        .connections = in.integer("connections"),
        .highestConnections = in.integer("highest_connections") });
}

static void addRequest(RunRecords& records, const LineReader& in)
{
    records.requests.push_back({ .key = in.text("key"),
        .entry = in.text("entry"),
        .service = in.text("service"),
        .nonIdempotent = in.flag("non_idempotent"),
        .sentMs = in.integer("sent_ms"),
        .answeredMs = in.integer("answered_ms"),
        .status = static_cast<int>(in.integer("status")),
        .ran = in.text("ran"),
        .digest = in.text("digest"),
        .answerDigest = in.text("answer_digest"),
        .isComplete = in.flag("whole"),
        .error = in.text("error") });
}

static void addJob(RunRecords& records, const LineReader& in)
{
    records.jobs.push_back({ .key = in.text("key"),
        .job = in.text("job"),
        .kind = in.text("kind"),
        .entry = in.text("entry"),
        .urgent = in.flag("urgent"),
        .cancelled = in.flag("cancelled"),
        .sentMs = in.integer("sent_ms"),
        .answeredMs = in.integer("answered_ms"),
        .status = static_cast<int>(in.integer("status")),
        .ran = in.text("ran"),
        .finalState = in.text("final_state"),
        .stateMs = in.integer("state_ms") });
}

static void addHostState(RunRecords& records, const LineReader& in)
{
    records.hostStates.push_back({ in.text("worker"), in.text("state"), in.integer("shown_at_ms") });
}

static void addZone(RunRecords& records, const LineReader& in)
{
    records.zones.push_back({ in.text("zone"), in.flag("out"), in.integer("at_ms") });
}

static void addStop(RunRecords& records, const LineReader& in)
{
    records.stops.push_back({ in.text("entry"), in.flag("planned"), in.integer("at_ms"), in.integer("until_ms") });
}

static void addConfigAccepted(RunRecords& records, const LineReader& in)
{
    records.configsAccepted.push_back({ in.integer("version"), in.integer("at_ms") });
}

static void addConfigSeen(RunRecords& records, const LineReader& in)
{
    records.configsSeen.push_back({ in.text("entry"), in.integer("version"), in.integer("at_ms") });
}

static const std::vector<LineType>& lineTypes()
{
    static const std::vector<LineType> types {
        { "task", { "job", "attempt", "worker", "zone", "start_ms", "end_ms", "resumed_from", "acknowledged" },
            addTask },
        { "execution", { "request_id", "key", "non_idempotent", "worker", "start_ms" }, addExecution },
        { "worker", { "worker", "capacity", "highest", "over_commit_attempts", "slots", "highest_slots" }, addWorker },
        { "request", { "key", "entry", "sent_ms", "answered_ms", "status", "ran", "digest", "whole", "error" },
            addRequest },
        { "job", { "key", "job", "status", "final_state" }, addJob },
        { "host_state", { "worker", "state", "shown_at_ms" }, addHostState },
        { "zone", { "zone", "out", "at_ms" }, addZone },
        { "stop", { "entry", "planned", "at_ms", "until_ms" }, addStop },
        { "config_accepted", { "version", "at_ms" }, addConfigAccepted },
        { "config_seen", { "entry", "version", "at_ms" }, addConfigSeen },
    };
    return types;
}

absl::Status RunRecords::addLine(std::string_view text)
{
    auto line = parseJson(text);
    auto name = jsonText(line, "type");
    // The output of the load tool contains summary lines besides its records.
    if (name == "summary")
        return absl::OkStatus();
    for (const auto& type : lineTypes()) {
        if (type.name != name)
            continue;
        for (auto key : type.required) {
            if (!line.contains(std::string(key)))
                return absl::InvalidArgumentError(fmt::format("{} record without {}", name, key));
        }
        type.add(*this, LineReader { line });
        return absl::OkStatus();
    }
    return absl::InvalidArgumentError(fmt::format("not a known record: {}", text.substr(0, 200)));
}

absl::Status RunRecords::addLines(std::string_view text)
{
    while (!text.empty()) {
        auto end = text.find('\n');
        auto line = text.substr(0, end);
        text = end == std::string_view::npos ? std::string_view {} : text.substr(end + 1);
        if (line.empty())
            continue;
        if (auto status = addLine(line); !status.ok())
            return status;
    }
    return absl::OkStatus();
}

}
