#include <CppUTest/TestHarness.h>
#include <LibDecision/IsolationLimit.h>

using namespace Bergamot;

// The limit bounds the workers that isolated runs take down, and follows how often they do.
TEST_GROUP(IsolationLimit)
{
    static constexpr uint32_t workers { 48 };
    IsolationLimit limit;
    Instant now { Milliseconds { 1000 } };
};

// Guards against many workers that go down at once before anything is known of the suspected tasks.
TEST(IsolationLimit, FewRunsAreIsolatedAtFirst)
{
    CHECK_EQUAL(4, limit.limitFor(workers, now));
    CHECK_EQUAL(3, limit.limitFor(8, now));
}

// Guards against a limit that keeps harmless tasks waiting, against one that takes most workers out of use, and against
// one that stays large when tasks do crash.
TEST(IsolationLimit, GrowsWithHarmlessRunsAndShrinksWithCrashes)
{
    for (int i = 0; i < 16; ++i)
        limit.recordHarmlessRun(now);
    CHECK_EQUAL(workers / 4, limit.limitFor(workers, now));
    for (int i = 0; i < 16; ++i)
        limit.recordCrash(now);
    CHECK_COMPARE(limit.limitFor(workers, now), <=, 5U);
}

// Guards against a large limit that outlives the conditions under which it was found harmless.
TEST(IsolationLimit, HarmlessRunsAreForgotten)
{
    for (int i = 0; i < 16; ++i)
        limit.recordHarmlessRun(now);
    now += Milliseconds { 300000 };
    CHECK_EQUAL(4, limit.limitFor(workers, now));
}
