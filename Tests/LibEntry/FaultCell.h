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

/// Result of a run with random faults; the trace names each fault with its time and member.
struct RandomisedResult {
    std::string violations {};
    std::string trace {};
};

/// Faults strike for `length`; then all end and the scenario has to reach its goal.
RandomisedResult runRandomised(uint64_t seed, Milliseconds length);

}
