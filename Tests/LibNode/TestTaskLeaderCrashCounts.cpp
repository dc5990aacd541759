#include "CrashDay.h"
#include <CppUTest/TestHarness.h>
#include <algorithm>
#include <utility>
#include <vector>

using namespace Bergamot;

/// A task that crashes its workers, under leaders that are killed at random moments around the crashes, while the store
/// loses and delays answers.
struct CrashCount {
    static constexpr Milliseconds maxTime { 120'000 };

    struct Options {
        uint32_t seed { 1 };

        /// Share of the crashes after which the leader is killed, and by when.
        uint32_t killPercent { 50 };
        uint32_t maxKillDelayMs { 3000 };

        /// Share of the starts of the task after which the leader is killed, within `maxTimeFromStartMs`.
        uint32_t killPercentOfStarts { 0 };
    };
    static constexpr uint32_t maxTimeFromStartMs { 400 };

    Options options;
    CrashDay day;
    size_t crashes { 0 };
    size_t startsAfterThirdCrash { 0 };

    /// The times at which the leader is killed, and how long it takes until there is another one.
    std::vector<std::pair<Instant, Milliseconds>> plannedKills;

    explicit CrashCount(Options crashOptions)
        : options(crashOptions)
        , day(options.seed)
    {
        day.executor.onStart = [this](const TaskRef& task, uint64_t) { handleStart(task); };
        day.executor.onCrash = [this](const TaskRef&, uint64_t) { handleCrash(); };
    }

    void planKill(uint32_t maxDelayMs)
    {
        auto killAt = day.clock.now() + Milliseconds { day.pick(maxDelayMs) };
        plannedKills.emplace_back(killAt, Milliseconds { 300 + day.pick(2500) });
    }

    void handleStart(const TaskRef& task)
    {
        constexpr size_t crashesUntilCounted { 3 };
        if (!day.crashingJobs.contains(task.job))
            return;
        if (crashes >= crashesUntilCounted)
            ++startsAfterThirdCrash;
        if (options.killPercentOfStarts > 0 && day.pick(100) < options.killPercentOfStarts)
            planKill(maxTimeFromStartMs);
    }

    void handleCrash()
    {
        ++crashes;
        if (day.pick(100) < options.killPercent)
            planKill(options.maxKillDelayMs);
        if (day.pick(3) == 0) {
            auto fault = static_cast<FakeRecordStore::Fault>(1 + day.pick(3));
            day.injectStoreFault(fault, Milliseconds { 50 + day.pick(900) });
        }
    }

    void killLeaders()
    {
        std::erase_if(plannedKills, [&](const auto& it) {
            if (it.first > day.clock.now())
                return false;
            if (day.leader)
                day.killLeader(it.second);
            return true;
        });
    }

    FaultyWorkers::TaskShape randomCrash()
    {
        constexpr uint32_t downTimesMs[] { 50, 300, 3000, 7000 };
        return { .timeToCrash = Milliseconds { 10 + day.pick(10) * day.pick(100) },
            .downTime = Milliseconds { downTimesMs[day.pick(4)] },
            .isSilentAfterCrash = day.pick(3) == 0 };
    }

    /// Plays until the job of the task has ended.
    void play()
    {
        day.crashingJobs["bad"] = randomCrash();
        day.addWorkers(8);
        day.putJob("good", 8, 100'000);
        day.putJob("bad", 1, 60'000);
        day.lead();
        for (auto end = day.clock.now() + maxTime;
             day.clock.now() < end && day.storedState("bad") < JobStage::Completed;) {
            day.advance(CrashDay::tickTime);
            killLeaders();
        }
    }
};

TEST_GROUP(TaskLeaderCrashCounts) {
    static void check(CrashCount::Options options) { constexpr size_t maxStartsAfterThirdCrash { 2 };
CrashCount count(options);
count.play();
auto text = fmt::format("seed {}", options.seed);
CHECK_TEXT(count.startsAfterThirdCrash <= maxStartsAfterThirdCrash, text.c_str());
CHECK_TEXT(count.day.storedState("bad") == JobStage::Failed, text.c_str());
CHECK_TEXT(count.day.storedState("good") != JobStage::Failed, text.c_str());
}
}
;

// Guards against a task that is started three times more after three crashes (BUDGET in issue 29), because each leader
// that is killed before it notices a crash leaves it uncounted.
TEST(TaskLeaderCrashCounts, CrashesAreCountedAcrossLeadersThatAreKilled)
{
    constexpr uint32_t seeds { 400 };
    for (uint32_t seed = 1; seed <= seeds; ++seed)
        check({ .seed = seed });
}

// Guards against the same when each leader is killed right after a crash, before its record can be stored.
TEST(TaskLeaderCrashCounts, LeadersKilledRightAfterTheCrashesDoNotHideThem)
{
    constexpr uint32_t seeds { 420 };
    for (uint32_t seed = 1; seed <= seeds; ++seed)
        check({ .seed = seed, .killPercent = 100, .maxKillDelayMs = 200 });
}

// Guards against the same when leaders are killed between the starts and the crashes too.
TEST(TaskLeaderCrashCounts, LeadersKilledAfterTheStartsDoNotHideTheCrashes)
{
    constexpr uint32_t seeds { 200 };
    for (uint32_t seed = 1; seed <= seeds; ++seed)
        check({ .seed = seed, .maxKillDelayMs = 1000, .killPercentOfStarts = 70 });
}
