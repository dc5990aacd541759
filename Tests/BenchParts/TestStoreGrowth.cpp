#include <CppUTest/TestHarness.h>
#include <bergamot-bench/StoreGrowth.h>

using namespace Bergamot;

static constexpr Milliseconds hour { 3'600'000 };

TEST_GROUP(StoreGrowth) {};

// Guards against a model whose store stays level although nothing removes records, which would hide that it fills.
TEST(StoreGrowth, GrowsWithEveryJobWithoutRetention)
{
    StoreGrowth growth({ .jobsPerSecond = 1 });
    auto first = growth.advanceTo(hour);
    auto second = growth.advanceTo(2 * hour);
    CHECK(first.jobs > 3400);
    CHECK(first.jobs < 3800);
    DOUBLES_EQUAL(2.0 * static_cast<double>(first.bytes), static_cast<double>(second.bytes),
        0.1 * static_cast<double>(first.bytes));
}

// Guards against a model that keeps records which are due for removal.
TEST(StoreGrowth, StaysLevelOnceRetentionHasPassed)
{
    StoreGrowth growth({ .jobsPerSecond = 1, .retention = Milliseconds { 120'000 } });
    auto first = growth.advanceTo(hour);
    auto second = growth.advanceTo(10 * hour);
    CHECK(first.jobs < 200);
    CHECK(second.jobs < 200);
    CHECK(second.jobs > 60);
}

// Guards against results that a seed does not repeat.
TEST(StoreGrowth, IsTheSameForTheSameSeed)
{
    StoreGrowth first({ .seed = 3, .jobsPerSecond = 1 });
    StoreGrowth second({ .seed = 3, .jobsPerSecond = 1 });
    CHECK(first.advanceTo(hour) == second.advanceTo(hour));
}
