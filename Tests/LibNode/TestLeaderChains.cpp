#include "LeaderChainDay.h"
#include <CppUTest/TestHarness.h>
#include <cstdio>
#include <cstdlib>
#include <fmt/format.h>
#include <fmt/ranges.h>

using namespace Bergamot;

TEST_GROUP(LeaderChains) {};

/// What several days have shown, with the seeds that show it.
struct ChainResults {
    std::string runs;
    std::string renewedWaits;
    std::string lateStarts;

    static void add(std::string& text, const std::string& day, const std::vector<std::string>& seen)
    {
        if (!seen.empty())
            text += fmt::format("\n{}: {} in all; {}", day, seen.size(), seen.front());
    }

    void add(const std::string& name, const LeaderChainDay& day)
    {
        add(runs, name, day.runViolations);
        add(renewedWaits, name, day.renewedWaits);
        add(lateStarts, name, day.lateStarts);
        if (std::getenv("LEADER_CHAINS_VERBOSE"))
            fmt::print("{}: {} elections, longest wait {} ms, {} waits begun anew, {} late, {} wrong runs\n{}\n", name,
                day.elections, day.longestWait().count(), day.renewedWaits.size(), day.lateStarts.size(),
                day.runViolations.size(), fmt::join(day.events, "\n"));
    }
};

/// A worker is lost under the first of `changes + 1` leaders, whose hosts are restarted one after the other.
static void playSeries(uint32_t changes, Milliseconds term, ChainResults& results)
{
    // Enough that the first one is back before the last one stops: nothing shows how long all processes were away.
    constexpr size_t hostCount { 10 };
    LeaderChainDay day(1, hostCount);
    CHECK(day.begin());
    auto lost = std::ranges::find_if(day.executor.workers, [](const auto& it) { return !it.second.runs.empty(); });
    day.loseWorker(lost->first, true);
    for (uint32_t i = 0; i < changes; ++i) {
        CHECK(day.advanceUntilLed(LeaderChainDay::shutdownTime + LeaderChainDay::electionAfterKill));
        day.advance(term);
        day.endTerm(LeaderChainDay::EndOfTerm::Stop);
    }
    day.advance(Milliseconds { 9000 });
    CHECK(day.areLastingTasksRunning());
    results.add(fmt::format("{} changes, terms of {} ms", changes, term.count()), day);
}

// Guards against a wait for the lease of a lost worker that each leader of a series of restarts starts anew (issue 58),
// and against a task that runs twice because such a leader waits too short.
TEST(LeaderChains, WaitForALostWorkerDoesNotGrowWithTheNumberOfRestarts)
{
    ChainResults results;
    for (auto term : { Milliseconds { 400 }, Milliseconds { 700 }, Milliseconds { 1000 } }) {
        for (uint32_t changes : { 0, 1, 2, 4, 8, 16 })
            playSeries(changes, term, results);
    }
    STRCMP_EQUAL("", results.runs.c_str());
    STRCMP_EQUAL("", results.renewedWaits.c_str());
    STRCMP_EQUAL("", results.lateStarts.c_str());
}

/// Plays the days of some seeds. The environment variable LEADER_CHAINS_SEEDS may name others, such as 61-700.
template <typename Play> static ChainResults playSeeds(const char* name, uint32_t count, Play&& play)
{
    uint32_t first = 1;
    uint32_t last = count;
    if (const auto* seeds = std::getenv("LEADER_CHAINS_SEEDS"))
        std::sscanf(seeds, "%u-%u", &first, &last);
    ChainResults played;
    for (uint32_t seed = first; seed <= last; ++seed) {
        LeaderChainDay day(seed);
        CHECK_TEXT(day.begin(), fmt::format("no start, {} {}", name, seed).c_str());
        play(day);
        played.add(fmt::format("{} {}", name, seed), day);
    }
    return played;
}

static const ChainResults& playedDays()
{
    static const auto results = playSeeds("seed", 60, [](LeaderChainDay& day) { day.run(); });
    return results;
}

// Guards against waits for leases that leaders start anew one after the other, whatever ends them and whatever workers
// are lost meanwhile (issue 58), and against a task that runs on two workers or again after its acknowledged end,
// because a leader that follows others waits too short.
TEST(LeaderChains, LeasesAreWaitedForOnceWhateverTheNumberOfLeaders)
{
    STRCMP_EQUAL("", playedDays().runs.c_str());
    STRCMP_EQUAL("", playedDays().renewedWaits.c_str());
}

// Guards against a wait that counts from an election long after the loss, because the leader in office went on until
// then.
TEST(LeaderChains, WaitCountsFromTheLossWhateverTheNumberOfLeaders)
{
    STRCMP_EQUAL("", playedDays().lateStarts.c_str());
}

// Guards against a task that waits for workers on which it cannot run: others left between the leaders (issue 61).
TEST(LeaderChains, TasksOfReachedWorkersDoNotWaitForDepartures)
{
    constexpr uint32_t seeds { 30 };
    constexpr Milliseconds maxWait { 1500 };
    std::string late;
    auto played = playSeeds("departures, seed", seeds, [&](LeaderChainDay& day) {
        for (auto wait : day.waitsBesideDepartures()) {
            if (wait > maxWait)
                late += fmt::format(" {}", wait.count());
        }
    });
    STRCMP_EQUAL("", late.c_str());
    STRCMP_EQUAL("", played.runs.c_str());
}

// Guards against a task that runs twice, because a leader has renewed the lease of a worker that it has stored as
// unreached before the record without this worker is stored.
TEST(LeaderChains, NoTaskRunsTwiceAfterTheReturnOfItsWorker)
{
    constexpr uint32_t seeds { 30 };
    auto played = playSeeds("returning, seed", seeds, [](LeaderChainDay& day) { day.runWithReturningWorker(); });
    STRCMP_EQUAL("", played.runs.c_str());
}

// Guards against a task that runs twice, because the lease of its worker lasts longer by the worker's clock.
TEST(LeaderChains, NoTaskRunsTwiceOnAWorkerThatIsCutOffAtAStop)
{
    constexpr uint32_t seeds { 30 };
    auto played = playSeeds("cut off at a stop, seed", seeds, [](LeaderChainDay& day) { day.runWithCutOffAtAStop(); });
    STRCMP_EQUAL("", played.runs.c_str());
}

// Guards against a task that runs twice, because a leader takes it for idle although another one has started it: tasks
// wait for room while leaders follow each other, and workers are restarted.
TEST(LeaderChains, NoTaskRunsTwiceAfterItHasWaitedForRoom)
{
    constexpr uint32_t seeds { 40 };
    auto played = playSeeds("little room, seed", seeds, [](LeaderChainDay& day) { day.runWithLittleRoom(false); });
    STRCMP_EQUAL("", played.runs.c_str());
}

// Guards against the same beside starts that cut-off workers execute late, also when their leader has been replaced.
TEST(LeaderChains, NoTaskRunsTwiceAfterALateStart)
{
    constexpr uint32_t seeds { 40 };
    auto played = playSeeds("late calls, seed", seeds, [](LeaderChainDay& day) { day.runWithLittleRoom(true); });
    STRCMP_EQUAL("", played.runs.c_str());
}

// Guards against a task that runs twice, because a leader has started it without a record that it is idle no more.
TEST(LeaderChains, NoTaskRunsTwiceAfterItsLeaderHasLostTheStore)
{
    constexpr uint32_t seeds { 40 };
    auto played
        = playSeeds("store lost, seed", seeds, [](LeaderChainDay& day) { day.runWithRoomBesideACutOffLeader(); });
    STRCMP_EQUAL("", played.runs.c_str());
}
