#pragma once

#include <LibCore/Time.h>
#include <LibDecision/Placement.h>
#include <LibDecision/RunTimeEstimator.h>
#include <LibDecision/SchedulerState.h>
#include <optional>
#include <vector>

namespace Bergamot {

/// Finds the worker where room for a job that fits nowhere now is cheapest to make, or comes first by itself.
class RoomPlanner {
public:
    struct Plan {
        WorkerIndex worker { noIndex };
        /// Tasks to evict, and when the room is expected.
        std::vector<JobIndex> victims {};
        Instant readyAt {};
    };

    RoomPlanner(const SchedulerState&, const RunTimeEstimator&, const Placement&);

    /// Room by evicting tasks that yield to the job's kind and are not urgent themselves, with the least work lost.
    std::optional<Plan> byEviction(const PlacementQuery&) const;
    /// Room when running tasks end as estimated, on the worker where that is soonest.
    std::optional<Plan> byWaiting(const PlacementQuery&) const;
    Instant expectedEnd(const JobRecord&, Instant now) const;

private:
    bool isCandidate(const JobRecord&, WorkerIndex, Instant now) const;
    std::optional<Plan> evictionOn(const PlacementQuery&, WorkerIndex, double& cost) const;
    std::optional<Instant> waitOn(const PlacementQuery&, const WorkerRecord&) const;

    const SchedulerState& m_state;
    const RunTimeEstimator& m_estimator;
    const Placement& m_placement;
};

}
