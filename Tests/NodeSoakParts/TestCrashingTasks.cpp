#include "JobCheckerFixture.h"
#include <CppUTest/TestHarness.h>

using namespace Bergamot;

TEST_GROUP(CrashingTasks)
{
    JobCheckerFixture fixture { { .count = 2, .crashAfterMs = 10 } };
    JobChecker& checker { fixture.checker };
};

// Guards against a check that accepts a third start after three crashes, or that refuses the second.
TEST(CrashingTasks, ThirdStartAfterThreeCrashesIsAViolation)
{
    for (int n = 0; n < 5; ++n)
        fixture.startAndCrash(0);
    LONGS_EQUAL(0, checker.violations());
    fixture.startAndCrash(0);
    LONGS_EQUAL(1, checker.violations());
}

// Guards against crashes that are counted for the other tasks of the worker, which have to be started again.
TEST(CrashingTasks, TasksBesideTheCrashingOneMayStartAgain)
{
    for (int n = 0; n < 8; ++n)
        checker.workerCrashed(fixture.start(1), fixture.task(0));
    LONGS_EQUAL(0, checker.violations());
}

// Guards against a job that is given up after a single crash, which any worker may have.
TEST(CrashingTasks, FailedAfterOneCrashIsAViolation)
{
    fixture.startAndCrash(0);
    fixture.showAs("failed");
    LONGS_EQUAL(1, checker.violations());
}

// Guards against a check that refuses to give up a crashing task after two crashes.
TEST(CrashingTasks, FailedAfterTwoCrashesIsAccepted)
{
    fixture.startAndCrash(0);
    fixture.startAndCrash(0);
    fixture.showAs("failed");
    checker.checkAllEnded();
    LONGS_EQUAL(0, checker.violations());
}

// Guards against a job without a crashing task that is given up because its workers crashed.
TEST(CrashingTasks, FailedAfterCrashesByOtherCausesIsAViolation)
{
    for (int n = 0; n < 4; ++n)
        checker.workerCrashed(fixture.start(0), {});
    fixture.showAs("failed");
    LONGS_EQUAL(1, checker.violations());
}

// Guards against a job with a crashing task that is shown as completed or stays open.
TEST(CrashingTasks, JobHasToEndAndCannotComplete)
{
    checker.checkAllEnded();
    LONGS_EQUAL(1, checker.violations());
    fixture.showAs("completed");
    checker.checkAllEnded();
    LONGS_EQUAL(3, checker.violations());
}
