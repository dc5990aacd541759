#include "TaskCrashFixture.h"
#include <algorithm>
#include <ctime>

using namespace Bergamot;

// Workers crash in waves for a cause of their own, beside tasks that are or are not the cause of further crashes.

TEST_GROUP_BASE(CrashWaves, TaskCrashFixture)
{
    static constexpr int workers { 48 };
    static constexpr int workersPerWave { 7 };
    static constexpr Milliseconds waveInterval { 1500 };
    static constexpr Milliseconds wavesEnd { 60000 };
    static constexpr Milliseconds jobInterval { 500 };
    static constexpr Milliseconds runTime { 2000 };

    Milliseconds passed { 0 };
    uint32_t seed { 1 };
    int jobs { 0 };

    /// Racks that each wave takes down, in place of single workers.
    int racksPerWave { 0 };

    void addWorkers()
    {
        for (int i = 0; i < workers; ++i)
            addWorker();
    }

    void crashRack(const std::string& rack)
    {
        for (const auto& [worker, name] : racks) {
            if (name == rack)
                crashSilently(worker);
        }
    }

    void startWave()
    {
        for (int i = 0; i < racksPerWave; ++i)
            crashRack(racks[randomWorker()]);
        for (int i = 0; racksPerWave == 0 && i < workersPerWave; ++i)
            crashSilently(randomWorker());
    }

    WorkerHandle randomWorker()
    {
        seed = seed * 1664525 + 1013904223;
        return std::next(active.begin(), static_cast<std::ptrdiff_t>((seed >> 16) % active.size()))->first;
    }

    void endDueRuns()
    {
        for (const auto& [worker, runs] : std::map(active)) {
            if (crashedAt.contains(worker) || silentSince.contains(worker))
                continue;
            for (const auto& start : runs) {
                bool isShort = start.task.job.starts_with("short");
                if (isShort && fixture.now() - startedAt[{ start.task, start.run }] >= runTime)
                    end(worker, start);
            }
        }
    }

    /// Lets time pass, with jobs of short tasks and waves of crashes until `wavesEnd`.
    void runWaves(Milliseconds time)
    {
        for (auto until = passed + time; passed < until; passed += planInterval) {
            bool hasWaves = passed < wavesEnd;
            if (hasWaves && passed % jobInterval == Milliseconds { 0 }) {
                StepSpec step { .count = 20, .size = { 4000, 4000, 0 }, .estimateMs = 2000 };
                scheduler.addJob(fixture.job("short" + std::to_string(jobs++), { step }), std::nullopt, neverInstant);
            }
            if (hasWaves && passed % waveInterval == Milliseconds { 0 })
                startWave();
            run(planInterval);
            endDueRuns();
        }
    }

    /// Lets time pass without starts.
    void letTimePass()
    {
        storeProgress();
        fixture.advance(planInterval);
        noticeSilentWorkers();
        restartCrashedWorkers();
        reportAll();
    }

    /// Lets time pass until tasks start, which are not executed yet.
    std::vector<StartTask> nextStarts()
    {
        constexpr int maxPlans { 1000 };
        std::vector<StartTask> planned;
        for (int i = 0; i < maxPlans && planned.empty(); ++i) {
            letTimePass();
            planned = fixture.planStarts();
        }
        return planned;
    }

    /// Adds jobs whose only task crashes each worker that starts it, one a second, while waves go on.
    void addCausesInTurn(int count)
    {
        for (int i = 0; i < count; ++i) {
            auto id = "cause" + std::to_string(i);
            scheduler.addJob(fixture.job(id, { fixture.step(1) }), std::nullopt, neverInstant);
            crashingTasks.insert({ id, 0, 0, 0 });
            runWaves(Milliseconds { 1000 });
        }
    }

    /// Returns the progress of a job whose only task was on this many workers when they crashed in waves.
    static JobProgress storedAfterWaves(const JobId& id, uint64_t crashes)
    {
        JobProgress stored { .id = id, .state = JobStage::Running, .done = { "0" } };
        for (uint64_t run = 1; run <= crashes; ++run) {
            stored.crashedRuns.push_back(
                { .run = run, .confirmed = true, .otherCrashRate = 0.1, .expectedCrashes = 0.15 });
            stored.crashedRuns.back().worker = id + std::to_string(run);
        }
        return stored;
    }

    void checkShortJobsCompleted()
    {
        for (int i = 0; i < jobs; ++i)
            CHECK(scheduler.stateOf("short" + std::to_string(i)) == JobStage::Completed);
    }

    /// Plays causes among racks that crash, and checks that each of them is given up in time.
    void checkCausesAmongRacks(uint32_t randomSeed)
    {
        constexpr int rackCount { 8 };
        constexpr int causes { 8 };
        constexpr size_t maxCrashesOfCause { 5 };
        seed = randomSeed;
        racksPerWave = 2;
        for (int i = 0; i < workers; ++i)
            addWorker("r" + std::to_string(i % rackCount));
        run(Milliseconds { 1000 });
        runWaves(wavesEnd / 2);
        addCausesInTurn(causes);
        runWaves(wavesEnd);
        for (const auto& [task, crashes] : crashesByTask)
            CHECK_COMPARE(crashes, <=, maxCrashesOfCause);
        checkShortJobsCompleted();
    }
};

