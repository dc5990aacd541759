#pragma once

#include <LibDecision/PlacementDelay.h>
#include <LibDecision/RunEnd.h>
#include <LibDecision/StopReason.h>
#include <LibDecision/SuspectDelay.h>
#include <LibDecision/WorkerEnd.h>
#include <LibPlatform/TaskCommandReply.h>
#include <LibWire/JobStage.h>
#include <string_view>

namespace Bergamot {

/// Names used in log lines and metric labels.
std::string_view nameOf(RunOutcome);
std::string_view nameOf(TaskCommandOutcome);
std::string_view nameOf(JobStage);
std::string_view nameOf(PlacementDelay);
std::string_view nameOf(SuspectDelay);
std::string_view nameOf(WorkerEnd);
std::string_view nameOf(StopReason);

}
