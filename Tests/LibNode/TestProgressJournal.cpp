#include "FakeRecordStore.h"
#include "NodeTestClock.h"
#include <CppUTest/TestHarness.h>
#include <LibNode/ProgressJournal.h>
#include <LibWire/ValueCodec.h>
#include <memory>
#include <optional>
#include <string>
#include <utility>
#include <vector>

using namespace Bergamot;

TEST_GROUP(ProgressJournal)
{
    NodeTestClock clock;
    std::unique_ptr<EventLoop> loop { EventLoop::create(clock) };
    FakeRecordStore store { *loop };
    std::vector<JobProgress> changed;
    std::vector<std::string> stored;
    std::vector<std::string> omitted;
    std::optional<AssignedWorkers> assignedWorkers;
    std::optional<UnreachedWorkers> unreachedWorkers;
    bool areAssignedWorkersStored { false };
    int collections { 0 };
    int storedBatches { 0 };
    int fencedCalls { 0 };
    std::unique_ptr<ProgressJournal> journal { makeJournal(5) };

    std::unique_ptr<ProgressJournal> makeJournal(uint64_t epoch)
    {
        return std::make_unique<ProgressJournal>(*loop, store,
            ProgressJournal::Options { .epoch = epoch,
                .collect =
                    [this] {
                        ++collections;
                        return ProgressBatch { .jobs = std::exchange(changed, {}),
                            .assignedWorkers = std::exchange(assignedWorkers, {}),
                            .unreachedWorkers = std::exchange(unreachedWorkers, {}) };
                    },
                .onStored =
                    [this](const ProgressBatch& batch) {
                        ++storedBatches;
                        for (const auto& job : batch.jobs)
                            stored.push_back(job.id);
                        omitted.insert(omitted.end(), batch.omittedJobs.begin(), batch.omittedJobs.end());
                        areAssignedWorkersStored = areAssignedWorkersStored || batch.assignedWorkers;
                    },
                .onFenced = [this] { ++fencedCalls; } });
    }

    void change(const std::string& id)
    {
        changed.push_back({ .id = id, .state = JobStage::Running });
        journal->requestFlush();
    }

    void changeLargeJob(const std::string& id)
    {
        changed.push_back({ .id = id, .done = { std::string(defaultMaxRecordBytes, '1') } });
        journal->requestFlush();
    }

    size_t recordCount() { return store.records(StreamName::Progress).size(); }

    void advance(Milliseconds time)
    {
        constexpr Milliseconds step { 1 };
        for (Milliseconds passed { 0 }; passed < time; passed += step) {
            clock.advance(step);
            loop->runReady();
        }
    }
};

// Guards against one append per change when many changes arrive together.
TEST(ProgressJournal, ChangesWithinTheBatchDelayShareAnAppend)
{
    for (int i = 0; i < 50; ++i) {
        change("j" + std::to_string(i));
        if (i % 10 == 9)
            advance(Milliseconds { 1 });
    }
    CHECK_EQUAL(0, store.appends);
    advance(Milliseconds { 20 });
    CHECK_EQUAL(1, store.appends);
    CHECK_EQUAL(50, recordCount());
    CHECK_EQUAL(50, stored.size());
}

// Guards against losing changes made during an append, and against reporting them as stored with that append.
TEST(ProgressJournal, ChangesDuringAnAppendGoIntoTheNext)
{
    change("j1");
    advance(Milliseconds { 9 });
    CHECK_EQUAL(1, store.appends);
    change("j2");
    change("j3");
    CHECK(stored.empty());
    advance(Milliseconds { 4 });
    CHECK((stored == std::vector<std::string> { "j1" }));
    CHECK_EQUAL(1, collections);
    advance(Milliseconds { 20 });
    CHECK((stored == std::vector<std::string> { "j1", "j2", "j3" }));
    CHECK_EQUAL(2, store.appends);
}

// Guards against a batch that exceeds the limit of a call: the store refuses it each time, so the leader would store
// nothing any more. A part with a lost reply is repeated, and the batch is reported as stored after its last part.
TEST(ProgressJournal, LargeBatchTakesSeveralAppends)
{
    constexpr size_t jobs = 300;
    constexpr size_t tasks = 10000;
    for (size_t i = 0; i < jobs; ++i)
        changed.push_back({ .id = "j" + std::to_string(i), .done = { std::string(tasks, '1') } });
    change("small");
    advance(Milliseconds { 9 });
    CHECK_EQUAL(1, store.appends);
    CHECK(recordCount() < jobs);
    store.fault = FakeRecordStore::Fault::LosingReplies;
    advance(Milliseconds { 30 });
    CHECK_EQUAL(2, store.appends);
    CHECK(stored.empty());
    change("next");
    store.fault = FakeRecordStore::Fault::None;
    advance(Milliseconds { 3000 });
    CHECK_EQUAL(jobs + 2, stored.size());
    CHECK_EQUAL(jobs + 2, recordCount());
    CHECK_EQUAL("next", stored.back());
    CHECK_EQUAL(5, store.appends);
    CHECK_EQUAL(2, collections);
    CHECK_EQUAL(0, fencedCalls);
}

