#include "DrainDay.h"
#include <CppUTest/TestHarness.h>
#include <fmt/format.h>
#include <fmt/ranges.h>

using namespace Bergamot;

static void checkDays(uint32_t days, DrainDay::Options options)
{
    // Without ends that are lost with their workers, and others that are noted, a day would check nothing.
    constexpr size_t minLostEnds { 4 };
    constexpr size_t minNotedTasks { 200 };
    size_t lostEnds = 0;
    size_t notedTasks = 0;
    std::string violations;
    for (uint32_t seed = 1; seed <= days; ++seed) {
        DrainDay day(seed, options);
        day.run();
        lostEnds += day.lostEnds;
        notedTasks += day.notedAt.size();
        if (!day.violations.empty())
            violations += fmt::format("\nseed {}: {}", seed, fmt::join(day.violations, "; "));
    }
    CHECK(lostEnds >= minLostEnds * days);
    CHECK(notedTasks >= minNotedTasks * days);
    STRCMP_EQUAL("", violations.c_str());
}

TEST_GROUP(DrainedWorkers) {};

static constexpr uint32_t dayCount { 30 };

// Guards against a second run of a task (TWICE in issue 58) whose worker has held its end as done for 100 ms before it
// left, or whose leader has got that end.
TEST(DrainedWorkers, NoTaskStartsAgainAfterAnEndThatItsWorkerHeldWhenItLeft) { checkDays(dayCount, {}); }

// Guards against a second run of a task whose leader has got its end, when connections break and replies are late or
// cut off.
TEST(DrainedWorkers, NoTaskStartsAgainAfterItsNotedEndOnAFaultyNetwork)
{
    checkDays(dayCount, { .isNetworkFaulty = true });
}
