#pragma once

#include "Fault.h"
#include <absl/status/statusor.h>
#include <string>
#include <vector>

namespace Bergamot {

/// The kinds that a list names, separated by commas; "all" names every kind.
absl::StatusOr<std::vector<FaultKind>> parseFaultKinds(const std::string&);

/// Faults that overlap, all of them over by `end`. The same arguments give the same schedule.
std::vector<Fault> drawFaults(uint64_t seed, const std::vector<FaultKind>&, Milliseconds end);

}
