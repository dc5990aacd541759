#include "FakeFormats.h"
#include "FakePeerTransport.h"
#include "FakeRecordStore.h"
#include "MockTaskExecutor.h"
#include "NodeTestClock.h"
#include <CppUTest/TestHarness.h>
#include <LibHttp/EventLoop.h>
#include <LibNode/Node.h>
#include <LibNode/ProgressJournal.h>
#include <LibWire/Codec.h>
#include <LibWire/JobProgress.h>
#include <LibWire/LeadershipRecord.h>
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

    void pass(Milliseconds time)
    {
        constexpr Milliseconds step { 5 };
        for (Milliseconds passed { 0 }; passed < time; passed += step) {
            clock.pass(step);
            workerClockMs += step.count();
            loop->runReady();
        }
    }

    TaskCommandReply accepted() const { return { .clockMs = workerClockMs, .startedAtMs = 5 }; }

    /// The worker lists one failed run until it is acknowledged.
    void answerRenewLeaseCalls(uint64_t failedRun)
    {
        for (auto n = taskExecutor.renewLeaseCalls.size(); n > 0; --n) {
            auto call = taskExecutor.takeRenewLeaseCall();
            RenewLeaseReply answer { .commandReply = accepted() };
            isAcknowledged = isAcknowledged || call.request.acknowledged >= 1;
            if (!isAcknowledged)
                answer.ended.push_back(
                    { .sequence = 1, .task = firstTask, .run = failedRun, .outcome = RunOutcome::Failed });
            call.answer(answer);
        }
    }

    size_t answersTo(uint64_t question)
    {
        peers.deliver(encodePeerMessage(JobQuery {
            .queryId = question, .replyAddress = "caller", .kind = JobQueryKind::State, .subject = firstTask.job }));
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
};

TEST(Node, FirstFailureDoesNotFailAJobWhileTheConfigurationIsUnread)
{
    store.unansweredReadNewest = StreamName::Operators;
    startNode();
    constexpr uint64_t runOfAnEarlierLeader = 1;
    for (int i = 0; i < 20; ++i) {
        pass(Milliseconds { 100 });
        answerRenewLeaseCalls(runOfAnEarlierLeader);
    }
    CHECK_FALSE(isStoredAsFailed(firstTask.job));

    store.unansweredReadNewest.reset();
    for (int i = 0; i < 40 && taskExecutor.orders.empty(); ++i) {
        pass(Milliseconds { 100 });
        answerRenewLeaseCalls(runOfAnEarlierLeader);
    }
    CHECK_FALSE(isStoredAsFailed(firstTask.job));
    CHECK_FALSE(taskExecutor.orders.empty());
}

// Guards against seconds without configuration and leader after a restart, when the store's answers are lost.
TEST(Node, LostAnswerToTheFirstQuestionsCostsLessThanASecond)
{
    store.unansweredReadNewest = StreamName::Operators;
    startNode();
    pass(Milliseconds { 20 });
    store.unansweredReadNewest.reset();
    pass(Milliseconds { 900 });
    CHECK_TRUE(node->isReady());
}

// Guards against states that go back, told by a leader that was frozen and has been replaced meanwhile.
TEST(Node, LeaderThatWasFrozenAnswersOnlyOnceItIsConfirmed)
{
    startNode();
    pass(Milliseconds { 1500 });
    CHECK_EQUAL(1, answersTo(1));
    store.fault = FakeRecordStore::Fault::Refusing;
    clock.pass(Milliseconds { 3000 });
    CHECK_EQUAL(1, answersTo(2));
    store.fault = FakeRecordStore::Fault::None;
    pass(Milliseconds { 1500 });
    CHECK_EQUAL(2, answersTo(3));
}

// Guards against tasks that run again because the record of the job's progress cannot be read.
// Guards against a second run of a task whose end was acknowledged before its job was read.
// Guards against a node that leads before it has read the operators' records.
TEST(Node, NodeThatHasNotReadTheOperatorsRecordsClaimsNothing)
{
    store.unansweredReadNewest = StreamName::Operators;
    startNode();
    pass(Milliseconds { 3000 });
    CHECK(taskExecutor.renewLeaseCalls.empty());
}

