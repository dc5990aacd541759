#include <LibDecision/ExpectedRoom.h>
#include <LibDecision/TaskScheduler.h>
#include <LibDecision/TaskWorkerEntry.h>
#include <LibDecision/TaskWorkerSearch.h>
#include <algorithm>
#include <utility>
#include <vector>

// Starts long-running tasks that have to run again before all others, and reserves workers for those that fit nowhere,
// and for short tasks that have waited for long. Otherwise each piece of room that becomes free goes to the waiting
// task that fits in it, and a larger one waits until a worker happens to be empty.

namespace Bergamot {

/// A long-running task that ran before goes before others after this wait, because it has to run again within 6 s.
/// Until then it leaves headroom for short tasks.
static constexpr Milliseconds maxRestartWait { 2500 };

/// A short task that finds no worker has one reserved after this wait: smaller tasks may keep arriving without end.
static constexpr Milliseconds maxShortTaskWait { 10000 };

/// A reservation ends after this time, because the runs on the worker last longer than expected.
static constexpr Milliseconds maxReservationTime { 5000 };

/// One of this many workers of a service may be reserved for long-running tasks, and for short ones.
static constexpr size_t workersPerReservation = 8;
static constexpr size_t workersPerShortTaskReservation = 32;

/// Short tasks for which workers are reserved at a time; the others follow.
static constexpr size_t maxReservingShortTasks = 4;

/// Searches of one plan for workers to reserve, or for room beside isolated runs. Each visits all workers and their
/// runs.
static constexpr size_t maxSearches = 8;

/// Places the tasks that have to run again, and large short tasks that have waited for long, in one plan.
class TaskScheduler::OverduePlacement {
public:
    OverduePlacement(TaskScheduler& scheduler, UnplacedSizes& unplaced, Instant now)
        : m_scheduler(scheduler)
        , m_unplaced(unplaced)
        , m_now(now)
    {
    }

    void place(Instant knownBy)
    {
        auto steps = overdueSteps(knownBy);
        auto shortTasks = delayedShortTasks(knownBy);
        releaseReservations();
        for (const auto& step : steps)
            placeStep(step);
        for (const auto& [ready, index] : shortTasks)
            placeShortTask(*ready, index);
    }

private:
    /// The long-running tasks of a step that have to run again.
    struct OverdueStep {
        /// Start of the longest wait.
        Instant since { Instant::max() };
        const ReadyStep* ready { nullptr };
        std::vector<uint32_t> tasks {};
    };

    /// A short task that has waited for long.
    struct ShortTask {
        const ReadyStep* ready { nullptr };
        uint32_t index { 0 };
    };

    static TaskRef refOf(const ReadyStep& ready, uint32_t index)
    {
        return { ready.job->spec.id, ready.occurrence, ready.step, index };
    }

    static TrackedTask& taskOf(const ReadyStep& ready, uint32_t index)
    {
        return ready.job->occurrences[ready.occurrence].steps[ready.step].tasks[index];
    }

    bool isOverdue(const ReadyStep&, uint32_t index, Milliseconds maxWait) const;
    std::vector<OverdueStep> overdueSteps(Instant knownBy) const;
    std::vector<ShortTask> delayedShortTasks(Instant knownBy) const;
    void releaseReservations();
    void placeStep(const OverdueStep&);
    void placeShortTask(const ReadyStep&, uint32_t index);
    bool maySearch() { return ++m_searches <= maxSearches; }
    WorkerEntry* reservedWorkerWithRoom(const ReadyStep&, uint32_t index);
    bool reserveWorker(const ReadyStep&, uint32_t index);
    void start(WorkerEntry&, const ReadyStep&, uint32_t index);

