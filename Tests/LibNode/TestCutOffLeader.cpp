#include "CutOffStore.h"
#include "FakeFormats.h"
#include "FakePeerTransport.h"
#include "FakeWorkers.h"
#include "NodeTestClock.h"
#include <CppUTest/TestHarness.h>
#include <LibNode/Node.h>
#include <LibWire/ValueCodec.h>
#include <algorithm>
#include <memory>
#include <string>

using namespace Bergamot;

TEST_GROUP(CutOffLeader) {};

/// Two nodes, of which the first leads, and workers of which w1 runs a task that lasts.
struct CutOffCluster {
    struct Member {
        Member(EventLoop& loop, FakeRecordStore& shared, FakeWorkers& workers)
            : store(loop, shared)
            , executor(loop, workers)
        {
        }

        CutOffStore store;
        FakeWorkersExecutor executor;
        FakePeerTransport peers;
        std::unique_ptr<Node> node;
    };

    NodeTestClock clock;
    std::unique_ptr<EventLoop> loop { EventLoop::create(clock) };
    FakeRecordStore store { *loop };
    FakeWorkers workers { *loop };
    FakeFormats formats;
    Member first { *loop, store, workers };
    Member second { *loop, store, workers };
    const TaskRef task { .job = "00000000000000aa", .occurrence = 0, .step = 0, .index = 0 };
    size_t mostRuns { 0 };
    size_t fewestRuns { 0 };

    ~CutOffCluster()
    {
        first.node.reset();
        second.node.reset();
    }

    void announce(const std::string& id)
    {
        WorkerAnnouncement worker { .address = id, .startedAtMs = 5 };
        worker.view = { .id = id, .service = "token", .zone = "z" };
        worker.view.capacity = { 1000, 1000, 0 };
        formats.workers[id] = worker;
        store.put(StreamName::Workers, id, id);
    }

    void startNode(Member& member, uint64_t incarnation)
    {
        member.node
            = std::make_unique<Node>(Node::Services { *loop, member.store, member.executor, member.peers, formats },
                NodeOptions { .member = "m" + std::to_string(incarnation),
                    .incarnation = incarnation,
                    .peerAddress = "p" + std::to_string(incarnation) });
        member.node->start();
    }

    /// Advances the clock, and records the fewest and most workers that run the task at one time.
    void advance(Milliseconds time)
    {
        constexpr Milliseconds step { 5 };
        mostRuns = 0;
        fewestRuns = SIZE_MAX;
        for (Milliseconds passed { 0 }; passed < time; passed += step) {
            clock.advance(step);
            loop->runReady();
            mostRuns = std::max(mostRuns, workers.runsOf(task));
            fewestRuns = std::min(fewestRuns, workers.runsOf(task));
        }
    }

    /// The first node leads and runs the task on worker w1; `count` workers are known.
    void runTask(int count)
    {
        formats.changes["config"] = RoutingTable { .version = 7,
            .routes
            = { { .queue = "batch", .pathPrefix = "/b/", .policy = { .service = "token", .maxAttempts = 3 } } } };
        store.put(StreamName::Operators, "config", "config");
        JobSpec job { .id = task.job, .queue = "batch", .payload = "p" };
        job.steps = { { .count = 1, .size = { 1000, 1000, 0 }, .estimateMs = 1000, .longRunning = true } };
        store.put(StreamName::Jobs, job.id, encodeValue(job));
        announce("w1");
        startNode(first, 1);
        advance(Milliseconds { 2000 });
        startNode(second, 2);
        for (int i = 2; i <= count; ++i)
            announce("w" + std::to_string(i));
        advance(Milliseconds { 3000 });
        CHECK(workers.at("w1").runs.contains(task));
        CHECK_EQUAL(1, mostRuns);
    }
};

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
