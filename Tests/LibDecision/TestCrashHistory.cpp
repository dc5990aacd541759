#include <CppUTest/TestHarness.h>
#include <LibDecision/CrashHistory.h>

using namespace Bergamot;

TEST_GROUP(CrashHistory)
{
    /// Crashes a second and worker.
    static constexpr double quietRate { 0 };
    static constexpr double stormRate { 0.09 };

    CrashHistory history;
    TaskRef task { "j", 0, 1, 2 };

    void crash(uint64_t run, bool isolated, bool confirmed = true, uint32_t runTimeMs = 10, double otherCrashRate = 0)
    {
        history.record({ .occurrence = 0,
            .step = 1,
            .index = 2,
            .run = run,
            .worker = "w",
            .runTimeMs = runTimeMs,
            .isolated = isolated,
            .confirmed = confirmed,
            .otherCrashRate = otherCrashRate });
    }
};

// Guards against giving up a job for a single crash, or for crashes that another run on the worker may have caused.
TEST(CrashHistory, OnlyRepeatedIsolatedCrashesProveTheCause)
{
    crash(1, false);
    crash(2, true);
    CHECK(!history.isCauseOfCrashes(task, quietRate));
    crash(3, false);
    CHECK(!history.isCauseOfCrashes(task, quietRate));
    crash(4, true);
    CHECK(history.isCauseOfCrashes(task, quietRate));
}

// Guards against counting one crash twice when it is recorded before its start and again when it is confirmed.
TEST(CrashHistory, RepeatedRecordCountsOnce)
{
    crash(1, true, false);
    crash(1, true);
    crash(1, true);
    CHECK_EQUAL(1, history.count(task));
    CHECK(!history.isCauseOfCrashes(task, quietRate));
}

// Guards against giving up a job while the crash of a worker is not confirmed, and against starts in that time.
TEST(CrashHistory, UnconfirmedCrashesDelayStartsButProveNothing)
{
    for (uint64_t run = 1; run <= 4; ++run)
        crash(run, true, false);
    CHECK(!history.isCauseOfCrashes(task, quietRate));
    CHECK(history.awaitsConfirmation(task));
}

// Guards against isolating each long-running task that was on a crashed worker.
TEST(CrashHistory, OldRunIsNotIsolatedAfterOneCrash)
{
    crash(1, false, true, 5000);
    CHECK(history.isolationOf(task, quietRate) == RunIsolation::None);
    crash(2, false, true, 5000);
    CHECK(history.isolationOf(task, quietRate) == RunIsolation::None);
    crash(3, false, true, 5000);
    CHECK(history.isolationOf(task, quietRate) == RunIsolation::Required);
}

// Guards against further crashes beside other runs when a task has crashed two workers directly after its starts.
TEST(CrashHistory, RepeatedPromptCrashesRequireIsolation)
{
    crash(1, false);
    CHECK(history.isolationOf(task, quietRate) == RunIsolation::Preferred);
    crash(2, false);
    CHECK(history.isolationOf(task, quietRate) == RunIsolation::Required);
}

// Guards against a start beside other runs after four crashes, one of which was noticed late, in a wave.
TEST(CrashHistory, FifthStartAfterRepeatedPromptCrashesRequiresIsolation)
{
    for (uint64_t run = 1; run <= 4; ++run) {
        CrashedRun crashed { .step = 1, .index = 2, .run = run, .runTimeMs = run == 3 ? 1400u : 160u };
        crashed.expectedCrashes = 0.22;
        history.record(crashed);
    }
    CHECK(history.isolationOf(task, quietRate) == RunIsolation::Required);
}

// Guards against a sixth start of a cause, because the fifth waits for a quiet moment and then starts beside other
// runs, where its crash proves too little (BUDGET, issue 29).
TEST(CrashHistory, FifthStartThatWaitsForAQuietMomentRequiresIsolation)
{
    for (uint64_t run = 1; run <= 4; ++run) {
        CrashedRun crashed { .step = 1, .index = 2, .run = run, .runTimeMs = 160, .expectedCrashes = 0.4 };
        history.record(crashed);
    }
    CHECK(history.restartBackoff(task, quietRate) > Milliseconds { 0 });
    CHECK(history.isolationOf(task, quietRate) == RunIsolation::Required);
}

