#include "FakeFormats.h"
#include "FakePeerTransport.h"
#include "FakeRecordStore.h"
#include "MockTaskExecutor.h"
#include "NodeTestClock.h"
#include <CppUTest/TestHarness.h>
#include <LibHttp/EventLoop.h>
#include <LibNode/Node.h>
#include <LibNode/ProgressJournal.h>
#include <LibWire/AssignedWorkers.h>
#include <LibWire/Codec.h>
#include <LibWire/JobProgress.h>
#include <LibWire/LeadershipRecord.h>
#include <LibWire/UnreachedWorkers.h>
#include <LibWire/ValueCodec.h>
#include <memory>
#include <string>

using namespace Bergamot;

TEST_GROUP(Node)
{
    NodeTestClock clock;
    std::unique_ptr<EventLoop> loop { EventLoop::create(clock) };
    FakeRecordStore store { *loop };
    MockTaskExecutor taskExecutor;
    FakePeerTransport peers;
    FakeFormats formats;
    std::unique_ptr<Node> node;
    const TaskRef firstTask { .job = "00000000000000aa", .occurrence = 0, .step = 0, .index = 0 };
    int64_t workerClockMs { 1000 };
    bool isAcknowledged { false };

    void setup() override
    {
        formats.changes["config"] = RoutingTable { .version = 7,
            .routes
            = { { .queue = "batch", .pathPrefix = "/b/", .policy = { .service = "token", .maxAttempts = 3 } } } };
        WorkerAnnouncement worker { .address = "a", .startedAtMs = 5 };
        worker.view = { .id = "w", .service = "token", .zone = "z" };
        worker.view.capacity = { 32000, 125000, 0 };
        formats.workers["worker"] = worker;
        store.put(StreamName::Operators, "config", "config");
        store.put(StreamName::Workers, "w", "worker");
        JobSpec job { .id = firstTask.job, .queue = "batch", .payload = "p" };
        job.steps = { { .count = 2, .size = { 1000, 1000, 0 }, .estimateMs = 1000 } };
        store.put(StreamName::Jobs, job.id, encodeValue(job));
    }

    void teardown() override { node.reset(); }

    void startNode()
    {
        node = std::make_unique<Node>(Node::Services { *loop, store, taskExecutor, peers, formats },
            NodeOptions { .member = "m", .incarnation = 1, .peerAddress = "p" });
        node->start();
    }

    void advance(Milliseconds time)
    {
        constexpr Milliseconds step { 5 };
        for (Milliseconds passed { 0 }; passed < time; passed += step) {
            clock.advance(step);
            workerClockMs += step.count();
            loop->runReady();
        }
    }

    TaskCommandReply accepted() const { return { .clockMs = workerClockMs, .startedAtMs = 5 }; }

    /// Replies to all lease renewals. The worker reports one failed run until it is acknowledged.
    void answerRenewLeaseCalls(uint64_t failedRun)
    {
        for (auto n = taskExecutor.renewLeaseCalls.size(); n > 0; --n) {
            auto call = taskExecutor.takeRenewLeaseCall();
            RenewLeaseReply reply { .commandReply = accepted(), .endCoverage = RunEndCoverage::All };
            isAcknowledged = isAcknowledged || call.request.acknowledgedSequence >= 1;
            if (!isAcknowledged)
                reply.ended.push_back(
                    { .sequence = 1, .task = firstTask, .run = failedRun, .outcome = RunOutcome::Failed });
            call.reply(reply);
        }
    }

    size_t repliesAfterQuery(uint64_t queryId)
    {
        peers.deliver(encodePeerMessage(JobQuery {
            .queryId = queryId, .replyAddress = "caller", .kind = JobQueryKind::State, .subject = firstTask.job }));
        loop->runReady();
        return peers.sent.size();
    }

    bool isStoredAsFailed(const JobId& id)
    {
        for (const auto& record : store.records(StreamName::Progress)) {
            if (record.key != jobKeyPrefix + id)
                continue;
            auto progress = decodeValue<JobProgress>(record.value);
            if (progress.ok() && progress->state == JobStage::Failed)
                return true;
        }
        return false;
    }

    /// An earlier leader, elected with epoch 1, has reached one of two workers.
    void storeUnreachedWorkerOfEarlierLeader()
    {
        constexpr uint64_t earlierEpoch { 1 };
        WorkerIncarnation silent { .id = "x", .address = "x", .startedAtMs = 5 };
        WorkerIncarnation reached { .id = "y", .address = "y", .startedAtMs = 5 };
        store.put(StreamName::Leadership, {}, encodeValue(LeadershipRecord { .member = "other", .incarnation = 9 }));
        store.put(
            StreamName::Progress, assignedWorkersKey, encodeValue(AssignedWorkers { .workers = { silent, reached } }));
        store.put(StreamName::Progress, unreachedWorkersKey,
            encodeValue(UnreachedWorkers {
                .epoch = earlierEpoch, .workers = { { .worker = silent, .sinceEpoch = earlierEpoch } } }));
    }

    /// Starts the node, lets all workers reply but the one that is unreached, and returns the time until the first
    /// command; 10 s if there is none.
    Milliseconds waitForStartBesideUnreachedWorker()
    {
        constexpr Milliseconds maxWait { 10000 };
        auto startedAt = clock.now();
        startNode();
        while (taskExecutor.commands.empty() && clock.now() - startedAt < maxWait) {
            advance(Milliseconds { 20 });
            for (auto n = taskExecutor.renewLeaseCalls.size(); n > 0; --n) {
                auto call = taskExecutor.takeRenewLeaseCall();
                if (call.address == "x")
                    taskExecutor.renewLeaseCalls.push_back(std::move(call));
                else
                    call.reply(RenewLeaseReply { .commandReply = accepted(), .endCoverage = RunEndCoverage::All });
            }
        }
        return clock.now() - startedAt;
    }
};

