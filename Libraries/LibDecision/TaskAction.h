#pragma once

#include <LibDecision/PaceTask.h>
#include <LibDecision/StartTask.h>
#include <LibDecision/StopTask.h>
#include <variant>

namespace Bergamot {

/// An order to a worker.
using TaskAction = std::variant<StartTask, StopTask, PaceTask>;

}
