#include "TaskSchedulerFixture.h"
#include <algorithm>
#include <set>

using namespace Bergamot;

TEST_GROUP(TaskGangs)
{
    TaskSchedulerFixture fixture;
    TaskScheduler& scheduler { fixture.scheduler() };

    static StepSpec gangOf(uint32_t count)
    {
        auto step = TaskSchedulerFixture::step(count);
        step.gang = true;
        return step;
    }

    void addRackWorker(WorkerHandle handle, const std::string& rack, int64_t cpuMillis)
    {
        TaskWorkerView view { .id = "w" + std::to_string(handle), .service = "token", .zone = "a", .rack = rack };
        view.capacity = { cpuMillis, 125000, 0 };
        scheduler.updateWorker(handle, view);
    }

    std::vector<StartTask> startThree()
    {
        for (WorkerHandle handle = 1; handle <= 3; ++handle)
            fixture.addWorker(handle, { 1000, 125000, 0 });
        scheduler.addJob(fixture.job("g", { gangOf(3) }), std::nullopt, neverInstant);
        return fixture.planStarts();
    }
};

// Guards against members that hold workers while other members find no capacity.
TEST(TaskGangs, AllMembersStartOrNone)
{
    fixture.addWorker(1, { 2000, 125000, 0 });
    scheduler.addJob(fixture.job("g", { gangOf(3) }), std::nullopt, neverInstant);
    CHECK_EQUAL(0, fixture.planStarts().size());
    CHECK(scheduler.stateOf("g") == JobStage::Queued);
    fixture.addWorker(2, { 1000, 125000, 0 });
    auto starts = fixture.planStarts();
    CHECK_EQUAL(3, starts.size());
    for (const auto& start : starts)
        CHECK_EQUAL(starts[0].run, start.run);
}

// Guards against resources that stay reserved for members whose starts were reverted.
TEST(TaskGangs, FailedPlacementReservesNothing)
{
    fixture.addWorker(1, { 2000, 125000, 0 });
    scheduler.addJob(fixture.job("g", { gangOf(3) }), std::nullopt, neverInstant);
    CHECK_EQUAL(0, fixture.planStarts().size());
    scheduler.addJob(fixture.job("j", { fixture.step(2) }), std::nullopt, neverInstant);
    CHECK_EQUAL(2, fixture.planStarts().size());
}

// Guards against restarting members that ended together with the reported one.
TEST(TaskGangs, OneReportedEndCompletesAllMembers)
{
    auto starts = startThree();
    fixture.endRun(starts[1], RunOutcome::Done);
    CHECK(scheduler.takeChangedJobs().back().state == JobStage::Completed);
    for (const auto& action : fixture.plan())
        CHECK_FALSE(std::holds_alternative<StartTask>(action));
}

// Guards against members of two attempts that run at the same time, and against counting a failed attempt once per
// member.
TEST(TaskGangs, BrokenGangRestartsAfterAllRunsHaveEnded)
{
    auto starts = startThree();
    fixture.endRun(starts[0], RunOutcome::Failed);
    auto commands = fixture.plan();
    CHECK_EQUAL(
        2, std::ranges::count_if(commands, [](const auto& it) { return std::holds_alternative<StopTask>(it); }));
    CHECK_EQUAL(0, fixture.startsOf(commands).size());
    fixture.endRun(starts[1], RunOutcome::GangBroken);
    CHECK_EQUAL(0, fixture.planStarts().size());
    fixture.endRun(starts[2], RunOutcome::Failed);
    auto again = fixture.planStarts();
    CHECK_EQUAL(3, again.size());
    for (const auto& start : again) {
        CHECK_EQUAL(again[0].run, start.run);
        CHECK(start.run > starts[0].run);
    }
    fixture.endRun(again[2], RunOutcome::Failed);
    CHECK(scheduler.takeChangedJobs().back().state == JobStage::Failed);
}

// Guards against members that restart from different checkpoints.
TEST(TaskGangs, AllMembersRestartFromTheSameCheckpoint)
{
    auto starts = startThree();
    scheduler.runsReported(starts[1].worker,
        { { .task = starts[1].task, .run = starts[1].run, .checkpoint = "c1", .progressPercent = 40 } },
        RunEndCoverage::All, fixture.now(), fixture.now());
    for (const auto& start : starts)
        fixture.endRun(start, RunOutcome::GangBroken);
    auto again = fixture.planStarts();
    CHECK_EQUAL(3, again.size());
    for (const auto& start : again)
        STRCMP_EQUAL("c1", start.checkpoint.c_str());
}

