#include "../CheckProperty.h"
#include "BusyService.h"
#include <LibDecision/ExpectedRoom.h>
#include <LibDecision/RoomReservations.h>
#include <algorithm>
#include <cstdint>
#include <map>
#include <string>
#include <vector>

using namespace Bergamot;

namespace {

/// A long-running task has to run again this long after its last run, however full the service is.
constexpr Milliseconds maxTimeToRestart { 6000 };

/// Largest long-running task of the random loads; it fits on a worker beside others.
constexpr int64_t maxLongRunningMillis { 5000 };

constexpr Milliseconds warmUp { 5000 };
constexpr Milliseconds searchLimit { 60000 };

/// A worker with a long-running task, and another one that is held for an isolated run.
class HeldWorker {
public:
    /// The long-running task runs for `runTime` before its worker leaves.
    explicit HeldWorker(Milliseconds runTime)
    {
        m_service.addJob(m_lasting.job, BusyService::longRunning(cpuMillis));
        // Isolated runs go where few others would be lost.
        m_service.addJob("other", BusyService::longRunning(otherMillis));
        m_service.passFor(runTime);
        m_service.addWorker();
        m_service.addSuspect("suspect", suspectMillis);
        // The record of the start is stored first.
        m_service.passFor(Milliseconds { 300 });
        CHECK_EQUAL(2, m_service.workerOf({ .job = "suspect" }));
        m_service.removeWorker(1);
    }

    Milliseconds timeUntilRestart() { return m_service.timeUntilRunning(m_lasting, searchLimit); }

private:
    static constexpr int64_t cpuMillis { 4400 };
    static constexpr int64_t otherMillis { 500 };
    static constexpr int64_t suspectMillis { 1000 };
    BusyService m_service { { .workers = 1, .backlog = 0 } };
    TaskRef m_lasting { .job = "lasting" };
};

/// Three workers that are full of long-running tasks: four of the step "first", and two of the step "second", which run
/// on the third worker. Two of them fit on a worker.
class FullWorkers {
public:
    static constexpr int64_t workerMillis { 8000 };

    /// The workers that are added later have `addedMillis` processors.
    explicit FullWorkers(int64_t addedMillis)
        : service({ .workers = 2,
            .backlog = 0,
            .workerMillis = { addedMillis, workerMillis, workerMillis, workerMillis, addedMillis } })
    {
        service.addJob("first", BusyService::longRunning(cpuMillis, 4));
        service.passFor(warmUp);
        service.addWorker();
        service.addJob("second", BusyService::longRunning(cpuMillis, 2));
        passFor(warmUp);
        CHECK_EQUAL(3, service.workerOf({ .job = "second" }));
    }

    void passFor(Milliseconds time)
    {
        for (auto end = service.now() + time; service.now() < end;) {
            service.pass();
            recordRuns();
        }
    }

    void addWorkersAfter(const std::vector<Milliseconds>& times)
    {
        for (auto time : times) {
            passFor(time);
            service.addWorker();
        }
        passFor(warmUp);
    }

    /// The longest time between two runs of a task of the job.
    Milliseconds longestTimeToRestart(const JobId& job) const
    {
        auto it = m_longest.find(job);
        return it == m_longest.end() ? Milliseconds { 0 } : it->second;
    }

    BusyService service;

private:
    static constexpr int64_t cpuMillis { 4000 };

    void recordRuns()
    {
        for (const auto& [handle, runs] : service.runs()) {
            for (const auto& [task, start] : runs) {
                auto [it, isNew] = m_lastRunning.try_emplace(task, service.now());
                auto& longest = m_longest[task.job];
                longest = std::max(longest, std::chrono::duration_cast<Milliseconds>(service.now() - it->second));
                it->second = service.now();
            }
        }
    }

    std::map<TaskRef, Instant> m_lastRunning {};
    std::map<JobId, Milliseconds> m_longest {};
};

/// A service in which workers are lost, drain and lapse, and isolated runs hold others, at random.
class RandomDay {
public:
    explicit RandomDay(uint32_t seed)
        : m_random(seed)
        , m_service({ .workers = workerCount, .seed = seed })
    {
        constexpr int jobs { 8 };
        for (int i = 0; i < jobs; ++i) {
            auto id = "lasting" + std::to_string(i);
            m_service.addJob(id, BusyService::longRunning(1000 + draw(maxLongRunningMillis - 1000)));
            m_tasks.push_back({ .job = id });
        }
        m_service.passFor(warmUp);
    }

