#include <LibDecision/TaskScheduler.h>
#include <LibDecision/TaskWorkerEntry.h>
#include <LibDecision/TaskWorkerSearch.h>
#include <algorithm>
#include <map>
#include <set>
#include <string_view>

// Feeds the estimate of how long best-effort tasks of new jobs will wait.

namespace Bergamot {

/// Whether tasks of the step are part of the estimate: best-effort tasks that end.
static bool countsTowardsBacklog(const StepSpec& spec) { return spec.bestEffort && !spec.longRunning; }

static double workCoreMsOf(const StepSpec& spec, size_t tasks)
{
    return static_cast<double>(spec.size.cpuMillis) / 1000 * spec.estimateMs * static_cast<double>(tasks);
}

/// Whether the tasks wait for capacity. Other waits end without it, and say nothing about new jobs.
static bool awaitsCapacity(const TrackedStep& step)
{
    switch (step.delay) {
    case PlacementDelay::None:
    case PlacementDelay::EarlierLeader:
    case PlacementDelay::UnconfirmedLeadership:
    case PlacementDelay::CrashSuspicion:
    case PlacementDelay::OutdatedConfiguration:
        return false;
    default:
        return true;
    }
}

/// Whether the tasks of the step can start once there is enough capacity. Those with constraints, or larger than each
/// worker, say nothing about other jobs of their image.
bool TaskScheduler::mayFitWithCapacity(const TrackedJob& job, const StepSpec& spec) const
{
    auto service = m_candidates.find(policyOf(job).service);
    if (hasPlacementConstraint(spec) || service == m_candidates.end())
        return false;
    return std::ranges::any_of(
        service->second, [&](const WorkerEntry* worker) { return reservedSize(spec).fitsIn(worker->view.capacity); });
}

void TaskScheduler::updateBacklogEstimate(Instant now, const std::vector<DeferredOccurrences>& deferred)
{
    std::map<BacklogEstimate::Class, BacklogEstimate::Demand> demands;
    std::set<const TrackedOccurrence*> countedOccurrences;
    for (const auto& [order, ready] : m_readySteps) {
        const auto& spec = ready.job->spec.steps[ready.step];
        const auto& occurrence = ready.job->occurrences[ready.occurrence];
        const auto& step = occurrence.steps[ready.step];
        if (!countsTowardsBacklog(spec) || ready.job->hasEnded() || step.waiting.empty()
            || !mayFitWithCapacity(*ready.job, spec))
            continue;
        const std::string_view service = policyOf(*ready.job).service;
        auto& demand = demands[{ service, spec.image }];
        demand.workCoreMs += workCoreMsOf(spec, step.waiting.size());
        // Tasks are queued at the end, so the first one has waited longest.
        const auto& first = step.tasks[step.waiting.front()];
        if (awaitsCapacity(step) && first.foundWaitingAt != neverInstant)
            demand.longestWait = std::max(demand.longestWait, now - first.foundWaitingAt);
        if (!countedOccurrences.insert(&occurrence).second)
            continue;
        for (size_t i = ready.step + 1; i < occurrence.steps.size(); ++i) {
            const auto& laterSpec = ready.job->spec.steps[i];
            if (countsTowardsBacklog(laterSpec) && occurrence.steps[i].pendingDependencies > 0)
                demands[{ service, laterSpec.image }].workCoreMs += workCoreMsOf(laterSpec, laterSpec.count);
        }
    }
    for (const auto& [job, occurrences] : deferred) {
        for (const auto& spec : job->spec.steps) {
            if (countsTowardsBacklog(spec) && mayFitWithCapacity(*job, spec))
                demands[{ policyOf(*job).service, spec.image }].workCoreMs
                    += workCoreMsOf(spec, size_t { spec.count } * occurrences);
        }
    }
    m_backlogEstimate.update(now, demands);
}

void TaskScheduler::addStartedWork(const ReadyStep& ready)
{
    const auto& spec = ready.job->spec.steps[ready.step];
    if (countsTowardsBacklog(spec))
        m_backlogEstimate.addStartedWork({ policyOf(*ready.job).service, spec.image }, workCoreMsOf(spec, 1));
}

}
