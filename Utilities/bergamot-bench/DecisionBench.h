#pragma once

#include "ClusterDriver.h"
#include <cstdint>
#include <string>

namespace Bergamot {

/// Runs the scheduler and its baselines on the synthetic workloads and prints one JSON line for each measurement.
class DecisionBench {
public:
    explicit DecisionBench(uint64_t seed)
        : m_seed(seed)
    {
    }

    /// Measures one workload against first fit, no sharing and an oracle.
    void compare(const WorkloadSize&) const;
    /// Runs the workload once more for each mechanism without it, for this seed.
    void ablate(const WorkloadSize&) const;

private:
    RunResult run(const WorkloadSize&, const RunSettings&) const;

    uint64_t m_seed;
};

}
