#include <CppUTest/TestHarness.h>
#include <LibDecision/CallTimeout.h>

using namespace Bergamot;

TEST_GROUP(CallTimeout) {};

// Guards against seconds of waiting for a lost answer (recorded day inc-413f of the Sofia site: the progress of all
// jobs stood still for 5.6 s), and against repeats that queue behind a slow store (day trouble-2 of that site).
TEST(CallTimeout, FollowsTheUsualTimeAndBacksOff)
{
    CallTimeout timeout({ .minTimeout = Milliseconds { 300 }, .maxTimeout = Milliseconds { 2200 } });
    for (int i = 0; i < 20; ++i)
        timeout.answered(Milliseconds { 8 });
    CHECK_EQUAL(300, timeout.current().count());
    timeout.timedOut();
    CHECK_EQUAL(600, timeout.current().count());
    for (int i = 0; i < 5; ++i)
        timeout.timedOut();
    CHECK_EQUAL(2200, timeout.current().count());
    for (int i = 0; i < 20; ++i)
        timeout.answered(Milliseconds { 250 });
    CHECK(timeout.current() > Milliseconds { 1000 });
    for (int i = 0; i < 40; ++i)
        timeout.answered(Milliseconds { 8 });
    CHECK_EQUAL(300, timeout.current().count());
}