// Guards against a leader without configuration, which does not know the retry limit and fails a job after the first
// failed run.
TEST(Node, FirstFailureDoesNotFailAJobBeforeTheConfigurationIsLoaded)
{
    store.unansweredReadNewest = StreamName::Operators;
    startNode();
    constexpr uint64_t runOfAnEarlierLeader = 1;
    for (int i = 0; i < 20; ++i) {
        advance(Milliseconds { 100 });
        answerRenewLeaseCalls(runOfAnEarlierLeader);
    }
    CHECK_FALSE(isStoredAsFailed(firstTask.job));

    store.unansweredReadNewest.reset();
    for (int i = 0; i < 40 && taskExecutor.commands.empty(); ++i) {
        advance(Milliseconds { 100 });
        answerRenewLeaseCalls(runOfAnEarlierLeader);
    }
    CHECK_FALSE(isStoredAsFailed(firstTask.job));
    CHECK_FALSE(taskExecutor.commands.empty());
}

// Guards against a job that is shown as failed by a limit that the operators have raised while the leader could not
// read their records (issue 55).
TEST(Node, FirstFailureDoesNotFailAJobByAnOutdatedConfiguration)
{
    formats.changes["strict"] = RoutingTable { .version = 8,
        .routes = { { .queue = "batch", .pathPrefix = "/b/", .policy = { .service = "token", .maxAttempts = 1 } } } };
    formats.changes["lenient"] = RoutingTable { .version = 9,
        .routes = { { .queue = "batch", .pathPrefix = "/b/", .policy = { .service = "token", .maxAttempts = 3 } } } };
    store.put(StreamName::Operators, "config", "strict");
    startNode();
    advance(Milliseconds { 300 });
    store.unreadable.insert({ StreamName::Operators, 0 });
    // Lets the read in progress end.
    advance(Milliseconds { 1000 });
    store.put(StreamName::Operators, "config", "lenient");
    advance(Milliseconds { 6000 });
    constexpr uint64_t runOfAnEarlierLeader = 1;
    for (int i = 0; i < 20; ++i) {
        advance(Milliseconds { 100 });
        answerRenewLeaseCalls(runOfAnEarlierLeader);
    }
    CHECK_FALSE(isStoredAsFailed(firstTask.job));
    store.unreadable.clear();
    for (int i = 0; i < 40; ++i) {
        advance(Milliseconds { 100 });
        answerRenewLeaseCalls(runOfAnEarlierLeader);
    }
    CHECK_FALSE(isStoredAsFailed(firstTask.job));
    CHECK_FALSE(taskExecutor.commands.empty());
}

