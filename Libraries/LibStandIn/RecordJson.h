#pragma once

#include <LibStandIn/RunRecords.h>
#include <nlohmann/json.hpp>

namespace Bergamot {

/// JSON lines of execution records and of callers' records; RunRecords::addLine() reads them.
nlohmann::json toJson(const TaskRecord&);
nlohmann::json toJson(const ExecutionRecord&);
nlohmann::json toJson(const WorkerRecord&);
nlohmann::json toJson(const SentRequest&);
nlohmann::json toJson(const SentJob&);
nlohmann::json toJson(const ConfigSeenEvent&);

}
