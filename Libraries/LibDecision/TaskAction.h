#pragma once

#include <LibDecision/StartTask.h>
#include <LibDecision/StopTask.h>
#include <LibDecision/ThrottleRun.h>
#include <variant>

namespace Bergamot {

/// A command to a worker.
using TaskAction = std::variant<StartTask, StopTask, ThrottleRun>;

}
