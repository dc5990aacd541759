#include "TaskSchedulerFixture.h"
#include <map>
#include <string>
#include <utility>
#include <vector>

using namespace Bergamot;

// Suspected tasks start within a bounded time, whatever becomes of other suspected tasks and of their own records.
TEST_GROUP(TaskIsolation)
{
    TaskSchedulerFixture fixture;
    TaskScheduler& scheduler { fixture.scheduler() };

    /// The latest start of each job, in run().
    std::map<JobId, StartTask> started;

    void storeProgress()
    {
        for (const auto& progress : scheduler.takeChangedJobs())
            scheduler.progressStored(progress);
    }

    /// Adds a job whose first task has crashed two workers directly after its start, so that it has to run isolated.
    void addSuspectedJob(const std::string& id, StepSpec step, const std::string& queue = "quick")
    {
        JobProgress stored { .id = id, .state = JobStage::Running, .done = { std::string(step.count, '0') } };
        stored.crashedRuns = { { .run = 1, .worker = "w7", .workerStartedAtMs = 7, .confirmed = true },
            { .run = 2, .worker = "w8", .workerStartedAtMs = 8, .confirmed = true } };
        scheduler.addJob(fixture.job(id, { std::move(step) }, queue), stored, neverInstant);
    }

    /// Plans for the time and returns the number of starts of each job.
    std::map<JobId, size_t> run(Milliseconds time)
    {
        constexpr Milliseconds planInterval { 100 };
        std::map<JobId, size_t> starts;
        for (Milliseconds passed { 0 }; passed < time; passed += planInterval) {
            storeProgress();
            for (const auto& start : fixture.planStarts()) {
                ++starts[start.task.job];
                started.insert_or_assign(start.task.job, start);
                scheduler.commandAccepted(start.worker, start.task, start.run, fixture.now());
            }
            fixture.advance(planInterval);
        }
        return starts;
    }
};

// Guards against suspected tasks that no worker can take and that use up the searches of each plan, so that those
// behind them never start.
TEST(TaskIsolation, SuspectedTasksWithoutAWorkerDoNotKeepOthersFromStarting)
{
    for (WorkerHandle handle = 1; handle <= 4; ++handle)
        fixture.addWorker(handle);
    for (int i = 0; i < 6; ++i) {
        auto step = fixture.step(2);
        step.requiredLabel = "missing";
        step.estimateMs = 10;
        addSuspectedJob("unplaceable" + std::to_string(i), step);
    }
    addSuspectedJob("j", fixture.step(1));
    CHECK_EQUAL(1, run(Milliseconds { 1000 })["j"]);
}

// Guards against a copy that waits for its record for ever, because the other run of its task cleared the task before
// the record was stored: when that run was lost, the task never ran again.
TEST(TaskIsolation, CopyWhoseRecordWasClearedStarts)
{
    for (WorkerHandle handle = 1; handle <= 4; ++handle)
        fixture.addWorker(handle, { 1000, 125000, 0 });
    auto step = fixture.step(2);
    step.speculative = true;
    step.estimateMs = 100;
    scheduler.addJob(fixture.job("j", { step }), std::nullopt, neverInstant);
    auto starts = fixture.planStarts();
    CHECK_EQUAL(2, starts.size());
    const auto& slow = starts[0];
    auto report = [&](uint32_t progressPercent) {
        fixture.advance(Milliseconds { 400 });
        scheduler.runsReported(slow.worker,
            { { .task = slow.task, .run = slow.run, .progressPercent = progressPercent, .recentMeasurement = 1000 } },
            RunEndCoverage::All, fixture.now(), fixture.now());
    };
    for (const auto& start : starts)
        scheduler.commandAccepted(start.worker, start.task, start.run, fixture.now());
    report(1);
    fixture.endRun(starts[1], RunOutcome::Done);
    report(2);
    scheduler.suspectCrash(slow.worker, fixture.now());
    storeProgress();
    CHECK_EQUAL(0, fixture.planStarts().size());
    CHECK_EQUAL(2, scheduler.totals().activeRuns);
    for (uint32_t progressPercent = 3; progressPercent < 9; ++progressPercent)
        report(progressPercent);
    scheduler.markRunsLost(slow.worker, fixture.now());
    storeProgress();
    CHECK_EQUAL(1, fixture.planStarts().size());
}

