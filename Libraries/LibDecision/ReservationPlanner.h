#pragma once

#include <LibCore/Time.h>
#include <LibDecision/Placement.h>
#include <LibDecision/RunTimeEstimator.h>
#include <LibDecision/SchedulerState.h>
#include <optional>
#include <vector>

namespace Bergamot {

/// Finds the worker where room for a job that fits nowhere now is cheapest to make, or comes first by itself.
class ReservationPlanner {
public:
    struct Plan {
        WorkerIndex worker { noIndex };
        /// Tasks to evict, and when the room is expected.
        std::vector<JobIndex> victims {};
        Instant readyAt {};
    };

    ReservationPlanner(const SchedulerState&, const RunTimeEstimator&, const Placement&);

    /// Room by evicting tasks that yield to the job's kind and are not urgent themselves, with the least work lost.
    std::optional<Plan> planByEviction(const PlacementQuery&) const;
    /// Room when running tasks end as estimated, on the worker where that is soonest.
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
