#pragma once

#include "ClusterSimulation.h"
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

    /// Compares the scheduler on one workload with first fit, with hosts that are not shared, with an oracle, and with
    /// the same workload without one zone.
    void compare(const WorkloadSize&) const;
    /// Runs the workload with all mechanisms of the scheduler, and once without each mechanism.
    void ablate(const WorkloadSize&) const;

private:
    RunResult run(const WorkloadSize&, const RunSettings&) const;

    uint64_t m_seed;
};

}
