#include "CutOffCluster.h"
#include "TaskLeaderFixture.h"

using namespace Bergamot;

/// Time for which a leader renews leases without proof of its leadership, and that time by the fastest clock.
static constexpr Milliseconds longestRenewals { 300'000 };
static constexpr Milliseconds longestRenewalsByAnyClock { 309'000 };

/// A lease that is granted without proof of leadership.
static constexpr Milliseconds unconfirmedLease { 3000 };

/// What a leader needs beyond the renewals of earlier ones, their leases included.
static constexpr Milliseconds settlingTime { 6000 };

class UnstoppedLeadersFixture : public TaskLeaderFixture {
public:
    /// Three workers, of which the leaders reach only w1.
    void setup() override
    {
        elections.clear();
        haveLeadersStopped = [this](uint64_t first, uint64_t end) { return elections.haveLeadersStopped(first, end); };
        announce("w1");
        putAssignedWorkers({ "w1", "w2", "w3" });
        putJob("j");
        silent = { "w2", "w3" };
    }

    /// Lets a leader lead for `time`. It is known to stop at the end unless it `goesOn`.
    void lead(Milliseconds time, bool goesOn = false)
    {
        elect();
        run(time);
        CHECK_EQUAL(0, starts());
        if (!goesOn)
            elections.leaderStopped(epoch, {}, 0);
    }

    /// Checks that the next start follows when the renewals have ended of a leader that was replaced at `replacedAt`.
    void checkStartIsHeldBackSince(Instant replacedAt)
    {
        auto wait = timeOfStart(replacedAt, Milliseconds { 400'000 });
        CHECK(wait.has_value());
        CHECK(*wait >= longestRenewals + unconfirmedLease);
        CHECK(*wait <= longestRenewalsByAnyClock + settlingTime);
    }
};

TEST_GROUP_BASE(UnstoppedLeaders, UnstoppedLeadersFixture) {};

// Guards against a second run of a task, because the wait counts from an election before that of the leader that may go
// on, and against a wait that begins anew with each leader that has stopped.
TEST(UnstoppedLeaders, WaitCountsFromTheElectionAfterTheLastOfThem)
{
    lead(Milliseconds { 50'000 }, true);
    lead(Milliseconds { 50'000 });
    lead(Milliseconds { 50'000 }, true);
    lead(Milliseconds { 50'000 });
    auto replacedAt = electedAt;
    lead(Milliseconds { 50'000 });
    elect();
    checkStartIsHeldBackSince(replacedAt);
}

// Guards against a start before the last renewals have ended that the previous leader has sent until it stopped.
TEST(UnstoppedLeaders, LeasesAreCountedFromWhenThePreviousLeaderIsKnownToHaveStopped)
{
    lead(Milliseconds { 1000 }, true);
    lead(longestRenewalsByAnyClock, true);
    elect();
    run(Milliseconds { 10'000 });
    CHECK_EQUAL(0, starts());
    elections.leaderStopped(epoch - 1, {}, 0);
    auto stoppedAt = clock.now();
    auto wait = timeOfStart(stoppedAt, Milliseconds { 20'000 });
    CHECK(wait.has_value());
    CHECK(*wait >= unconfirmedLease);
}

// Guards against tasks that wait anew for 309 s under a process that was started after the elections, and against a
// start before the time that the records of the elections state has passed.
TEST(UnstoppedLeaders, RestartedProcessCountsFromTheAgesOfElections)
{
    constexpr Milliseconds age { 206'000 };
    constexpr double fastestClockRate = 1.03;
    auto leastAge = std::chrono::duration_cast<Milliseconds>(age / fastestClockRate);
    for (bool hasFirstStopped : { true, false }) {
        elections.clear();
        elections.add(++epoch, clock.now());
        if (hasFirstStopped)
            elections.leaderStopped(epoch, {}, 0);
        elections.add(epoch + 1, clock.now(), {}, { .sincePredecessor = age, .storesReachedWorkers = true });
        elect();
        checkStartIsHeldBackSince(hasFirstStopped ? electedAt - leastAge : electedAt);
    }
}

// Guards against tasks that wait anew for 309 s under each leader while one that is cut off from the store only goes on
// renewing leases, and against a second run before it has ceased.
TEST(UnstoppedLeaders, LeaderWithoutTheStoreIsWaitedForOnceAcrossLeaders)
{
    constexpr Milliseconds termOfSecond { 150'000 };
    constexpr Milliseconds electionTime { 3000 };
    constexpr Milliseconds shutdownTime { 5200 };
    CutOffCluster it;
    CutOffCluster::Member third { *it.loop, it.store, it.workers };
    it.runTask(5);
    const std::set<std::string> unreachable { "w1", "w2", "w3" };
    it.second.executor.unreachable = unreachable;
    third.executor.unreachable = unreachable;
    it.first.executor.unreachable = { "w4", "w5" };
    it.first.store.isCutOff = true;
    it.startNode(third, 3);
    it.advance(termOfSecond);
    CHECK_EQUAL(1, it.mostRuns);
    CHECK(it.workers.at("w1").runs.contains(it.task));
    it.second.node->prepareShutdown({ .endsBy = it.loop->now() + shutdownTime });
    it.advance(longestRenewalsByAnyClock + electionTime + settlingTime - termOfSecond);
    auto mostRuns = it.mostRuns;
    bool runsElsewhere = it.workers.at("w4").runs.contains(it.task) || it.workers.at("w5").runs.contains(it.task);
    third.node.reset();
    CHECK_EQUAL(1, mostRuns);
    CHECK(runsElsewhere);
}
