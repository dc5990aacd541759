#include <CppUTest/TestHarness.h>
#include <LibDecision/BacklogEstimate.h>
#include <string>
#include <vector>

using namespace Bergamot;

TEST_GROUP(BacklogEstimate)
{
    static constexpr Milliseconds step { 100 };
    BacklogEstimate estimate;
    Instant now { Milliseconds { 1000 } };

    /// Work is started at `startedPerMs` cores of each class.
    void pass(Milliseconds time, const std::map<BacklogEstimate::Class, BacklogEstimate::Demand>& demands,
        double startedPerMs)
    {
        for (Milliseconds passed { 0 }; passed < time; passed += step) {
            now += step;
            for (const auto& [key, demand] : demands)
                estimate.addStartedWork(key, startedPerMs * static_cast<double>(step.count()));
            estimate.update(now, demands);
        }
    }

    static BacklogEstimate::Demand demand(double workCoreMs, int64_t longestWaitMs)
    {
        return { .workCoreMs = workCoreMs, .longestWait = Milliseconds { longestWaitMs } };
    }

    int64_t waitOf(const std::string& image) const
    {
        for (const auto& wait : estimate.expectedWaits()) {
            if (wait.image == image)
                return wait.waitMs;
        }
        return 0;
    }
};

// Guards against refusing jobs of a burst onto an idle service, whose tasks wait only for the next plan.
TEST(BacklogEstimate, BurstWithoutAWaitHasNoExpectedWait)
{
    pass(Milliseconds { 5000 }, { { { "s", "i" }, demand(1e9, 1400) } }, 1);
    CHECK(estimate.expectedWaits().empty());
}

// Guards against a rate that the demand limited: before the backlog, hardly any work was there to start.
TEST(BacklogEstimate, RateBeforeTheBacklogDoesNotCount)
{
    pass(Milliseconds { 20000 }, { { { "s", "i" }, demand(100, 100) } }, 0.001);
    pass(Milliseconds { 3000 }, { { { "s", "i" }, demand(60000, 5000) } }, 10);
    CHECK_EQUAL(6000, waitOf("i"));
}

// Guards against a rate from the first moments of a backlog, in which a single start decides.
TEST(BacklogEstimate, NothingIsExpectedUntilTheRateIsKnown)
{
    pass(Milliseconds { 1900 }, { { { "s", "i" }, demand(60000, 600000) } }, 0.001);
    CHECK(estimate.expectedWaits().empty());
    pass(Milliseconds { 1000 }, { { { "s", "i" }, demand(60000, 600000) } }, 0.001);
    CHECK(waitOf("i") > 60000);
}

// Guards against refusing jobs for minutes because of a rate that is low for a moment, as while workers are cut off.
TEST(BacklogEstimate, ExpectedWaitIsAtMostTwiceTheLongestSoFar)
{
    pass(Milliseconds { 4000 }, { { { "s", "i" }, demand(80000, 3000) } }, 0.01);
    CHECK_EQUAL(6000, waitOf("i"));
}

// Guards against an expected wait that lags behind the backlog, or outlives it.
TEST(BacklogEstimate, ExpectedWaitFollowsTheBacklogAndEndsWithIt)
{
    pass(Milliseconds { 4000 }, { { { "s", "i" }, demand(80000, 30000) } }, 4);
    CHECK_EQUAL(20000, waitOf("i"));
    pass(step, { { { "s", "i" }, demand(20000, 30000) } }, 4);
    CHECK_EQUAL(5000, waitOf("i"));
    pass(step, {}, 4);
    CHECK(estimate.expectedWaits().empty());
    pass(step, { { { "s", "i" }, demand(20000, 1600) } }, 4);
    CHECK(estimate.expectedWaits().empty());
}

// Guards against a rate that keeps its value for long after the capacity beside serving tasks has gone.
TEST(BacklogEstimate, RateFollowsTheCapacity)
{
    pass(Milliseconds { 10000 }, { { { "s", "i" }, demand(40000, 600000) } }, 4);
    CHECK_EQUAL(10000, waitOf("i"));
    pass(Milliseconds { 16000 }, { { { "s", "i" }, demand(40000, 600000) } }, 1);
    CHECK(waitOf("i") > 25000);
    pass(Milliseconds { 60000 }, { { { "s", "i" }, demand(40000, 600000) } }, 1e-6);
    CHECK(waitOf("i") > 300000);
    CHECK(waitOf("i") <= maxExpectedWaitMs);
}

// Guards against refusing all jobs of an image for good because a task waits for something else than capacity.
TEST(BacklogEstimate, NothingIsExpectedOfAClassOfWhichNothingStarts)
{
    pass(Milliseconds { 60000 }, { { { "s", "i" }, demand(40000, 60000) } }, 0);
    CHECK(estimate.expectedWaits().empty());
}

// Guards against refusing jobs of an image that finds room, because another image of the service or the same image in
// another service does not.
TEST(BacklogEstimate, ClassesAreToldApart)
{
    pass(Milliseconds { 4000 },
        { { { "s", "a" }, demand(80000, 30000) }, { { "s", "b" }, demand(8000, 2000) }, { { "s", "c" }, demand(9, 9) },
            { { "t", "a" }, demand(4000, 2000) } },
        4);
    auto waits = estimate.expectedWaits();
    CHECK_EQUAL(3, waits.size());
    CHECK((waits[0] == ExpectedWait { .service = "s", .image = "a", .waitMs = 20000 }));
    CHECK((waits[1] == ExpectedWait { .service = "s", .image = "b", .waitMs = 2000 }));
    CHECK((waits[2] == ExpectedWait { .service = "t", .image = "a", .waitMs = 1000 }));
}

// Guards against a keepalive that grows with the number of images, or that no node can read.
TEST(BacklogEstimate, ExpectedWaitsFitInARecord)
{
    std::vector<std::string> images { std::string(maxExpectedWaitNameLength + 1, 'i') };
    for (size_t i = 0; i < 2 * maxExpectedWaits; ++i)
        images.push_back(std::to_string(i));
    std::map<BacklogEstimate::Class, BacklogEstimate::Demand> demands;
    for (size_t i = 0; i < images.size(); ++i)
        demands[{ "s", images[i] }] = demand(2000 + static_cast<double>(i), 2000);
    pass(Milliseconds { 3000 }, demands, 1);
    auto waits = estimate.expectedWaits();
    CHECK_EQUAL(maxExpectedWaits, waits.size());
    CHECK_EQUAL(2000 + 2 * maxExpectedWaits, waits.front().waitMs);
}
