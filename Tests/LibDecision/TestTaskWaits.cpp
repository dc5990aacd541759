#include "TaskSchedulerFixture.h"
#include <algorithm>
#include <utility>

using namespace Bergamot;

// What the log tells of tasks that wait.
TEST_GROUP(TaskWaits)
{
    TaskSchedulerFixture fixture;
    TaskScheduler& scheduler { fixture.scheduler() };

    static StepSpec bestEffort()
    {
        auto step = TaskSchedulerFixture::step(1);
        step.size.cpuMillis = 4000;
        step.bestEffort = true;
        return step;
    }

    /// Adds a job and returns why no worker can take its task.
    WorkerRefusals refusalsOf(StepSpec step)
    {
        scheduler.addJob(fixture.job("waiting", { std::move(step) }), std::nullopt, neverInstant);
        fixture.planStarts();
        constexpr size_t maxWaits { 4 };
        auto waits = scheduler.stepWaits(fixture.now(), Milliseconds { 0 }, maxWaits);
        auto wait = std::ranges::find(waits, PlacementDelay::NoWorker, &StepWait::reason);
        CHECK(wait != waits.end());
        return scheduler.refusalsOf(*wait);
    }
};

// Guards against a log that shows processors as free that other best-effort tasks use (issue 45, no_worker).
TEST(TaskWaits, ProcessorsThatBestEffortTasksUseAreNotIdle)
{
    fixture.addWorker(1, { 4000, 125000, 0 });
    CHECK_EQUAL(0, fixture.planStarts().size());
    CHECK_EQUAL(4000, scheduler.idleCpuMillis());
    scheduler.addJob(fixture.job("j", { bestEffort() }), std::nullopt, neverInstant);
    CHECK_EQUAL(1, fixture.planStarts().size());
    CHECK_EQUAL(4000, scheduler.freeCpuMillis());
    CHECK_EQUAL(0, scheduler.idleCpuMillis());
    CHECK((refusalsOf(bestEffort()) == WorkerRefusals { .notIdle = 1 }));
}

TEST(TaskWaits, WorkersWithoutRoomOrLabelAreTold)
{
    fixture.addWorker(1, { 4000, 125000, 0 });
    fixture.addWorker(2, { 500, 125000, 0 });
    auto step = fixture.step(1);
    step.requiredLabel = "missing";
    CHECK((refusalsOf(step) == WorkerRefusals { .noRoom = 1, .noExpectedRoom = 1, .constraint = 1 }));
}

// Guards against a log that does not tell whether a task that lasts could ever fit (LOST, grown Sofia).
TEST(TaskWaits, WorkersWithoutExpectedRoomAreTold)
{
    fixture.addWorker(1, { 4000, 125000, 0 });
    fixture.addWorker(2, { 4000, 125000, 0 });
    StepSpec lasting { .size = { 3000, 1000, 0 }, .longRunning = true };
    scheduler.addJob(fixture.job("lasting", { lasting }), std::nullopt, neverInstant);
    CHECK_EQUAL(1, fixture.planStarts().size());
    auto step = fixture.step(1);
    step.size.cpuMillis = 3000;
    scheduler.addJob(fixture.job("short", { step }), std::nullopt, neverInstant);
    CHECK_EQUAL(1, fixture.planStarts().size());
    step.size.cpuMillis = 2000;
    CHECK((refusalsOf(step) == WorkerRefusals { .noRoom = 2, .noExpectedRoom = 1 }));
}

// Guards against a long-running task that has to run again and that the log leaves out, because others wait longer.
TEST(TaskWaits, EachTaskThatHasToRunAgainIsNamed)
{
    constexpr int jobs { 4 };
    fixture.addWorker(1, { 4000, 125000, 0 });
    for (int i = 0; i < jobs; ++i) {
        StepSpec lasting { .size = { 1000, 1000, 0 }, .longRunning = true };
        scheduler.addJob(fixture.job("lasting" + std::to_string(i), { lasting }), std::nullopt, neverInstant);
    }
    for (const auto& start : fixture.planStarts())
        scheduler.commandAccepted(1, start.task, start.run, fixture.now());
    scheduler.removeWorker(1, WorkerEnd::Left, fixture.now());
    CHECK_EQUAL(0, fixture.planStarts().size());
    CHECK_EQUAL(jobs, scheduler.stepWaits(fixture.now(), Milliseconds { 0 }, 1).size());
}

// Guards against a metric that lacks the wait of a task, or shows it under another reason.
TEST(TaskWaits, OldestWaitOfEachReasonIsKnown)
{
    constexpr Milliseconds wait { 1500 };
    fixture.addWorker(1, { 4000, 125000, 0 });
    auto step = fixture.step(1);
    step.requiredLabel = "missing";
    scheduler.addJob(fixture.job("old", { step }), std::nullopt, neverInstant);
    fixture.planStarts();
    fixture.advance(wait);
    scheduler.addJob(fixture.job("new", { step }), std::nullopt, neverInstant);
    fixture.planStarts();
    auto oldest = scheduler.oldestWaits(fixture.now());
    CHECK_EQUAL(1, oldest.size());
    CHECK_EQUAL(wait.count(), oldest.at(PlacementDelay::NoWorker).count());
}

