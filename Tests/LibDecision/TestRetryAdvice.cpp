#include <CppUTest/TestHarness.h>
#include <LibDecision/RetryAdvice.h>
#include <set>

using namespace Bergamot;

TEST_GROUP(RetryAdvice) {};

// Guards against callers who use up four retries within an outage of four seconds: incident inc-2240 of the grown Riga
// site.
TEST(RetryAdvice, FourRetriesOutlastAnOutageOfSixSeconds)
{
    for (uint64_t caller = 0; caller < 20; ++caller) {
        Milliseconds outage { 0 };
        for (int retry = 0; retry < 4; ++retry)
            outage += Milliseconds { 1000 * RetryAdvice::seconds(outage, caller) };
        CHECK(outage >= Milliseconds { 6000 });
    }
}

// Guards against a long wait after a failure that lasts a moment, and against advice that grows without bound.
TEST(RetryAdvice, AdviceIsShortAtFirstAndBounded)
{
    CHECK_EQUAL(1, RetryAdvice::seconds(Milliseconds { 0 }, 7));
    CHECK_EQUAL(1, RetryAdvice::seconds(Milliseconds { -5 }, 7));
    CHECK_EQUAL(4, RetryAdvice::seconds(Milliseconds { 3'600'000 }, 7));
}

// Guards against all callers of an outage coming back in the same second.
TEST(RetryAdvice, CallersAreSpread)
{
    std::set<uint32_t> seconds;
    for (uint64_t caller = 0; caller < 8; ++caller)
        seconds.insert(RetryAdvice::seconds(Milliseconds { 2500 }, caller));
    CHECK(seconds.size() > 1);
}