// Guards against seconds without configuration and leader after a restart when the first replies of the store are lost.
TEST(Node, LostRepliesToTheFirstReadsCostLessThanASecond)
{
    store.unansweredReadNewest = StreamName::Operators;
    startNode();
    advance(Milliseconds { 20 });
    store.unansweredReadNewest.reset();
    advance(Milliseconds { 900 });
    CHECK_TRUE(node->isReady());
}

// Guards against outdated job states in replies of a leader that was suspended and may have been replaced.
TEST(Node, SuspendedLeaderRepliesOnlyOnceItIsConfirmed)
{
    startNode();
    advance(Milliseconds { 1500 });
    CHECK_EQUAL(1, repliesAfterQuery(1));
    store.fault = FakeRecordStore::Fault::Refusing;
    clock.advance(Milliseconds { 3000 });
    CHECK_EQUAL(1, repliesAfterQuery(2));
    store.fault = FakeRecordStore::Fault::None;
    advance(Milliseconds { 1500 });
    CHECK_EQUAL(2, repliesAfterQuery(3));
}

// Guards against a node that claims leadership before it has read the operators' records.
TEST(Node, NoClaimBeforeTheOperatorsRecordsAreRead)
{
    store.unansweredReadNewest = StreamName::Operators;
    startNode();
    advance(Milliseconds { 3000 });
    CHECK(taskExecutor.renewLeaseCalls.empty());
}

// Guards against a node that replaces a healthy leader when the configuration changes right after a store outage.
TEST(Node, ConfigurationAfterAnOutageDoesNotReplaceTheLeader)
{
    uint64_t epoch = 0;
    uint64_t version = 8;
    auto lead = [&] {
        store.put(StreamName::Leadership, "",
            encodeValue(LeadershipRecord { .member = "other", .incarnation = 99, .peerAddress = "q" }));
        epoch = store.records(StreamName::Leadership).size();
    };
    auto keepAlive = [&](int times) {
        for (int i = 0; i < times; ++i) {
            advance(Milliseconds { 300 });
            store.put(StreamName::Leadership, "",
                encodeValue(LeadershipRecord { .member = "other", .incarnation = 99, .epoch = epoch }));
        }
    };
    lead();
    startNode();
    uint32_t claims = 0;
    for (auto fault : { FakeRecordStore::Fault::Refusing, FakeRecordStore::Fault::Unresponsive }) {
        for (int outageMs = 4000; outageMs < 5500; outageMs += 25) {
            lead();
            keepAlive(10);
            store.fault = fault;
            advance(Milliseconds { outageMs });
            store.fault = FakeRecordStore::Fault::None;
            auto text = "config " + std::to_string(version);
            formats.changes[text] = RoutingTable { .version = version++ };
            store.put(StreamName::Operators, "config", text);
            auto before = store.records(StreamName::Leadership).size();
            keepAlive(5);
            const auto& records = store.records(StreamName::Leadership);
            for (auto i = before; i < records.size(); ++i) {
                auto decoded = decodeValue<LeadershipRecord>(records[i].value);
                claims += decoded.ok() && decoded->member == "m" && decoded->epoch == 0 ? 1 : 0;
            }
        }
    }
    CHECK_EQUAL(0, claims);
}