// Guards against long-running jobs that are given up because the probabilities of their many crashes multiply to
// nothing.
TEST(CrashWaves, LongRunningJobsOutliveThem)
{
    addWorkers();
    constexpr int longRunningJobs { 30 };
    for (int i = 0; i < longRunningJobs; ++i)
        scheduler.addJob(fixture.job("long" + std::to_string(i), { lasting(6) }), std::nullopt, neverInstant);
    runWaves(wavesEnd + Milliseconds { 15000 });
    for (int i = 0; i < longRunningJobs; ++i)
        CHECK(scheduler.stateOf("long" + std::to_string(i)) == JobStage::Running);
    checkShortJobsCompleted();
    CHECK_EQUAL(6 * longRunningJobs, scheduler.totals().activeRuns);
}

// Guards against jobs that are given up because their starts went to workers that had crashed without notice.
TEST(CrashWaves, ShortJobsOutliveThem)
{
    addWorkers();
    runWaves(wavesEnd + Milliseconds { 15000 });
    checkShortJobsCompleted();
}

// Guards against counting starts that no worker answered as crashes directly after the start (LOST, issue 45).
TEST(CrashWaves, StartsOnSilentWorkersProveNothing)
{
    addWorkers();
    scheduler.addJob(fixture.job("j", { fixture.step(1) }), std::nullopt, neverInstant);
    constexpr int crashes { 6 };
    for (int i = 0; i < crashes; ++i) {
        auto planned = nextStarts();
        CHECK_EQUAL(1, planned.size());
        // The worker has crashed with others a moment before the start.
        crashSilently(planned[0].worker);
        for (int k = 1; k < workersPerWave; ++k)
            crashSilently(randomWorker());
        execute(planned[0]);
        while (!crashedAt.empty() || !silentSince.empty())
            letTimePass();
        CHECK(scheduler.stateOf("j") != JobStage::Failed);
    }
}

// Guards against a cause that is started three times more after three workers crashed under it, in waves of other
// crashes.
TEST(CrashWaves, CauseIsNotStartedWhileItsCrashesProveNothing)
{
    addWorkers();
    constexpr int causes { 8 };
    runWaves(wavesEnd / 2);
    addCausesInTurn(causes);
    runWaves(wavesEnd);
    for (int i = 0; i < causes; ++i) {
        CHECK_COMPARE((starts[TaskRef { "cause" + std::to_string(i), 0, 0, 0 }]), <=, 5);
        CHECK(scheduler.stateOf("cause" + std::to_string(i)) == JobStage::Failed);
    }
    checkShortJobsCompleted();
}

