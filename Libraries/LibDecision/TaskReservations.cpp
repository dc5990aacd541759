#include <LibDecision/CrashRecordLimit.h>
#include <LibDecision/ExpectedRoom.h>
#include <LibDecision/TaskScheduler.h>
#include <LibDecision/TaskWorkerEntry.h>
#include <LibDecision/TaskWorkerSearch.h>
#include <algorithm>
#include <iterator>
#include <map>
#include <optional>
#include <string>
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

/// One of this many workers of a service may be reserved for long-running tasks, and for short ones. Short tasks keep
/// the room that becomes free on the others, however many long-running tasks wait.
static constexpr size_t workersPerReservation = 4;
static constexpr size_t workersPerShortTaskReservation = 32;

/// Short tasks for which workers are reserved at a time; the others follow.
static constexpr size_t maxReservingShortTasks = 4;

/// Searches of one plan for room beside isolated runs. Each visits all workers and their runs.
static constexpr size_t maxSearches = 8;

/// Workers to reserve are searched in one plan of this time, with this many searches, each of which visits all workers.
static constexpr Milliseconds reservationInterval { 100 };
static constexpr size_t maxReservationSearches = 32;

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
        releaseReservations();
        bool mayReserve = m_scheduler.m_reservations.beginSearch(m_now, reservationInterval);
        auto expected = mayReserve ? expectedRestarts(knownBy) : std::vector<ReadyTask> {};
        for (const auto& step : overdueSteps(knownBy))
            placeStep(step);
        for (const auto& [ready, index] : delayedShortTasks(knownBy))
            placeShortTask(ready, index);
        std::ranges::move(expected, std::back_inserter(m_withoutWorker));
        if (mayReserve)
            reserveWorkers();
    }

private:
    /// The long-running tasks of a step that have to run again, as far as their waits began at the same time.
    struct OverdueStep {
        Instant since { neverInstant };
        ReadyStep ready {};
        std::vector<uint32_t> tasks {};
    };

    struct ReadyTask {
        ReadyStep ready {};
        uint32_t index { 0 };
    };

    /// The searches for workers that have failed for a task of a step. The tasks of a step need the same, so they fail
    /// for the others too.
    struct FailedSearches {
        bool shared { false };
        bool besideIsolated { false };
        bool reservation { false };
    };

    static TaskRef refOf(const ReadyStep& ready, uint32_t index)
    {
        return { ready.job->spec.id, ready.occurrence, ready.step, index };
    }

    static const TrackedTask& taskOf(const ReadyStep& ready, uint32_t index)
    {
        return ready.job->occurrences[ready.occurrence].steps[ready.step].tasks[index];
    }

    FailedSearches& failedSearchesOf(const ReadyStep& ready)
    {
        return m_failedSearches[&ready.job->occurrences[ready.occurrence].steps[ready.step]];
    }

    bool isLongOutOfContact(const WorkerEntry&) const;
    bool hasToRunAgain(const TaskRef&) const;
    bool isOverdue(const ReadyStep&, uint32_t index, Milliseconds maxWait) const;
    Instant waitingSince(const ReadyStep&, uint32_t index) const;
    std::vector<ReadyTask> expectedRestarts(Instant knownBy);
    std::vector<OverdueStep> overdueSteps(Instant knownBy) const;
    std::vector<ReadyTask> delayedShortTasks(Instant knownBy) const;
    void releaseReservations();
    void reserveWorkers();
    void placeStep(const OverdueStep&);
    void placeShortTask(const ReadyStep&, uint32_t index);
    bool maySearch() { return ++m_searches <= maxSearches; }
    WorkerEntry* reservedWorkerWithRoom(const ReadyStep&, uint32_t index);
    WorkerEntry* takeReservedWorker(const ReadyStep&, uint32_t index);
    std::vector<WorkerEntry*> workersThatStillGatherRoom() const;
    void release(WorkerHandle);
    bool reserveWorker(const ReadyStep&, uint32_t index);
    const RoomForecast& expectedRoom(const WorkerEntry&);
    size_t& reservedWorkers(const std::string& service, bool forShortTasks)
    {
        return m_reservedWorkers[{ service, forShortTasks }];
    }
    void start(WorkerEntry&, const ReadyStep&, uint32_t index);

    TaskScheduler& m_scheduler;
    UnplacedSizes& m_unplaced;
    Instant m_now;
    size_t m_searches { 0 };
    std::map<const TrackedStep*, FailedSearches> m_failedSearches {};

    /// Number of reserved workers by service, for long-running and for short tasks.
    std::map<std::pair<std::string, bool>, size_t> m_reservedWorkers {};

    /// Forecasts of the workers on which this plan has started nothing since.
    std::map<WorkerHandle, RoomForecast> m_forecasts {};

    /// The workers that are reserved for long-running tasks that do not fit there yet.
    std::vector<WorkerEntry*> m_gatheringWorkers {};

    /// Tasks that fit nowhere and have no reserved worker.
    std::vector<ReadyTask> m_withoutWorker {};

    /// Sizes that fit nowhere even once all short runs have ended.
    UnplacedSizes m_withoutExpectedRoom {};
};