// Guards against starts in a zone that is out when the node is elected between two pages of a reload of the operators'
// records.
TEST(Node, ElectionDuringAReloadKnowsTheZonesThatAreOut)
{
    formats.changes["out"] = ZoneOut { .zone = "z", .out = true };
    store.put(StreamName::Operators, "evacuate/z", "out");
    store.put(StreamName::Leadership, "",
        encodeValue(LeadershipRecord { .member = "other", .incarnation = 99, .peerAddress = "q" }));
    startNode();
    advance(Milliseconds { 800 });
    CHECK(taskExecutor.renewLeaseCalls.empty());
    // The store deletes old records, which triggers a reload, and the read of its second page times out.
    store.pageRecords = 1;
    store.unansweredAfterKey = "config";
    store.put(StreamName::Operators, "x", "");
    store.expire(StreamName::Operators);
    for (int i = 0; i < 60; ++i) {
        advance(Milliseconds { 100 });
        for (auto n = taskExecutor.renewLeaseCalls.size(); n > 0; --n)
            taskExecutor.takeRenewLeaseCall().reply(
                RenewLeaseReply { .commandReply = accepted(), .endCoverage = RunEndCoverage::All });
    }
    CHECK(taskExecutor.commands.empty());
}

// Guards against a node that never loads the operators' records because the response time of the store is 2.3 s, and
// against retries that slow down a store whose response time of 1 s was sufficient before.
TEST(Node, OperatorsAreLoadedFromAStoreSlowerThanTwoSeconds)
{
    store.readNewestTime = Milliseconds { 2300 };
    startNode();
    advance(Milliseconds { 20000 });
    CHECK(node->isReady());
}

// Guards against tasks that run again because the record of the job's progress cannot be decoded.
TEST(Node, JobWithUnreadableProgressIsNotStarted)
{
    store.put(StreamName::Progress, std::string(jobKeyPrefix) + firstTask.job, "not a record of progress");
    startNode();
    for (int i = 0; i < 80; ++i) {
        advance(Milliseconds { 100 });
        for (auto n = taskExecutor.renewLeaseCalls.size(); n > 0; --n)
            taskExecutor.takeRenewLeaseCall().reply(
                RenewLeaseReply { .commandReply = accepted(), .endCoverage = RunEndCoverage::All });
    }
    CHECK(taskExecutor.commands.empty());
}

// Guards against a second run of a task whose run end was acknowledged before its job was read.
TEST(Node, RunEndOfAnUnreadJobIsKept)
{
    startNode();
    advance(Milliseconds { 900 });
    JobSpec job { .id = "00000000000000bb", .queue = "batch", .payload = "late" };
    job.steps = { { .count = 1, .size = { 1000, 1000, 0 }, .estimateMs = 1000 } };
    store.unreadable.insert({ StreamName::Jobs, 0 });
    // Lets the read in progress finish.
    advance(Milliseconds { 1000 });
    store.put(StreamName::Jobs, job.id, encodeValue(job));
    bool acknowledged = false;
    bool startedAgain = false;
    for (int i = 0; i < 60; ++i) {
        advance(Milliseconds { 100 });
        if (i == 30) {
            // The next leader could not learn of an end that the worker has dropped.
            CHECK_FALSE(acknowledged);
            store.unreadable.clear();
        }
        for (auto n = taskExecutor.renewLeaseCalls.size(); n > 0; --n) {
            auto call = taskExecutor.takeRenewLeaseCall();
            RenewLeaseReply reply { .commandReply = accepted(), .endCoverage = RunEndCoverage::All };
            acknowledged = acknowledged || call.request.acknowledgedSequence >= 1;
            if (!acknowledged)
                reply.ended.push_back(
                    { .sequence = 1, .task = { .job = job.id }, .run = 1, .outcome = RunOutcome::Done });
            call.reply(reply);
        }
        while (!taskExecutor.commands.empty()) {
            auto command = taskExecutor.takeCommand();
            startedAgain = startedAgain || command.start.payload == "late";
            command.reply(accepted());
        }
    }
    CHECK(acknowledged);
    CHECK_FALSE(startedAgain);
}

