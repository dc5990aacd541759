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
    WorkerTooSmall,
    ZoneOut,
    Unavailable,
    FailedBefore,
    RateLimited,
    InsufficientResources,
    Reserved,
    CpuSaturated,
    Interference,
    Count
};

/// How far the latency budget of services limits a placement. `Expected` leaves the uncertainty out, so that a kind
/// about which nothing is known can be tried; `None` is for jobs that would otherwise starve.
enum class InterferenceCheck : uint8_t { WithUncertainty, MeanOnly, Disabled };

/// One question: where to place this job now.
struct PlacementQuery {
    JobIndex job { noIndex };
    Instant now {};
    Milliseconds estimatedRun {};
    InterferenceCheck interferenceCheck { InterferenceCheck::WithUncertainty };
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
    bool isWithinLatencyBudget(const PlacementQuery&, WorkerIndex) const;
    /// Number of workers by the first reason that excludes them; for explanations.
    std::array<size_t, static_cast<size_t>(Rejection::Count)> countRejections(const PlacementQuery&) const;
    /// Workers per zone, for the refill pace; set again when workers come or go.
    void setWorkersPerZone(std::vector<size_t> counts);

private:
    struct InterferencePrediction {
        bool isAcceptable { true };
        double latencyIncrease { 0 };
    };

    InterferencePrediction predictInterference(const PlacementQuery&, const SchedulerWorkerRecord&) const;
    InterferencePrediction predictLatencyIncrease(
        const PlacementQuery&, const SchedulerWorkerRecord&, const ServiceStats&) const;
    Rejection checkReservations(const PlacementQuery&, const SchedulerWorkerRecord&) const;
    bool strandsAccelerators(const JobRecord&, const SchedulerWorkerRecord&) const;
    double score(const JobRecord&, const SchedulerWorkerRecord&, double latencyIncrease) const;
    double spreadScore(const JobRecord&, const SchedulerWorkerRecord&) const;

    const SchedulerState& m_state;
    const SlowdownEstimator& m_estimator;
    const ZonePolicy& m_zonePolicy;
    const SchedulerOptions& m_options;
    std::vector<size_t> m_workersPerZone;
    size_t m_stride { 1 };
};

}
