#pragma once

#include "Fault.h"
#include <absl/status/statusor.h>
#include <string>
#include <vector>

namespace Bergamot {

/// Parses a comma-separated list of fault names, in which "all" stands for every kind, and a name after a minus sign
/// removes its kind from those before it. Returns InvalidArgument for an unknown name.
absl::StatusOr<std::vector<FaultKind>> parseFaultKinds(const std::string&);

/// Generates a schedule of faults, which may overlap and all end by `end`. The same arguments give the same schedule.
std::vector<Fault> generateFaults(uint64_t seed, const std::vector<FaultKind>&, Milliseconds end);

}
