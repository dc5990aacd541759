#include "TaskSchedulerFixture.h"
#include <LibDecision/RunSpeed.h>
#include <algorithm>
#include <map>

using namespace Bergamot;

/// Two tasks of a step run on two workers, of which worker 2 turns slow.
TEST_GROUP(TaskSpeed)
{
    TaskSchedulerFixture fixture;
    TaskScheduler& scheduler { fixture.scheduler() };
    std::map<WorkerHandle, StartTask> runs;

    void startTwo(StepSpec step)
    {
        for (WorkerHandle handle = 1; handle <= 3; ++handle)
            fixture.addWorker(handle, { 1000, 125000, 0 });
        step.maxPerWorker = 1;
        scheduler.addJob(fixture.job("j", { std::move(step) }), std::nullopt, neverInstant);
        for (const auto& start : fixture.planStarts()) {
            runs[start.worker] = start;
            scheduler.commandAccepted(start.worker, start.task, start.run, fixture.now());
        }
    }

    void report(WorkerHandle worker, uint32_t progressPercent, int64_t figure = 1000)
    {
        const auto& run = runs.at(worker);
        scheduler.runsReported(worker,
            { { .task = run.task, .run = run.run, .progressPercent = progressPercent, .recentMeasurement = figure } },
            fixture.now(), fixture.now());
    }

    template <typename Order> std::vector<Order> ordersOf(const std::vector<TaskAction>& actions) const
    {
        std::vector<Order> orders;
        for (const auto& action : actions) {
            if (const auto* order = std::get_if<Order>(&action))
                orders.push_back(*order);
        }
        return orders;
    }

    /// The run on the first worker ends after a second; the one on the other has come to `progressPercent` after 1.5 s.
    std::vector<TaskAction> playSlowWorker(WorkerHandle slow, uint32_t progressPercent, int64_t figure = 1000)
    {
        for (int i = 0; i < 2; ++i) {
            fixture.pass(Milliseconds { 500 });
            report(slow, progressPercent * (i + 1) / 3, figure);
        }
        for (const auto& [worker, run] : runs) {
            if (worker != slow)
                fixture.end(run, RunOutcome::Done);
        }
        fixture.pass(Milliseconds { 500 });
        report(slow, progressPercent, figure);
        return fixture.plan();
    }
};

// Guards against a quick task that stays on a slow worker although its step allows a copy elsewhere.
TEST(TaskSpeed, LaggingTaskOfASpeculativeStepGetsACopy)
{
    auto step = fixture.step(2);
    step.speculative = true;
    startTwo(step);
    CHECK_EQUAL(2, runs.size());
    auto slow = runs.rbegin()->first;
    auto orders = playSlowWorker(slow, 20);
    auto copies = ordersOf<StartTask>(orders);
    CHECK_EQUAL(1, copies.size());
    CHECK(copies[0].task == runs.at(slow).task);
    CHECK(copies[0].worker != slow);
    CHECK(copies[0].run > runs.at(slow).run);
    CHECK_EQUAL(0, ordersOf<StopTask>(orders).size());
    fixture.end(copies[0], RunOutcome::Done);
    CHECK(scheduler.takeChangedJobs().back().state == JobStage::Completed);
    CHECK_EQUAL(1, ordersOf<StopTask>(fixture.plan()).size());
}

