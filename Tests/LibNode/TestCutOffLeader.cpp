#include "CutOffCluster.h"
#include <CppUTest/TestHarness.h>
#include <LibWire/LeadershipRecord.h>
#include <LibWire/ValueCodec.h>

using namespace Bergamot;

TEST_GROUP(CutOffLeader) {};

/// Number of elections in the leadership stream.
static size_t countElections(FakeRecordStore& store)
{
    size_t n = 0;
    for (const auto& record : store.records(StreamName::Leadership)) {
        auto decoded = decodeValue<LeadershipRecord>(record.value);
        n += decoded.ok() && decoded->epoch == 0 ? 1 : 0;
    }
    return n;
}

/// Delays of the loss of contact, so that it meets keepalives, reports and lease renewals in different states.
static constexpr Milliseconds delayStep { 70 };
static constexpr Milliseconds maxDelay { 2100 };

// Guards against a task that runs twice because a leader, cut off from the store and from most workers, goes on
// renewing the lease of a worker that its successor cannot reach and whose lease it waits for.
TEST(CutOffLeader, LeasesEndBeforeTheSuccessorStartsTheirTasks)
{
    for (Milliseconds delay { 0 }; delay <= maxDelay; delay += delayStep) {
        CutOffCluster it;
        it.runTask(3);
        it.advance(delay);
        it.first.store.isCutOff = true;
        it.first.executor.unreachable = { "w2", "w3" };
        it.second.executor.unreachable = { "w1" };
        it.advance(Milliseconds { 20000 });
        CHECK_EQUAL(1, it.mostRuns);
        CHECK_FALSE(it.workers.at("w1").runs.contains(it.task));
        CHECK_EQUAL(1, it.workers.runsOf(it.task));
    }
}

// Guards against the same after an outage of the store, in which the leader has gone on renewing.
TEST(CutOffLeader, LeasesEndWhenTheLeaderIsCutOffDuringAnOutageOfTheStore)
{
    for (Milliseconds delay { 0 }; delay <= maxDelay; delay += delayStep) {
        CutOffCluster it;
        it.runTask(3);
        it.first.store.isCutOff = true;
        it.second.store.isCutOff = true;
        it.advance(Milliseconds { 9000 } + delay);
        it.first.executor.unreachable = { "w2", "w3" };
        it.second.executor.unreachable = { "w1" };
        it.second.store.isCutOff = false;
        it.advance(Milliseconds { 20000 });
        CHECK_EQUAL(1, it.mostRuns);
        CHECK_EQUAL(1, it.workers.runsOf(it.task));
    }
}

// Guards against running tasks that end in an outage of the store alone, also when most workers are idle and two have
// fallen silent.
TEST(CutOffLeader, RunningTasksSurviveAnOutageOfTheStore)
{
    CutOffCluster it;
    it.runTask(9);
    auto run = it.workers.at("w1").runs.at(it.task);
    it.first.store.isCutOff = true;
    it.second.store.isCutOff = true;
    it.first.executor.unreachable = { "w8", "w9" };
    it.second.executor.unreachable = { "w8", "w9" };
    it.advance(Milliseconds { 60000 });
    CHECK_EQUAL(1, it.fewestRuns);
    CHECK_EQUAL(1, it.mostRuns);
    CHECK_EQUAL(run, it.workers.at("w1").runs.at(it.task));
}

// Guards against a task that runs twice when the cut-off leader still reaches most workers.
TEST(CutOffLeader, LeasesEndAlsoWhenMostWorkersAreReachable)
{
    CutOffCluster it;
    it.runTask(3);
    it.first.store.isCutOff = true;
    it.first.executor.unreachable = { "w3" };
    it.second.executor.unreachable = { "w1", "w2" };
    it.advance(Milliseconds { 20000 });
    CHECK_EQUAL(1, it.mostRuns);
}

// Guards against a task that runs twice when the cut-off leader goes on renewing the lease of a worker that its
// successor cannot reach, until one of the workers that both reach rejects it.
TEST(CutOffLeader, LeasesEndInTimeWhenTheSuccessorReachesMostWorkers)
{
    for (Milliseconds delay { 0 }; delay <= maxDelay; delay += delayStep) {
        CutOffCluster it;
        it.runTask(3);
        it.advance(delay);
        it.first.store.isCutOff = true;
        it.second.executor.unreachable = { "w1" };
        it.advance(Milliseconds { 20000 });
        CHECK_EQUAL(1, it.mostRuns);
        CHECK_EQUAL(1, it.workers.runsOf(it.task));
    }
}

