#include "LateCallDay.h"
#include <CppUTest/TestHarness.h>
#include <fmt/format.h>
#include <fmt/ranges.h>

using namespace Bergamot;

static constexpr uint32_t dayCount { 40 };

/// What happens at a change of leader.
enum class LeaderChange : uint8_t { Lost, DeposedLate };

enum class Tasks : uint8_t { Short, ShortAndLasting };

static void checkDays(uint32_t days, uint32_t leaderChangePercent, bool hasLateCalls,
    LeaderChange change = LeaderChange::Lost, Tasks tasks = Tasks::Short)
{
    // Without acknowledged ends, a day would check nothing.
    constexpr size_t minAcknowledgedTasks { 20 };
    std::string violations;
    size_t misdirectedCalls = 0;
    size_t lastingStarts = 0;
    for (uint32_t seed = 1; seed <= days; ++seed) {
        LateCallDay day(seed);
        day.hasLastingTasks = tasks == Tasks::ShortAndLasting;
        day.areLeadersDeposedLate = change == LeaderChange::DeposedLate;
        if (!hasLateCalls)
            day.executor.latePercent = day.executor.latePercentWhileUnreachable = 0;
        day.run(leaderChangePercent);
        misdirectedCalls += day.executor.misdirectedCalls;
        lastingStarts += day.lastingStarts;
        // Lasting tasks leave less room to the others, and are started again all day.
        auto events = tasks == Tasks::Short ? day.executor.acknowledged.size() : day.lastingStarts;
        CHECK_TEXT(events >= minAcknowledgedTasks, fmt::format("few ends or starts, seed {}", seed).c_str());
        if (!day.violations.empty())
            violations += fmt::format("\nseed {}: {}", seed, fmt::join(day.violations, "; "));
    }
    // Without such calls, the days would check nothing.
    constexpr size_t minMisdirectedCalls { 10 };
    constexpr size_t minLastingStarts { 40 };
    CHECK(!hasLateCalls || misdirectedCalls >= minMisdirectedCalls * days);
    CHECK(tasks == Tasks::Short || lastingStarts >= minLastingStarts * days);
    STRCMP_EQUAL("", violations.c_str());
}

TEST_GROUP(LateCalls) {};

// Guards against a task that runs twice, because its worker has started again under its id and a lease by the clock of
// the former incarnation, or a start that it has executed late, lets it run on while it is cut off.
TEST(LateCalls, NoTaskRunsTwiceOnWorkersThatReturnUnderTheirIds) { checkDays(dayCount, 0, true); }

// Guards against the same when the late calls, and the contact with the former incarnation, are those of earlier
// leaders.
TEST(LateCalls, NoTaskRunsTwiceUnderNewLeaders) { checkDays(dayCount, 15, true); }

// Guards against the same when each of many leaders goes on after the election of the next one, and counts a lease of
// the longest duration by the replies that it gets then.
TEST(LateCalls, NoTaskRunsTwiceUnderLeadersThatAreDeposedLate)
{
    checkDays(dayCount, 40, true, LeaderChange::DeposedLate);
}

// Guards against a start that counts as accepted by the former incarnation, because the reply of the next one does not
// name it.
TEST(LateCalls, NoTaskRunsTwiceAfterAStartByTheNextIncarnation) { checkDays(2 * dayCount, 0, false); }

// Guards against a lasting task that runs twice, because a new leader relies on its stored placement while a late call
// has started it elsewhere.
TEST(LateCalls, NoLastingTaskRunsTwiceUnderNewLeaders)
{
    checkDays(dayCount, 30, true, LeaderChange::Lost, Tasks::ShortAndLasting);
}

// Guards against the same when each of many leaders goes on after the election of the next one.
TEST(LateCalls, NoLastingTaskRunsTwiceUnderLeadersThatAreDeposedLate)
{
    checkDays(dayCount, 40, true, LeaderChange::DeposedLate, Tasks::ShortAndLasting);
}

// Guards against a lasting task that starts again while a later incarnation of its worker runs it: earlier leaders knew
// of that incarnation and had not stored it, and the stored one counts as lost.
TEST(LateCalls, LastingTaskDoesNotRunBesideAnIncarnationThatIsNotStored)
{
    constexpr uint32_t seed { 1072 };
    constexpr uint32_t leaderChangePercent { 30 };
    LateCallDay day(seed);
    day.hasLastingTasks = true;
    day.run(leaderChangePercent);
    STRCMP_EQUAL("", fmt::format("{}", fmt::join(day.violations, "; ")).c_str());
}