// Guards against a gang that crashes its workers for ever: the members that were left cleared it while the crash of
// another member's worker was not known yet.
TEST(TaskIsolation, GangWithoutOneOfItsMembersIsNotCleared)
{
    constexpr Milliseconds restartTime { 3000 };
    constexpr Milliseconds reportInterval { 500 };
    for (WorkerHandle handle = 1; handle <= 3; ++handle)
        fixture.addWorker(handle);
    auto step = fixture.step(3);
    step.gang = true;
    step.maxPerWorker = 1;
    scheduler.addJob(fixture.job("g", { step }), std::nullopt, neverInstant);
    auto starts = fixture.planStarts();
    CHECK_EQUAL(3, starts.size());
    for (const auto& start : starts)
        scheduler.commandAccepted(start.worker, start.task, start.run, fixture.now());
    fixture.advance(Milliseconds { 100 });
    scheduler.setReachable(starts[0].worker, false, fixture.now());
    scheduler.suspectCrash(starts[0].worker, fixture.now());
    for (Milliseconds passed { 0 }; passed < restartTime; passed += reportInterval) {
        fixture.advance(reportInterval);
        for (const auto& start : { starts[1], starts[2] })
            scheduler.runsReported(start.worker, { { .task = start.task, .run = start.run } }, RunEndCoverage::All,
                fixture.now(), fixture.now());
    }
    CHECK_EQUAL(1, scheduler.timelineOf("g")->crashedRuns.size());
}

// Guards against a long wait that the log doesn't explain because the task has a run that was never sent.
TEST(TaskIsolation, WaitForTheRecordOfAStartIsReported)
{
    fixture.addWorker(1);
    addSuspectedJob("j", fixture.step(1));
    CHECK_EQUAL(0, fixture.planStarts().size());
    CHECK_EQUAL(1, scheduler.totals().activeRuns);
    fixture.advance(Milliseconds { 3000 });
    CHECK_EQUAL(0, fixture.planStarts().size());
    auto waits = scheduler.stepWaits(fixture.now(), Milliseconds { 3000 }, 4);
    CHECK_EQUAL(1, waits.size());
    CHECK(waits[0].reason == PlacementDelay::UnlistedRun);
    CHECK(waits[0].suspectDelay == SuspectDelay::RecordsNotStored);
    CHECK_EQUAL(3000, waits[0].longestWait.count());
}

// Guards against a long wait of a suspected task of which the log doesn't tell what holds it back.
TEST(TaskIsolation, ReasonForTheWaitOfASuspectedTaskIsReported)
{
    for (WorkerHandle handle = 1; handle <= 4; ++handle)
        fixture.addWorker(handle, { 1000, 125000, 0 });
    auto delayOf = [&](const JobId& job) {
        for (const auto& wait : scheduler.stepWaits(fixture.now(), Milliseconds { 3000 }, 4)) {
            if (wait.job == job && wait.reason == PlacementDelay::CrashSuspicion)
                return wait.suspectDelay;
        }
        return SuspectDelay::None;
    };
    addSuspectedJob("large", { .size = { 2000, 1000, 0 }, .estimateMs = 1000 });
    run(Milliseconds { 3100 });
    CHECK(delayOf("large") == SuspectDelay::NoWorker);
    for (const auto* id : { "first", "second", "third" })
        addSuspectedJob(id, fixture.step(1));
    run(Milliseconds { 3100 });
    CHECK_EQUAL(2, scheduler.totals().activeRuns);
    CHECK(delayOf("third") == SuspectDelay::NoIsolationSlot);
}

// Guards against a gang that never runs isolated on busy workers, because one worker only is held for all of its
// members.
TEST(TaskIsolation, GangStartsIsolatedOnBusyWorkers)
{
    constexpr WorkerHandle workers { 3 };
    constexpr int rounds { 40 };
    constexpr Milliseconds roundTime { 500 };
    for (WorkerHandle handle = 1; handle <= workers; ++handle) {
        TaskWorkerView view { .id = "w" + std::to_string(handle), .service = "token", .zone = "a" };
        view.labels = { view.id };
        view.capacity = { 4000, 125000, 0 };
        scheduler.updateWorker(handle, view);
    }
    auto gang = fixture.step(3);
    gang.gang = true;
    gang.size.cpuMillis = 3000;
    size_t gangStarts = 0;
    std::vector<StartTask> active;
    for (int i = 0; i < rounds && gangStarts == 0; ++i) {
        if (i == 1)
            addSuspectedJob("g", gang);
        // Each worker gets a task of its own in each round, which ends in the next one.
        for (WorkerHandle handle = 1; handle <= workers; ++handle) {
            auto step = fixture.step(1);
            step.requiredLabel = "w" + std::to_string(handle);
            scheduler.addJob(fixture.job(std::to_string(i) + step.requiredLabel, { step }), std::nullopt, neverInstant);
        }
        storeProgress();
        auto ended = std::exchange(active, fixture.planStarts());
        for (const auto& start : active) {
            gangStarts += start.task.job == "g" ? 1 : 0;
            scheduler.commandAccepted(start.worker, start.task, start.run, fixture.now());
        }
        for (const auto& start : ended)
            fixture.endRun(start, RunOutcome::Done);
        fixture.advance(roundTime);
    }
    CHECK_EQUAL(3, gangStarts);
}

