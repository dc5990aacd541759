#include "OverloadedService.h"
#include <CppUTest/TestHarness.h>
#include <LibDecision/ReadySteps.h>

namespace Bergamot {

TEST_GROUP(Overload)
{
    static constexpr Milliseconds settling { 12000 };
    static constexpr Milliseconds period { 8000 };

    /// Checks the share, in percent, of the jobs that arrive after the settling of a service that lost its workers.
    static void checkShareInTime(uint32_t steps, size_t minPercent)
    {
        OverloadedService service({ .steps = steps });
        service.passFor(settling);
        auto begin = service.now();
        service.passFor(period);
        auto end = service.now();
        service.passFor(2 * settling);
        auto result = service.resultOf(begin, end);
        CHECK_COMPARE(100 * result.inTime, >=, minPercent * result.jobs);
    }
};

// With the earliest objective first, no job is in time that arrives after a backlog has formed.
TEST(Overload, JobsThatArriveBehindABacklogAreInTimeUpToTheCapacity) { checkShareInTime(1, 45); }

// The same with chains of steps, whose work is lost if a later step waits.
TEST(Overload, ChainsThatArriveBehindABacklogAreInTimeUpToTheCapacity) { checkShareInTime(3, 40); }

// Jobs that are too late would wait without end while the load lasts.
TEST(Overload, TheOldestJobsEndWhileTheOverloadLasts)
{
    OverloadedService service({});
    service.passFor(Milliseconds { 120000 });
    auto oldest = service.resultOf(Instant {}, Instant {} + Milliseconds { 2000 });
    LONGS_EQUAL(oldest.jobs, oldest.completed);
}

// A backlog that no job of use remains of must be worked off.
TEST(Overload, AllJobsEndOnceTheLoadIsOver)
{
    OverloadedService service({});
    service.passFor(settling);
    service.setLoad(0);
    service.passFor(Milliseconds { 60000 });
    auto all = service.resultOf(Instant {}, service.now());
    LONGS_EQUAL(all.jobs, all.completed);
}

// Estimates are rough: in a short backlog, a job that seems to be late may still be in time.
TEST(Overload, AShortBacklogKeepsTheEarliestObjectiveFirst)
{
    constexpr int64_t now { 1000 };
    ReadySteps steps;
    steps.add({ .key = { 0, 900, 1 }, .deadlines = StepDeadlines::create(0, 900, 500) });
    steps.add({ .key = { 0, 9000, 2 }, .deadlines = StepDeadlines::create(0, 9000, 500) });
    auto first = [&] { return std::get<2>(steps.begin()->second.key); };
    steps.update(now, Milliseconds { 1000 });
    LONGS_EQUAL(1, first());
    steps.update(now, Milliseconds { 60000 });
    LONGS_EQUAL(2, first());
    steps.update(now, Milliseconds { 0 });
    LONGS_EQUAL(1, first());
}

}
