#include "RestartSeriesWorld.h"
#include <CppUTest/TestHarness.h>
#include <algorithm>

using namespace Bergamot;

TEST_GROUP(RestartSeries) {};

// Guards against hosts without a leader while each process is asked to end before it could claim (13 s on such a day).
TEST(RestartSeries, OverlappingSeriesDoNotKeepHostsWithoutALeader)
{
    constexpr Milliseconds maxTimeWithoutLeader { 2500 };
    constexpr uint32_t days { 40 };
    Milliseconds longest { 0 };
    for (uint32_t seed = 1; seed <= days; ++seed) {
        RestartSeriesWorld it { seed, 3 + seed % 7 };
        CHECK(it.begin());
        it.lifeTime = [&it] { return it.pickTime(300, 2000); };
        for (auto& host : it.hosts)
            host.nextTermAt = it.clock.now() + it.pickTime(300, 8000);
        for (int kills = 0; kills < 10; ++kills) {
            it.advance(it.pickTime(1000, 8000));
            if (auto* host = it.leadingHost())
                it.end(*host, it.pickTime(200, 3000));
        }
        longest = std::max(longest, it.longestWithoutLeader);
        if (it.longestWithoutLeader > maxTimeWithoutLeader)
            UT_PRINT(StringFromFormat("seed %u: %d ms", seed, static_cast<int>(it.longestWithoutLeader.count()))
                         .asCharString());
    }
    CHECK_COMPARE(longest.count(), <=, maxTimeWithoutLeader.count());
}

// Guards against a drain without a leader after a hand-over to a process that has been killed.
TEST(RestartSeries, HandOverToAKilledProcessIsTakenBack)
{
    RestartSeriesWorld it { 1, 2 };
    CHECK(it.begin());
    auto* leading = it.leadingHost();
    for (auto& host : it.hosts) {
        if (&host != leading)
            it.end(host, Milliseconds { 60'000 });
    }
    it.terminate(*leading);
    it.advance(Milliseconds { 4000 });
    CHECK(it.isLed());
    CHECK_COMPARE(it.longestWithoutLeader.count(), <=, 1300);
}