// Guards against a sixth start of a cause, four crashes of which were in a wave (BUDGET, issue 29).
TEST(CrashHistory, FifthCrashAtAQuietMomentProvesTheCause)
{
    constexpr Milliseconds runTime { 5000 };
    auto crash = [&](uint64_t run, uint32_t runTimeMs, double expectedCrashes) {
        history.record({ .step = 1, .index = 2, .run = run, .runTimeMs = runTimeMs, .confirmed = true });
        auto crashed = *history.find(task, run);
        crashed.expectedCrashes = expectedCrashes;
        crashed.otherCrashRate = expectedCrashes / 3;
        crashed.isolated = run == 5;
        history.record(crashed);
    };
    crash(1, 1010, 0.42);
    crash(2, 1010, 0.21);
    crash(3, 1010, 0.17);
    crash(4, 1580, 0.25);
    CHECK(history.restartBackoff(task, quietRate, runTime) > Milliseconds { 0 });
    crash(5, 1010, 0.2);
    CHECK(!history.isCauseOfCrashes(task, quietRate, runTime));
    crash(5, 1010, 0);
    CHECK(history.isCauseOfCrashes(task, quietRate, runTime));
}

// Guards against a fifth start in the middle of a wave, because the limit for tasks with three crashes, of which there
// are many more, holds for those with four too (BUDGET, issue 29).
TEST(CrashHistory, FewTasksHaveFourCrashesSoMoreOfThemWait)
{
    for (uint64_t run = 1; run <= 4; ++run) {
        CrashedRun crashed { .step = 1, .index = 2, .run = run, .runTimeMs = 590, .expectedCrashes = 0.75 };
        if (run == 4) {
            CHECK(history.coincidence(task, quietRate) > 0.05);
            CHECK(history.restartBackoff(task, quietRate) == Milliseconds { 0 });
        }
        history.record(crashed);
    }
    CHECK(history.coincidence(task, quietRate) > 0.05);
    CHECK(history.restartBackoff(task, quietRate) > Milliseconds { 0 });
    CHECK(history.isolationOf(task, quietRate) == RunIsolation::Required);
}

// Guards against back-offs of a minute after crashes that are as frequent without the task (LOST, issue 45).
TEST(CrashHistory, LateCrashesInAWaveStartNoBackoff)
{
    auto crashInWave = [&](uint64_t run, uint32_t runTimeMs, double expectedCrashes, bool unanswered) {
        CrashedRun crashed { .step = 1, .index = 2, .run = run, .runTimeMs = runTimeMs, .unanswered = unanswered };
        crashed.expectedCrashes = expectedCrashes;
        history.record(crashed);
    };
    for (uint64_t run = 1; run <= 4; ++run)
        crashInWave(run, 3500, 0.3, false);
    CHECK(history.restartBackoff(task, quietRate) == Milliseconds { 0 });
    history.clear(task);
    crashInWave(1, 3500, 0.3, false);
    crashInWave(2, 10, 0.15, true);
    crashInWave(3, 10, 0.15, true);
    CHECK(history.restartBackoff(task, quietRate) == Milliseconds { 0 });
    history.clear(task);
    for (uint64_t run = 1; run <= 3; ++run)
        crashInWave(run, 160, 0.15, false);
    CHECK(history.restartBackoff(task, quietRate) > Milliseconds { 0 });
}

// Guards against clearing a task that crashes its worker only after a while.
TEST(CrashHistory, ClearingTimeExceedsTheTimeToTheCrash)
{
    crash(1, false, true, 4000);
    CHECK(history.clearingTime(task) > Milliseconds { 4000 });
}

// Guards against crashes of one task that are held against another task of the job.
TEST(CrashHistory, TasksAreCountedApart)
{
    crash(1, true);
    crash(2, true);
    CHECK(!history.isCauseOfCrashes({ "j", 0, 1, 3 }, quietRate));
    CHECK(history.clear(task));
    CHECK(history.isEmpty());
}

