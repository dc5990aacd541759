#pragma once

#include <LibStandIn/ExecutionRecord.h>
#include <LibStandIn/RunEvent.h>
#include <LibStandIn/SentJob.h>
#include <LibStandIn/SentRequest.h>
#include <LibStandIn/TaskRecord.h>
#include <LibStandIn/WorkerRecord.h>
#include <absl/status/status.h>
#include <string>
#include <string_view>
#include <vector>

namespace Bergamot {

/// All requests, jobs, executions, operator commands and state changes of one run.
struct RunRecords {
    std::vector<TaskRecord> tasks {};
    std::vector<ExecutionRecord> executions {};
    std::vector<WorkerRecord> workers {};
    std::vector<SentRequest> requests {};
    std::vector<SentJob> jobs {};
    std::vector<HostStateEvent> hostStates {};
    std::vector<ZoneEvent> zones {};
    std::vector<StopEvent> stops {};
    std::vector<ConfigAcceptedEvent> configsAccepted {};
    std::vector<ConfigSeenEvent> configsSeen {};

    /// Adds one JSON line. Returns InvalidArgument for a malformed line or an unknown type, because a skipped record
    /// could hide a violation.
    absl::Status addLine(std::string_view line);

    /// Adds each line of the text and stops at the first invalid line, whose status it returns.
    absl::Status addLines(std::string_view text);
};

}
