#pragma once

#include "Workload.h"
#include <LibDecision/SlowdownEstimator.h>

namespace Bergamot {

/// Baseline estimator that reads the true slowdown coefficients, without uncertainty and without learning.
class OracleEstimator final : public SlowdownEstimator {
public:
    OracleEstimator(const Workload& workload, const int64_t& nowMs)
        : m_workload(workload)
        , m_nowMs(nowMs)
    {
    }

    void observe(KindIndex, const std::vector<Neighbour>&, double, double, Instant) override { }

    SlowdownEstimate estimatePair(KindIndex victim, Neighbour neighbour, double load) const override
    {
        return { .mean = m_workload.slowdown(victim, neighbour.kind, load, m_nowMs) * neighbour.share };
    }

    size_t stateBytes() const override { return 0; }

private:
    const Workload& m_workload;
    const int64_t& m_nowMs;
};

}
