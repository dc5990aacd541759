#include <CppUTest/TestHarness.h>
#include <LibDecision/JobAdmission.h>
#include <vector>

using namespace Bergamot;

TEST_GROUP(JobAdmission)
{
    QueuePolicy policy { .service = "s", .stretch = 2, .targetLatencyMs = 1000 };

    /// Its critical path is 3 s, so its objective is 7 s, and a result is of use for 21 s.
    JobSpec job { .steps = { { .estimateMs = 1000, .bestEffort = true, .image = "i" },
                      { .estimateMs = 2000, .dependsOn = { 0 }, .image = "j" } } };

    std::optional<ServiceOverload> overload(int64_t waitMs, const char* image = "i", const char* service = "s") const
    {
        return overloadFor(job, policy, { { .service = service, .image = image, .waitMs = waitMs } });
    }
};

// Guards against refusing a job whose late result is still of use, and against a time after which it is refused again.
TEST(JobAdmission, JobThatWouldEndTooLateToBeOfUseIsRefused)
{
    CHECK_FALSE(overload(18000).has_value());
    auto refused = overload(20500);
    CHECK(refused.has_value());
    CHECK((*refused
        == ServiceOverload {
            .image = "i", .expectedWait = Milliseconds { 20500 }, .maxWait = Milliseconds { 18000 } }));
    CHECK_EQUAL(2500, refused->retryAfter().count());
    CHECK_FALSE(overload(20500 - refused->retryAfter().count()).has_value());
}

// Guards against refusing a job for the backlog of another image or service, or of an image that it runs on reserved
// processors.
TEST(JobAdmission, OtherBacklogsDoNotConcernTheJob)
{
    CHECK_FALSE(overload(600000, "k").has_value());
    CHECK_FALSE(overload(600000, "j").has_value());
    CHECK_FALSE(overload(600000, "i", "t").has_value());
    CHECK_FALSE(overloadFor(job, policy, {}).has_value());
}

// Guards against a refusal by the shorter of two backlogs.
TEST(JobAdmission, LongestWaitOfTheStepsDecides)
{
    job.steps[1].bestEffort = true;
    std::vector<ExpectedWait> waits { { .service = "s", .image = "i", .waitMs = 17000 },
        { .service = "s", .image = "j", .waitMs = 19000 } };
    auto refused = overloadFor(job, policy, waits);
    CHECK(refused.has_value());
    STRCMP_EQUAL("j", refused->image.c_str());
}

// Guards against refusing jobs whose tasks need not start now.
TEST(JobAdmission, RepeatingAndLongRunningJobsAreNotRefused)
{
    job.repeats = 1;
    CHECK_FALSE(overload(600000).has_value());
    job.repeats = 0;
    CHECK(overload(600000).has_value());
    job.steps[1].longRunning = true;
    CHECK_FALSE(overload(600000).has_value());
}

// Guards against a negative limit, which would make the time to retry longer than the backlog.
TEST(JobAdmission, JobWithAnImpossibleObjectiveIsRefusedDuringABacklogOnly)
{
    policy.stretch = 0.25;
    policy.targetLatencyMs = 0;
    auto refused = overload(2000);
    CHECK(refused.has_value());
    CHECK_EQUAL(2000, refused->retryAfter().count());
    CHECK_FALSE(overload(0).has_value());
}
