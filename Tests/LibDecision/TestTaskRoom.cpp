#include "TaskSchedulerFixture.h"
#include <algorithm>

using namespace Bergamot;

TEST_GROUP(TaskRoom)
{
    TaskSchedulerFixture fixture;
    TaskScheduler& scheduler { fixture.scheduler() };

    /// A step of one task with this size.
    static StepSpec taskOf(Resources size)
    {
        auto step = TaskSchedulerFixture::step(1);
        step.size = size;
        return step;
    }

    void addJob(const std::string& id, const StepSpec& step)
    {
        scheduler.addJob(fixture.job(id, { step }), std::nullopt, neverInstant);
    }

    void report(WorkerHandle worker, const std::vector<RunReport>& runs)
    {
        scheduler.runsReported(worker, runs, RunEndCoverage::All, fixture.now(), fixture.now());
        fixture.advance(Milliseconds { 100 });
    }

    static RunReport listed(const StartTask& start) { return { .task = start.task, .run = start.run }; }

    /// Starts the first task of a new job, which the worker accepts.
    StartTask startJob(const std::string& id, const StepSpec& step)
    {
        addJob(id, step);
        auto starts = fixture.planStarts();
        CHECK_EQUAL(1, starts.size());
        scheduler.commandAccepted(starts[0].worker, starts[0].task, starts[0].run, fixture.now());
        fixture.advance(Milliseconds { 100 });
        return starts[0];
    }
};

// Guards against starts on a worker whose capacity has shrunk below what they need (LIMIT), also below what runs there,
// and against runs that are stopped because of it.
TEST(TaskRoom, NothingStartsBeyondAShrunkCapacity)
{
    const Resources full { 4000, 4000, 2 };
    for (const auto& shrunk : { Resources { 1500, 4000, 2 }, Resources { 4000, 1500, 2 }, Resources { 4000, 4000, 1 },
             Resources { 500, 4000, 2 }, Resources { 4000, 500, 2 }, Resources { 0, 0, 0 } }) {
        TaskSchedulerFixture local;
        local.addWorker(1, full);
        local.scheduler().addJob(local.job("a", { taskOf({ 1000, 1000, 1 }) }), std::nullopt, neverInstant);
        CHECK_EQUAL(1, local.planStarts().size());
        local.addWorker(1, shrunk);
        local.scheduler().addJob(local.job("b", { taskOf({ 1000, 1000, 1 }) }), std::nullopt, neverInstant);
        CHECK(local.plan().empty());
        local.addWorker(1, full);
        CHECK_EQUAL(1, local.planStarts().size());
    }
}

// Guards against best-effort tasks whose memory does not fit in a shrunk capacity; their processors need not.
TEST(TaskRoom, MemoryOfBestEffortTasksCounts)
{
    auto bestEffort = taskOf({ 3000, 1000, 0 });
    bestEffort.bestEffort = true;
    auto serving = taskOf({ 4000, 1000, 0 });
    serving.longRunning = true;
    fixture.addWorker(1, { 5000, 4000, 0 });
    startJob("serving", serving);
    fixture.addWorker(1, { 5000, 1500, 0 });
    addJob("b", bestEffort);
    CHECK(fixture.plan().empty());
    fixture.addWorker(1, { 5000, 2000, 0 });
    CHECK_EQUAL(1, fixture.planStarts().size());
}

// Guards against a gang of which one member does not fit in a shrunk capacity.
TEST(TaskRoom, GangWaitsForAShrunkCapacity)
{
    auto gang = fixture.step(2);
    gang.gang = true;
    fixture.addWorker(1, { 1000, 4000, 0 });
    fixture.addWorker(2, { 1000, 4000, 0 });
    fixture.addWorker(2, { 1000, 500, 0 });
    addJob("g", gang);
    CHECK(fixture.plan().empty());
    fixture.addWorker(2, { 1000, 1000, 0 });
    CHECK_EQUAL(2, fixture.planStarts().size());
}

// Guards against a start in the place of a run that is being stopped and has not ended yet (LIMIT).
TEST(TaskRoom, StoppedRunCountsUntilItsEndIsListed)
{
    fixture.addWorker(1, { 1000, 4000, 0 });
    auto first = startJob("a", fixture.step(1));
    scheduler.cancelJob("a");
    addJob("b", fixture.step(1));
    CHECK_EQUAL(0, fixture.planStarts().size());
    scheduler.commandAccepted(1, first.task, first.run, fixture.now());
    fixture.advance(Milliseconds { 100 });
    report(1, { listed(first) });
    CHECK_EQUAL(0, fixture.planStarts().size());
    fixture.endRun(first, RunOutcome::Stopped);
    CHECK_EQUAL(1, fixture.planStarts().size());
}