// Guards against tasks in a zone that is out because a node was elected between two pages of a reload.
// Guards against a node that never loads the operators' records because the store is slow.
// Guards against repeats that make a slow store slower: its answer of 1 s used to be enough.
// Guards against a configuration that, written when the store is back, makes a node replace a leader that is well.
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
            pass(Milliseconds { 300 });
            store.put(StreamName::Leadership, "",
                encodeValue(LeadershipRecord { .member = "other", .incarnation = 99, .epoch = epoch }));
        }
    };
    lead();
    startNode();
    uint32_t claims = 0;
    for (auto fault : { FakeRecordStore::Fault::Refusing, FakeRecordStore::Fault::Silent }) {
        for (int outageMs = 4000; outageMs < 5500; outageMs += 25) {
            lead();
            keepAlive(10);
            store.fault = fault;
            pass(Milliseconds { outageMs });
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

TEST(Node, ElectionDuringAReloadKnowsTheZonesThatAreOut)
{
    formats.changes["out"] = ZoneOut { .zone = "z", .out = true };
    store.put(StreamName::Operators, "evacuate/z", "out");
    store.put(StreamName::Leadership, "",
        encodeValue(LeadershipRecord { .member = "other", .incarnation = 99, .peerAddress = "q" }));
    startNode();
    pass(Milliseconds { 800 });
    CHECK(taskExecutor.renewLeaseCalls.empty());
    // The store deletes the old records, and the second page of the newest ones is not answered.
    store.pageRecords = 1;
    store.unansweredAfterKey = "config";
    store.put(StreamName::Operators, "x", "");
    store.expire(StreamName::Operators);
    for (int i = 0; i < 60; ++i) {
        pass(Milliseconds { 100 });
        for (auto n = taskExecutor.renewLeaseCalls.size(); n > 0; --n)
            taskExecutor.takeRenewLeaseCall().answer(RenewLeaseReply { .commandReply = accepted() });
    }
    CHECK(taskExecutor.orders.empty());
}

TEST(Node, StoreThatTakesMoreThanTwoSecondsIsLoadedFrom)
{
    store.readNewestTime = Milliseconds { 2300 };
    startNode();
    pass(Milliseconds { 20000 });
    CHECK(node->isReady());
}

TEST(Node, JobWhoseProgressCannotBeReadIsNotStarted)
{
    store.put(StreamName::Progress, std::string(jobKeyPrefix) + firstTask.job, "not a record of progress");
    startNode();
    for (int i = 0; i < 80; ++i) {
        pass(Milliseconds { 100 });
        for (auto n = taskExecutor.renewLeaseCalls.size(); n > 0; --n)
            taskExecutor.takeRenewLeaseCall().answer(RenewLeaseReply { .commandReply = accepted() });
    }
    CHECK(taskExecutor.orders.empty());
}

// Guards against a second run of a task whose end was acknowledged before its job was read.
TEST(Node, EndOfAJobThatIsNotReadYetIsKept)
{
    startNode();
    pass(Milliseconds { 900 });
    JobSpec job { .id = "00000000000000bb", .queue = "batch", .payload = "late" };
    job.steps = { { .count = 1, .size = { 1000, 1000, 0 }, .estimateMs = 1000 } };
    store.unreadable.insert({ StreamName::Jobs, 0 });
    // The read in progress ends.
    pass(Milliseconds { 1000 });
    store.put(StreamName::Jobs, job.id, encodeValue(job));
    bool acknowledged = false;
    bool startedAgain = false;
    for (int i = 0; i < 60; ++i) {
        pass(Milliseconds { 100 });
        if (i == 30)
            store.unreadable.clear();
        for (auto n = taskExecutor.renewLeaseCalls.size(); n > 0; --n) {
            auto call = taskExecutor.takeRenewLeaseCall();
            RenewLeaseReply answer { .commandReply = accepted() };
            acknowledged = acknowledged || call.request.acknowledged >= 1;
            if (!acknowledged)
                answer.ended.push_back(
                    { .sequence = 1, .task = { .job = job.id }, .run = 1, .outcome = RunOutcome::Done });
            call.answer(answer);
        }
        while (!taskExecutor.orders.empty()) {
            auto order = taskExecutor.takeOrder();
            startedAgain = startedAgain || order.start.payload == "late";
            order.answer(accepted());
        }
    }
    CHECK(acknowledged);
    CHECK_FALSE(startedAgain);
}