// Guards against a cause that is started three times more after three workers crashed under it, of which an earlier
// leader did not record the first.
TEST(CrashWaves, CauseWithAnUnrecordedCrashIsStartedOnceLess)
{
    addWorkers();
    constexpr int causes { 8 };
    constexpr size_t maxStarts { 4 };
    runWaves(wavesEnd / 2);
    for (int i = 0; i < causes; ++i) {
        auto id = "cause" + std::to_string(i);
        scheduler.addJob(fixture.job(id, { fixture.step(1) }), std::nullopt, fixture.now() + planInterval);
        crashingTasks.insert({ id, 0, 0, 0 });
    }
    scheduler.inheritedWorkerLost();
    runWaves(wavesEnd);
    for (int i = 0; i < causes; ++i) {
        CHECK_COMPARE((starts[TaskRef { "cause" + std::to_string(i), 0, 0, 0 }]), <=, maxStarts);
        CHECK(scheduler.stateOf("cause" + std::to_string(i)) == JobStage::Failed);
    }
    checkShortJobsCompleted();
}

// Guards against tasks that wait for the end of the waves, until after the time at which they are asked for, because
// workers were lost seconds after their starts (LOST, issue 45).
TEST(CrashWaves, TasksThatAreLostLateDoNotWaitForTheirEnd)
{
    constexpr Milliseconds maxWait { 3000 };
    addWorkers();
    while (passed < wavesEnd) {
        runWaves(planInterval);
        for (const auto& wait : scheduler.stepWaits(fixture.now(), maxWait, SIZE_MAX))
            CHECK(wait.suspectDelay != SuspectDelay::Backoff);
    }
    runWaves(Milliseconds { 15000 });
    checkShortJobsCompleted();
}

// Guards against a crash of a lost rack that counts against a task for ever, although the task has run on since.
TEST(CrashWaves, TaskThatRanOnAfterTheLossOfItsRackHasAllStarts)
{
    constexpr int rackCount { 12 };
    for (int i = 0; i < workers; ++i)
        addWorker("r" + std::to_string(i % rackCount));
    scheduler.addJob(fixture.job("long", { lasting(1) }), std::nullopt, neverInstant);
    run(planInterval);
    auto workerOfTask = [&] {
        return std::ranges::find_if(active, [&](const auto& it) {
            return !it.second.empty() && !crashedAt.contains(it.first);
        })->first;
    };
    auto rackOfTask = racks[workerOfTask()];
    for (const auto& [worker, rack] : std::map(racks)) {
        if (rack == rackOfTask)
            crash(worker);
    }
    run(Milliseconds { 20000 });
    TaskRef task { "long", 0, 0, 0 };
    for (size_t expectedStarts = 3; expectedStarts <= 5; ++expectedStarts) {
        crash(workerOfTask());
        for (int i = 1; i < workersPerWave / 2; ++i)
            crash(randomWorker());
        while (starts[task] < expectedStarts) {
            run(planInterval);
            for (const auto& wait : scheduler.stepWaits(fixture.now(), Milliseconds { 0 }, 1))
                CHECK(wait.suspectDelay != SuspectDelay::Backoff);
        }
    }
}

// Guards against a start after the last wave whose crash proves nothing because the losses of that wave count.
TEST(CrashWaves, CrashAfterTheBackoffIsJudgedWithoutTheWaves)
{
    addWorkers();
    auto stored = storedAfterWaves("cause", 3);
    run(Milliseconds { 1000 });
    startWave();
    while (crashedAt.empty())
        letTimePass();
    scheduler.addJob(fixture.job("cause", { fixture.step(1) }), stored, neverInstant);
    crashingTasks.insert({ "cause", 0, 0, 0 });
    auto planned = nextStarts();
    CHECK_EQUAL(1, planned.size());
    execute(planned[0]);
    run(Milliseconds { 2 * restartTime });
    CHECK_EQUAL(4, scheduler.timelineOf("cause")->crashedRuns.size());
    DOUBLES_EQUAL(0, scheduler.timelineOf("cause")->crashedRuns.back().otherCrashRate, 0);
    CHECK(scheduler.stateOf("cause") == JobStage::Failed);
}