    void passFor(Milliseconds time)
    {
        for (auto end = m_service.now() + time; m_service.now() < end;) {
            m_service.pass();
            recordWaits();
        }
    }

    void disturb()
    {
        switch (draw(4)) {
        case 0:
            return m_service.replaceWorker(anyWorker());
        case 1:
            return m_service.lapseWorker(anyWorker());
        case 2:
            m_service.drain(anyWorker());
            return m_service.addWorker();
        default:
            m_service.addSuspect("suspect" + std::to_string(++m_suspects), 500 + draw(1500));
        }
    }

    Milliseconds longestTimeWithoutRun() const { return m_longest; }
    int64_t mostUsedMillis() const { return m_service.mostUsedMillis(); }

private:
    static constexpr WorkerHandle workerCount { 16 };

    int64_t draw(int64_t n) { return static_cast<int64_t>(m_random() % static_cast<uint64_t>(n)); }

    WorkerHandle anyWorker()
    {
        const auto& runs = m_service.runs();
        return std::next(runs.begin(), draw(static_cast<int64_t>(runs.size())))->first;
    }

    void recordWaits()
    {
        for (const auto& task : m_tasks) {
            auto [it, isNew] = m_lastRunning.try_emplace(task, m_service.now());
            if (isNew || m_service.workerOf(task) != 0)
                it->second = m_service.now();
            m_longest = std::max(m_longest, m_service.now() - it->second);
        }
    }

    std::mt19937 m_random;
    BusyService m_service;
    std::vector<TaskRef> m_tasks {};
    std::map<TaskRef, Instant> m_lastRunning {};
    Milliseconds m_longest { 0 };
    int m_suspects { 0 };
};

}

TEST_GROUP(TaskReservations) {};

// Guards against a long-running task whose room goes to small tasks piece by piece after a loss (LOST, issue 55).
TEST(TaskReservations, LongRunningTaskRunsAgainWhileSmallTasksTakeEachFreePiece)
{
    constexpr int64_t cpuMillis { 4400 };
    BusyService service({});
    TaskRef task { .job = "lasting" };
    service.addJob(task.job, BusyService::longRunning(cpuMillis));
    service.passFor(warmUp);
    service.lapseWorker(service.workerOf(task));
    auto time = service.timeUntilRunning(task, searchLimit);
    CHECK_COMPARE(time.count(), <=, maxTimeToRestart.count());
    CHECK_COMPARE(service.mostUsedMillis(), <=, BusyService::workerSize.cpuMillis);
}

// Guards against tasks that fit on no worker and take up the searches for workers to reserve, so that others wait
// without end behind small tasks (LOST, grown Riga and grown Sofia).
TEST(TaskReservations, LongRunningTaskRunsAgainBesideOthersThatFitNowhere)
{
    constexpr uint32_t wideTasks { 12 };
    constexpr uint32_t workers { 12 };
    constexpr size_t backlog { 60 };
    BusyService service({ .workers = wideTasks + workers, .backlog = backlog });
    for (uint32_t i = 0; i < wideTasks; ++i)
        service.addJob("wide" + std::to_string(i), BusyService::longRunning(7500));
    auto small = BusyService::longRunning(1000, workers);
    small.maxPerWorker = 1;
    service.addJob("small", small);
    TaskRef task { .job = "lasting" };
    service.addJob(task.job, BusyService::longRunning(4400));
    service.passFor(warmUp);
    for (uint32_t i = 0; i < wideTasks; ++i)
        service.removeWorker(service.workerOf({ .job = "wide" + std::to_string(i) }));
    service.passFor(warmUp);
    service.lapseWorker(service.workerOf(task));
    auto time = service.timeUntilRunning(task, searchLimit);
    CHECK_COMPARE(time.count(), <=, maxTimeToRestart.count());
}