// Guards against a log of waiting tasks that does not tell causes of crashes from tasks that were lost by chance.
TEST(TaskWaits, CrashesOfAWaitingTaskAreTold)
{
    fixture.addWorker(1, { 4000, 125000, 0 });
    JobProgress stored { .id = "j", .state = JobStage::Running, .done = { "0" } };
    for (uint64_t run = 1; run <= 2; ++run)
        stored.crashedRuns.push_back({ .index = 0, .run = run, .runTimeMs = 160, .confirmed = true });
    stored.crashedRuns.push_back({ .step = 1, .run = 3, .runTimeMs = 160, .confirmed = true });
    auto step = fixture.step(1);
    step.size.cpuMillis = 5000;
    scheduler.addJob(fixture.job("j", { step }), stored, neverInstant);
    fixture.planStarts();
    auto waits = scheduler.stepWaits(fixture.now(), Milliseconds { 0 }, 1);
    CHECK_EQUAL(1, waits.size());
    CHECK(waits[0].reason == PlacementDelay::CrashSuspicion);
    CHECK_EQUAL(2, waits[0].crashedRuns.size());
    CHECK_COMPARE(waits[0].coincidence, <, 1e-3);
}

// Guards against a log in which the longest waits of best-effort tasks hide the waits of all others (LOST, issue 52).
TEST(TaskWaits, LongWaitOfEachKindOfTaskIsTold)
{
    constexpr int bestEffortJobs { 5 };
    constexpr size_t maxWaits { 4 };
    auto tooLarge = [](StepSpec step) {
        step.size.memoryMb = 200000;
        return step;
    };
    fixture.addWorker(1, { 4000, 125000, 0 });
    for (int i = 0; i < bestEffortJobs; ++i) {
        auto id = "best-effort" + std::to_string(i);
        scheduler.addJob(fixture.job(id, { tooLarge(bestEffort()) }), std::nullopt, neverInstant);
    }
    fixture.planStarts();
    fixture.advance(Milliseconds { 100 });
    auto longRunning = tooLarge(fixture.step(1));
    longRunning.longRunning = true;
    scheduler.addJob(fixture.job("long-running", { longRunning }), std::nullopt, neverInstant);
    scheduler.addJob(fixture.job("short", { tooLarge(fixture.step(1)) }), std::nullopt, neverInstant);
    fixture.planStarts();
    auto waits = scheduler.stepWaits(fixture.now(), Milliseconds { 0 }, maxWaits);
    CHECK_EQUAL(maxWaits, waits.size());
    STRCMP_EQUAL("best-effort0", waits[0].job.c_str());
    STRCMP_EQUAL("long-running", waits[1].job.c_str());
    STRCMP_EQUAL("short", waits[2].job.c_str());
    STRCMP_EQUAL("best-effort1", waits[3].job.c_str());
}

// Guards against a log in which longer waits of the same kind hide a long-running task that has to run again (issue
// 55).
TEST(TaskWaits, LongRunningTaskThatLostItsWorkerIsTold)
{
    constexpr int otherJobs { 5 };
    constexpr size_t maxWaits { 2 };
    auto step = fixture.step(1);
    step.longRunning = true;
    fixture.addWorker(1, { 1000, 125000, 0 });
    scheduler.addJob(fixture.job("restarts", { step }), std::nullopt, neverInstant);
    auto start = fixture.planStarts().at(0);
    CHECK_FALSE(start.isRestart);
    scheduler.commandAccepted(1, start.task, start.run, fixture.now());
    for (int i = 0; i < otherJobs; ++i)
        scheduler.addJob(fixture.job("new" + std::to_string(i), { step }), std::nullopt, neverInstant);
    fixture.planStarts();
    fixture.advance(Milliseconds { 100 });
    scheduler.removeWorker(1, WorkerEnd::Left, fixture.now());
    fixture.planStarts();
    auto waits = scheduler.stepWaits(fixture.now(), Milliseconds { 0 }, maxWaits);
    CHECK_EQUAL(maxWaits, waits.size());
    STRCMP_EQUAL("restarts", waits[1].job.c_str());
    CHECK(waits[1].hasRun && waits[1].longRunning);
    CHECK_FALSE(waits[0].hasRun);
}

// Guards against a log that cannot tell room on held workers from room in small pieces, or what is in the way (issue
// 55).
TEST(TaskWaits, RoomOnHeldWorkersAndBehindBestEffortTasksIsTold)
{
    fixture.addWorker(1, { 4000, 125000, 0 });
    fixture.addWorker(2, { 2000, 1000, 0 });
    JobProgress stored { .id = "suspected", .state = JobStage::Running, .done = { "0" } };
    stored.crashedRuns.push_back({ .index = 0, .run = 1, .runTimeMs = 160, .confirmed = true });
    auto suspected = fixture.step(1);
    suspected.size.memoryMb = 2000;
    scheduler.addJob(fixture.job("suspected", { suspected }), stored, neverInstant);
    auto small = bestEffort();
    small.size = { 1000, 1000, 0 };
    scheduler.addJob(fixture.job("best-effort", { small }), std::nullopt, neverInstant);
    fixture.planStarts();
    CHECK((scheduler.workerUse()
        == WorkerUse { .usable = 2, .isolated = 1, .heldFreeMillis = 3000, .largestFreeMillis = 2000 }));
    CHECK((refusalsOf(fixture.step(1)) == WorkerRefusals { .behindBestEffort = 1, .heldByPreference = 1 }));
}

// Guards against starts of long-running tasks of which the log cannot tell how long they waited (issue 55).
TEST(TaskWaits, StartOfALongRunningTaskTellsItsWait)
{
    constexpr Milliseconds wait { 1500 };
    auto step = fixture.step(1);
    step.longRunning = true;
    scheduler.addJob(fixture.job("j", { step }), std::nullopt, neverInstant);
    fixture.planStarts();
    fixture.advance(wait);
    fixture.addWorker(1, { 4000, 125000, 0 });
    auto start = fixture.planStarts().at(0);
    CHECK(start.longRunningWait == wait);
    CHECK_FALSE(start.isRestart);
}