/// Whether the leader has not reached the worker for so long that it has probably been lost with its runs.
bool TaskScheduler::OverduePlacement::isLongOutOfContact(const WorkerEntry& worker) const
{
    return !worker.reachable && worker.lostAt != neverInstant && m_now - worker.lostAt >= maxRestartWait;
}

/// Whether the task waits, or is expected to once the lease of its worker has expired.
bool TaskScheduler::OverduePlacement::hasToRunAgain(const TaskRef& ref) const
{
    auto* job = m_scheduler.findJob(ref.job);
    const auto* task = job && !job->hasEnded() ? findTask(*job, ref) : nullptr;
    if (!task || task->done)
        return false;
    return std::ranges::all_of(task->runs, [&](const TrackedRun& run) {
        auto it = m_scheduler.m_workers.find(run.worker);
        return it != m_scheduler.m_workers.end() && isLongOutOfContact(*it->second);
    });
}

/// Whether the task may start like others and has waited for longer than it should.
bool TaskScheduler::OverduePlacement::isOverdue(const ReadyStep& ready, uint32_t index, Milliseconds maxWait) const
{
    const auto& task = taskOf(ready, index);
    if (task.done || !task.runs.empty() || m_scheduler.isBlocked(task, m_now))
        return false;
    bool hasWaited = task.waitingSince != neverInstant && m_now - task.waitingSince >= maxWait;
    auto ref = refOf(ready, index);
    return (hasWaited || m_scheduler.m_reservations.isUrgent(ref))
        && m_scheduler.isolationOf(*ready.job, ref) == RunIsolation::None;
}

/// Returns since when the task has waited. A task of a lost worker has had no run since the loss, although it may wait
/// for a start only once the lease has expired.
Instant TaskScheduler::OverduePlacement::waitingSince(const ReadyStep& ready, uint32_t index) const
{
    return m_scheduler.m_reservations.lossOf(refOf(ready, index)).value_or(taskOf(ready, index).waitingSince);
}

/// Returns the long-running tasks whose workers have probably been lost. Room for them is kept while their leases last:
/// once these have expired, little is left of the time within which the tasks have to run again.
std::vector<TaskScheduler::OverduePlacement::ReadyTask> TaskScheduler::OverduePlacement::expectedRestarts(
    Instant knownBy)
{
    std::vector<ReadyTask> tasks;
    for (const auto& [handle, worker] : m_scheduler.m_workers) {
        if (!isLongOutOfContact(*worker))
            continue;
        for (const auto& [key, active] : worker->runs) {
            const auto& ref = key.first;
            auto& job = *active.job;
            if (!active.spec->longRunning || active.spec->gang || job.knownAt > knownBy || !hasToRunAgain(ref)
                || m_scheduler.isolationOf(job, ref) != RunIsolation::None)
                continue;
            m_scheduler.m_reservations.addUrgent(ref, worker->lostAt);
            if (m_scheduler.m_reservations.workerFor(ref))
                continue;
            ReadyStep ready { .job = &job, .occurrence = ref.occurrence, .step = ref.step };
            std::get<0>(ready.key) = m_scheduler.policyOf(job).priority;
            tasks.push_back({ .ready = ready, .index = ref.index });
        }
    }
    return tasks;
}

