#pragma once

#include <LibCore/Time.h>
#include <LibDecision/SchedulerOptions.h>
#include <LibDecision/SchedulerState.h>
#include <LibDecision/SlowdownEstimator.h>
#include <LibDecision/UsageSample.h>
#include <optional>
#include <vector>

namespace Bergamot {

/// Relieves services that suffer on their host, at least cost: throttle, then checkpoint and evict, then stop.
///
/// Only tasks whose kind yields to the suffering service are touched. After each step the policy waits until a report
/// can show its effect. Evictions have an hourly budget, and no task is evicted twice for one cause within
/// SchedulerOptions::minReevictionInterval.
class EvictionPolicy {
public:
    struct Action {
        JobIndex job { noIndex };
        /// New share of processors, or the reason to evict.
        int32_t speedPercent { 100 };
        std::optional<EvictReason> evictReason {};
        /// The task uses more than it declared; it is not throttled for a service.
        bool isForOveruse { false };
    };

    EvictionPolicy(const SchedulerOptions&, const SlowdownEstimator&);

    void observeLatency(ServiceStats&, double load, double ratio) const;
    /// Returns true when the task is seen to use far more than it declared.
    bool observeUsage(JobRecord&, const UsageSample&) const;
    std::vector<Action> plan(SchedulerState&, Instant now);

    /// Whether the budget and the time since the last eviction admit one more. Takes from the budget.
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