// Guards against a leader that stops renewing its own leadership while it judges the losses of a wave.
TEST(CrashWaves, LossesOfManyWorkersAreJudgedWithinAKeepalive)
{
    constexpr double keepaliveSeconds { 0.3 };
    constexpr int manyWorkers { 1000 };
    constexpr int lost { manyWorkers / workersPerWave };
    for (int i = 0; i < manyWorkers; ++i)
        addWorker();
    for (int i = 0; i < manyWorkers / 10; ++i) {
        StepSpec step { .count = 100, .size = { 2000, 2000, 0 }, .estimateMs = 5000 };
        scheduler.addJob(fixture.job("0123456789abc" + std::to_string(100 + i), { step }), std::nullopt, neverInstant);
    }
    for (int wave = 0; wave < 3; ++wave) {
        run(waveInterval);
        for (int i = 0; i < lost; ++i)
            crash(randomWorker());
        fixture.advance(restartTime);
        auto start = std::clock();
        restartCrashedWorkers();
        CHECK_COMPARE(static_cast<double>(std::clock() - start) / CLOCKS_PER_SEC, <, keepaliveSeconds);
    }
}

// Guards against jobs that are given up because the workers of other services, which do not crash, count too.
TEST(CrashWaves, JobsOfOneServiceOutliveThem)
{
    constexpr int workersOfOtherService { 432 };
    for (int i = 0; i < workersOfOtherService; ++i) {
        auto handle = ++lastWorker;
        scheduler.updateWorker(handle, { .id = "w" + std::to_string(handle), .service = "other", .zone = "a" });
    }
    addWorkers();
    run(Milliseconds { 1000 });
    runWaves(wavesEnd + Milliseconds { 15000 });
    checkShortJobsCompleted();
}

// Guards against jobs that a new leader gives up because it counts the losses of a wave as crashes under their tasks.
TEST(CrashWaves, NewLeaderDoesNotGiveUpJobsForThem)
{
    addWorkers();
    CrashedRun earlier { .runTimeMs = 500, .confirmed = true, .otherCrashRate = 0.1, .expectedCrashes = 0.15 };
    for (int i = 0; i < workersPerWave; ++i) {
        auto id = "j" + std::to_string(i);
        JobProgress stored { .id = id, .state = JobStage::Running, .done = { "0" } };
        for (uint64_t run = 1; run <= 3; ++run) {
            stored.crashedRuns.push_back(earlier);
            stored.crashedRuns.back().run = run;
            stored.crashedRuns.back().worker = id + "w" + std::to_string(run);
        }
        stored.crashedRuns.push_back({ .run = 4, .worker = id + "w4", .workerStartedAtMs = 4, .isolated = true });
        scheduler.addJob(fixture.job(id, { fixture.step(1) }), stored, neverInstant);
    }
    scheduler.confirmInheritedCrashes([](const WorkerId&, int64_t) { return false; });
    storeProgress();
    for (int i = 0; i < workersPerWave; ++i)
        CHECK(scheduler.stateOf("j" + std::to_string(i)) != JobStage::Failed);
}

// Guards against a job that a new leader gives up because it knows of no other losses than that of the task's worker.
TEST(CrashWaves, LossThatOnlyAnEarlierLeaderSawIsJudgedByTheRateOfItsTime)
{
    addWorkers();
    JobProgress stored { .id = "j", .state = JobStage::Running, .done = { "0" } };
    for (uint64_t run = 1; run <= 3; ++run) {
        stored.crashedRuns.push_back(
            { .run = run, .runTimeMs = 1400, .confirmed = true, .otherCrashRate = 0.1, .expectedCrashes = 0.3 });
        stored.crashedRuns.back().worker = "earlier" + std::to_string(run);
    }
    stored.crashedRuns.push_back({ .run = 4, .worker = "earlier4", .workerStartedAtMs = 4, .isolated = true });
    scheduler.addJob(fixture.job("j", { fixture.step(1) }), stored, neverInstant);
    scheduler.confirmInheritedCrashes([](const WorkerId&, int64_t) { return false; });
    storeProgress();
    CHECK(scheduler.stateOf("j") != JobStage::Failed);
}

