#pragma once

#include <LibCore/Time.h>
#include <LibDecision/SchedulerOptions.h>
#include <LibDecision/SchedulerState.h>
#include <LibDecision/SlowdownEstimator.h>
#include <LibDecision/ZonePolicy.h>
#include <array>
#include <cstdint>
#include <optional>

namespace Bergamot {

/// Why a worker can't take a job.
enum class Rejection : uint8_t {
    None,
    TooSmall,
    ZoneOut,
    Unavailable,
    FailedThere,
    Pacing,
    NoRoom,
    Reserved,
    Busy,
    Interference,
    Count
};

/// How far the latency budget of services limits a placement. `Expected` leaves the uncertainty out, so that a kind
/// about which nothing is known can be tried; `None` is for jobs that would otherwise starve.
enum class LatencyCaution : uint8_t { Full, Expected, None };

/// One question: where to place this job now.
struct PlacementQuery {
    JobIndex job { noIndex };
    Instant now {};
    Milliseconds estimatedRun {};
    LatencyCaution caution { LatencyCaution::Full };
};

/// Chooses a worker for a job. Hard limits are room, state of the worker, reservations and the latency budget of the
/// services on it. Among a bounded sample of the workers that remain, the lowest score wins.
class Placement {
public:
    Placement(const SchedulerState&, const SlowdownEstimator&, const ZonePolicy&, const SchedulerOptions&);

    /// `random` selects where the scan starts, so that equal workers share the load.
    std::optional<WorkerIndex> choose(const PlacementQuery&, uint64_t random) const;
    /// Whether the worker can take the job, without regard to interference.
    Rejection check(const PlacementQuery&, WorkerIndex) const;
    /// Whether the job alone leaves the services on the worker within their budget.
    bool isBearable(const PlacementQuery&, WorkerIndex) const;
    /// Number of workers by the first reason that excludes them; for explanations.
    std::array<size_t, static_cast<size_t>(Rejection::Count)> explain(const PlacementQuery&) const;
    /// Workers per zone, for the refill pace; set again when workers come or go.
    void setWorkersPerZone(std::vector<size_t> counts);

private:
    struct Interference {
        bool acceptable { true };
        double rise { 0 };
    };

    Interference interferenceOf(const PlacementQuery&, const WorkerRecord&) const;
    Interference riseOf(const PlacementQuery&, const WorkerRecord&, const ServiceWatch&) const;
    Rejection checkHolds(const PlacementQuery&, const WorkerRecord&) const;
    bool takesAcceleratorRoom(const JobRecord&, const WorkerRecord&) const;
    double score(const JobRecord&, const WorkerRecord&, double rise) const;
    double spreadScore(const JobRecord&, const WorkerRecord&) const;

    const SchedulerState& m_state;
    const SlowdownEstimator& m_estimator;
    const ZonePolicy& m_zonePolicy;
    const SchedulerOptions& m_options;
    std::vector<size_t> m_workersPerZone;
    size_t m_stride { 1 };
};

}
