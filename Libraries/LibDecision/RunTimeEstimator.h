#pragma once

#include <LibCore/Time.h>
#include <LibDecision/SchedulerTypes.h>
#include <cstdint>
#include <vector>

namespace Bergamot {

/// Estimates run times from the history of each kind, because declared run times are often far from the actual ones.
/// It learns the ratio of actual to declared run time, or the run time itself where none is declared.
class RunTimeEstimator {
public:
    void recordRun(KindIndex, int64_t declaredMs, int64_t actualMs);

    /// Expected run time plus one standard deviation, so that most runs end within the estimate.
    Milliseconds estimate(KindIndex, int64_t declaredMs) const;

private:
    struct History {
        double meanLogRatio { 0 };
        double varianceLogRatio { 0.25 };
        uint32_t ratioSamples { 0 };
        double meanLogRun { 0 };
        uint32_t runSamples { 0 };
    };

    std::vector<History> m_kinds;
};

}
