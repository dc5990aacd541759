#pragma once

#include <cstdint>
#include <ostream>

namespace Bergamot {

/// Size of a run of the benchmark of the quick-path policies.
struct LimitsBenchSize {
    /// Virtual length of each workload.
    int64_t seconds { 60 };
};

/// Runs the quick-path policies on models in virtual time and prints one JSON line for each figure (workload, seed,
/// unit, baseline, figure, target, reached). The same seed and size give the same lines on every machine.
void runLimitsBench(uint64_t seed, std::ostream&, LimitsBenchSize size = {});

}
