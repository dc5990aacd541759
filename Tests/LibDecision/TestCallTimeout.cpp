#include <CppUTest/TestHarness.h>
#include <LibDecision/CallTimeout.h>

using namespace Bergamot;

TEST_GROUP(CallTimeout) {};

// Guards against waiting seconds for a lost reply (recorded day inc-413f of the Sofia site: no job made progress
// for 5.6 s), and against retries that queue behind a slow store (day trouble-2 of that site).
TEST(CallTimeout, FollowsResponseTimeAndBacksOff)
{
    CallTimeout timeout({ .minTimeout = Milliseconds { 300 }, .maxTimeout = Milliseconds { 2200 } });
    for (int i = 0; i < 20; ++i)
        timeout.recordReply(Milliseconds { 8 });
    CHECK_EQUAL(300, timeout.current().count());
    timeout.recordTimeout();
    CHECK_EQUAL(600, timeout.current().count());
    for (int i = 0; i < 5; ++i)
        timeout.recordTimeout();
    CHECK_EQUAL(2200, timeout.current().count());
    for (int i = 0; i < 20; ++i)
        timeout.recordReply(Milliseconds { 250 });
    CHECK(timeout.current() > Milliseconds { 1000 });
    for (int i = 0; i < 40; ++i)
        timeout.recordReply(Milliseconds { 8 });
    CHECK_EQUAL(300, timeout.current().count());
}