/// Returns the tasks that have to run again, longest wait first. Those of one step that have waited for as long are
/// together.
std::vector<TaskScheduler::OverduePlacement::OverdueStep> TaskScheduler::OverduePlacement::overdueSteps(
    Instant knownBy) const
{
    std::vector<OverdueStep> steps;
    for (const auto& [order, ready] : m_scheduler.m_readySteps) {
        const auto& spec = ready.job->spec.steps[ready.step];
        if (!spec.longRunning || spec.gang || ready.job->hasEnded() || ready.job->knownAt > knownBy)
            continue;
        std::map<Instant, std::vector<uint32_t>> tasks;
        CrashRecordLimit recordLimit(ready);
        for (auto index : ready.job->occurrences[ready.occurrence].steps[ready.step].waiting) {
            if (!hasRunBefore(*ready.job, taskOf(ready, index)) || !isOverdue(ready, index, maxRestartWait)
                || recordLimit.holdsBack(index))
                continue;
            tasks[waitingSince(ready, index)].push_back(index);
        }
        for (auto& [since, indices] : tasks)
            steps.push_back({ .since = since, .ready = ready, .tasks = std::move(indices) });
    }
    std::ranges::stable_sort(steps, {}, &OverdueStep::since);
    return steps;
}

/// Returns the most urgent short tasks that have waited long for a worker.
std::vector<TaskScheduler::OverduePlacement::ReadyTask> TaskScheduler::OverduePlacement::delayedShortTasks(
    Instant knownBy) const
{
    std::vector<ReadyTask> tasks;
    for (const auto& [order, ready] : m_scheduler.m_readySteps) {
        const auto& spec = ready.job->spec.steps[ready.step];
        const auto& step = ready.job->occurrences[ready.occurrence].steps[ready.step];
        bool isShort = !spec.longRunning && !spec.bestEffort && !spec.gang;
        if (!isShort || step.delay != PlacementDelay::NoWorker || step.waiting.empty() || ready.job->hasEnded()
            || ready.job->knownAt > knownBy)
            continue;
        auto index = step.waiting.front();
        if (isOverdue(ready, index, maxShortTaskWait) && !CrashRecordLimit(ready).holdsBack(index))
            tasks.push_back({ .ready = ready, .index = index });
        if (tasks.size() >= maxReservingShortTasks)
            break;
    }
    return tasks;
}

/// Ends the reservations of workers that may not take the task any more, and of tasks that do not wait.
void TaskScheduler::OverduePlacement::releaseReservations()
{
    auto& reservations = m_scheduler.m_reservations;
    reservations.removeUrgentIf([&](const TaskRef& ref) { return !hasToRunAgain(ref); });
    reservations.releaseIf([&](WorkerHandle handle, const RoomReservations::Reservation& reservation) {
        auto it = m_scheduler.m_workers.find(handle);
        bool mayTakeRuns = it != m_scheduler.m_workers.end() && m_scheduler.isUsable(*it->second, m_now)
            && !it->second->isHeldForIsolation(m_now);
        return !mayTakeRuns || m_now - reservation.since >= maxReservationTime || !hasToRunAgain(reservation.task);
    });
    for (const auto& [handle, reservation] : reservations.all())
        ++reservedWorkers(m_scheduler.m_workers.at(handle)->view.service, reservation.priority.has_value());
    m_gatheringWorkers = workersThatStillGatherRoom();
}

std::vector<TaskScheduler::WorkerEntry*> TaskScheduler::OverduePlacement::workersThatStillGatherRoom() const
{
    std::vector<WorkerEntry*> workers;
    for (const auto& [handle, reservation] : m_scheduler.m_reservations.all()) {
        const auto& ref = reservation.task;
        auto& worker = *m_scheduler.m_workers.at(handle);
        const auto& spec = m_scheduler.findJob(ref.job)->spec.steps[ref.step];
        if (!reservation.priority && !reservedSize(spec).fitsIn(worker.freeResources()))
            workers.push_back(&worker);
    }
    return workers;
}

