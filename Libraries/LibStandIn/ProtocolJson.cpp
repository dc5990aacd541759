#include <LibStandIn/JsonField.h>
#include <LibStandIn/ProtocolJson.h>
#include <array>
#include <limits>
#include <msgpack.hpp>

namespace Bergamot {

using nlohmann::json;

absl::StatusOr<TaskId> parseTaskId(const json& body)
{
    TaskId id { .job = jsonText(body, "job") };
    auto attempt = jsonInteger(body, "attempt");
    if (id.job.empty() || attempt < 1 || attempt > std::numeric_limits<uint32_t>::max())
        return absl::InvalidArgumentError("task needs a job and an attempt of 1 or more");
    id.attempt = static_cast<uint32_t>(attempt);
    return id;
}

static absl::StatusOr<std::vector<TaskId>> parseTaskIds(const json& list)
{
    std::vector<TaskId> ids;
    if (list.is_null())
        return ids;
    if (!list.is_array())
        return absl::InvalidArgumentError("a list of tasks is required");
    for (const auto& item : list) {
        auto id = parseTaskId(item);
        if (!id.ok())
            return id.status();
        ids.push_back(std::move(*id));
    }
    return ids;
}

absl::StatusOr<TaskStart> parseTaskStart(const json& body)
{
    auto id = parseTaskId(jsonMember(body, "task"));
    if (!id.ok())
        return id.status();
    const auto& size = jsonMember(body, "size");
    if (!size.is_object() || !jsonMember(body, "lease_until_ms").is_number_integer())
        return absl::InvalidArgumentError("size and lease_until_ms are required");
    TaskStart start {
        .task = std::move(*id),
        .kind = jsonText(body, "kind"),
        .size = { jsonInteger(size, "cpu_millis"), jsonInteger(size, "memory_mb"), jsonInteger(size, "accelerators") },
        .runMs = jsonInteger(body, "run_ms"),
        .leaseUntilMs = jsonInteger(body, "lease_until_ms"),
        .checkpoint = jsonText(body, "checkpoint"),
        .isService = jsonFlag(body, "is_service"),
    };
    if (!start.size.isValid() || start.runMs < 0)
        return absl::InvalidArgumentError("size or run_ms is out of range");
    return start;
}

absl::StatusOr<LeaseRenewal> parseLeaseRenewal(const json& body)
{
    if (!body.is_object())
        return absl::InvalidArgumentError("a JSON object is required");
    auto tasks = parseTaskIds(jsonMember(body, "tasks"));
    if (!tasks.ok())
        return tasks.status();
    auto acknowledged = parseTaskIds(jsonMember(body, "acknowledged"));
    if (!acknowledged.ok())
        return acknowledged.status();
    return LeaseRenewal { jsonInteger(body, "lease_until_ms"), std::move(*tasks), std::move(*acknowledged) };
}

std::string_view outcomeName(TaskOutcome outcome)
{
    static constexpr std::array<std::string_view, 6> names { "completed", "failed", "evicted", "lost", "refused",
        "stopped" };
    return names.at(static_cast<size_t>(outcome));
}

static std::string_view resultName(StartResult result)
{
    static constexpr std::array<std::string_view, 4> names { "started", "already_running", "already_ended", "refused" };
    return names.at(static_cast<size_t>(result));
}

json toJson(const Resources& amount)
{
    return { { "cpu_millis", amount.cpuMillis }, { "memory_mb", amount.memoryMb },
        { "accelerators", amount.accelerators } };
}

json toJson(const TaskId& id) { return { { "job", id.job }, { "attempt", id.attempt } }; }

json toJson(const EndedTask& ended)
{
    return { { "task", toJson(ended.task) }, { "outcome", outcomeName(ended.outcome) },
        { "checkpoint", ended.checkpoint }, { "result", ended.result } };
}

json toJson(const StartReply& reply)
{
    return { { "result", resultName(reply.result) }, { "worker_clock_ms", reply.workerClockMs },
        { "reason", reply.reason } };
}

json toJson(const LeaseReport& report)
{
    auto running = json::array();
    for (const auto& usage : report.running)
        running.push_back({ { "task", toJson(usage.task) }, { "used", toJson(usage.used) },
            { "progress_milli", usage.progressPerMille } });
    auto ended = json::array();
    for (const auto& task : report.ended)
        ended.push_back(toJson(task));
    return { { "worker_clock_ms", report.workerClockMs }, { "running", running }, { "ended", ended } };
}

json toJson(const StopReply& reply)
{
    return { { "ended", toJson(reply.ended) }, { "worker_clock_ms", reply.workerClockMs } };
}

json toJson(const HostEntry& host)
{
    auto result = toJson(host.capacity);
    result["id"] = host.id;
    result["address"] = host.address;
    result["zone"] = host.zone;
    result["rack"] = host.rack;
    result["state"] = host.leaving ? "leaving" : "live";
    return result;
}

std::string encodeLogChunk(const LogChunk& chunk)
{
    msgpack::sbuffer buffer;
    msgpack::packer<msgpack::sbuffer> packer(buffer);
    packer.pack_array(3);
    packer.pack(chunk.earliest);
    packer.pack(chunk.head);
    packer.pack_array(static_cast<uint32_t>(chunk.entries.size()));
    for (const auto& entry : chunk.entries) {
        packer.pack_array(3);
        packer.pack(entry.offset);
        packer.pack(entry.timeMs);
        packer.pack_bin(static_cast<uint32_t>(entry.bytes.size()));
        packer.pack_bin_body(entry.bytes.data(), static_cast<uint32_t>(entry.bytes.size()));
    }
    return { buffer.data(), buffer.size() };
}

}
