#include <LibDecision/CrashRecordLimit.h>
#include <LibDecision/TaskScheduler.h>
#include <LibDecision/TaskWorkerEntry.h>
#include <LibDecision/TaskWorkerSearch.h>
#include <LibDecision/UnplacedSizes.h>
#include <algorithm>
#include <cmath>
#include <cstdint>
#include <utility>

namespace Bergamot {

static constexpr uint64_t runsPerEpoch = 100000;

/// Maximum time that a long-running task waits to leave headroom for short tasks; it has to run again within seconds.
static constexpr Milliseconds maxHeadroomWait { 2500 };

/// Longest wait under earlier leaders that a task is credited with: a second less than the wait after which a short
/// task has a worker reserved, because a new leader has to see first whether there is room.
static constexpr Milliseconds maxCreditedWait { 9000 };

/// The recorded peak demand of short tasks halves in this time.
static constexpr double shortTaskDemandHalfLifeMs = 6000;

std::vector<TaskAction> TaskScheduler::plan(Instant now, int64_t unixMs, const StartPermission& permission)
{
    m_latestEventAt = now;
    m_latestUnixMs = unixMs;
    m_mayUnblock = permission.mayUnblock;
    if (m_mayUnblock && m_unblockAt != neverInstant && now >= m_unblockAt) {
        // Some workers have not replied to this leader.
        inheritedWorkerLost();
        unblockTasks();
    }
    freeEndedOccurrences();
    auto deferred = activateDueOccurrences(unixMs);
    markPossiblyLostSteps();
    collectCandidates(now);
    updateShortTaskDemand(deferred);
    updateBacklogEstimate(now, deferred);
    m_readySteps.update(unixMs, m_backlog);
    confirmDueCrashes(now);
    m_firstSearchedSuspect = std::exchange(m_firstSkippedSuspect, std::nullopt);
    sendSuspectedStarts(now, permission);
    sendStartsAwaitingRecords(now, permission);
    recordOmittedPlacements();
    if (permission.mayStart)
        placeWaitingTasks(now, permission.knownBy);
    return std::exchange(m_actions, {});
}

/// Whether a run that an earlier leader started may be active.
bool TaskScheduler::isBlocked(const TrackedTask& task, Instant now) const
{
    return task.isHeld || task.blockedUntil > now || (!m_mayUnblock && task.blockedUntil != neverInstant);
}

/// Collects the usable workers of each service for this plan and sums up their free processors.
void TaskScheduler::collectCandidates(Instant now)
{
    for (auto& [service, candidates] : m_candidates)
        candidates.clear();
    m_sizesWithoutRoom = {};
    m_freeCpuMillis = 0;
    m_shortTaskRoomMillis = 0;
    m_heldWorkers = 0;
    m_usedIsolationSlots = 0;
    if (m_planningSince == neverInstant)
        m_planningSince = now;
    m_crashingServices = crashingServices(now);
    std::vector<WorkerEntry*>* candidates = nullptr;
    const std::string* service = nullptr;
    for (const auto& [handle, worker] : m_workers) {
        if (worker->isolatedRuns > 0)
            m_usedIsolationSlots += usedIsolationSlots(*worker);
        if (!isUsable(*worker, now))
            continue;
        if (!service || worker->view.service != *service) {
            service = &worker->view.service;
            candidates = &m_candidates[*service];
        }
        candidates->push_back(worker.get());
        m_shortTaskRoomMillis += std::max<int64_t>(0, worker->view.capacity.cpuMillis - worker->servingCpuMillis);
        m_heldWorkers += worker->isolatedRuns == 0 && worker->heldForIsolationUntil > now ? 1 : 0;
        if (!worker->isOverFull())
            m_freeCpuMillis += worker->freeResources().cpuMillis;
    }
}

/// Tracks the recent peak of the processors that short tasks reserve or wait for. Without this headroom, long-running
/// tasks would take all remaining processors after the loss of a zone, and short tasks would wait behind them.
void TaskScheduler::updateShortTaskDemand(const std::vector<DeferredOccurrences>& deferred)
{
    auto now = m_latestEventAt;
    int64_t waiting = 0;
    double waitingWork = 0;
    auto addWaitingTasks = [&](const StepSpec& spec, size_t tasks) {
        if (spec.longRunning || spec.bestEffort)
            return;
        auto millis = spec.size.cpuMillis * static_cast<int64_t>(tasks);
        waiting += millis;
        waitingWork += static_cast<double>(millis) * spec.estimateMs;
    };
    for (const auto& [order, ready] : m_readySteps) {
        const auto& step = ready.job->occurrences[ready.occurrence].steps[ready.step];
        addWaitingTasks(ready.job->spec.steps[ready.step], step.waiting.size());
    }
    for (const auto& [job, occurrences] : deferred) {
        for (const auto& spec : job->spec.steps) {
            if (spec.dependsOn.empty())
                addWaitingTasks(spec, size_t { spec.count } * occurrences);
        }
    }
    auto room = static_cast<double>(std::max<int64_t>(1, m_shortTaskRoomMillis));
    m_backlog = Milliseconds { static_cast<int64_t>(waitingWork / room) };
    if (m_shortTaskDemandAt != neverInstant)
        m_shortTaskDemandMillis
            *= std::exp2(-static_cast<double>((now - m_shortTaskDemandAt).count()) / shortTaskDemandHalfLifeMs);
    m_shortTaskDemandAt = now;
    m_shortTaskDemandMillis = std::max(m_shortTaskDemandMillis, static_cast<double>(m_shortTaskCpuMillis + waiting));
}

/// Whether enough processors for the recent demand of short tasks stay free when a long-running task of this size
/// starts.
bool TaskScheduler::leavesHeadroom(const StepSpec& spec) const
{
    return m_freeCpuMillis - spec.size.cpuMillis >= headroomCpuMillis();
}

/// Whether a long-running task has to wait because its start would use the headroom of short tasks.
bool TaskScheduler::mustWaitForHeadroom(const StepSpec& spec, const TrackedTask& task, Instant now) const
{
    return spec.longRunning && now - task.waitingSince < maxHeadroomWait && !leavesHeadroom(spec);
}

bool TaskScheduler::acceptsRuns(WorkerHandle handle) const
{
    auto it = m_workers.find(handle);
    return it != m_workers.end() && acceptsRuns(*it->second);
}

bool TaskScheduler::acceptsRuns(const WorkerEntry& worker) const
{
    return worker.reachable && !worker.view.draining && !m_excludedZones.contains(worker.view.zone);
}

bool TaskScheduler::hasRoomForRuns(WorkerHandle handle) const
{
    auto it = m_workers.find(handle);
    return it != m_workers.end() && !it->second->isOverFull();
}

bool TaskScheduler::isUsable(const WorkerEntry& worker, Instant now) const
{
    return !worker.listsRunOfUnknownSize && worker.startBackoffUntil <= now && worker.pausedUntil <= now
        && acceptsRuns(worker);
}

void TaskScheduler::placeWaitingTasks(Instant now, Instant knownBy)
{
    UnplacedSizes unplaced;
    placeOverdueTasks(unplaced, now, knownBy);
    placeSuspects(now, knownBy);
    placeIdleJobs(now, knownBy);
    for (auto it = m_readySteps.begin(); it != m_readySteps.end();) {
        const auto& ready = it->second;
        auto& tracked = ready.job->occurrences[ready.occurrence].steps[ready.step];
        if (ready.job->hasEnded() || tracked.waiting.empty()) {
            it = m_readySteps.erase(it);
            continue;
        }
        const auto& spec = ready.job->spec.steps[ready.step];
        PlacementClass placementClass { .service = policyOf(*ready.job).service, .longRunning = spec.longRunning };
        if (spec.bestEffort)
            placementClass.bestEffortImage = std::get<BestEffortImage>(tracked.image);
        setWaitingSince(ready, now);
        if (ready.job->knownAt > knownBy) {
            tracked.delay = PlacementDelay::UnconfirmedLeadership;
            ++it;
            continue;
        }
        if (ready.job->awaitsConfiguration) {
            tracked.delay = PlacementDelay::OutdatedConfiguration;
            ++it;
            continue;
        }
        if (unplaced.covers(placementClass, spec.size))
            tracked.delay = PlacementDelay::NoWorker;
        else if (!placeStep(ready, now) && !hasPlacementConstraint(spec))
            unplaced.add(placementClass, spec.size);
        it = tracked.waiting.empty() ? m_readySteps.erase(it) : std::next(it);
    }
}

/// Returns for how long a task of the step may have waited under earlier leaders, which have stored no waits: since the
/// acceptance of the job, or since its occurrence was due. Otherwise a delay would begin anew under each leader, and a
/// task would wait as long as leaders change faster than the delay ends.
Milliseconds TaskScheduler::maxInheritedWait(const ReadyStep& ready) const
{
    const auto& job = *ready.job;
    const auto& occurrence = job.occurrences[ready.occurrence];
    if (!occurrence.steps[ready.step].wasReadyBefore)
        return Milliseconds { 0 };
    auto readyAtUnixMs
        = job.spec.repeats > 0 ? std::max(job.spec.acceptedAtMs, occurrence.dueUnixMs) : job.spec.acceptedAtMs;
    // The clock of the host that accepted the job may be ahead.
    return std::clamp(Milliseconds { m_latestUnixMs - readyAtUnixMs }, Milliseconds { 0 }, maxCreditedWait);
}

/// Sets the start of the wait for tasks that were queued since the last plan; these are at the end of the queue.
void TaskScheduler::setWaitingSince(const ReadyStep& ready, Instant now) const
{
    auto& step = ready.job->occurrences[ready.occurrence].steps[ready.step];
    auto& initial = step.tasks.initial();
    bool isFirstPlan = initial.foundWaitingAt == neverInstant;
    auto inheritedWait = maxInheritedWait(ready);
    // The tasks that were never placed are queued together when their step becomes ready.
    if (isFirstPlan) {
        initial.waitingSince = now - inheritedWait;
        initial.foundWaitingAt = now;
    }
    for (auto it = step.waiting.rbegin(); it != step.waiting.rend(); ++it) {
        if (step.tasks[*it].waitingSince != neverInstant) {
            if (isFirstPlan)
                continue;
            return;
        }
        auto& task = step.tasks.edit(*it);
        // The wait of a task that has run under this leader began under this leader.
        bool isFirstWait = !task.hasRun && task.starts == 0;
        task.waitingSince = isFirstWait ? now - inheritedWait : now;
        task.foundWaitingAt = now;
    }
}

/// Returns false when no worker could take one of the tasks, so that other tasks of its size need not be tried.
bool TaskScheduler::placeStep(const ReadyStep& ready, Instant now)
{
    const auto& spec = ready.job->spec.steps[ready.step];
    if (spec.gang)
        return placeGang(ready, now);
    auto& step = ready.job->occurrences[ready.occurrence].steps[ready.step];
    std::vector<uint32_t> stillWaiting;
    std::optional<StepRanking> ranking;
    CrashRecordLimit recordLimit(ready);
    bool keepTrying = true;
    bool hasCapacity = true;
    // The tasks of a step need the same, so after a failed search none of them is tried.
    bool searchIsolated = true;
    for (auto index : step.waiting) {
        const auto& task = step.tasks[index];
        if (task.done || (task.wantsSpeculativeCopy && task.runs.size() != 1)) {
            if (task.wantsSpeculativeCopy)
                step.tasks.edit(index).wantsSpeculativeCopy = false;
            if (task.done || !task.runs.empty())
                continue;
        }
        if (isBlocked(task, now)) {
            step.delay = PlacementDelay::EarlierLeader;
            stillWaiting.push_back(index);
            continue;
        }
        if (recordLimit.holdsBack(index)) {
            step.delay = PlacementDelay::CrashSuspicion;
            step.suspectDelay = SuspectDelay::RecordsNotStored;
            stillWaiting.push_back(index);
            continue;
        }
        TaskRef ref { ready.job->spec.id, ready.occurrence, ready.step, index };
        if (auto isolation = isolationOf(*ready.job, ref); isolation != RunIsolation::None) {
            ranking.reset();
            auto suspectDelay = delayOfSuspect(*ready.job, ref, task, now);
            bool mayStart = suspectDelay == SuspectDelay::None;
            if (mayStart && isolation == RunIsolation::Preferred && searchIsolated) {
                if (placeSuspect(ready, index, isolation, now))
                    continue;
                searchIsolated = false;
            }
            // Tasks that have to run isolated were placed before all others.
            if (!mayStart || isolation == RunIsolation::Required) {
                step.delay = PlacementDelay::CrashSuspicion;
                step.suspectDelay = mayStart ? placementDelayOfSuspect(*ready.job, 1) : suspectDelay;
                stillWaiting.push_back(index);
                continue;
            }
        }
        // The tasks after this one have not waited longer, so they have to wait for headroom too.
        if (keepTrying && mustWaitForHeadroom(spec, task, now)) {
            step.delay = PlacementDelay::Headroom;
            keepTrying = false;
        }
        auto* worker = keepTrying ? chooseNextWorker(ranking, ready, task, now) : nullptr;
        // A speculative copy may fail only for lack of a second worker, which says nothing about other tasks.
        if (!worker && keepTrying && !task.wantsSpeculativeCopy) {
            step.delay = PlacementDelay::NoWorker;
            keepTrying = false;
            hasCapacity = false;
        }
        if (!worker) {
            stillWaiting.push_back(index);
            continue;
        }
        startRun(*worker, ready, index, now);
    }
    step.waiting = std::move(stillWaiting);
    return hasCapacity;
}

void TaskScheduler::startRun(
    WorkerEntry& worker, const ReadyStep& ready, uint32_t index, Instant now, PlacementMode mode)
{
    auto& job = *ready.job;
    auto& step = job.occurrences[ready.occurrence].steps[ready.step];
    auto& task = step.tasks.edit(index);
    step.lastStartAt = now;
    // A job that was added before the first plan or report has no ready time.
    if (step.readyAt == neverInstant)
        step.readyAt = now;
    TaskRef ref { job.spec.id, ready.occurrence, ready.step, index };
    uint64_t run = m_options.epoch * runsPerEpoch + ++task.starts;
    bool isCopy = task.wantsSpeculativeCopy;
    bool wasFoundWaiting = std::exchange(task.waitingSince, neverInstant) != neverInstant;
    task.wantsSpeculativeCopy = false;
    task.runs.push_back({ .run = run,
        .worker = worker.handle,
        .startedAt = now,
        .resumed = !task.checkpoint.empty(),
        .progressedAt = now });
    reserve(worker, job, ref, run);
    addStartedWork(ready);
    if (!job.spec.steps[ready.step].bestEffort)
        m_freeCpuMillis -= job.spec.steps[ready.step].size.cpuMillis;
    StartTask start {
        .worker = worker.handle,
        .task = ref,
        .run = run,
        .payload = job.spec.payload,
        .checkpoint = task.checkpoint,
        .isSpeculativeCopy = isCopy,
        .isRestart = hasRunBefore(job, task),
    };
    if (job.spec.steps[ready.step].longRunning && wasFoundWaiting)
        start.longRunningWait = now - task.foundWaitingAt;
    removeIdleRecord(job, task);
    recordPlacement(job, ref, task, worker.view.id);
    if (!mustRecordStart(job, ref, task)) {
        if (mustAwaitRecord(job, task))
            m_startsAwaitingRecords.push_back(std::move(start));
        else
            m_actions.push_back(std::move(start));
        return;
    }
    start.isSuspected = job.crashes.isSuspected(crashKey(job, ref));
    if (mode == PlacementMode::Isolated)
        setIsolated(task.runs.back(), true);
    recordSuspectedStart(worker, job, ref, task.runs.back());
    m_suspectedStarts.push_back(std::move(start));
}

}
