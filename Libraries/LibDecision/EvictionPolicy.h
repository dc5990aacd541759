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
/// SchedulerOptions::evictionRepeat.
class EvictionPolicy {
public:
    struct Action {
        JobIndex job { noIndex };
        /// New share of processors, or the reason to evict.
        int32_t percent { 100 };
        std::optional<EvictReason> evict {};
        /// The task uses more than it declared; it is not throttled for a service.
        bool forUse { false };
    };

    EvictionPolicy(const SchedulerOptions&, const SlowdownEstimator&);

    void observeLatency(ServiceWatch&, double load, double ratio) const;
    /// Returns true when the task is seen to use far more than it declared.
    bool observeUse(JobRecord&, const UsageSample&) const;
    std::vector<Action> plan(SchedulerState&, Instant now);

    /// Whether the budget and the time since the last eviction admit one more. Takes from the budget.
    bool takeEviction(const JobRecord&, EvictReason, Instant now);
    void refillBudget(size_t workers, Instant now);

private:
    struct Candidate {
        JobIndex job { noIndex };
        double rise { 0 };
    };

    void relieve(SchedulerState&, WorkerRecord&, ServiceWatch&, Instant now, std::vector<Action>&);
    void relax(SchedulerState&, WorkerRecord&, ServiceWatch&, Instant now, std::vector<Action>&);
    void limitOverUse(SchedulerState&, WorkerRecord&, Instant now, std::vector<Action>&);
    std::vector<Candidate> candidatesFor(const SchedulerState&, const WorkerRecord&, const ServiceWatch&) const;
    int32_t nextStep(const JobRecord&, double rise, double missing) const;

    const SchedulerOptions& m_options;
    const SlowdownEstimator& m_estimator;
    double m_budget { 4 };
    Instant m_refilledAt {};
};

}
