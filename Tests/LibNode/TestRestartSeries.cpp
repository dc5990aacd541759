#include "RestartSeriesWorld.h"
#include <CppUTest/TestHarness.h>
#include <algorithm>
#include <vector>

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

/// Restarts each process once, the leader in office first wherever it is left, and returns the changes of leader.
static uint32_t changesInSeries(RestartSeriesWorld& it, Milliseconds gap)
{
    std::vector<RestartSeriesWorld::Host*> left;
    for (auto& host : it.hosts)
        left.push_back(&host);
    auto before = it.elections;
    while (!left.empty()) {
        auto next = std::ranges::find(left, it.leadingHost());
        if (next == left.end())
            next = left.begin() + it.random() % left.size();
        it.terminate(**next);
        left.erase(next);
        it.advance(gap);
    }
    it.advance(Milliseconds { 8000 });
    return it.elections - before;
}

// Guards against a change of leader at each restart of a series, because the next host of the series succeeds.
TEST(RestartSeries, SeriesOverAllHostsCostsFewChanges)
{
    constexpr size_t hostCount { 8 };
    constexpr uint32_t maxChanges { 3 };
    constexpr uint32_t series { 40 };
    uint32_t most = 0;
    for (uint32_t seed = 1; seed <= series; ++seed) {
        RestartSeriesWorld it { seed, hostCount };
        CHECK(it.begin());
        most = std::max(most, changesInSeries(it, Milliseconds { 7000 }));
        CHECK(it.isLed());
    }
    CHECK_COMPARE(most, <=, maxChanges);
}
