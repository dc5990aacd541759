#pragma once

#include <cstdint>
#include <iosfwd>
#include <string>

namespace Bergamot {

/// Plays the modelled days of today's and the grown deployments, or the one named, and writes a JSON line for each:
/// what callers got, and what the decisions cost. Returns false when no day has that name.
bool runDayBench(uint64_t seed, const std::string& only, std::ostream&);

}
