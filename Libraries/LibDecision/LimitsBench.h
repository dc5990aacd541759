#pragma once

#include <cstdint>
#include <ostream>

namespace Bergamot {

/// Size of a run of the quick-path policy benchmark.
struct LimitsBenchSize {
    /// Duration of each workload in virtual time.
    int64_t seconds { 60 };
};

/// Runs the quick-path policies on simulation models in virtual time and prints one JSON line for each figure
/// (workload, seed, unit, baseline, figure, target, reached). The output depends only on the seed and the size, not on
/// the machine.
void runLimitsBench(uint64_t seed, std::ostream&, LimitsBenchSize size = {});

}
