#pragma once

#include <LibCore/Time.h>
#include <LibDecision/SchedulerOptions.h>
#include <LibDecision/SchedulerState.h>
#include <LibDecision/SlowdownEstimator.h>
#include <LibDecision/UsageSample.h>
#include <optional>
#include <vector>

namespace Bergamot {

/// Protects services from interference by other tasks on their host at the lowest cost: it throttles tasks first,
/// then evicts them with a checkpoint, then stops them without one.
///
/// Only tasks whose kind yields to the affected service are throttled or evicted. After each step, the policy waits
/// until a report can show the effect. Evictions have an hourly budget, and no task is evicted twice for the same
/// reason within SchedulerOptions::minReevictionInterval.
class EvictionPolicy {
public:
    struct Action {
        JobIndex job { noIndex };
        /// New speed limit of the task; ignored if `evictReason` is set.
        int32_t speedPercent { 100 };
        std::optional<EvictReason> evictReason {};
        /// Set if the task is throttled for using more than it declared, and not to protect a service.
        bool isForOveruse { false };
    };

    EvictionPolicy(const SchedulerOptions&, const SlowdownEstimator&);

    void observeLatency(ServiceStats&, double load, double ratio) const;
    /// Returns true if consecutive reports show that the task uses far more than it declared.
    bool observeUsage(JobRecord&, const UsageSample&) const;
    std::vector<Action> plan(SchedulerState&, Instant now);

    /// Takes one eviction from the budget. Returns false if the budget is exhausted or if the job was last evicted
    /// for the same reason within SchedulerOptions::minReevictionInterval.
    bool tryConsumeBudget(const JobRecord&, EvictReason, Instant now);
    void refillBudget(size_t workers, Instant now);

private:
    struct Candidate {
        JobIndex job { noIndex };
        double latencyIncrease { 0 };
    };

    void reduceInterference(SchedulerState&, SchedulerWorkerRecord&, ServiceStats&, Instant now, std::vector<Action>&);
    void relaxThrottles(SchedulerState&, SchedulerWorkerRecord&, ServiceStats&, Instant now, std::vector<Action>&);
    void limitOveruse(SchedulerState&, SchedulerWorkerRecord&, Instant now, std::vector<Action>&);
    std::vector<Candidate> findCandidates(
        const SchedulerState&, const SchedulerWorkerRecord&, const ServiceStats&) const;
    int32_t nextThrottleStep(const JobRecord&, double latencyIncrease, double excess) const;

    const SchedulerOptions& m_options;
    const SlowdownEstimator& m_estimator;
    double m_evictionBudget { 4 };
    Instant m_refilledAt {};
};

}