// Guards against a sixth start of a cause because only the leader before the last knew of an unrecorded crash (BUDGET).
TEST(CrashWaves, UnrecordedCrashCountsUnderLaterLeaders)
{
    constexpr uint64_t recordedCrashes { 3 };
    constexpr Milliseconds timeToJudge { 12000 };
    TaskSchedulerFixture earlier { 2 };
    earlier.addWorker(1);
    earlier.scheduler().addJob(fixture.job("cause", { fixture.step(1) }), std::nullopt, earlier.now() + planInterval);
    earlier.plan();
    earlier.scheduler().inheritedWorkerLost();
    earlier.advance(planInterval);
    earlier.plan();
    auto stored = earlier.scheduler().takeChangedJobs().at(0);
    CHECK_EQUAL(1, stored.crashedRuns.size());
    auto crashed = stored.crashedRuns[0];
    crashed.confirmed = true;
    crashed.otherCrashRate = 0.1;
    crashed.expectedCrashes = 0.55;
    crashed.runTimeMs = 450;
    stored.crashedRuns.clear();
    for (crashed.run = 1; crashed.run <= recordedCrashes; ++crashed.run) {
        crashed.worker = "earlier" + std::to_string(crashed.run);
        stored.crashedRuns.push_back(crashed);
    }
    addWorkers();
    scheduler.addJob(fixture.job("cause", { fixture.step(1) }), stored, neverInstant);
    TaskRef task { "cause", 0, 0, 0 };
    crashingTasks.insert(task);
    run(timeToJudge);
    CHECK_EQUAL(1, starts[task]);
    CHECK(scheduler.stateOf("cause") == JobStage::Failed);
}

// Guards against a job that later leaders give up a crash earlier: each start since the first crash has a record, so
// the lost worker of an earlier leader leaves none without one.
TEST(CrashWaves, NoCrashIsUnrecordedOnceStartsAreRecorded)
{
    constexpr int32_t promptMs { 450 };
    TaskSchedulerFixture leader { 2 };
    leader.addWorker(1);
    auto stored = storedAfterWaves("j", 1);
    stored.crashedRuns.front().runTimeMs = promptMs;
    leader.scheduler().addJob(fixture.job("j", { fixture.step(1) }), stored, leader.now() + planInterval);
    leader.plan();
    leader.scheduler().inheritedWorkerLost();
    leader.advance(planInterval);
    leader.plan();
    auto changed = leader.scheduler().takeChangedJobs();
    CHECK_EQUAL(1, changed.size());
    CHECK_EQUAL(2, changed.front().crashedRuns.size());
    CHECK_FALSE(changed.front().crashedRuns.back().mayFollowUnrecordedCrash);
}

// Guards against a sixth start of a cause because the crash of another one counts as a loss without a cause once its
// lease has expired (BUDGET).
TEST(CrashWaves, CrashUnderAnotherCauseIsKnownAsSuchAfterTheLease)
{
    addWorkers();
    for (const std::string id : { "cause", "other" }) {
        scheduler.addJob(fixture.job(id, { fixture.step(1) }), storedAfterWaves(id, 3), neverInstant);
        crashingTasks.insert({ id, 0, 0, 0 });
    }
    auto planned = nextStarts();
    CHECK_EQUAL(2, planned.size());
    for (const auto& start : planned)
        execute(start);
    for (const auto& start : planned) {
        if (start.task.job == "other")
            scheduler.markRunsLost(start.worker, fixture.now());
    }
    run(restartTime + planInterval);
    auto crashed = scheduler.timelineOf("cause")->crashedRuns;
    CHECK_EQUAL(4, crashed.size());
    DOUBLES_EQUAL(0, crashed.back().otherCrashRate, 0);
    CHECK(scheduler.stateOf("cause") == JobStage::Failed);
}