/// Starts the tasks that fit.
void TaskScheduler::OverduePlacement::placeStep(const OverdueStep& overdue)
{
    const auto& ready = overdue.ready;
    const auto& spec = ready.job->spec.steps[ready.step];
    PlacementClass placementClass { .service = m_scheduler.policyOf(*ready.job).service, .longRunning = true };
    std::optional<StepRanking> ranking;
    auto& failed = failedSearchesOf(ready);
    failed.shared |= m_unplaced.covers(placementClass, spec.size);
    failed.besideIsolated |= m_scheduler.m_isolatedRuns == 0;
    bool mayFitOnReserved = !m_gatheringWorkers.empty();
    CrashRecordLimit recordLimit(ready);
    for (auto index : overdue.tasks) {
        const auto& task = taskOf(ready, index);
        // A step whose last waiting task was adopted and lost again since the last plan is queued twice.
        if (!task.runs.empty() || recordLimit.holdsBack(index))
            continue;
        auto* worker = reservedWorkerWithRoom(ready, index);
        if (worker)
            ranking.reset();
        else if (!failed.shared)
            worker = m_scheduler.chooseNextWorker(ranking, ready, task, m_now);
        if (!worker && !std::exchange(failed.shared, true) && !hasPlacementConstraint(spec))
            m_unplaced.add(placementClass, spec.size);
        if (!worker && !failed.besideIsolated && maySearch()) {
            worker = m_scheduler.chooseWorker(*ready.job, ready, task, {}, m_now, PlacementMode::BesideIsolated);
            failed.besideIsolated = worker == nullptr;
        }
        if (!worker && mayFitOnReserved) {
            worker = takeReservedWorker(ready, index);
            mayFitOnReserved = worker != nullptr;
        }
        if (worker)
            start(*worker, ready, index);
        else if (!m_scheduler.m_reservations.workerFor(refOf(ready, index)))
            m_withoutWorker.push_back({ .ready = ready, .index = index });
    }
}

/// Starts the task on its reserved worker once that has room. It is placed like others besides.
void TaskScheduler::OverduePlacement::placeShortTask(const ReadyStep& ready, uint32_t index)
{
    if (!taskOf(ready, index).runs.empty())
        return;
    if (auto* worker = reservedWorkerWithRoom(ready, index))
        start(*worker, ready, index);
    else if (!m_scheduler.m_reservations.workerFor(refOf(ready, index)))
        m_withoutWorker.push_back({ .ready = ready, .index = index });
}

void TaskScheduler::OverduePlacement::start(WorkerEntry& worker, const ReadyStep& ready, uint32_t index)
{
    if (auto reserved = m_scheduler.m_reservations.workerFor(refOf(ready, index)))
        release(*reserved);
    // A task that starts in the first plan that finds it waiting has waited for no time.
    if (taskOf(ready, index).waitingSince == neverInstant)
        ready.job->occurrences[ready.occurrence].steps[ready.step].tasks.edit(index).waitingSince = m_now;
    m_scheduler.startRun(worker, ready, index, m_now);
    m_forecasts.erase(worker.handle);
    std::erase(ready.job->occurrences[ready.occurrence].steps[ready.step].waiting, index);
}

void TaskScheduler::OverduePlacement::release(WorkerHandle handle)
{
    auto& reservations = m_scheduler.m_reservations;
    const auto& service = m_scheduler.m_workers.at(handle)->view.service;
    --reservedWorkers(service, reservations.find(handle)->priority.has_value());
    reservations.release(handle);
    std::erase_if(m_gatheringWorkers, [&](const WorkerEntry* it) { return it->handle == handle; });
}

/// Returns a worker with room for the task that is reserved for a larger one, and ends that reservation. Otherwise room
/// would stay free for seconds although a task fits in it that has to run again too.
TaskScheduler::WorkerEntry* TaskScheduler::OverduePlacement::takeReservedWorker(const ReadyStep& ready, uint32_t index)
{
    auto size = reservedSize(ready.job->spec.steps[ready.step]);
    std::optional<WorkerSearch> search;
    for (auto* worker : m_gatheringWorkers) {
        if (!size.fitsIn(worker->freeResources()))
            continue;
        if (!search) {
            auto prepared = m_scheduler.prepareSearch(*ready.job, ready, {}, m_now, PlacementMode::Reserved);
            if (!prepared)
                return nullptr;
            search.emplace(std::move(*prepared));
        }
        if (worker->view.service != search->service || !hasRoom(*search, *worker)
            || !m_scheduler.scoreOf(*search, taskOf(ready, index), *worker))
            continue;
        release(worker->handle);
        return worker;
    }
    return nullptr;
}