// Guards against spreading a gang over several racks although one rack has capacity for it.
TEST(TaskGangs, OneRackIsUsedWhenItHasCapacity)
{
    for (WorkerHandle handle = 1; handle <= 4; ++handle)
        addRackWorker(handle, handle % 2 == 0 ? "r2" : "r1", handle % 2 == 0 ? 2000 : 1000);
    auto step = gangOf(3);
    step.prefersSameRack = true;
    scheduler.addJob(fixture.job("g", { step }), std::nullopt, neverInstant);
    auto starts = fixture.planStarts();
    CHECK_EQUAL(3, starts.size());
    for (const auto& start : starts)
        CHECK_EQUAL(0, start.worker % 2);
}

// Guards against a task that has to wait for the next plan, since a gang that did not start took its room in this one.
TEST(TaskGangs, RoomOfAGangThatDoesNotStartIsFreeInTheSamePlan)
{
    for (bool bestEffort : { false, true }) {
        TaskSchedulerFixture local;
        local.addWorker(1, { 2000, 125000, 0 });
        auto gang = gangOf(3);
        auto single = TaskSchedulerFixture::step(2);
        gang.bestEffort = bestEffort;
        single.bestEffort = bestEffort;
        local.scheduler().addJob(local.job("g", { gang }), std::nullopt, neverInstant);
        local.scheduler().addJob(local.job("s", { single }, "batch"), std::nullopt, neverInstant);
        auto starts = local.planStarts();
        CHECK_EQUAL(2, starts.size());
        for (const auto& start : starts)
            STRCMP_EQUAL("s", start.task.job.c_str());
    }
}

// Guards against a gang that waits indefinitely for a rack that is large enough.
TEST(TaskGangs, GangIsSpreadWhenNoRackHasCapacity)
{
    for (WorkerHandle handle = 1; handle <= 4; ++handle)
        addRackWorker(handle, handle % 2 == 0 ? "r2" : "r1", 1000);
    auto step = gangOf(3);
    step.prefersSameRack = true;
    scheduler.addJob(fixture.job("g", { step }), std::nullopt, neverInstant);
    CHECK_EQUAL(3, fixture.planStarts().size());
}

// Guards against a new leader that starts some members while others still run for an earlier leader.
TEST(TaskGangs, NewLeaderWaitsForRunningMembers)
{
    for (WorkerHandle handle = 1; handle <= 3; ++handle)
        fixture.addWorker(handle, { 1000, 125000, 0 });
    scheduler.addJob(fixture.job("g", { gangOf(2) }), std::nullopt, Instant::max());
    RunReport report { .task = { "g", 0, 0, 0 }, .run = 5, .progressPercent = 10 };
    scheduler.runsReported(1, { report }, RunEndCoverage::All, fixture.now(), fixture.now());
    scheduler.unblockTasks();
    CHECK_EQUAL(0, fixture.planStarts().size());
    scheduler.runEnded(
        1, { .sequence = 1, .task = report.task, .run = 5, .outcome = RunOutcome::GangIncomplete }, fixture.now());
    CHECK_EQUAL(2, fixture.planStarts().size());
}

// Guards against a long wait of a gang that the log doesn't explain.
TEST(TaskGangs, ReasonForTheWaitOfAGangIsReported)
{
    auto reasonAfter = [&](Milliseconds time) {
        fixture.planStarts();
        fixture.advance(time);
        fixture.planStarts();
        auto waits = scheduler.stepWaits(fixture.now(), time, 1);
        return waits.empty() ? PlacementDelay::None : waits[0].reason;
    };
    constexpr Milliseconds longWait { 3000 };
    auto blockedUntil = fixture.now() + 2 * longWait;
    scheduler.addJob(fixture.job("g", { gangOf(3) }), std::nullopt, blockedUntil);
    CHECK(reasonAfter(longWait) == PlacementDelay::EarlierLeader);
    fixture.advance(longWait);
    CHECK(reasonAfter(longWait) == PlacementDelay::NoWorker);
}
