#include <LibStandIn/ProtocolJson.h>
#include <LibStandIn/RecordJson.h>

namespace Bergamot {

using nlohmann::json;

static json endJson(const std::optional<int64_t>& endMs) { return endMs ? json(*endMs) : json(nullptr); }

json toJson(const TaskRecord& record)
{
    return { { "type", "task" }, { "job", record.task.job }, { "attempt", record.task.attempt },
        { "worker", record.worker }, { "zone", record.zone }, { "kind", record.kind },
        { "is_service", record.isService }, { "start_ms", record.startMs }, { "end_ms", endJson(record.endMs) },
        { "resumed_from", record.resumedFrom }, { "checkpoint", record.checkpoint }, { "outcome", record.outcome },
        { "acknowledged", record.acknowledged } };
}

json toJson(const ExecutionRecord& record)
{
    return { { "type", "execution" }, { "request_id", record.requestId }, { "key", record.key },
        { "non_idempotent", record.nonIdempotent }, { "digest", record.digest }, { "worker", record.worker },
        { "zone", record.zone }, { "start_ms", record.startMs }, { "end_ms", endJson(record.endMs) } };
}

json toJson(const WorkerRecord& record)
{
    return { { "type", "worker" }, { "worker", record.worker }, { "zone", record.zone },
        { "capacity", toJson(record.capacity) }, { "highest", toJson(record.highest) },
        { "over_commit_attempts", record.overCommitAttempts }, { "slots", record.slots },
        { "highest_slots", record.highestSlots }, { "connections", record.connections },
        { "highest_connections", record.highestConnections } };
}

json toJson(const SentRequest& record)
{
    return { { "type", "request" }, { "key", record.key }, { "entry", record.entry }, { "service", record.service },
        { "non_idempotent", record.nonIdempotent }, { "sent_ms", record.sentMs }, { "answered_ms", record.answeredMs },
        { "status", record.status }, { "ran", record.ran }, { "digest", record.digest },
        { "answer_digest", record.answerDigest }, { "whole", record.isComplete }, { "error", record.error } };
}

json toJson(const SentJob& record)
{
    return { { "type", "job" }, { "key", record.key }, { "job", record.job }, { "kind", record.kind },
        { "entry", record.entry }, { "urgent", record.urgent }, { "cancelled", record.cancelled },
        { "sent_ms", record.sentMs }, { "answered_ms", record.answeredMs }, { "status", record.status },
        { "ran", record.ran }, { "final_state", record.finalState }, { "state_ms", record.stateMs } };
}

json toJson(const ConfigSeenEvent& event)
{
    return { { "type", "config_seen" }, { "entry", event.entry }, { "version", event.version },
        { "at_ms", event.atMs } };
}

}