// Guards against a record that the store refuses each time it is repeated, so that the leader stores nothing any more.
TEST(ProgressJournal, RecordBeyondTheLimitIsLeftOutOfItsBatch)
{
    change("j1");
    changeLargeJob("large");
    change("j2");
    advance(Milliseconds { 50 });
    CHECK((stored == std::vector<std::string> { "j1", "j2" }));
    CHECK((omitted == std::vector<std::string> { "large" }));
    CHECK_EQUAL(1, store.appends);
    changeLargeJob("large");
    advance(Milliseconds { 50 });
    CHECK_EQUAL(2, omitted.size());
    CHECK_EQUAL(1, store.appends);
    change("large");
    advance(Milliseconds { 50 });
    STRCMP_EQUAL("large", stored.back().c_str());
}

// Guards against the same with a limit that the journal does not know.
TEST(ProgressJournal, RecordThatIsRefusedForGoodIsNotRepeated)
{
    store.statedMaxRecordBytes *= 2;
    change("j1");
    changeLargeJob("large");
    change("j2");
    advance(Milliseconds { 50 });
    CHECK((stored == std::vector<std::string> { "j1", "j2" }));
    CHECK((omitted == std::vector<std::string> { "large" }));
    CHECK_EQUAL(2, store.appends);
}

// Guards against a gap in the sequence numbers after an append of which nothing is left, for which the leader resigns.
TEST(ProgressJournal, AppendThatLosesItsOnlyRecordKeepsItsSequenceNumber)
{
    store.statedMaxRecordBytes *= 2;
    change("j1");
    advance(Milliseconds { 50 });
    changeLargeJob("large");
    advance(Milliseconds { 50 });
    change("j2");
    advance(Milliseconds { 50 });
    CHECK((stored == std::vector<std::string> { "j1", "j2" }));
    CHECK((omitted == std::vector<std::string> { "large" }));
    CHECK_EQUAL(0, fencedCalls);
    store.readNewest(StreamName::Progress, 0, "", Milliseconds { 100 }, [](const auto& reply) {
        CHECK_TRUE(reply.ok());
        CHECK_EQUAL(2, reply->records.size());
    });
    advance(Milliseconds { 50 });
}

// Guards against added workers that are stored without the unreached workers, which must precede them.
TEST(ProgressJournal, AssignedWorkersAreNotStoredWithoutUnreachedWorkers)
{
    for (bool isLimitKnown : { true, false }) {
        store.statedMaxRecordBytes = isLimitKnown ? defaultMaxRecordBytes : 2 * defaultMaxRecordBytes;
        assignedWorkers.emplace();
        UnreachedWorker worker;
        worker.worker.id = std::string(defaultMaxRecordBytes, 'w');
        unreachedWorkers.emplace().workers.push_back(worker);
        change("j");
        advance(Milliseconds { 50 });
        CHECK_FALSE(areAssignedWorkersStored);
    }
    CHECK_EQUAL(2, stored.size());
    CHECK_EQUAL(2, recordCount());
}

// Guards against reporting progress as stored before the store has replied.
TEST(ProgressJournal, NothingIsReportedStoredWhileTheStoreIsUnresponsive)
{
    store.fault = FakeRecordStore::Fault::Unresponsive;
    change("j1");
    advance(Milliseconds { 3000 });
    CHECK(stored.empty());
    CHECK(journal->appendCount() > 1);
    store.fault = FakeRecordStore::Fault::None;
    advance(Milliseconds { 3000 });
    CHECK((stored == std::vector<std::string> { "j1" }));
}

// Guards against duplicate records, or an abandoned batch, when the reply to an append is lost: the retry has the same
// sequence number, and the store returns the result of the first append.
TEST(ProgressJournal, AppendWithALostReplyIsRetriedWithItsSequence)
{
    change("j1");
    advance(Milliseconds { 30 });
    store.fault = FakeRecordStore::Fault::LosingReplies;
    change("j2");
    advance(Milliseconds { 100 });
    CHECK_EQUAL(2, recordCount());
    change("j3");
    store.fault = FakeRecordStore::Fault::None;
    advance(Milliseconds { 1500 });
    CHECK((stored == std::vector<std::string> { "j1", "j2", "j3" }));
    CHECK_EQUAL(3, recordCount());
    CHECK_EQUAL(0, fencedCalls);
}

