#pragma once

#include <LibCore/Time.h>
#include <LibDecision/Placement.h>
#include <LibDecision/RunTimeEstimator.h>
#include <LibDecision/SchedulerState.h>
#include <optional>
#include <vector>

namespace Bergamot {

/// Finds a worker for a job that fits nowhere at present: the worker on which its resources can be freed at the
/// lowest cost, or the one on which they become free first.
class ReservationPlanner {
public:
    struct Plan {
        WorkerIndex worker { noIndex };
        /// Tasks to evict, and the time at which the resources are expected to be free.
        std::vector<JobIndex> victims {};
        Instant readyAt {};
    };

    ReservationPlanner(const SchedulerState&, const RunTimeEstimator&, const Placement&);

    /// Frees the resources by evicting tasks that yield to the job's kind and are not urgent themselves, so that the
    /// least work is lost.
    std::optional<Plan> planByEviction(const PlacementQuery&) const;
    /// Waits until running tasks end as estimated, on the worker on which the resources become free first.
    std::optional<Plan> planByWaiting(const PlacementQuery&) const;
    Instant expectedEnd(const JobRecord&, Instant now) const;

private:
    bool isEligible(const JobRecord&, WorkerIndex, Instant now) const;
    std::optional<Plan> planEvictionOn(const PlacementQuery&, WorkerIndex, double& cost) const;
    std::optional<Instant> estimateReadyTime(const PlacementQuery&, const SchedulerWorkerRecord&) const;

    const SchedulerState& m_state;
    const RunTimeEstimator& m_estimator;
    const Placement& m_placement;
};

}