// Guards against a queue of suspected tasks that grows without bound while nearly all isolated runs are harmless: the
// number of isolated runs was fixed, although workers crashed for other reasons than their tasks.
TEST(TaskIsolation, HarmlessSuspectsDoNotWaitForEachOther)
{
    constexpr WorkerHandle workers { 48 };
    constexpr int rounds { 60 };
    constexpr int roundsPerRun { 4 };
    constexpr int settledAfter { 20 };
    constexpr Milliseconds roundTime { 500 };
    constexpr Milliseconds maxWait { 3000 };
    for (WorkerHandle handle = 1; handle <= workers; ++handle)
        fixture.addWorker(handle);
    std::vector<std::vector<StartTask>> started;
    for (int i = 0; i < rounds; ++i) {
        for (const auto* half : { "a", "b" })
            addSuspectedJob(half + std::to_string(i), fixture.step(1));
        storeProgress();
        fixture.planStarts();
        storeProgress();
        started.push_back(fixture.planStarts());
        for (const auto& start : started.back())
            scheduler.commandAccepted(start.worker, start.task, start.run, fixture.now());
        if (i >= roundsPerRun) {
            for (const auto& start : started[i - roundsPerRun])
                fixture.endRun(start, RunOutcome::Done);
        }
        if (i >= settledAfter)
            CHECK_EQUAL(0, scheduler.stepWaits(fixture.now(), maxWait, 1).size());
        fixture.advance(roundTime);
    }
}

// Guards against suspected tasks that start one after the other on busy workers, because all of them wait for the same
// worker to become free of young runs.
TEST(TaskIsolation, EachSuspectOnBusyWorkersHasAWorkerHeld)
{
    constexpr WorkerHandle workers { 24 };
    constexpr int rounds { 11 };
    constexpr int roundsPerRun { 4 };
    constexpr int firstSuspectedRound { 4 };
    constexpr Milliseconds roundTime { 500 };
    for (WorkerHandle handle = 1; handle <= workers; ++handle) {
        TaskWorkerView view { .id = "w" + std::to_string(handle), .service = "token", .zone = "a" };
        view.labels = { view.id };
        view.capacity = { 8000, 125000, 0 };
        scheduler.updateWorker(handle, view);
    }
    size_t suspectedStarts = 0;
    std::vector<std::vector<StartTask>> started;
    for (int i = 0; i < rounds; ++i) {
        if (i == firstSuspectedRound) {
            for (const auto* id : { "s1", "s2", "s3" })
                addSuspectedJob(id, fixture.step(1));
        }
        // Each worker gets a task of its own in each round.
        for (WorkerHandle handle = 1; handle <= workers; ++handle) {
            auto step = fixture.step(1);
            step.requiredLabel = "w" + std::to_string(handle);
            scheduler.addJob(fixture.job(std::to_string(i) + step.requiredLabel, { step }), std::nullopt, neverInstant);
        }
        storeProgress();
        started.push_back(fixture.planStarts());
        for (const auto& start : started.back()) {
            suspectedStarts += start.task.job.starts_with("s") ? 1 : 0;
            scheduler.commandAccepted(start.worker, start.task, start.run, fixture.now());
        }
        if (i >= roundsPerRun) {
            for (const auto& start : started[i - roundsPerRun]) {
                if (!start.task.job.starts_with("s"))
                    fixture.endRun(start, RunOutcome::Done);
            }
        }
        fixture.advance(roundTime);
    }
    CHECK_EQUAL(3, suspectedStarts);
}

// Guards against a suspected task that never starts, because newer ones with a higher priority get each free slot.
TEST(TaskIsolation, SuspectThatHasWaitedLongestStartsNext)
{
    for (WorkerHandle handle = 1; handle <= 4; ++handle)
        fixture.addWorker(handle);
    for (const auto* id : { "first", "second" })
        addSuspectedJob(id, fixture.step(1));
    run(Milliseconds { 200 });
    CHECK_EQUAL(2, started.size());
    addSuspectedJob("old", fixture.step(1), "batch");
    run(Milliseconds { 500 });
    for (const auto* id : { "third", "fourth" })
        addSuspectedJob(id, fixture.step(1));
    run(Milliseconds { 500 });
    CHECK_EQUAL(2, started.size());
    fixture.endRun(started.at("first"), RunOutcome::Done);
    CHECK_EQUAL(1, run(Milliseconds { 500 })["old"]);
}
