#include <LibDecision/ReservationPlanner.h>
#include <algorithm>

namespace Bergamot {

static constexpr double newServiceHostSeconds = 60;

ReservationPlanner::ReservationPlanner(
    const SchedulerState& state, const RunTimeEstimator& estimator, const Placement& placement)
    : m_state(state)
    , m_estimator(estimator)
    , m_placement(placement)
{
}

bool ReservationPlanner::isEligible(const JobRecord& job, WorkerIndex index, Instant now) const
{
    const auto& worker = m_state.workers[index];
    return m_state.isAvailable(worker) && !worker.isOnProbation && worker.backoffUntil <= now
        && job.view.size.fitsIn(worker.view.capacity)
        && std::ranges::find(job.failedWorkers, index) == job.failedWorkers.end();
}

Instant ReservationPlanner::expectedEnd(const JobRecord& job, Instant now) const
{
    if (job.view.isService)
        return Instant::max();
    auto run = m_estimator.estimate(job.kind, job.view.runMs);
    auto end = job.placedAt + run * (1000 - job.checkpointedMilli) / 1000;
    // A task that exceeds its estimate is expected to run for another quarter of its run time so far.
    return end > now ? end : now + (now - job.placedAt) / 4 + Milliseconds { 1'000 };
}

static Resources reservedForOthers(const SchedulerWorkerRecord& worker, JobIndex job)
{
    Resources reserved;
    for (const auto& reservation : worker.reservations) {
        if (reservation.job != job)
            reserved = reserved + reservation.size;
    }
    return reserved;
}

std::optional<ReservationPlanner::Plan> ReservationPlanner::planEvictionOn(
    const PlacementQuery& query, WorkerIndex index, double& cost) const
{
    const auto& job = m_state.jobs[query.job];
    const auto& worker = m_state.workers[index];
    auto needed = job.view.size + reservedForOthers(worker, query.job);
    auto available = worker.free();
    std::vector<std::pair<double, JobIndex>> victims;
    for (auto task : worker.tasks) {
        const auto& other = m_state.jobs[task];
        // Resources that pending evictions are about to free count as available, because `needed` includes the
        // resources reserved for other jobs.
        if (other.pendingEviction || other.state == SchedulerJobState::Revoking) {
            available = available + other.view.size;
            continue;
        }
        if (other.state != SchedulerJobState::Placed || other.view.urgent || other.view.isService
            || !m_state.yieldsTo(other.kind, job.kind)
            || (other.lastEvictReason == EvictReason::Urgent
                && query.now - other.lastEvictAt < Milliseconds { 600'000 }))
            continue;
        double work = static_cast<double>(other.view.size.cpuMillis)
            * std::chrono::duration<double>(query.now - other.placedAt).count();
        victims.emplace_back(work, task);
    }
    std::ranges::sort(victims);
    Plan plan { .worker = index, .readyAt = query.now };
    // The first service on a host subjects all batch work on it to a latency budget.
    if (job.view.isService && worker.services.empty())
        cost += static_cast<double>(worker.view.capacity.cpuMillis) * newServiceHostSeconds;
    for (const auto& [work, task] : victims) {
        if (needed.fitsIn(available))
            break;
        available = available + m_state.jobs[task].view.size;
        // Each eviction costs a checkpoint and a restart, about five minutes of one core, besides the work at risk.
        cost += work + 300'000;
        plan.victims.push_back(task);
    }
    if (!needed.fitsIn(available))
        return {};
    return plan;
}

std::optional<ReservationPlanner::Plan> ReservationPlanner::planByEviction(const PlacementQuery& query) const
{
    std::optional<Plan> best;
    double bestCost = 0;
    for (WorkerIndex index = 0; index < m_state.workers.size(); ++index) {
        if (!isEligible(m_state.jobs[query.job], index, query.now))
            continue;
        double cost = 0;
        auto plan = planEvictionOn(query, index, cost);
        if (plan && (!best || cost < bestCost)) {
            best = std::move(plan);
            bestCost = cost;
        }
    }
    return best;
}

std::optional<Instant> ReservationPlanner::estimateReadyTime(
    const PlacementQuery& query, const SchedulerWorkerRecord& worker) const
{
    auto needed = m_state.jobs[query.job].view.size + reservedForOthers(worker, query.job);
    auto available = worker.free();
    if (needed.fitsIn(available))
        return query.now;
    std::vector<std::pair<Instant, JobIndex>> ends;
    for (auto task : worker.tasks) {
        auto end = expectedEnd(m_state.jobs[task], query.now);
        if (end != Instant::max())
            ends.emplace_back(end, task);
    }
    std::ranges::sort(ends);
    for (const auto& [end, task] : ends) {
        available = available + m_state.jobs[task].view.size;
        if (needed.fitsIn(available))
            return end;
    }
    return {};
}

std::optional<ReservationPlanner::Plan> ReservationPlanner::planByWaiting(const PlacementQuery& query) const
{
    std::optional<Plan> best;
    for (WorkerIndex index = 0; index < m_state.workers.size(); ++index) {
        if (!isEligible(m_state.jobs[query.job], index, query.now) || !m_placement.isWithinLatencyBudget(query, index))
            continue;
        auto ready = estimateReadyTime(query, m_state.workers[index]);
        if (ready && (!best || *ready < best->readyAt))
            best = Plan { .worker = index, .readyAt = *ready };
    }
    return best;
}

}