// Guards against crashes that wait behind an append whose reply is lost, and are not stored when the leader is
// replaced.
TEST(ProgressJournal, ChangesDoNotWaitForALostReply)
{
    change("j1");
    advance(Milliseconds { 30 });
    store.fault = FakeRecordStore::Fault::LosingReplies;
    change("j2");
    advance(Milliseconds { 30 });
    change("j3");
    journal->requestUrgentFlush();
    advance(Milliseconds { 120 });
    CHECK_EQUAL(3, recordCount());
    CHECK((stored == std::vector<std::string> { "j1" }));
    store.fault = FakeRecordStore::Fault::None;
    advance(Milliseconds { 1000 });
    CHECK((stored == std::vector<std::string> { "j1", "j2", "j3" }));
    CHECK_EQUAL(3, recordCount());
    CHECK_EQUAL(0, fencedCalls);
}

// Guards against a batch that is lost, or a leader that resigns, because the store has not executed the append before.
TEST(ProgressJournal, AppendAfterAMissingOneIsRepeatedInOrder)
{
    change("j1");
    advance(Milliseconds { 30 });
    store.fault = FakeRecordStore::Fault::Unresponsive;
    change("j2");
    advance(Milliseconds { 30 });
    store.fault = FakeRecordStore::Fault::None;
    change("j3");
    journal->requestUrgentFlush();
    advance(Milliseconds { 120 });
    CHECK_EQUAL(1, recordCount());
    advance(Milliseconds { 1000 });
    CHECK((stored == std::vector<std::string> { "j1", "j2", "j3" }));
    CHECK_EQUAL(3, recordCount());
    CHECK_EQUAL(0, fencedCalls);
}

// Guards against losing the first batch of a leader: the store accepts any sequence number from a new epoch, and then
// rejects the one before.
TEST(ProgressJournal, SecondAppendWaitsForTheReplyToTheFirst)
{
    journal->fencePredecessors([] {});
    advance(Milliseconds { 30 });
    store.fault = FakeRecordStore::Fault::Unresponsive;
    change("j1");
    advance(Milliseconds { 30 });
    store.fault = FakeRecordStore::Fault::None;
    change("j2");
    journal->requestUrgentFlush();
    advance(Milliseconds { 1000 });
    CHECK((stored == std::vector<std::string> { "j1", "j2" }));
    CHECK_EQUAL(2, recordCount());
    CHECK_EQUAL(0, fencedCalls);
}

// Guards against more unanswered appends than the store recognizes when they are repeated.
TEST(ProgressJournal, ManyAppendsWithLostRepliesAreStoredOnce)
{
    change("j0");
    advance(Milliseconds { 30 });
    store.fault = FakeRecordStore::Fault::LosingReplies;
    for (int i = 1; i < 20; ++i) {
        change("j" + std::to_string(i));
        journal->requestUrgentFlush();
        advance(Milliseconds { 150 });
    }
    CHECK_EQUAL(6, recordCount());
    store.fault = FakeRecordStore::Fault::None;
    advance(Milliseconds { 4000 });
    CHECK_EQUAL(20, stored.size());
    CHECK_EQUAL(20, recordCount());
    CHECK_EQUAL(0, fencedCalls);
}

// Guards against run ends that are acknowledged before the batch with their effects is stored.
TEST(ProgressJournal, EmptyBatchCountsAsStoredAfterTheBatchBeforeIt)
{
    change("j1");
    advance(Milliseconds { 30 });
    store.fault = FakeRecordStore::Fault::LosingReplies;
    change("j2");
    advance(Milliseconds { 150 });
    auto reports = storedBatches;
    journal->requestUrgentFlush();
    advance(Milliseconds { 50 });
    CHECK_EQUAL(3, collections);
    CHECK_EQUAL(reports, storedBatches);
    store.fault = FakeRecordStore::Fault::None;
    advance(Milliseconds { 1000 });
    CHECK_EQUAL(reports + 2, storedBatches);
}

// Guards against dropping a batch, or skipping its sequence number, when the store rejects the append.
TEST(ProgressJournal, RejectedAppendIsRetriedUntilItIsStored)
{
    store.fault = FakeRecordStore::Fault::Refusing;
    change("j1");
    advance(Milliseconds { 1000 });
    CHECK_EQUAL(0, recordCount());
    store.fault = FakeRecordStore::Fault::None;
    advance(Milliseconds { 300 });
    change("j2");
    advance(Milliseconds { 50 });
    CHECK((stored == std::vector<std::string> { "j1", "j2" }));
    CHECK_EQUAL(2, recordCount());
    CHECK_EQUAL(0, fencedCalls);
}