    TaskScheduler& m_scheduler;
    UnplacedSizes& m_unplaced;
    Instant m_now;
    size_t m_searches { 0 };
};

/// Whether the task may start like others and has waited for longer than it should.
bool TaskScheduler::OverduePlacement::isOverdue(const ReadyStep& ready, uint32_t index, Milliseconds maxWait) const
{
    const auto& task = taskOf(ready, index);
    if (task.done || !task.runs.empty() || m_scheduler.isBlocked(task, m_now))
        return false;
    bool hasWaited = task.waitingSince != neverInstant && m_now - task.waitingSince >= maxWait;
    return hasWaited && m_scheduler.isolationOf(*ready.job, refOf(ready, index)) == RunIsolation::None;
}

/// Returns the steps with tasks that have to run again, longest wait first.
std::vector<TaskScheduler::OverduePlacement::OverdueStep> TaskScheduler::OverduePlacement::overdueSteps(
    Instant knownBy) const
{
    std::vector<OverdueStep> steps;
    for (const auto& [key, ready] : m_scheduler.m_readySteps) {
        const auto& spec = ready.job->spec.steps[ready.step];
        if (!spec.longRunning || spec.gang || ready.job->hasEnded() || ready.job->knownAt > knownBy)
            continue;
        OverdueStep overdue { .ready = &ready };
        for (auto index : ready.job->occurrences[ready.occurrence].steps[ready.step].waiting) {
            if (!hasRunBefore(*ready.job, taskOf(ready, index)) || !isOverdue(ready, index, maxRestartWait))
                continue;
            overdue.since = std::min(overdue.since, taskOf(ready, index).waitingSince);
            overdue.tasks.push_back(index);
        }
        if (!overdue.tasks.empty())
            steps.push_back(std::move(overdue));
    }
    std::ranges::stable_sort(steps, {}, &OverdueStep::since);
    return steps;
}

/// Returns the most urgent short tasks that have waited long for a worker.
std::vector<TaskScheduler::OverduePlacement::ShortTask> TaskScheduler::OverduePlacement::delayedShortTasks(
    Instant knownBy) const
{
    std::vector<ShortTask> tasks;
    for (const auto& [key, ready] : m_scheduler.m_readySteps) {
        const auto& spec = ready.job->spec.steps[ready.step];
        const auto& step = ready.job->occurrences[ready.occurrence].steps[ready.step];
        bool isShort = !spec.longRunning && !spec.bestEffort && !spec.gang;
        if (!isShort || step.delay != PlacementDelay::NoWorker || step.waiting.empty() || ready.job->hasEnded()
            || ready.job->knownAt > knownBy)
            continue;
        auto index = step.waiting.front();
        if (isOverdue(ready, index, maxShortTaskWait))
            tasks.push_back({ .ready = &ready, .index = index });
        if (tasks.size() >= maxReservingShortTasks)
            break;
    }
    return tasks;
}

/// Ends the reservations of workers that may not take the task any more, and of tasks that do not wait.
void TaskScheduler::OverduePlacement::releaseReservations()
{
    m_scheduler.m_reservations.releaseIf([&](WorkerHandle handle, const RoomReservations::Reservation& reservation) {
        auto it = m_scheduler.m_workers.find(handle);
        bool mayTakeRuns = it != m_scheduler.m_workers.end() && m_scheduler.isUsable(*it->second, m_now)
            && !it->second->isHeldForIsolation(m_now);
        auto* job = m_scheduler.findJob(reservation.task.job);
        const auto* task = job && !job->hasEnded() ? findTask(*job, reservation.task) : nullptr;
        bool isWaiting = task && !task->done && task->runs.empty();
        return !mayTakeRuns || !isWaiting || m_now - reservation.since >= maxReservationTime;
    });
}

/// Starts the tasks that fit, and reserves workers for the others.
void TaskScheduler::OverduePlacement::placeStep(const OverdueStep& overdue)
{
    const auto& ready = *overdue.ready;
    const auto& spec = ready.job->spec.steps[ready.step];
    PlacementClass placementClass { .service = m_scheduler.policyOf(*ready.job).service, .longRunning = true };
    std::optional<StepRanking> ranking;
    bool mayFit = !m_unplaced.covers(placementClass, spec.size);
    // The tasks of a step need the same, so after a failed search none of them is tried.
    bool mayFitBesideIsolated = m_scheduler.m_isolatedRuns > 0;
    bool mayReserve = true;
    for (auto index : overdue.tasks) {
        const auto& task = taskOf(ready, index);
        // A step whose last waiting task was adopted and lost again since the last plan is queued twice.
        if (!task.runs.empty())
            continue;
        auto* worker = reservedWorkerWithRoom(ready, index);
        if (worker)
            ranking.reset();
        else if (mayFit)
            worker = m_scheduler.chooseNextWorker(ranking, ready, task, m_now);
        if (!worker && std::exchange(mayFit, false) && !hasPlacementConstraint(spec))
            m_unplaced.add(placementClass, spec.size);
        if (!worker && mayFitBesideIsolated && maySearch()) {
            worker = m_scheduler.chooseWorker(*ready.job, ready, task, {}, m_now, PlacementMode::BesideIsolated);
            mayFitBesideIsolated = worker != nullptr;
        }
        if (worker)
            start(*worker, ready, index);
        else if (mayReserve && !m_scheduler.m_reservations.workerFor(refOf(ready, index)) && maySearch())
            mayReserve = reserveWorker(ready, index);
    }
}

/// Starts the task on its reserved worker once that has room. It is placed like others besides.
void TaskScheduler::OverduePlacement::placeShortTask(const ReadyStep& ready, uint32_t index)
{
    if (!taskOf(ready, index).runs.empty())
        return;
    if (auto* worker = reservedWorkerWithRoom(ready, index))
        start(*worker, ready, index);
    else if (!m_scheduler.m_reservations.workerFor(refOf(ready, index)) && maySearch())
        reserveWorker(ready, index);
}

void TaskScheduler::OverduePlacement::start(WorkerEntry& worker, const ReadyStep& ready, uint32_t index)
{
    if (auto reserved = m_scheduler.m_reservations.workerFor(refOf(ready, index)))
        m_scheduler.m_reservations.release(*reserved);
    m_scheduler.startRun(worker, ready, index, m_now);
    std::erase(ready.job->occurrences[ready.occurrence].steps[ready.step].waiting, index);
}

/// Returns the worker that is reserved for the task if it has room by now.
TaskScheduler::WorkerEntry* TaskScheduler::OverduePlacement::reservedWorkerWithRoom(
    const ReadyStep& ready, uint32_t index)
{
    auto handle = m_scheduler.m_reservations.workerFor(refOf(ready, index));
    if (!handle)
        return nullptr;
    auto search = m_scheduler.prepareSearch(*ready.job, ready, {}, m_now, PlacementMode::Reserved);
    auto& worker = *m_scheduler.m_workers.at(*handle);
    bool fits = search && hasRoom(*search, worker) && m_scheduler.scoreOf(*search, taskOf(ready, index), worker);
    return fits ? &worker : nullptr;
}

/// Reserves the worker that is expected to have room for the task first. Returns whether there is one.
bool TaskScheduler::OverduePlacement::reserveWorker(const ReadyStep& ready, uint32_t index)
{
    auto search = m_scheduler.prepareSearch(*ready.job, ready, {}, m_now, PlacementMode::Shared);
    if (!search)
        return false;
    auto& reservations = m_scheduler.m_reservations;
    RoomReservations::Reservation reservation { .task = refOf(ready, index), .since = m_now };
    bool isShort = !search->spec.longRunning;
    if (isShort)
        reservation.priority = std::get<0>(ready.key);
    auto reserved = std::ranges::count_if(search->candidates, [&](const WorkerEntry* it) {
        const auto* other = reservations.find(it->handle);
        return other && other->priority.has_value() == isShort;
    });
    auto workers = search->candidates.size() / (isShort ? workersPerShortTaskReservation : workersPerReservation);
    if (std::cmp_greater_equal(reserved, std::max<size_t>(1, workers)))
        return false;
    const WorkerEntry* best = nullptr;
    auto shortest = Milliseconds::max();
    for (const auto* worker : search->candidates) {
        auto siblings = search->siblingRuns.find(worker->handle);
        auto runsThere = siblings == search->siblingRuns.end() ? 0 : siblings->second;
        if (reservations.find(worker->handle)
            || !m_scheduler.isAllowed(*search, taskOf(ready, index), *worker, runsThere))
            continue;
        auto time = worker->expectedTimeUntilRoom(search->size, m_now);
        if (!time || *time >= shortest)
            continue;
        shortest = *time;
        best = worker;
    }
    if (best)
        reservations.reserve(best->handle, reservation);
    return best != nullptr;
}

std::optional<Milliseconds> TaskScheduler::WorkerEntry::expectedTimeUntilRoom(const Resources& size, Instant now) const
{
    std::vector<ExpectedRelease> releases;
    for (const auto& [key, active] : runs) {
        const auto* run = findRun(*active.task, key.second);
        if (!run || (active.spec->longRunning && run->phase != RunPhase::Stopping))
            continue;
        auto elapsed = now - run->startedAt;
        Milliseconds estimate { active.spec->estimateMs };
        // A run that exceeds its estimate is assumed to take as long again.
        auto remaining = elapsed < estimate ? estimate - elapsed : elapsed;
        releases.push_back({ .time = run->phase == RunPhase::Stopping ? Milliseconds { 0 } : remaining,
            .size = reservedSize(*active.spec) });
    }
    return timeUntilRoom(size, freeResources(), std::move(releases));
}

/// Starts the long-running tasks that have to run again where they fit, and adds the sizes of the others to `unplaced`.
void TaskScheduler::placeOverdueTasks(UnplacedSizes& unplaced, Instant now, Instant knownBy)
{
    OverduePlacement(*this, unplaced, now).place(knownBy);
}

}