// Guards against room that stays free for a larger task although one fits in it that has to run again too (LOST, a
// play of grown Sofia in which 15% of the workers left).
TEST(TaskReservations, TaskStartsInRoomThatDoesNotSufficeForALargerOne)
{
    TaskSchedulerFixture fixture;
    auto& scheduler = fixture.scheduler();
    auto shortStep = TaskSchedulerFixture::step(2);
    shortStep.size.cpuMillis = 4000;
    fixture.addWorker(1, BusyService::workerSize);
    scheduler.addJob(fixture.job("short", { shortStep }), std::nullopt, neverInstant);
    auto shortRuns = fixture.planStarts();
    CHECK_EQUAL(2, shortRuns.size());
    fixture.addWorker(2, BusyService::workerSize);
    scheduler.addJob(fixture.job("large", { BusyService::longRunning(6000) }), std::nullopt, neverInstant);
    scheduler.addJob(fixture.job("small", { BusyService::longRunning(2000) }), std::nullopt, neverInstant);
    for (const auto& start : fixture.planStarts())
        scheduler.commandAccepted(2, start.task, start.run, fixture.now());
    scheduler.removeWorker(2, WorkerEnd::Left, fixture.now());
    CHECK_EQUAL(0, fixture.planStarts().size());
    fixture.advance(Milliseconds { 2500 });
    CHECK_EQUAL(0, fixture.planStarts().size());
    CHECK_EQUAL(1, scheduler.workerUse().reserved);
    fixture.endRun(shortRuns.front(), RunOutcome::Done);
    auto starts = fixture.planStarts();
    CHECK_EQUAL(1, starts.size());
    CHECK(starts.front().task.job == "small");
}

// Guards against workers that stay reserved for tasks that run on, once these can be reached again.
TEST(TaskReservations, ReservationsEndOnceTheWorkerIsReachedAgain)
{
    BusyService service({});
    TaskRef task { .job = "lasting" };
    service.addJob(task.job, BusyService::longRunning(4400));
    service.passFor(warmUp);
    auto worker = service.workerOf(task);
    service.scheduler().setReachable(worker, false, service.now());
    service.passFor(Milliseconds { 3000 });
    CHECK_EQUAL(1, service.scheduler().workerUse().reserved);
    service.scheduler().setReachable(worker, true, service.now());
    service.pass();
    CHECK_EQUAL(0, service.scheduler().workerUse().reserved);
    CHECK_EQUAL(worker, service.workerOf(task));
}

// Guards against a long-running task that waits while all room is on a worker held for an isolated run (LOST, issue
// 39).
TEST(TaskReservations, LongRunningTaskRunsAgainBesideIsolatedRun)
{
    HeldWorker cluster(Milliseconds { 9000 });
    auto time = cluster.timeUntilRestart();
    CHECK_COMPARE(time.count(), <=, maxTimeToRestart.count());
}

// Guards against a crash that is blamed on an isolated run, although the task that started beside it may be the cause.
TEST(TaskReservations, TaskThatMayCrashTheWorkerDoesNotStartBesideIsolatedRun)
{
    HeldWorker cluster(Milliseconds { 1000 });
    auto time = cluster.timeUntilRestart();
    CHECK_COMPARE(time.count(), >, maxTimeToRestart.count());
}

// Guards against tasks that start with others of their step before tasks of other steps that have waited for longer
// (LOST, issue 61).
TEST(TaskReservations, TasksRunAgainInTheOrderOfTheirWaitsWhateverTheirStep)
{
    FullWorkers full(2 * FullWorkers::workerMillis);
    full.service.removeWorker(1);
    full.passFor(Milliseconds { 100 });
    full.service.removeWorker(3);
    full.passFor(Milliseconds { 900 });
    full.service.drain(2);
    full.passFor(Milliseconds { 3000 });
    full.addWorkersAfter({ Milliseconds { 0 }, Milliseconds { 2500 } });
    CHECK_COMPARE(full.longestTimeToRestart("first").count(), <=, maxTimeToRestart.count());
    CHECK_COMPARE(full.longestTimeToRestart("second").count(), <=, maxTimeToRestart.count());
}

// Guards against tasks whose wait counts from the end of the lease of their lost worker, so that tasks that have run
// since its loss start before them (LOST, issue 61).
TEST(TaskReservations, TasksOfALostWorkerHaveWaitedSinceItsLoss)
{
    constexpr Milliseconds timeUntilUnreachable { 1300 };
    constexpr Milliseconds remainingLease { 3500 };
    FullWorkers full(FullWorkers::workerMillis);
    full.service.loseWorker(3);
    full.passFor(timeUntilUnreachable);
    full.service.scheduler().setReachable(3, false, full.service.now());
    full.passFor(Milliseconds { 500 });
    full.service.drain(1);
    full.passFor(remainingLease - Milliseconds { 500 });
    full.service.removeWorker(3);
    full.passFor(Milliseconds { 500 });
    full.addWorkersAfter({ Milliseconds { 0 }, Milliseconds { 2000 } });
    CHECK_COMPARE(full.longestTimeToRestart("first").count(), <=, maxTimeToRestart.count());
    CHECK_COMPARE(full.longestTimeToRestart("second").count(), <=, maxTimeToRestart.count());
}