// Guards against a leader that keeps appending after a later leader has fenced it, and overwrites newer records.
TEST(ProgressJournal, LaterEpochFencesAnAppend)
{
    change("j1");
    advance(Milliseconds { 30 });
    auto later = makeJournal(6);
    bool isFencingDone = false;
    later->fencePredecessors([&] { isFencingDone = true; });
    advance(Milliseconds { 20 });
    CHECK(isFencingDone);
    change("j2");
    advance(Milliseconds { 500 });
    CHECK_EQUAL(1, fencedCalls);
    CHECK((stored == std::vector<std::string> { "j1" }));
    CHECK_EQUAL(1, recordCount());
    // A fenced journal appends no further changes.
    change("j3");
    advance(Milliseconds { 500 });
    CHECK_EQUAL(1, fencedCalls);
    CHECK_EQUAL(1, recordCount());
}

// Guards against loading the state before the predecessor is fenced: records that the predecessor appends afterwards
// would be lost.
TEST(ProgressJournal, FencingIsDoneOnlyWhenTheStoreHasConfirmedIt)
{
    bool isFencingDone = false;
    store.fault = FakeRecordStore::Fault::Unresponsive;
    journal->fencePredecessors([&] { isFencingDone = true; });
    advance(Milliseconds { 1500 });
    CHECK_FALSE(isFencingDone);
    store.fault = FakeRecordStore::Fault::LosingReplies;
    advance(Milliseconds { 1500 });
    CHECK_FALSE(isFencingDone);
    store.fault = FakeRecordStore::Fault::None;
    advance(Milliseconds { 1500 });
    CHECK(isFencingDone);
    auto earlier = makeJournal(4);
    changed.push_back({ .id = "late" });
    earlier->requestFlush();
    advance(Milliseconds { 50 });
    CHECK_EQUAL(1, fencedCalls);
    CHECK_EQUAL(0, recordCount());
    change("j1");
    advance(Milliseconds { 50 });
    CHECK((stored == std::vector<std::string> { "j1" }));
}

// Guards against a leader that was replaced before it could fence its predecessors, and that loads the state and leads
// nevertheless.
TEST(ProgressJournal, FencingWithAnOlderEpochFails)
{
    auto later = makeJournal(6);
    later->fencePredecessors([] {});
    advance(Milliseconds { 10 });
    bool isFencingDone = false;
    journal->fencePredecessors([&] { isFencingDone = true; });
    advance(Milliseconds { 2000 });
    CHECK_FALSE(isFencingDone);
    CHECK_EQUAL(1, fencedCalls);
}

// Guards against an append for a flush without changes, and against a journal that stops flushing after an empty batch.
TEST(ProgressJournal, FlushWithoutChangesAppendsNothing)
{
    journal->requestFlush();
    advance(Milliseconds { 50 });
    CHECK_EQUAL(1, collections);
    CHECK_EQUAL(0, store.appends);
    change("j1");
    advance(Milliseconds { 50 });
    CHECK_EQUAL(1, store.appends);
}

// Guards against record keys under which a later leader does not find the progress of a job.
TEST(ProgressJournal, RecordsAreKeyedByJob)
{
    change("j1");
    advance(Milliseconds { 30 });
    change("j1");
    advance(Milliseconds { 30 });
    const auto& records = store.records(StreamName::Progress);
    CHECK_EQUAL(2, records.size());
    STRCMP_EQUAL("job/j1", records[0].key.c_str());
    CHECK(records[0].key == records[1].key);
    auto progress = decodeValue<JobProgress>(records[1].value);
    CHECK(progress.ok());
    CHECK(progress->state == JobStage::Running);
}

// Guards against callbacks into a destroyed owner, from an append, a retry, a batching delay or a fencing append.
TEST(ProgressJournal, NothingIsCalledAfterDestruction)
{
    change("j1");
    journal.reset();
    advance(Milliseconds { 50 });
    CHECK_EQUAL(0, collections);
    journal = makeJournal(7);
    change("j2");
    advance(Milliseconds { 9 });
    journal.reset();
    advance(Milliseconds { 50 });
    CHECK(stored.empty());
    store.fault = FakeRecordStore::Fault::Refusing;
    journal = makeJournal(8);
    bool isFencingDone = false;
    journal->fencePredecessors([&] { isFencingDone = true; });
    advance(Milliseconds { 20 });
    journal.reset();
    store.fault = FakeRecordStore::Fault::None;
    advance(Milliseconds { 500 });
    CHECK_FALSE(isFencingDone);
    CHECK_EQUAL(0, fencedCalls);
}
