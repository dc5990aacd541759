#include <LibDecision/EvictionPolicy.h>
#include <algorithm>
#include <array>

namespace Bergamot {

// Consecutive reports beyond the limit after which the policy acts; a single one is often noise.
static constexpr uint32_t reportsToAct = 2;
static constexpr uint32_t reportsToRelax = 4;
static constexpr double smoothing = 0.4;
// Throttles are relaxed while the latency increase is below this share of the budget; the gap to the limit prevents
// flapping.
static constexpr double relaxShare = 0.75;
// Time after the report lag within which a report is expected; workers are polled every 1 to 10 s.
static constexpr Milliseconds reportPeriod { 5'000 };
static constexpr std::array<int32_t, 3> throttleSteps { 50, 25, 10 };
// Usage above the declaration is tolerated up to these ratios, which measurement noise can reach.
static constexpr double cpuOveruseRatio = 1.3;
static constexpr double memoryOveruseRatio = 1.2;
// Above this utilisation of its processors or memory, a host has no spare capacity and its services begin to wait.
static constexpr double busyShare = 0.9;

EvictionPolicy::EvictionPolicy(const SchedulerOptions& options, const SlowdownEstimator& estimator)
    : m_options(options)
    , m_estimator(estimator)
{
}

void EvictionPolicy::observeLatency(ServiceStats& stats, double load, double ratio) const
{
    stats.load = load;
    // The peak decays slowly, because a host is likely to reach a recent load again soon.
    stats.peakLoad = std::max(load, stats.peakLoad + 0.02 * (load - stats.peakLoad));
    stats.smoothedRatio += smoothing * (ratio - stats.smoothedRatio);
    double latencyIncrease = stats.smoothedRatio - 1.0;
    stats.reportsOverLimit = latencyIncrease > m_options.latencyLimit ? stats.reportsOverLimit + 1 : 0;
    stats.reportsUnderBudget
        = latencyIncrease < relaxShare * m_options.latencyBudget ? stats.reportsUnderBudget + 1 : 0;
}

bool EvictionPolicy::observeUsage(JobRecord& job, const UsageSample& sample) const
{
    job.used = sample.used;
    auto exceeds = [](int64_t used, int64_t declared, double ratio) {
        return static_cast<double>(used) > ratio * static_cast<double>(declared);
    };
    bool exceedsDeclaration = exceeds(sample.used.cpuMillis, job.view.size.cpuMillis, cpuOveruseRatio)
        || exceeds(sample.used.memoryMb, job.view.size.memoryMb, memoryOveruseRatio);
    job.consecutiveOveruseReports
        = exceedsDeclaration ? static_cast<uint8_t>(std::min(100, job.consecutiveOveruseReports + 1)) : 0;
    return job.consecutiveOveruseReports >= reportsToAct;
}

void EvictionPolicy::refillBudget(size_t workers, Instant now)
{
    double hours = std::chrono::duration<double, std::ratio<3600>>(now - m_refilledAt).count();
    double perHour = m_options.evictionsPerWorkerHour * static_cast<double>(workers);
    // Up to a tenth of the hourly budget accumulates, for a change of behaviour that affects many hosts at once.
    m_evictionBudget = std::min(std::max(4.0, perHour / 10), m_evictionBudget + hours * perHour);
    m_refilledAt = now;
}

bool EvictionPolicy::tryConsumeBudget(const JobRecord& job, EvictReason reason, Instant now)
{
    if (job.lastEvictReason == reason && now - job.lastEvictAt < m_options.minReevictionInterval)
        return false;
    if (m_evictionBudget < 1)
        return false;
    m_evictionBudget -= 1;
    return true;
}

std::vector<EvictionPolicy::Candidate> EvictionPolicy::findCandidates(
    const SchedulerState& state, const SchedulerWorkerRecord& worker, const ServiceStats& stats) const
{
    std::vector<Candidate> candidates;
    double capacity = static_cast<double>(std::max<int64_t>(1, worker.view.capacity.cpuMillis));
    for (auto index : worker.tasks) {
        const auto& job = state.jobs[index];
        if (job.state != SchedulerJobState::Placed || job.view.isService || job.pendingEviction
            || !state.yieldsTo(job.kind, stats.kind))
            continue;
        auto estimate = m_estimator.estimatePair(stats.kind,
            { .kind = job.kind, .share = static_cast<float>(job.expectedCpuMillis / capacity) }, stats.load);
        candidates.push_back({ .job = index, .latencyIncrease = estimate.mean + 0.5 * estimate.deviation });
    }
    std::ranges::stable_sort(candidates, std::greater {}, &Candidate::latencyIncrease);
    return candidates;
}

int32_t EvictionPolicy::nextThrottleStep(const JobRecord& job, double latencyIncrease, double excess) const
{
    if (!m_options.throttlesFirst)
        return 0;
    for (auto step : throttleSteps) {
        double relief = latencyIncrease * (1.0 - static_cast<double>(step) / job.speedPercent);
        if (step < job.speedPercent && (relief >= excess || step == throttleSteps.back()))
            return step;
    }
    return 0;
}

void EvictionPolicy::reduceInterference(SchedulerState& state, SchedulerWorkerRecord& worker, ServiceStats& stats,
    Instant now, std::vector<Action>& actions)
{
    double excess = stats.smoothedRatio - 1.0 - m_options.latencyBudget;
    bool hasActed = false;
    for (const auto& candidate : findCandidates(state, worker, stats)) {
        if (excess <= 0)
            break;
        auto& job = state.jobs[candidate.job];
        // Tasks with a negligible effect are not throttled or evicted, even if the service remains above its budget.
        if (candidate.latencyIncrease < 0.005)
            break;
        auto step = nextThrottleStep(job, candidate.latencyIncrease, excess);
        if (step > 0) {
            excess -= candidate.latencyIncrease * (1.0 - static_cast<double>(step) / job.speedPercent);
            actions.push_back({ .job = candidate.job, .speedPercent = step });
        } else if (tryConsumeBudget(job, EvictReason::Interference, now)) {
            excess -= candidate.latencyIncrease;
            actions.push_back({ .job = candidate.job, .evictReason = EvictReason::Interference });
        } else {
            continue;
        }
        hasActed = true;
    }
    if (hasActed) {
        stats.lastActionAt = now;
        stats.reportsOverLimit = 0;
    }
}

static int32_t nextRelaxedSpeed(int32_t speedPercent)
{
    int32_t next = 100;
    for (auto step : throttleSteps) {
        if (step > speedPercent)
            next = step;
    }
    return next;
}

void EvictionPolicy::relaxThrottles(SchedulerState& state, SchedulerWorkerRecord& worker, ServiceStats& stats,
    Instant now, std::vector<Action>& actions)
{
    double capacity = static_cast<double>(std::max<int64_t>(1, worker.view.capacity.cpuMillis));
    double headroom = m_options.latencyBudget - (stats.smoothedRatio - 1.0);
    for (auto index : worker.tasks) {
        auto& job = state.jobs[index];
        if (job.state != SchedulerJobState::Placed || job.speedPercent == 100 || job.pendingEviction)
            continue;
        auto step = nextRelaxedSpeed(job.speedPercent);
        double growth = static_cast<double>(step) / job.speedPercent - 1.0;
        auto estimate = m_estimator.estimatePair(stats.kind,
            { .kind = job.kind, .share = static_cast<float>(job.expectedCpuMillis * growth / capacity) }, stats.load);
        if (estimate.mean > headroom)
            continue;
        headroom -= estimate.mean;
        actions.push_back({ .job = index, .speedPercent = step });
        stats.lastActionAt = now;
    }
}

void EvictionPolicy::limitOveruse(
    SchedulerState& state, SchedulerWorkerRecord& worker, Instant now, std::vector<Action>& actions)
{
    double memoryUsed = 0;
    for (auto index : worker.tasks)
        memoryUsed += static_cast<double>(std::max(state.jobs[index].used.memoryMb, int64_t { 0 }));
    bool isMemoryScarce = memoryUsed > busyShare * static_cast<double>(worker.view.capacity.memoryMb);
    bool isCpuScarce = worker.expectedCpuMillis > busyShare * static_cast<double>(worker.view.capacity.cpuMillis);
    worker.hasOveruse = false;
    for (auto index : worker.tasks) {
        auto& job = state.jobs[index];
        if (job.consecutiveOveruseReports < reportsToAct || job.state != SchedulerJobState::Placed || job.view.isService
            || job.pendingEviction)
            continue;
        worker.hasOveruse = true;
        bool exceedsMemory
            = static_cast<double>(job.used.memoryMb) > memoryOveruseRatio * static_cast<double>(job.view.size.memoryMb);
        bool isAwaitingReport = now - job.throttledAt < m_options.reportLag + reportPeriod;
        if (isCpuScarce && !exceedsMemory && job.speedPercent == 100 && m_options.throttlesFirst) {
            auto speedPercent = job.view.size.cpuMillis * 100 / std::max<int64_t>(1, job.used.cpuMillis);
            actions.push_back({ .job = index,
                .speedPercent = static_cast<int32_t>(std::clamp<int64_t>(speedPercent, 25, 99)),
                .isForOveruse = true });
        } else if ((exceedsMemory ? isMemoryScarce : isCpuScarce && !isAwaitingReport)
            && tryConsumeBudget(job, EvictReason::UnderDeclared, now)) {
            actions.push_back({ .job = index, .evictReason = EvictReason::UnderDeclared });
        } else {
            continue;
        }
        return;
    }
}

std::vector<EvictionPolicy::Action> EvictionPolicy::plan(SchedulerState& state, Instant now)
{
    std::vector<Action> actions;
    for (auto& worker : state.workers) {
        if (!worker.isPresent || worker.services.empty())
            continue;
        if (m_options.watchesUse && worker.hasOveruse)
            limitOveruse(state, worker, now, actions);
        for (auto& stats : worker.services) {
            if (!m_options.reactsToLatency || now - stats.lastActionAt < m_options.reportLag + reportPeriod)
                continue;
            if (stats.reportsOverLimit >= reportsToAct)
                reduceInterference(state, worker, stats, now, actions);
            else if (stats.reportsUnderBudget >= reportsToRelax)
                relaxThrottles(state, worker, stats, now, actions);
        }
    }
    return actions;
}

}
