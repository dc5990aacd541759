#include <LibDecision/EvictionPolicy.h>
#include <algorithm>
#include <array>

namespace Bergamot {

// Consecutive reports beyond the limit before the policy acts; one alone is often noise.
static constexpr uint32_t reportsToAct = 2;
static constexpr uint32_t reportsToRelax = 4;
static constexpr double smoothing = 0.4;
// Throttles are relaxed while the rise is below this share of the budget; the gap to the limit prevents flapping.
static constexpr double relaxShare = 0.75;
// Reports arrive this long after the lag at the latest, as workers are polled each 1 to 10 s.
static constexpr Milliseconds reportPeriod { 5'000 };
static constexpr std::array<int32_t, 3> throttleSteps { 50, 25, 10 };
// Use above declaration is tolerated up to this ratio, which measurement noise reaches.
static constexpr double overUseRatio = 1.3;
static constexpr double overMemoryRatio = 1.2;
// The host has no slack above this share of its processors or memory, and its services begin to wait.
static constexpr double busyShare = 0.9;

EvictionPolicy::EvictionPolicy(const SchedulerOptions& options, const SlowdownEstimator& estimator)
    : m_options(options)
    , m_estimator(estimator)
{
}

void EvictionPolicy::observeLatency(ServiceWatch& watch, double load, double ratio) const
{
    watch.load = load;
    // The peak falls slowly, so that a host is judged by the load it will see again soon.
    watch.peakLoad = std::max(load, watch.peakLoad + 0.02 * (load - watch.peakLoad));
    watch.smoothedRatio += smoothing * (ratio - watch.smoothedRatio);
    double rise = watch.smoothedRatio - 1.0;
    watch.reportsOver = rise > m_options.latencyLimit ? watch.reportsOver + 1 : 0;
    watch.reportsUnder = rise < relaxShare * m_options.latencyBudget ? watch.reportsUnder + 1 : 0;
}

bool EvictionPolicy::observeUse(JobRecord& job, const UsageSample& sample) const
{
    job.used = sample.used;
    auto over = [](int64_t used, int64_t declared, double ratio) {
        return static_cast<double>(used) > ratio * static_cast<double>(declared);
    };
    bool isOver = over(sample.used.cpuMillis, job.view.size.cpuMillis, overUseRatio)
        || over(sample.used.memoryMb, job.view.size.memoryMb, overMemoryRatio);
    job.overUseReports = isOver ? static_cast<uint8_t>(std::min(100, job.overUseReports + 1)) : 0;
    return job.overUseReports >= reportsToAct;
}

void EvictionPolicy::refillBudget(size_t workers, Instant now)
{
    double hours = std::chrono::duration<double, std::ratio<3600>>(now - m_refilledAt).count();
    double perHour = m_options.evictionsPerWorkerHour * static_cast<double>(workers);
    // A tenth of an hour's budget can be saved up for a shift that concerns many hosts at once.
    m_budget = std::min(std::max(4.0, perHour / 10), m_budget + hours * perHour);
    m_refilledAt = now;
}

bool EvictionPolicy::takeEviction(const JobRecord& job, EvictReason reason, Instant now)
{
    if (job.lastEvictReason == reason && now - job.lastEvictAt < m_options.evictionRepeat)
        return false;
    if (m_budget < 1)
        return false;
    m_budget -= 1;
    return true;
}

std::vector<EvictionPolicy::Candidate> EvictionPolicy::candidatesFor(
    const SchedulerState& state, const WorkerRecord& worker, const ServiceWatch& watch) const
{
    std::vector<Candidate> candidates;
    double capacity = static_cast<double>(std::max<int64_t>(1, worker.view.capacity.cpuMillis));
    for (auto index : worker.tasks) {
        const auto& job = state.jobs[index];
        if (job.state != JobState::Placed || job.view.isService || job.evicting || !state.yields(job.kind, watch.kind))
            continue;
        auto estimate = m_estimator.pair(
            watch.kind, { .kind = job.kind, .share = static_cast<float>(job.expectedCpu / capacity) }, watch.load);
        candidates.push_back({ .job = index, .rise = estimate.mean + 0.5 * estimate.deviation });
    }
    std::ranges::stable_sort(candidates, std::greater {}, &Candidate::rise);
    return candidates;
}

int32_t EvictionPolicy::nextStep(const JobRecord& job, double rise, double missing) const
{
    if (!m_options.throttlesFirst)
        return 0;
    for (auto step : throttleSteps) {
        double relief = rise * (1.0 - static_cast<double>(step) / job.throttlePercent);
        if (step < job.throttlePercent && (relief >= missing || step == throttleSteps.back()))
            return step;
    }
    return 0;
}

void EvictionPolicy::relieve(
    SchedulerState& state, WorkerRecord& worker, ServiceWatch& watch, Instant now, std::vector<Action>& actions)
{
    double missing = watch.smoothedRatio - 1.0 - m_options.latencyBudget;
    bool acted = false;
    for (const auto& candidate : candidatesFor(state, worker, watch)) {
        if (missing <= 0)
            break;
        auto& job = state.jobs[candidate.job];
        // Tasks that hardly contribute are left alone, whatever the service suffers from.
        if (candidate.rise < 0.005)
            break;
        auto step = nextStep(job, candidate.rise, missing);
        if (step > 0) {
            missing -= candidate.rise * (1.0 - static_cast<double>(step) / job.throttlePercent);
            actions.push_back({ .job = candidate.job, .percent = step });
        } else if (takeEviction(job, EvictReason::Interference, now)) {
            missing -= candidate.rise;
            actions.push_back({ .job = candidate.job, .evict = EvictReason::Interference });
        } else {
            continue;
        }
        acted = true;
    }
    if (acted) {
        watch.actedAt = now;
        watch.reportsOver = 0;
    }
}

static int32_t nextStepUp(int32_t percent)
{
    int32_t next = 100;
    for (auto step : throttleSteps) {
        if (step > percent)
            next = step;
    }
    return next;
}

void EvictionPolicy::relax(
    SchedulerState& state, WorkerRecord& worker, ServiceWatch& watch, Instant now, std::vector<Action>& actions)
{
    double capacity = static_cast<double>(std::max<int64_t>(1, worker.view.capacity.cpuMillis));
    double room = m_options.latencyBudget - (watch.smoothedRatio - 1.0);
    for (auto index : worker.tasks) {
        auto& job = state.jobs[index];
        if (job.state != JobState::Placed || job.throttlePercent == 100 || job.evicting)
            continue;
        auto step = nextStepUp(job.throttlePercent);
        double growth = static_cast<double>(step) / job.throttlePercent - 1.0;
        auto rise = m_estimator.pair(watch.kind,
            { .kind = job.kind, .share = static_cast<float>(job.expectedCpu * growth / capacity) }, watch.load);
        if (rise.mean > room)
            continue;
        room -= rise.mean;
        actions.push_back({ .job = index, .percent = step });
        watch.actedAt = now;
    }
}

void EvictionPolicy::limitOverUse(
    SchedulerState& state, WorkerRecord& worker, Instant now, std::vector<Action>& actions)
{
    double memoryUsed = 0;
    for (auto index : worker.tasks)
        memoryUsed += static_cast<double>(std::max(state.jobs[index].used.memoryMb, int64_t { 0 }));
    bool memoryTight = memoryUsed > busyShare * static_cast<double>(worker.view.capacity.memoryMb);
    bool cpuTight = worker.expectedCpu > busyShare * static_cast<double>(worker.view.capacity.cpuMillis);
    worker.hasOverUse = false;
    for (auto index : worker.tasks) {
        auto& job = state.jobs[index];
        if (job.overUseReports < reportsToAct || job.state != JobState::Placed || job.view.isService || job.evicting)
            continue;
        worker.hasOverUse = true;
        bool overMemory
            = static_cast<double>(job.used.memoryMb) > overMemoryRatio * static_cast<double>(job.view.size.memoryMb);
        bool waits = now - job.throttledAt < m_options.reportLag + reportPeriod;
        if (cpuTight && !overMemory && job.throttlePercent == 100 && m_options.throttlesFirst) {
            auto percent = job.view.size.cpuMillis * 100 / std::max<int64_t>(1, job.used.cpuMillis);
            actions.push_back({ .job = index,
                .percent = static_cast<int32_t>(std::clamp<int64_t>(percent, 25, 99)),
                .forUse = true });
        } else if ((overMemory ? memoryTight : cpuTight && !waits)
            && takeEviction(job, EvictReason::UnderDeclared, now)) {
            actions.push_back({ .job = index, .evict = EvictReason::UnderDeclared });
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
        if (!worker.present || worker.services.empty())
            continue;
        if (m_options.watchesUse && worker.hasOverUse)
            limitOverUse(state, worker, now, actions);
        for (auto& watch : worker.services) {
            if (!m_options.reactsToLatency || now - watch.actedAt < m_options.reportLag + reportPeriod)
                continue;
            if (watch.reportsOver >= reportsToAct)
                relieve(state, worker, watch, now, actions);
            else if (watch.reportsUnder >= reportsToRelax)
                relax(state, worker, watch, now, actions);
        }
    }
    return actions;
}

}
