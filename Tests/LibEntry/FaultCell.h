#pragma once

#include "Fault.h"
#include "Step.h"
#include <string>

namespace Bergamot {

/// Result of injecting one fault at one step. `violations` is empty when the checks passed. The result says nothing
/// about the fault when the step was not reached.
struct CellResult {
    bool stepReached { false };
    std::string violations {};
};

/// Runs the scenario and injects the fault when the step is first reached. A null fault injects nothing.
CellResult runCell(Step, const Fault*);

/// Result of a run with random faults. The trace lists each fault with its time and member.
struct RandomisedResult {
    std::string violations {};
    std::string trace {};
};

/// Injects random faults for `length`. Then the faults end, and all jobs must end and members agree within 400 s.
RandomisedResult runRandomised(uint64_t seed, Milliseconds length);

}
