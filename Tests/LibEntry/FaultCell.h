#pragma once

#include "Fault.h"
#include "Step.h"
#include <string>

namespace Bergamot {

/// Result of one fault at one step. `violations` is empty for a passed cell; a step that was not reached has no
/// verdict.
struct CellResult {
    bool stepReached { false };
    std::string violations {};
};

/// Runs the scenario with the fault at the first time that the step is reached; a null fault strikes never.
CellResult runCell(Step, const Fault*);

}