// Guards against a new leader that starts tasks beside runs of an earlier leader which it has not counted (LIMIT).
TEST(TaskRoom, AdoptedRunsCount)
{
    fixture.addWorker(1, { 1000, 4000, 0 });
    scheduler.addJob(fixture.job("a", { fixture.step(1) }), std::nullopt, Instant::max());
    report(1, { { .task = { "a", 0, 0, 0 }, .run = 7 } });
    addJob("b", fixture.step(1));
    CHECK_EQUAL(0, fixture.planStarts().size());
}

// Guards against a start in the place of a listed run that the scheduler only stops and does not adopt (LIMIT): the
// second run of a task, a run of a task that is done, and a run of an ended job.
TEST(TaskRoom, ListedRunThatIsOnlyStoppedCounts)
{
    fixture.addWorker(1, { 1000, 4000, 0 });
    fixture.addWorker(2, { 1000, 4000, 0 });
    auto step = fixture.step(1);
    step.requiredLabel = "none";
    for (bool isCancelled : { false, true }) {
        auto id = isCancelled ? "ended" : "a";
        addJob(id, step);
        if (isCancelled)
            scheduler.cancelJob(id);
        report(1, { { .task = { id, 0, 0, 0 }, .run = 8 } });
        report(2, { { .task = { id, 0, 0, 0 }, .run = 7 } });
        auto waiting = std::string("waits-") + id;
        addJob(waiting, fixture.step(1));
        CHECK_EQUAL(0, fixture.planStarts().size());
        report(2, {});
        auto starts = fixture.planStarts();
        CHECK_EQUAL(1, starts.size());
        CHECK_EQUAL(2, starts[0].worker);
        fixture.endRun(starts[0], RunOutcome::Done);
        report(1, {});
    }
}

// Guards against a start beside a run of a job that this leader has not read: its size is unknown (LIMIT).
TEST(TaskRoom, NothingStartsBesideARunOfUnknownSize)
{
    fixture.addWorker(1);
    report(1, { { .task = { "unknown", 0, 0, 0 }, .run = 7 } });
    addJob("b", fixture.step(1));
    CHECK_EQUAL(0, fixture.planStarts().size());
    report(1, {});
    CHECK_EQUAL(1, fixture.planStarts().size());
}

// Guards against room of other workers that is hidden by an over-full worker of the rack: the gang was spread over
// several racks, where it runs slower.
TEST(TaskRoom, OverFullWorkerHidesNoRoomOfItsRack)
{
    auto addRackWorker = [&](WorkerHandle handle, const std::string& rack, int64_t cpuMillis) {
        scheduler.updateWorker(handle,
            { .id = "w" + std::to_string(handle),
                .service = "token",
                .rack = rack,
                .capacity = { cpuMillis, 9000, 0 } });
    };
    addRackWorker(1, "r1", 2000);
    startJob("a", taskOf({ 2000, 1000, 0 }));
    addRackWorker(1, "r1", 0);
    addRackWorker(3, "r2", 2000);
    startJob("b", fixture.step(1));
    addRackWorker(2, "r1", 2000);
    auto gang = fixture.step(2);
    gang.gang = true;
    gang.prefersSameRack = true;
    addJob("g", gang);
    auto starts = fixture.planStarts();
    CHECK_EQUAL(2, starts.size());
    CHECK(std::ranges::all_of(starts, [](const StartTask& it) { return it.worker == 2; }));
}

// Guards against tasks that last and wait for headroom although there is enough, because an over-full worker was
// counted with less than no free processors.
TEST(TaskRoom, OverFullWorkerHidesNoFreeProcessors)
{
    fixture.addWorker(1, { 2000, 4000, 0 });
    startJob("a", taskOf({ 2000, 1000, 0 }));
    fixture.addWorker(1, { 0, 0, 0 });
    fixture.addWorker(2, { 1000, 4000, 0 });
    CHECK(fixture.plan().empty());
    CHECK_EQUAL(1000, scheduler.freeCpuMillis());
}
