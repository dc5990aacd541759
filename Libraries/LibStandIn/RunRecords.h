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

/// Everything that was sent, answered, ordered and executed in one run.
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

    /// Adds one JSON line. InvalidArgument for a malformed line or an unknown type; a record that was lost in this way
    /// could hide a violation.
    absl::Status addLine(std::string_view line);

    /// Adds each line of the text and stops at the first bad one.
    absl::Status addLines(std::string_view text);
};

}