// Guards against a start in the middle of a wave whose losses only an earlier leader has seen (BUDGET, issue 29).
TEST(CrashWaves, NewLeaderWatchesTheWorkersBeforeABackoffEnds)
{
    constexpr Milliseconds watchTime { 3700 };
    addWorkers();
    auto stored = storedAfterWaves("cause", 4);
    scheduler.addJob(fixture.job("cause", { fixture.step(1) }), stored, neverInstant);
    TaskRef task { "cause", 0, 0, 0 };
    run(watchTime);
    CHECK_EQUAL(0, starts[task]);
    run(Milliseconds { 1000 });
    CHECK_EQUAL(1, starts[task]);
}

// Guards against a cause that is started three times more after three workers crashed under it, while racks crash.
TEST(CrashWaves, CauseIsGivenUpWhileRacksCrash) { checkCausesAmongRacks(3); }

// Guards against a crash that does not count because the rack of its worker was lost at the same time.
TEST(CrashWaves, CauseWhoseFirstCrashIsInALostRackIsGivenUp) { checkCausesAmongRacks(9); }

// Guards against crashes of one wave that prove a cause because the workers are removed late, as during a store outage.
TEST(CrashWaves, LateRemovalDoesNotHideTheOtherLosses)
{
    constexpr Milliseconds removalDelay { 12000 };
    constexpr double minExpectedCrashes { 0.1 };
    addWorkers();
    scheduler.addJob(fixture.job("j", { fixture.step(workers * 2) }), std::nullopt, neverInstant);
    run(Milliseconds { 500 });
    for (WorkerHandle worker = 1; worker <= workersPerWave; ++worker)
        crash(worker);
    fixture.advance(removalDelay);
    for (WorkerHandle worker = 1; worker <= workersPerWave; ++worker)
        scheduler.removeWorker(worker, WorkerEnd::Crashed, fixture.now());
    auto timeline = scheduler.timelineOf("j");
    CHECK(!timeline->crashedRuns.empty());
    for (const auto& it : timeline->crashedRuns)
        CHECK_COMPARE(it.expectedCrashes, >, minExpectedCrashes);
}

// Guards against jobs that a new leader gives up because it takes each worker that it finds gone for lost alone.
TEST(CrashWaves, WorkersThatANewLeaderFindsGoneMayHaveBeenLostTogether)
{
    addWorkers();
    CrashedRun earlier { .runTimeMs = 3000, .confirmed = true, .otherCrashRate = 0.1, .expectedCrashes = 0.3 };
    for (int i = 0; i < workersPerWave; ++i) {
        auto id = "j" + std::to_string(i);
        JobProgress stored { .id = id, .state = JobStage::Running, .done = { "0" } };
        for (uint64_t run = 1; run <= 3; ++run) {
            stored.crashedRuns.push_back(earlier);
            stored.crashedRuns.back().run = run;
            stored.crashedRuns.back().worker = id + "w" + std::to_string(run);
        }
        stored.crashedRuns.push_back(
            { .run = 4, .worker = "w" + std::to_string(i + 1), .workerStartedAtMs = 1001 + i, .isolated = true });
        scheduler.addJob(fixture.job(id, { fixture.step(1) }), stored, fixture.now() + Milliseconds { 5000 });
        scheduler.setReachable(static_cast<WorkerHandle>(i + 1), false, fixture.now());
    }
    fixture.advance(Milliseconds { 3000 });
    for (int i = 0; i < workersPerWave; ++i)
        scheduler.removeWorker(static_cast<WorkerHandle>(i + 1), WorkerEnd::Crashed, fixture.now());
    fixture.advance(Milliseconds { 2000 });
    fixture.plan();
    storeProgress();
    for (int i = 0; i < workersPerWave; ++i)
        CHECK(scheduler.stateOf("j" + std::to_string(i)) != JobStage::Failed);
}