// Guards against two runs of a task whose step is queued twice, because its only run was listed again and lost (TWICE).
TEST(TaskReservations, TaskOfAStepThatIsQueuedTwiceStartsOnce)
{
    TaskSchedulerFixture fixture;
    auto& scheduler = fixture.scheduler();
    scheduler.addJob(fixture.job("lasting", { BusyService::longRunning(1000) }), std::nullopt, neverInstant);
    fixture.addWorker(1);
    auto start = fixture.planStarts().at(0);
    for (int i = 0; i < 2; ++i) {
        scheduler.runsReported(
            1, { { .task = start.task, .run = start.run } }, RunEndCoverage::All, fixture.now(), fixture.now());
        scheduler.markRunsLost(1, fixture.now());
    }
    scheduler.setReachable(1, false, fixture.now());
    CHECK_EQUAL(0, fixture.planStarts().size());
    fixture.advance(maxTimeToRestart);
    fixture.addWorker(2);
    CHECK_EQUAL(1, fixture.planStarts().size());
}

// Guards against any mix of losses, drains and isolated runs after which a long-running task waits beyond its bound.
TEST(TaskReservations, LongRunningTasksRunAgainWithinTheirBound)
{
    constexpr Milliseconds gap { 4000 };
    constexpr int disturbances { 10 };
    checkProperty("long-running tasks run again within their bound", [&] {
        RandomDay day(*rc::gen::noShrink(rc::gen::arbitrary<uint32_t>()));
        for (int i = 0; i < disturbances; ++i) {
            day.disturb();
            day.passFor(gap);
            RC_ASSERT(day.longestTimeWithoutRun() <= maxTimeToRestart);
        }
        RC_ASSERT(day.mostUsedMillis() <= BusyService::workerSize.cpuMillis);
    });
}

// Guards against a reservation on a worker whose long-running tasks leave no room, or on one that is slower to empty.
TEST(TaskReservations, RoomIsExpectedOnceEnoughRunsHaveEnded)
{
    std::vector<ExpectedRelease> releases { { Milliseconds { 3000 }, { 2000, 0, 0 } },
        { Milliseconds { 1000 }, { 1000, 500, 0 } } };
    auto forecast = RoomForecast::create({ 500, 0, 0 }, releases);
    CHECK(forecast.timeUntil({ 500, 0, 0 }) == Milliseconds { 0 });
    CHECK(forecast.timeUntil({ 1500, 0, 0 }) == Milliseconds { 1000 });
    CHECK(forecast.timeUntil({ 2000, 0, 0 }) == Milliseconds { 3000 });
    CHECK(forecast.timeUntil({ 500, 600, 0 }) == std::nullopt);
}

// Guards against a task that keeps two workers from others.
TEST(TaskReservations, TaskHasOneReservation)
{
    RoomReservations reservations;
    TaskRef task { .job = "j" };
    reservations.reserve(1, { .task = task });
    reservations.reserve(2, { .task = task });
    CHECK_EQUAL(1, reservations.count());
    CHECK(reservations.workerFor(task) == 2);
    CHECK(reservations.excludes(2, 0));
    CHECK_FALSE(reservations.excludes(1, 0));
    reservations.releaseIf([](WorkerHandle, const RoomReservations::Reservation& it) { return it.task.job == "j"; });
    CHECK_EQUAL(0, reservations.count());
}

// Guards against a reservation that keeps more urgent tasks from starting.
TEST(TaskReservations, MoreUrgentTasksMayUseTheReservedWorkerOfAShortTask)
{
    RoomReservations reservations;
    reservations.reserve(1, { .task = { .job = "j" }, .priority = 2 });
    CHECK_FALSE(reservations.excludes(1, 1));
    CHECK(reservations.excludes(1, 2));
    CHECK(reservations.excludes(1, 3));
}

// Guards against a large task that waits as long as small ones keep arriving (issue 39, waits that end).
TEST(TaskReservations, LargeShortTaskDoesNotWaitWithoutEndBehindSmallOnes)
{
    constexpr Milliseconds maxWait { 15000 };
    constexpr uint32_t estimateMs { 2000 };
    BusyService service({});
    service.passFor(warmUp);
    TaskRef task { .job = "large" };
    service.addJob(task.job, { .size = { 6000, 1000, 0 }, .estimateMs = estimateMs });
    CHECK_COMPARE(service.timeUntilRunning(task, searchLimit).count(), <=, maxWait.count());
}
