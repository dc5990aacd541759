#pragma once

#include <LibPlatform/LeaseRenewal.h>
#include <LibPlatform/LeaseReport.h>
#include <LibPlatform/StartReply.h>
#include <LibPlatform/StopReply.h>
#include <LibPlatform/TaskStart.h>
#include <absl/status/statusor.h>
#include <string>
#include <string_view>

namespace Bergamot {

std::string encodeTaskStart(const TaskStart&);
std::string encodeLeaseRenewal(const LeaseRenewal&);
std::string encodeTaskId(const TaskId&);
std::string encodeStop(const TaskId&, bool checkpoint);
std::string encodeThrottle(const TaskId&, int cpuPercent);

/// The decoders return InvalidArgument for malformed input.
absl::StatusOr<StartReply> decodeStartReply(std::string_view);
absl::StatusOr<LeaseReport> decodeLeaseReport(std::string_view);
absl::StatusOr<StopReply> decodeStopReply(std::string_view);

}
