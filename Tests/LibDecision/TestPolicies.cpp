#include <CppUTest/TestHarness.h>
#include <LibDecision/BatchQueue.h>
#include <LibDecision/FairShare.h>
#include <LibDecision/QuarantinePolicy.h>
#include <LibDecision/RestartRateLimiter.h>
#include <LibDecision/RunTimeEstimator.h>
#include <LibDecision/ZonePolicy.h>

using namespace Bergamot;

static Instant at(int64_t seconds) { return Instant { Milliseconds { seconds * 1000 } }; }

TEST_GROUP(RunTimeEstimator) {};

// Guards against backfill that relies on wrong declared run times.
TEST(RunTimeEstimator, CorrectsDeclarationsByHistory)
{
    RunTimeEstimator estimator;
    for (int n = 0; n < 50; ++n)
        estimator.recordRun(3, 10'000, 40'000);
    CHECK(estimator.estimate(3, 20'000) >= Milliseconds { 80'000 });
    CHECK(estimator.estimate(3, 20'000) < Milliseconds { 100'000 });
    CHECK(estimator.estimate(4, 20'000) == Milliseconds { 20'000 });
    CHECK(estimator.estimate(3, 0) >= Milliseconds { 40'000 });
}

TEST_GROUP(BatchQueue) {};

// Guards against starvation of low priorities by a stream of high ones.
TEST(BatchQueue, AgeingOvercomesPriority)
{
    auto oldLow = BatchQueue::keyOf(at(0), 0);
    CHECK(BatchQueue::keyOf(at(100), 5) < oldLow);
    CHECK(BatchQueue::keyOf(at(400), 5) > oldLow);
    CHECK(BatchQueue::keyOf(at(7'201), 2'000'000'000) > BatchQueue::keyOf(at(0), -60) - 7'200'000);
}

// Guards against timers that fire early, out of order or twice.
TEST(BatchQueue, TimersFireOnceInOrder)
{
    BatchQueue queue;
    queue.addTimer(at(5), 1);
    queue.addTimer(at(3), 2);
    CHECK_FALSE(queue.takeDueTimer(at(2)).has_value());
    UNSIGNED_LONGS_EQUAL(2, *queue.takeDueTimer(at(9)));
    UNSIGNED_LONGS_EQUAL(1, *queue.takeDueTimer(at(9)));
    CHECK_FALSE(queue.takeDueTimer(at(9)).has_value());
}

TEST_GROUP(FairShare) {};

// Guards against a share computed from processors alone when a team mostly uses another resource.
TEST(FairShare, DominantShareIsDividedByWeight)
{
    TeamRecord team { .view = { .name = "a", .weight = 2.0, .quota = { 10, 10, 10 } }, .committed = { 1, 5, 0 } };
    DOUBLES_EQUAL(0.25, FairShare::dominantShare(team, { 10, 10, 0 }), 1e-9);
    CHECK(FairShare::isAllowed(team, { 9, 5, 0 }));
    CHECK_FALSE(FairShare::isAllowed(team, { 1, 6, 0 }));
    team.view.mayBorrow = true;
    CHECK(FairShare::isAllowed(team, { 1, 6, 0 }));
}

TEST_GROUP(QuarantinePolicy) { QuarantinePolicy policy; };

// Guards against a worker that fails every job and, because it is always free, attracts all jobs.
TEST(QuarantinePolicy, QuarantinesAfterDistinctJobsFail)
{
    CHECK_FALSE(policy.recordFailure(7, 0, 1, at(0)).quarantine);
    CHECK_FALSE(policy.recordFailure(7, 0, 1, at(1)).quarantine);
    CHECK_FALSE(policy.recordFailure(7, 1, 2, at(2)).quarantine);
    auto assessment = policy.recordFailure(7, 0, 3, at(3));
    CHECK(assessment.quarantine);
    UNSIGNED_LONGS_EQUAL(3, assessment.excusedJobs.size());
}

// Guards against quarantine of a healthy worker on which some jobs fail.
TEST(QuarantinePolicy, SuccessResetsConsecutiveFailures)
{
    for (JobIndex job = 0; job < 20; ++job) {
        CHECK_FALSE(policy.recordFailure(7, 0, job, at(job)).quarantine);
        if (job % 2 == 1)
            policy.recordSuccess(7, 0);
    }
}

// Guards against quarantine of many healthy workers because of one kind that always fails.
TEST(QuarantinePolicy, KindFailingEverywhereDoesNotQuarantineWorkers)
{
    for (JobIndex job = 0; job < 100; ++job)
        CHECK_FALSE(policy.recordFailure(job % 20, 5, job, at(job)).quarantine);
    CHECK(policy.isKindSuspect(5));
}

// Guards against many failing workers that make their kinds suspect and thereby escape quarantine.
TEST(QuarantinePolicy, ManyFailingWorkersAreAllQuarantined)
{
    size_t quarantined = 0;
    for (JobIndex job = 0; job < 120; ++job)
        quarantined += policy.recordFailure(job % 30, static_cast<KindIndex>((job * 7 + job / 30) % 6), job, at(job))
                           .quarantine;
    UNSIGNED_LONGS_EQUAL(30, quarantined);
}

// Guards against probes at a constant rate on a worker that never recovers.
TEST(QuarantinePolicy, FailedProbesDoubleTheDelay)
{
    for (JobIndex job = 0; job < 3; ++job)
        policy.recordFailure(7, static_cast<KindIndex>(job), job, at(0));
    CHECK(policy.takeDueReleases(at(59)).empty());
    UNSIGNED_LONGS_EQUAL(1, policy.takeDueReleases(at(60)).size());
    CHECK(policy.recordFailure(7, 0, 9, at(61)).quarantine);
    CHECK(policy.takeDueReleases(at(180)).empty());
    UNSIGNED_LONGS_EQUAL(1, policy.takeDueReleases(at(181)).size());
}

TEST_GROUP(ZonePolicy) {};

// Guards against a burst of task starts in a zone that has just returned to service.
TEST(ZonePolicy, RefillsGradually)
{
    ZonePolicy policy { true, true };
    policy.zoneChanged(0, false, at(100));
    int placed = 0;
    for (; policy.canPlace(0, 10, at(101)); ++placed)
        policy.recordPlacement(0);
    CHECK(placed >= 4 && placed <= 8);
    CHECK(policy.canPlace(0, 10, at(110)));
    CHECK(policy.canPlace(1, 10, at(101)));
}

// Guards against losing the most unsaved work when a zone stops before all checkpoints are taken.
TEST(ZonePolicy, TasksWithMostUnsavedWorkAreEvictedFirst)
{
    SchedulerState state;
    state.jobs.resize(3);
    state.jobs[0] = { .view = { .size = { 1'000 } }, .placedAt = at(0) };
    state.jobs[1] = { .view = { .size = { 1'000 }, .isService = true }, .placedAt = at(0) };
    state.jobs[2] = { .view = { .size = { 4'000 } }, .placedAt = at(50) };
    std::vector<JobIndex> tasks { 0, 1, 2 };
    ZonePolicy { true, true }.sortForEviction(state, tasks, at(100));
    CHECK((tasks == std::vector<JobIndex> { 2, 0, 1 }));
}

TEST_GROUP(RestartRateLimiter) {};

// Guards against restarting all tasks of a lost rack at once, and against rate-limiting after single losses.
TEST(RestartRateLimiter, LimitsRestartsOnlyAfterMassLosses)
{
    RestartRateLimiter limiter { 10, 5 };
    limiter.recordLoss(at(100));
    CHECK(limiter.tryAcquire(at(100)) && limiter.tryAcquire(at(100)));
    for (int n = 0; n < 10; ++n)
        limiter.recordLoss(at(101));
    int taken = 0;
    for (int second = 102; second < 112; ++second) {
        while (limiter.tryAcquire(at(second)))
            ++taken;
    }
    CHECK(taken >= 90 && taken <= 110);
}
