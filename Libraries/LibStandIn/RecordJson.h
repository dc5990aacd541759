#pragma once

#include <LibStandIn/RunRecords.h>
#include <nlohmann/json.hpp>

namespace Bergamot {

/// Serialises worker records and callers' records, one JSON line each. RunRecords::addLine() parses these lines.
nlohmann::json toJson(const TaskRecord&);
nlohmann::json toJson(const ExecutionRecord&);
nlohmann::json toJson(const WorkerRecord&);
nlohmann::json toJson(const SentRequest&);
nlohmann::json toJson(const SentJob&);
nlohmann::json toJson(const ConfigSeenEvent&);

}
