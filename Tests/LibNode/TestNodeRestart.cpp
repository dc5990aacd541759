#include "NodeFixture.h"
#include <LibWire/AssignedWorkers.h>

using namespace Bergamot;

/// What has been withdrawn must not be in use again after a restart of the process, or after the store has dropped the
/// record of the withdrawal.
TEST_GROUP_BASE(NodeRestart, NodeFixture)
{
    const std::string first { "00000000000000aa" };
    const std::string second { "00000000000000bb" };

    void setup() override
    {
        configure(7);
        announce("w1");
    }
};

// Guards against starts of a job whose cancelling has been acknowledged.
TEST(NodeRestart, CancelledJobIsNotStartedAgain)
{
    putJob(first);
    restartNode();
    advance(Milliseconds { 3000 });
    CHECK_EQUAL(2, startsOf(first));
    CHECK(ask(JobQueryKind::Cancel, first)->state == JobStage::Cancelled);
    putJob(second);
    restartNode();
    advance(Milliseconds { 9000 });
    CHECK_EQUAL(0, startsOf(first));
    CHECK_EQUAL(2, startsOf(second));
    CHECK(ask(JobQueryKind::State, first)->state == JobStage::Cancelled);
}

// Guards against starts of a job that has ended, whatever an older record of its progress says.
TEST(NodeRestart, EndedJobIsNotStartedAgain)
{
    putJob(first);
    putJob(second);
    putProgress({ .id = first, .state = JobStage::Running, .done = { "00" } });
    putProgress({ .id = first, .state = JobStage::Completed });
    putProgress({ .id = second, .state = JobStage::Failed });
    restartNode();
    advance(Milliseconds { 9000 });
    CHECK(starts.empty());
    CHECK(ask(JobQueryKind::State, first)->state == JobStage::Completed);
    CHECK(ask(JobQueryKind::State, second)->state == JobStage::Failed);
}

// Guards against an older version that is in force after a reload or a restart.
TEST(NodeRestart, OlderConfigurationIsNotInForce)
{
    restartNode();
    advance(Milliseconds { 1000 });
    configure(9);
    advance(Milliseconds { 1000 });
    CHECK_EQUAL(9, node->routing()->version);
    configure(8);
    store.expire(StreamName::Operators);
    advance(Milliseconds { 2000 });
    CHECK_EQUAL(9, node->routing()->version);
    configure(10);
    restartNode();
    advance(Milliseconds { 1000 });
    CHECK_EQUAL(10, node->routing()->version);
}

// Guards against a zone that stays out because its evacuation was withdrawn during a reload or while no process ran.
TEST(NodeRestart, WithdrawnEvacuationIsDropped)
{
    takeZoneOut("z");
    putJob(first);
    restartNode();
    advance(Milliseconds { 4000 });
    CHECK_EQUAL(0, startsOf(first));
    // The record of the withdrawal has expired before this node has read it.
    store.put(StreamName::Operators, "evacuate/z", "");
    store.expire(StreamName::Operators);
    advance(Milliseconds { 4000 });
    CHECK_EQUAL(2, startsOf(first));
    restartNode();
    putJob(second);
    advance(Milliseconds { 9000 });
    CHECK_EQUAL(2, startsOf(second));
}

// Guards against a withdrawal that arrives between two pages of a load, after the page of its evacuation.
TEST(NodeRestart, EvacuationWithdrawnBetweenTwoPagesIsDropped)
{
    takeZoneOut("z");
    formats.changes[""] = ZoneOut { .zone = "z", .out = false };
    store.put(StreamName::Operators, "x", "on the last page");
    putJob(first);
    store.pageRecords = 1;
    restartNode();
    store.unansweredAfterKey = "evacuate/z";
    advance(Milliseconds { 100 });
    store.put(StreamName::Operators, "evacuate/z", "");
    store.unansweredAfterKey.reset();
    advance(Milliseconds { 4000 });
    CHECK_EQUAL(2, startsOf(first));
}

// Guards against starts on a worker that left before all processes restarted, although it is among the stored workers.
TEST(NodeRestart, WorkerThatHasLeftGetsNoTask)
{
    announce("w1", 10);
    announce("w2", 25);
    putJob(first, 30);
    restartNode();
    advance(Milliseconds { 2000 });
    CHECK_EQUAL(20, startsOn("w2"));
    store.put(StreamName::Workers, "w2", "");
    restartNode();
    advance(Milliseconds { 9000 });
    CHECK_EQUAL(10, startsOn("w1"));
    CHECK_EQUAL(0, startsOn("w2"));
}

// Guards against starts on a worker whose removal expired from the store before the leader read it.
TEST(NodeRestart, WorkerRemovedBeforeAReloadGetsNoTask)
{
    announce("w1", 10);
    announce("w2", 25);
    restartNode();
    advance(Milliseconds { 2000 });
    store.put(StreamName::Workers, "w2", "");
    store.expire(StreamName::Workers);
    advance(Milliseconds { 1500 });
    putJob(second, 20);
    advance(Milliseconds { 2000 });
    CHECK_EQUAL(10, startsOn("w1"));
    CHECK_EQUAL(0, startsOn("w2"));
}

// Guards against starts on a worker whose removal came between two pages of a reload.
TEST(NodeRestart, WorkerRemovedBetweenTwoPagesGetsNoTask)
{
    announce("w1", 10);
    announce("w2", 25);
    announce("w3", 0);
    restartNode();
    advance(Milliseconds { 2000 });
    store.pageRecords = 1;
    store.unansweredAfterKey = "w2";
    announce("w1", 10);
    store.expire(StreamName::Workers);
    advance(Milliseconds { 600 });
    store.put(StreamName::Workers, "w2", "");
    store.unansweredAfterKey.reset();
    advance(Milliseconds { 6000 });
    putJob(second, 20);
    advance(Milliseconds { 2000 });
    CHECK_EQUAL(10, startsOn("w1"));
    CHECK_EQUAL(0, startsOn("w2"));
}
