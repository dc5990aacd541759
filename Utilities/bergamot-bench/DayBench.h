#pragma once

#include <cstdint>
#include <iosfwd>
#include <string>

namespace Bergamot {

/// Simulates the modelled days of the current and the grown deployments, or only the day named `only` unless it is
/// empty. Writes one JSON line for each day with the results of the callers and the cost of the decisions. Returns
/// false when no day has that name.
bool runDayBench(uint64_t seed, const std::string& only, std::ostream&);

}