/// Returns the worker that is reserved for the task if it has room by now.
TaskScheduler::WorkerEntry* TaskScheduler::OverduePlacement::reservedWorkerWithRoom(
    const ReadyStep& ready, uint32_t index)
{
    auto handle = m_scheduler.m_reservations.workerFor(refOf(ready, index));
    if (!handle)
        return nullptr;
    auto& worker = *m_scheduler.m_workers.at(*handle);
    if (!reservedSize(ready.job->spec.steps[ready.step]).fitsIn(worker.freeResources()))
        return nullptr;
    auto search = m_scheduler.prepareSearch(*ready.job, ready, {}, m_now, PlacementMode::Reserved);
    bool fits = search && hasRoom(*search, worker) && m_scheduler.scoreOf(*search, taskOf(ready, index), worker);
    return fits ? &worker : nullptr;
}

/// Reserves workers for the tasks that have none, beginning with the first one that the last plan left out.
void TaskScheduler::OverduePlacement::reserveWorkers()
{
    auto& reservations = m_scheduler.m_reservations;
    auto first = std::ranges::find_if(
        m_withoutWorker, [&](const ReadyTask& it) { return reservations.nextSearch() == refOf(it.ready, it.index); });
    if (first != m_withoutWorker.end())
        std::rotate(m_withoutWorker.begin(), first, m_withoutWorker.end());
    reservations.setNextSearch(std::nullopt);
    size_t searches = 0;
    for (const auto& it : m_withoutWorker) {
        auto& failed = failedSearchesOf(it.ready);
        if (failed.reservation)
            continue;
        const auto& spec = it.ready.job->spec.steps[it.ready.step];
        PlacementClass placementClass { .service = m_scheduler.policyOf(*it.ready.job).service,
            .longRunning = spec.longRunning };
        if (m_withoutExpectedRoom.covers(placementClass, spec.size))
            continue;
        if (++searches > maxReservationSearches)
            return reservations.setNextSearch(refOf(it.ready, it.index));
        if (reserveWorker(it.ready, it.index))
            continue;
        failed.reservation = true;
        if (!hasPlacementConstraint(spec))
            m_withoutExpectedRoom.add(placementClass, spec.size);
    }
}

/// Reserves the worker that is expected to have room for the task first. Returns whether there is one.
bool TaskScheduler::OverduePlacement::reserveWorker(const ReadyStep& ready, uint32_t index)
{
    auto service = m_scheduler.m_candidates.find(m_scheduler.policyOf(*ready.job).service);
    if (service == m_scheduler.m_candidates.end())
        return false;
    bool isShort = !ready.job->spec.steps[ready.step].longRunning;
    auto workers = service->second.size() / (isShort ? workersPerShortTaskReservation : workersPerReservation);
    auto& reserved = reservedWorkers(service->first, isShort);
    if (reserved >= std::max<size_t>(1, workers))
        return false;
    auto search = m_scheduler.prepareSearch(*ready.job, ready, {}, m_now, PlacementMode::Shared);
    if (!search)
        return false;
    RoomReservations::Reservation reservation { .task = refOf(ready, index), .since = m_now };
    if (isShort)
        reservation.priority = std::get<0>(ready.key);
    const WorkerEntry* best = nullptr;
    auto shortest = Milliseconds::max();
    for (const auto* worker : search->candidates) {
        if (m_scheduler.m_reservations.find(worker->handle))
            continue;
        auto siblings = search->siblingRuns.find(worker->handle);
        auto runsThere = siblings == search->siblingRuns.end() ? 0 : siblings->second;
        auto time = expectedRoom(*worker).timeUntil(search->size);
        if (!time || *time >= shortest || !m_scheduler.isAllowed(*search, taskOf(ready, index), *worker, runsThere))
            continue;
        shortest = *time;
        best = worker;
    }
    if (!best)
        return false;
    m_scheduler.m_reservations.reserve(best->handle, reservation);
    ++reserved;
    return true;
}

const RoomForecast& TaskScheduler::OverduePlacement::expectedRoom(const WorkerEntry& worker)
{
    auto it = m_forecasts.find(worker.handle);
    return it == m_forecasts.end() ? m_forecasts.emplace(worker.handle, worker.expectedRoom(m_now)).first->second
                                   : it->second;
}

RoomForecast TaskScheduler::WorkerEntry::expectedRoom(Instant now) const
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
    return RoomForecast::create(freeResources(), std::move(releases));
}

/// Starts the long-running tasks that have to run again where they fit, and adds the sizes of the others to `unplaced`.
void TaskScheduler::placeOverdueTasks(UnplacedSizes& unplaced, Instant now, Instant knownBy)
{
    OverduePlacement(*this, unplaced, now).place(knownBy);
}

}