// Guards against running tasks that end in an outage of the store, with a zone without power, because leases without
// proof of leadership are too short for a leader that reads replies late.
TEST(CutOffLeader, RunningTasksSurviveAnOutageOfTheStoreUnderASlowLeader)
{
    for (Milliseconds readDelay { 100 }; readDelay <= Milliseconds { 700 }; readDelay += Milliseconds { 200 }) {
        CutOffCluster it;
        it.runTask(9);
        it.first.executor.readDelay = readDelay;
        it.advance(Milliseconds { 3000 });
        it.first.store.isCutOff = true;
        it.second.store.isCutOff = true;
        it.first.executor.unreachable = { "w7", "w8", "w9" };
        it.advance(Milliseconds { 5000 });
        CHECK_EQUAL(1, it.fewestRuns);
        it.advance(Milliseconds { 10000 });
        CHECK_EQUAL(1, it.fewestRuns);
    }
}

// Guards against the same at other moments, and against a task that does not run once all nodes have contact again.
TEST(CutOffLeader, TaskRunsOnceUntilAndAfterContactIsRestored)
{
    for (Milliseconds delay { 0 }; delay <= maxDelay; delay += delayStep) {
        CutOffCluster it;
        it.runTask(3);
        it.advance(delay);
        it.first.store.isCutOff = true;
        it.first.executor.unreachable = { "w3" };
        it.second.executor.unreachable = { "w1", "w2" };
        it.advance(Milliseconds { 20000 });
        CHECK_EQUAL(1, it.mostRuns);
        it.first.store.isCutOff = false;
        it.first.executor.unreachable.clear();
        it.second.executor.unreachable.clear();
        it.advance(Milliseconds { 10000 });
        CHECK_EQUAL(1, it.mostRuns);
        CHECK_EQUAL(1, it.workers.runsOf(it.task));
    }
}

