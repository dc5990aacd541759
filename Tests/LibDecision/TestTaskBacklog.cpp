#include "TaskSchedulerFixture.h"
#include <CppUTest/TestHarness.h>
#include <LibDecision/TaskScheduler.h>
#include <map>
#include <string>
#include <utility>
#include <vector>

using namespace Bergamot;

/// Four tasks of a best-effort step can run at a time. Each runs for a second, as estimated.
TEST_GROUP(TaskBacklog)
{
    TaskSchedulerFixture fixture;
    TaskScheduler& scheduler { fixture.scheduler() };
    std::map<TaskRef, std::pair<StartTask, Instant>> runs;
    size_t jobs { 0 };

    void setup() override { fixture.addWorker(1, { 4000, 125000, 0 }); }

    static StepSpec bestEffortStep(uint32_t count, std::string image, std::vector<uint32_t> dependsOn = {})
    {
        auto step = TaskSchedulerFixture::step(count, std::move(dependsOn));
        step.bestEffort = true;
        step.image = std::move(image);
        return step;
    }

    JobId add(std::vector<StepSpec> steps)
    {
        auto id = "job" + std::to_string(++jobs);
        scheduler.addJob(fixture.job(id, std::move(steps)), std::nullopt, neverInstant);
        return id;
    }

    void pass(Milliseconds time)
    {
        constexpr Milliseconds step { 100 };
        constexpr Milliseconds runTime { 1000 };
        for (auto end = fixture.now() + time; fixture.now() < end;) {
            for (const auto& start : fixture.planStarts()) {
                scheduler.commandAccepted(start.worker, start.task, start.run, fixture.now());
                runs[start.task] = { start, fixture.now() };
            }
            fixture.advance(step);
            std::vector<RunReport> reports;
            for (const auto& [task, run] : std::map(runs)) {
                if (fixture.now() - run.second < runTime) {
                    reports.push_back({ .task = task, .run = run.first.run, .progressPercent = 1 });
                    continue;
                }
                fixture.endRun(run.first, RunOutcome::Done);
                runs.erase(task);
            }
            scheduler.runsReported(1, reports, RunEndCoverage::All, fixture.now(), fixture.now());
        }
    }

    int64_t waitOf(const std::string& image) const
    {
        for (const auto& wait : scheduler.expectedWaits()) {
            if (wait.image == image && wait.service == "token")
                return wait.waitMs;
        }
        return 0;
    }
};

// Guards against refusing jobs after a burst that an idle service serves at once, or within a second.
TEST(TaskBacklog, BurstOntoAnIdleServiceHasNoExpectedWait)
{
    add({ bestEffortStep(8, "i") });
    for (int i = 0; i < 30; ++i) {
        pass(Milliseconds { 100 });
        CHECK(scheduler.expectedWaits().empty());
    }
    CHECK(runs.empty());
}

// Guards against accepting jobs behind a backlog that takes a minute (issue 67), and against refusing them after it.
TEST(TaskBacklog, ExpectedWaitFollowsTheBacklog)
{
    add({ bestEffortStep(240, "i") });
    pass(Milliseconds { 10000 });
    CHECK(waitOf("i") > 18000 && waitOf("i") <= 20000);
    pass(Milliseconds { 20000 });
    CHECK(waitOf("i") > 25000 && waitOf("i") < 37000);
    pass(Milliseconds { 10000 });
    CHECK(waitOf("i") > 15000 && waitOf("i") < 25000);
    pass(Milliseconds { 35000 });
    CHECK(scheduler.expectedWaits().empty());
}

// Guards against an estimate without the work that the waiting jobs still bring.
TEST(TaskBacklog, LaterStepsOfWaitingJobsCount)
{
    add({ bestEffortStep(40, "i"), bestEffortStep(40, "i", { 0 }), TaskSchedulerFixture::step(9, { 1 }) });
    pass(Milliseconds { 8000 });
    auto wait = waitOf("i");
    CHECK(wait > 10000 && wait < 14500);
}

// Guards against an estimate without the occurrences that are due and not held in memory yet.
TEST(TaskBacklog, DeferredOccurrencesCount)
{
    fixture.addWorker(1, { 400'000, 1'000'000, 0 });
    auto job = fixture.job("repeating", { bestEffortStep(1, "i") });
    job.repeats = 24'000;
    scheduler.addJob(job, std::nullopt, neverInstant);
    pass(Milliseconds { 10000 });
    CHECK(scheduler.deferredOccurrences() > 10'000);
    CHECK(waitOf("i") > 15000);
}

// Guards against refusing jobs for the waits of other tasks, which have processors of their own.
TEST(TaskBacklog, OnlyBestEffortTasksHaveExpectedWaits)
{
    add({ TaskSchedulerFixture::step(80) });
    pass(Milliseconds { 10000 });
    CHECK(scheduler.totals().waitingTasks > 0);
    CHECK(scheduler.expectedWaits().empty());
}

// Guards against refusing jobs because earlier ones wait for something else than capacity, as after a change of leader.
TEST(TaskBacklog, TasksThatAwaitAnEarlierLeaderAreNoBacklog)
{
    scheduler.addJob(
        fixture.job("held", { bestEffortStep(4, "i") }), std::nullopt, fixture.now() + Milliseconds { 9000 });
    pass(Milliseconds { 6000 });
    CHECK_EQUAL(4, scheduler.totals().waitingTasks);
    CHECK(scheduler.expectedWaits().empty());
}

// Guards against an expected wait of jobs that were cancelled.
TEST(TaskBacklog, CancelledJobsAreNoBacklog)
{
    auto id = add({ bestEffortStep(240, "i") });
    pass(Milliseconds { 5000 });
    CHECK(waitOf("i") > 0);
    scheduler.cancelJob(id);
    pass(Milliseconds { 100 });
    CHECK(scheduler.expectedWaits().empty());
}