// Guards against tasks that wait while there is room for them, because a copy that needs another worker found none.
TEST(TaskSpeed, CopyWithoutAnotherWorkerKeepsOutNoOther)
{
    fixture.addWorker(1, { 4000, 125000, 0 });
    auto step = fixture.step(2);
    step.speculative = true;
    scheduler.addJob(fixture.job("j", { step }), std::nullopt, neverInstant);
    auto starts = fixture.planStarts();
    CHECK_EQUAL(2, starts.size());
    for (const auto& start : starts)
        scheduler.commandAccepted(1, start.task, start.run, fixture.now());
    fixture.pass(Milliseconds { 1000 });
    fixture.end(starts[0], RunOutcome::Done);
    fixture.pass(Milliseconds { 500 });
    scheduler.runsReported(
        1, { { .task = starts[1].task, .run = starts[1].run, .progressPercent = 20 } }, fixture.now(), fixture.now());
    auto larger = fixture.step(1);
    larger.size.cpuMillis = 1500;
    scheduler.addJob(fixture.job("larger", { larger }), std::nullopt, neverInstant);
    CHECK_EQUAL(1, fixture.planStarts().size());
    fixture.addWorker(2);
    auto copies = fixture.planStarts();
    CHECK_EQUAL(1, copies.size());
    CHECK(copies[0].task == starts[1].task);
}

// Guards against two runs of a task that may not run twice: the lagging one has to end first.
TEST(TaskSpeed, LaggingTaskIsStoppedBeforeItStartsElsewhere)
{
    startTwo(fixture.step(2));
    auto slow = runs.rbegin()->first;
    auto orders = playSlowWorker(slow, 10);
    CHECK_EQUAL(1, ordersOf<StopTask>(orders).size());
    CHECK_EQUAL(0, ordersOf<StartTask>(orders).size());
    fixture.end(runs.at(slow), RunOutcome::Stopped);
    auto starts = fixture.planStarts();
    CHECK_EQUAL(1, starts.size());
    CHECK(starts[0].worker != slow);
}

// Guards against stopping work that is only a little larger than that of its siblings.
TEST(TaskSpeed, UnevenTasksGoOn)
{
    auto step = fixture.step(2);
    step.speculative = true;
    startTwo(step);
    auto orders = playSlowWorker(runs.rbegin()->first, 75);
    CHECK_EQUAL(0, orders.size());
}

// Guards against taking a filling task for slow that gets few processors because others need them.
TEST(TaskSpeed, FillingTaskIsJudgedByTheProcessorsThatItGets)
{
    auto step = fixture.step(2);
    step.bestEffort = true;
    step.checkpointing = true;
    startTwo(step);
    auto starved = runs.rbegin()->first;
    for (const auto& [worker, run] : runs)
        report(worker, 0);
    CHECK_EQUAL(0, playSlowWorker(starved, 20, 200).size());
}

// Guards against a filling task that stays on a worker that gives it processors but makes no headway.
TEST(TaskSpeed, LaggingFillingTaskMoves)
{
    auto step = fixture.step(2);
    step.bestEffort = true;
    step.checkpointing = true;
    startTwo(step);
    auto slow = runs.rbegin()->first;
    for (const auto& [worker, run] : runs)
        report(worker, 0);
    auto orders = playSlowWorker(slow, 10);
    CHECK_EQUAL(1, ordersOf<StopTask>(orders).size());
}

// Guards against verdicts from a report that is too young, and against dividing by no progress.
TEST(TaskSpeed, RemainingTimeFollowsProgress)
{
    CHECK_FALSE(RunSpeed::remaining(Milliseconds { 300 }, 5).has_value());
    CHECK_EQUAL(3000, RunSpeed::remaining(Milliseconds { 1000 }, 25)->count());
    CHECK(*RunSpeed::remaining(Milliseconds { 1000 }, 0) > Milliseconds { 30000 });
    CHECK_EQUAL(0, RunSpeed::remaining(Milliseconds { 1000 }, 100)->count());
}

// Guards against trusting an estimate when siblings have shown the run time.
TEST(TaskSpeed, EndedSiblingsReplaceTheEstimate)
{
    RunSpeed speed;
    CHECK_EQUAL(2000, speed.expected(Milliseconds { 1000 }).count());
    speed.record(Milliseconds { 400 });
    speed.record(Milliseconds { 600 });
    CHECK_EQUAL(500, speed.expected(Milliseconds { 1000 }).count());
}
