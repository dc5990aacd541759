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

/// How strictly a placement observes the latency budget of services. `MeanOnly` ignores the uncertainty of the
/// estimate, so that a kind without observations can be tried. `Disabled` is for jobs that would otherwise starve.
enum class InterferenceCheck : uint8_t { WithUncertainty, MeanOnly, Disabled };

/// Parameters of a search for a worker for one job.
struct PlacementQuery {
    JobIndex job { noIndex };
    Instant now {};
    Milliseconds estimatedRun {};
    InterferenceCheck interferenceCheck { InterferenceCheck::WithUncertainty };
};

/// Chooses a worker for a job. Hard constraints are the free resources, the state of the worker, reservations and the
/// latency budget of the services on the worker. Among a bounded sample of the workers that meet them, the one with
/// the lowest score is chosen.
class Placement {
public:
    Placement(const SchedulerState&, const SlowdownEstimator&, const ZonePolicy&, const SchedulerOptions&);

    /// `random` selects where the scan starts, so that the load spreads over equivalent workers.
    std::optional<WorkerIndex> choose(const PlacementQuery&, uint64_t random) const;
    /// Returns why the worker can't take the job, or `None` if it can, without regard to predicted interference.
    Rejection check(const PlacementQuery&, WorkerIndex) const;
    /// Whether the slowdown caused by this job alone leaves the services on the worker within their latency budget.
    bool isWithinLatencyBudget(const PlacementQuery&, WorkerIndex) const;
    /// Number of workers by the first reason that excludes them, for explanations to operators.
    std::array<size_t, static_cast<size_t>(Rejection::Count)> countRejections(const PlacementQuery&) const;
    /// Sets the number of workers per zone, which scales the refill rate. Called again when workers are added or
    /// removed.
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