// Guards against giving up a job, or keeping it waiting for a worker of its own, because of crashes of a time at which
// workers crashed anyhow.
TEST(CrashHistory, CrashesAtTheRateOfAllWorkersProveNothing)
{
    for (uint64_t run = 1; run <= 4; ++run) {
        crash(run, run == 4, true, 1000, stormRate);
        CHECK(run == 4 || history.isolationOf(task, quietRate) != RunIsolation::Required);
    }
    CHECK(!history.isCauseOfCrashes(task, quietRate));
    for (uint64_t run = 1; run <= 4; ++run)
        crash(run, run == 4, true, 1000, quietRate);
    CHECK(history.isCauseOfCrashes(task, quietRate));
}

// Guards against a task that crashes each worker directly after its start and is never given up, because others crash
// too.
TEST(CrashHistory, RepeatedPromptCrashesProveTheCauseWhileWorkersCrash)
{
    for (uint64_t run = 1; run <= 4; ++run)
        crash(run, false, true, 10, stormRate);
    CHECK(history.isolationOf(task, stormRate) == RunIsolation::Required);
    crash(5, true, true, 10, stormRate);
    CHECK(history.isCauseOfCrashes(task, quietRate));
}

// Guards against a job that is given up because the probability of very many crashes is no number.
TEST(CrashHistory, CoincidenceOfVeryManyCrashesIsAProbability)
{
    constexpr uint64_t crashes { 1000 };
    constexpr uint32_t runTimeMs { 5000 };
    for (uint64_t run = 1; run <= crashes; ++run)
        crash(run, run <= 2, true, runTimeMs, stormRate);
    auto probability = history.coincidence(task, quietRate, CrashHistory::unlimitedRunTime);
    CHECK(probability >= 0 && probability <= 1);
    CHECK(!history.isCauseOfCrashes(task, quietRate, CrashHistory::unlimitedRunTime));
}

// Guards against giving up an innocent job because its start shared a worker with the cause of the crash.
TEST(CrashHistory, CrashBesideOtherRunsAloneProvesNothing)
{
    constexpr Milliseconds runTime { 2000 };
    constexpr double waveRate { 0.06 };
    auto crashInWave = [&](uint64_t run, uint32_t runTimeMs, double expectedCrashes, bool isolated) {
        crash(run, isolated, true, runTimeMs, waveRate);
        auto recorded = *history.find(task, run);
        recorded.expectedCrashes = expectedCrashes;
        history.record(recorded);
    };
    crashInWave(1, 800, 0.11, false);
    crashInWave(2, 2900, 0.3, false);
    crashInWave(3, 2900, 0.32, true);
    crashInWave(4, 400, 0.15, false);
    crash(5, false, true, 0);
    CHECK(!history.isCauseOfCrashes(task, quietRate, runTime));
    crash(5, true, true, 0);
    CHECK(history.isCauseOfCrashes(task, quietRate, runTime));
}

// Guards against slots that are kept by runs which have outlived the earlier crashes of their tasks, or which seldom
// crash a worker.
TEST(CrashHistory, FewWorkersAreExpectedDownBecauseOfRunsThatLast)
{
    constexpr uint64_t activeRun { 9 };
    auto expectedDown
        = [&](int64_t activeMs) { return history.expectedWorkersDown(task, activeRun, Milliseconds { activeMs }); };
    crash(activeRun, true, false);
    DOUBLES_EQUAL(1, expectedDown(5000), 0);
    crash(1, false, true, 0);
    DOUBLES_EQUAL(1, expectedDown(0), 0);
    DOUBLES_EQUAL(0, expectedDown(100), 0);
    crash(2, false, true, 3000);
    DOUBLES_EQUAL(0.75, expectedDown(0), 0.001);
    DOUBLES_EQUAL(0.25, expectedDown(100), 0.001);
    DOUBLES_EQUAL(0, expectedDown(3100), 0);
}
