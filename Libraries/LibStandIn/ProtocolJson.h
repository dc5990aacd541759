#pragma once

#include <LibPlatform/HostEntry.h>
#include <LibPlatform/LeaseRenewal.h>
#include <LibPlatform/LeaseReport.h>
#include <LibPlatform/LogChunk.h>
#include <LibPlatform/StartReply.h>
#include <LibPlatform/StopReply.h>
#include <LibPlatform/TaskStart.h>
#include <absl/status/statusor.h>
#include <nlohmann/json.hpp>
#include <string>
#include <string_view>

namespace Bergamot {

/// Encoding and decoding of the worker's, host list's and log's side of docs/platform-protocol.md. Parsers return
/// InvalidArgument for malformed input and never throw.
absl::StatusOr<TaskId> parseTaskId(const nlohmann::json&);
absl::StatusOr<TaskStart> parseTaskStart(const nlohmann::json&);
absl::StatusOr<LeaseRenewal> parseLeaseRenewal(const nlohmann::json&);

std::string_view outcomeName(TaskOutcome);

nlohmann::json toJson(const Resources&);
nlohmann::json toJson(const TaskId&);
nlohmann::json toJson(const EndedTask&);
nlohmann::json toJson(const StartReply&);
nlohmann::json toJson(const LeaseReport&);
nlohmann::json toJson(const StopReply&);
nlohmann::json toJson(const HostEntry&);

/// Returns the msgpack body of the reply to a log read.
std::string encodeLogChunk(const LogChunk&);

}