// Guards against a new leader that counts the leases of silent workers from its own election, because it was not told
// when the node learned of the earlier one.
TEST(Node, LeaderCountsLeasesFromTheElectionThatTheNodeHasSeen)
{
    storeUnreachedWorkerOfEarlierLeader();
    auto wait = waitForStartBesideUnreachedWorker();
    CHECK(wait >= Milliseconds { 5103 });
    CHECK(wait <= Milliseconds { 5700 });
}

// Guards against tasks that wait anew after each restart of a host: the new process reads all elections at once.
TEST(Node, RestartedNodeCountsLeasesFromTheTimesThatTheElectionRecordsState)
{
    constexpr Milliseconds age { 4000 };
    storeUnreachedWorkerOfEarlierLeader();
    store.put(StreamName::Leadership, {},
        encodeValue(LeadershipRecord {
            .member = "other", .incarnation = 9, .peerAddress = "o", .epoch = 1, .electionAgeMs = age.count() }));
    auto wait = waitForStartBesideUnreachedWorker();
    CHECK(wait >= Milliseconds { 5103 } - age);
    CHECK(wait <= Milliseconds { 2500 });
}

// Guards against a deposed leader that outlives its node, whose metrics and configuration it uses.
TEST(Node, DeposedLeaderEndsWithItsNode)
{
    startNode();
    auto answerReports = [&] {
        for (auto n = taskExecutor.renewLeaseCalls.size(); n > 0; --n)
            taskExecutor.takeRenewLeaseCall().reply(
                RenewLeaseReply { .commandReply = accepted(), .endCoverage = RunEndCoverage::All });
    };
    size_t starts = 0;
    for (int i = 0; i < 400 && starts < 2; ++i) {
        advance(Milliseconds { 10 });
        answerReports();
        for (; !taskExecutor.commands.empty(); ++starts)
            taskExecutor.takeCommand().reply(accepted());
    }
    CHECK_EQUAL(2, starts);
    peers.deliver(encodePeerMessage(
        JobQuery { .queryId = 1, .replyAddress = "caller", .kind = JobQueryKind::Cancel, .subject = firstTask.job }));
    for (int i = 0; i < 100 && taskExecutor.commands.empty(); ++i)
        advance(Milliseconds { 5 });
    CHECK_EQUAL(1, taskExecutor.commands.size());
    auto firstStop = taskExecutor.takeCommand();

    store.put(StreamName::Leadership, "",
        encodeValue(LeadershipRecord { .member = "other", .incarnation = 99, .peerAddress = "q" }));
    auto isLeader = [&] { return node->metricsText().find("\nbergamot_node_leader 1") != std::string::npos; };
    CHECK(isLeader());
    for (int i = 0; i < 400 && isLeader(); ++i)
        advance(Milliseconds { 5 });
    CHECK_FALSE(isLeader());
    CHECK_EQUAL(1, taskExecutor.renewLeaseCalls.size());
    node.reset();
    firstStop.reply(accepted());
    taskExecutor.takeRenewLeaseCall().reply(RenewLeaseReply { .commandReply = accepted(),
        .ended = { { .sequence = 1, .task = firstTask, .run = firstStop.run, .outcome = RunOutcome::Failed } },
        .endCoverage = RunEndCoverage::All });
    loop->runReady();
    CHECK(taskExecutor.commands.empty());
}

// Guards against a leader's report of a later epoch that is handled after the end of the node.
TEST(Node, RejectedEpochIsNotHandledAfterTheEndOfTheNode)
{
    startNode();
    for (int i = 0; i < 300 && taskExecutor.renewLeaseCalls.empty(); ++i)
        advance(Milliseconds { 10 });
    taskExecutor.takeRenewLeaseCall().reply(
        RenewLeaseReply { .commandReply = { .outcome = TaskCommandOutcome::Fenced } });
    node.reset();
    loop->runReady();
    CHECK_EQUAL(0, loop->failedTasks());
}