// Guards against a task that runs twice while two regions have lost each other: the store and a quarter of the workers
// are in one, the leader and the others in the other, whose entries expire.
TEST(CutOffLeader, TaskRunsOnceWhileTwoRegionsHaveLostEachOther)
{
    constexpr Milliseconds longCut { 330'000 };
    constexpr Milliseconds silenceUntilRemoval { 3000 };
    for (Milliseconds delay { 0 }; delay <= maxDelay; delay += 5 * delayStep) {
        CutOffCluster it;
        it.runTask(8);
        it.advance(delay);
        it.first.store.isCutOff = true;
        it.first.executor.unreachable = { "w7", "w8" };
        it.second.executor.unreachable = { "w1", "w2", "w3", "w4", "w5", "w6" };
        it.advance(silenceUntilRemoval);
        CHECK_EQUAL(1, it.mostRuns);
        for (const auto& id : it.second.executor.unreachable)
            it.store.put(StreamName::Workers, id, {});
        it.advance(delay == Milliseconds { 0 } ? longCut : Milliseconds { 30'000 });
        CHECK_EQUAL(1, it.mostRuns);
        CHECK_EQUAL(1, it.workers.runsOf(it.task));
        CHECK(delay == Milliseconds { 0 } || it.workers.at("w1").runs.contains(it.task));
    }
}

// Guards against a cut-off leader that takes a lease as expired which its successor has renewed, and starts the task
// again on the workers that it still reaches.
TEST(CutOffLeader, CutOffLeaderDoesNotRestartTasksOfWorkersThatItsSuccessorReaches)
{
    for (Milliseconds delay { 0 }; delay <= maxDelay; delay += 5 * delayStep) {
        CutOffCluster it;
        it.runTask(8);
        it.advance(delay);
        it.first.store.isCutOff = true;
        it.first.executor.unreachable = { "w1", "w2" };
        it.second.executor.unreachable = { "w3", "w4", "w5", "w6", "w7", "w8" };
        it.advance(Milliseconds { 30'000 });
        CHECK_EQUAL(1, it.mostRuns);
        CHECK(it.workers.at("w1").runs.contains(it.task));
        it.first.store.isCutOff = false;
        it.first.executor.unreachable.clear();
        it.second.executor.unreachable.clear();
        it.advance(Milliseconds { 10'000 });
        CHECK_EQUAL(1, it.mostRuns);
        CHECK_EQUAL(1, it.workers.runsOf(it.task));
    }
}

// Guards against a task that runs twice because the cut-off leader leaves assigned workers out of its count that have
// been silent to it for long, while its successor counts them among the half that it has reached.
TEST(CutOffLeader, WorkersThatWereSilentBeforeTheCutCount)
{
    constexpr Milliseconds silenceBeforeTheCut { 12'000 };
    for (Milliseconds delay { 0 }; delay <= maxDelay; delay += 5 * delayStep) {
        CutOffCluster it;
        it.runTask(6);
        it.first.executor.unreachable = { "w4", "w5", "w6" };
        it.advance(silenceBeforeTheCut + delay);
        it.first.store.isCutOff = true;
        it.second.executor.unreachable = { "w1", "w2", "w3" };
        it.advance(Milliseconds { 20'000 });
        CHECK_EQUAL(1, it.mostRuns);
        CHECK_EQUAL(1, it.workers.runsOf(it.task));
    }
}

// Guards against accepted tasks that wait for 300 s because most workers were lost for good together with the leader,
// although its process has been replaced.
TEST(CutOffLeader, LossOfMostWorkersDoesNotDelayTasksOnceTheLeaderIsKnownToHaveEnded)
{
    constexpr Milliseconds restartTime { 600 };
    constexpr Milliseconds maxWait { 12'000 };
    const std::set<std::string> lost { "w1", "w2", "w3" };
    CutOffCluster it;
    it.runTask(5);
    it.first.executor.unreachable = lost;
    it.second.executor.unreachable = lost;
    it.first.node.reset();
    it.advance(restartTime);
    it.startNode(it.first, 1, 3);
    it.advance(maxWait);
    CHECK_EQUAL(1, it.mostRuns);
    CHECK_EQUAL(1, it.workers.runsOf(it.task));
}

// Guards against the same after a leader that was replaced and has not ended.
TEST(CutOffLeader, LossOfMostWorkersDoesNotDelayTasksOnceTheLeaderHasStopped)
{
    constexpr Milliseconds timeUntilReplaced { 3000 };
    constexpr Milliseconds maxWait { 12'000 };
    const std::set<std::string> lost { "w1", "w2", "w3" };
    CutOffCluster it;
    it.runTask(5);
    it.first.executor.unreachable = lost;
    it.second.executor.unreachable = lost;
    it.first.store.isCutOff = true;
    it.advance(timeUntilReplaced);
    it.first.store.isCutOff = false;
    it.advance(maxWait);
    CHECK_EQUAL(1, it.mostRuns);
    CHECK_EQUAL(1, it.workers.runsOf(it.task));
}

// Guards against a second run when the leader is cut off and goes on while another process of its host is not known.
TEST(CutOffLeader, LossOfMostWorkersDelaysTasksWhileTheLeaderMayGoOn)
{
    CutOffCluster it;
    it.runTask(5);
    it.first.store.isCutOff = true;
    it.first.executor.unreachable = { "w4", "w5" };
    it.second.executor.unreachable = { "w1", "w2", "w3" };
    it.advance(Milliseconds { 30'000 });
    CHECK_EQUAL(1, it.mostRuns);
    CHECK(it.workers.at("w1").runs.contains(it.task));
}

// Guards against a task that runs twice because a third leader counts the leases of an unreached worker from the
// election of the second one, which had learned of its own election late, and reached half of the workers later still.
TEST(CutOffLeader, LeasesEndInTimeWhenTheSecondLeaderLearnsOfItsElectionLate)
{
    constexpr Milliseconds pauseStep { 100 };
    constexpr Milliseconds maxPause { 900 };
    for (Milliseconds pause { 0 }; pause <= maxPause; pause += pauseStep) {
        CutOffCluster it;
        CutOffCluster::Member third { *it.loop, it.store, it.workers };
        it.runTask(3);
        // From here on no worker may hold a lease of the longest duration.
        it.advance(Milliseconds { 8000 });
        it.first.store.isCutOff = true;
        it.second.executor.unreachable = { "w1" };
        third.executor.unreachable = { "w1" };
        auto elections = countElections(it.store);
        for (int i = 0; i < 1000 && countElections(it.store) == elections; ++i)
            it.advance(Milliseconds { 5 });
        CHECK_EQUAL(elections + 1, countElections(it.store));
        // The second node reads its claim late and the state slowly; the third has read the claim.
        it.second.store.isCutOff = true;
        it.startNode(third, 3);
        it.advance(pause);
        it.second.store.isCutOff = false;
        it.store.readNewestTime = Milliseconds { 550 };
        it.advance(Milliseconds { 2600 });
        CHECK_EQUAL(1, it.mostRuns);
        it.second.node.reset();
        it.store.readNewestTime = Milliseconds { 4 };
        it.advance(Milliseconds { 10000 });
        auto mostRuns = it.mostRuns;
        third.node.reset();
        CHECK_EQUAL(1, mostRuns);
    }
}
