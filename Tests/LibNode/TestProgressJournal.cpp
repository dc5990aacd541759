#include "FakeRecordStore.h"
#include "NodeTestClock.h"
#include <CppUTest/TestHarness.h>
#include <LibNode/ProgressJournal.h>
#include <LibWire/ValueCodec.h>
#include <memory>
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
    int collections { 0 };
    int fences { 0 };
    std::unique_ptr<ProgressJournal> journal { makeJournal(5) };

    std::unique_ptr<ProgressJournal> makeJournal(uint64_t epoch)
    {
        return std::make_unique<ProgressJournal>(*loop, store,
            ProgressJournal::Options { .epoch = epoch,
                .collect =
                    [this] {
                        ++collections;
                        return ProgressBatch { .jobs = std::exchange(changed, {}) };
                    },
                .onStored =
                    [this](const ProgressBatch& batch) {
                        for (const auto& job : batch.jobs)
                            stored.push_back(job.id);
                    },
                .onFenced = [this] { ++fences; } });
    }

    void change(const std::string& id)
    {
        changed.push_back({ .id = id, .state = JobStage::Running });
        journal->wake();
    }

    size_t recordCount() { return store.records(StreamName::Progress).size(); }

    void pass(Milliseconds time)
    {
        constexpr Milliseconds step { 1 };
        for (Milliseconds passed { 0 }; passed < time; passed += step) {
            clock.pass(step);
            loop->runReady();
        }
    }
};

// Guards against one store call for each of many ends that arrive together.
TEST(ProgressJournal, ChangesWithinTheGroupDelayShareAnAppend)
{
    for (int i = 0; i < 50; ++i) {
        change("j" + std::to_string(i));
        if (i % 10 == 9)
            pass(Milliseconds { 1 });
    }
    CHECK_EQUAL(0, store.appends);
    pass(Milliseconds { 20 });
    CHECK_EQUAL(1, store.appends);
    CHECK_EQUAL(50, recordCount());
    CHECK_EQUAL(50, stored.size());
}

// Guards against changes during an append that are lost, or that are taken for stored with that append.
TEST(ProgressJournal, ChangesDuringAnAppendGoIntoTheNext)
{
    change("j1");
    pass(Milliseconds { 9 });
    CHECK_EQUAL(1, store.appends);
    change("j2");
    change("j3");
    CHECK(stored.empty());
    pass(Milliseconds { 4 });
    CHECK((stored == std::vector<std::string> { "j1" }));
    CHECK_EQUAL(1, collections);
    pass(Milliseconds { 20 });
    CHECK((stored == std::vector<std::string> { "j1", "j2", "j3" }));
    CHECK_EQUAL(2, store.appends);
}

// Guards against a progress that is shown or acknowledged before the store has answered.
TEST(ProgressJournal, NothingIsStoredWhileTheStoreDoesNotAnswer)
{
    store.fault = FakeRecordStore::Fault::Silent;
    change("j1");
    pass(Milliseconds { 3000 });
    CHECK(stored.empty());
    CHECK(journal->appends() > 1);
    store.fault = FakeRecordStore::Fault::None;
    pass(Milliseconds { 3000 });
    CHECK((stored == std::vector<std::string> { "j1" }));
}

// Guards against a second copy of the records, or a batch given up, when the answer of an append is lost: the repeat
// has the same sequence, and the store answers it from the first.
TEST(ProgressJournal, AppendWithALostAnswerIsRepeatedWithItsSequence)
{
    change("j1");
    pass(Milliseconds { 30 });
    store.fault = FakeRecordStore::Fault::LosingAnswers;
    change("j2");
    pass(Milliseconds { 100 });
    CHECK_EQUAL(2, recordCount());
    change("j3");
    store.fault = FakeRecordStore::Fault::None;
    pass(Milliseconds { 1500 });
    CHECK((stored == std::vector<std::string> { "j1", "j2", "j3" }));
    CHECK_EQUAL(3, recordCount());
    CHECK_EQUAL(0, fences);
}

// Guards against a batch that is dropped, or a sequence that is used up, when the store says that nothing was done.
TEST(ProgressJournal, RefusedAppendIsRepeatedUntilItIsStored)
{
    store.fault = FakeRecordStore::Fault::Refusing;
    change("j1");
    pass(Milliseconds { 1000 });
    CHECK_EQUAL(0, recordCount());
    store.fault = FakeRecordStore::Fault::None;
    pass(Milliseconds { 300 });
    change("j2");
    pass(Milliseconds { 50 });
    CHECK((stored == std::vector<std::string> { "j1", "j2" }));
    CHECK_EQUAL(2, recordCount());
    CHECK_EQUAL(0, fences);
}

// Guards against a leader that goes on after a later one has locked it out, and whose records overwrite the later ones.
TEST(ProgressJournal, LaterEpochFencesAnAppend)
{
    change("j1");
    pass(Milliseconds { 30 });
    auto later = makeJournal(6);
    bool locked = false;
    later->lockOut([&] { locked = true; });
    pass(Milliseconds { 20 });
    CHECK(locked);
    change("j2");
    pass(Milliseconds { 500 });
    CHECK_EQUAL(1, fences);
    CHECK((stored == std::vector<std::string> { "j1" }));
    CHECK_EQUAL(1, recordCount());
    // What changes now is the later leader's.
    change("j3");
    pass(Milliseconds { 500 });
    CHECK_EQUAL(1, fences);
    CHECK_EQUAL(1, recordCount());
}

// Guards against a leader that loads before its predecessor is locked out: what that one still appends would be lost.
TEST(ProgressJournal, LockOutIsDoneOnlyWhenTheStoreHasConfirmedIt)
{
    bool locked = false;
    store.fault = FakeRecordStore::Fault::Silent;
    journal->lockOut([&] { locked = true; });
    pass(Milliseconds { 1500 });
    CHECK_FALSE(locked);
    store.fault = FakeRecordStore::Fault::LosingAnswers;
    pass(Milliseconds { 1500 });
    CHECK_FALSE(locked);
    store.fault = FakeRecordStore::Fault::None;
    pass(Milliseconds { 1500 });
    CHECK(locked);
    auto earlier = makeJournal(4);
    changed.push_back({ .id = "late" });
    earlier->wake();
    pass(Milliseconds { 50 });
    CHECK_EQUAL(1, fences);
    CHECK_EQUAL(0, recordCount());
    change("j1");
    pass(Milliseconds { 50 });
    CHECK((stored == std::vector<std::string> { "j1" }));
}

// Guards against a leader that was replaced before it could lock others out, and that loads and leads all the same.
TEST(ProgressJournal, LockOutBehindALaterEpochFences)
{
    auto later = makeJournal(6);
    later->lockOut([] {});
    pass(Milliseconds { 10 });
    bool locked = false;
    journal->lockOut([&] { locked = true; });
    pass(Milliseconds { 2000 });
    CHECK_FALSE(locked);
    CHECK_EQUAL(1, fences);
}

// Guards against an append for each wake-up without a change, and against an owner that waits for a batch that has
// nothing to store.
TEST(ProgressJournal, WakeWithoutChangesCostsNoAppend)
{
    journal->wake();
    pass(Milliseconds { 50 });
    CHECK_EQUAL(1, collections);
    CHECK_EQUAL(0, store.appends);
    change("j1");
    pass(Milliseconds { 50 });
    CHECK_EQUAL(1, store.appends);
}

// Guards against records that a later leader cannot read under their keys.
TEST(ProgressJournal, RecordsAreKeyedByWhatTheyReplace)
{
    change("j1");
    pass(Milliseconds { 30 });
    change("j1");
    pass(Milliseconds { 30 });
    const auto& records = store.records(StreamName::Progress);
    CHECK_EQUAL(2, records.size());
    STRCMP_EQUAL("job/j1", records[0].key.c_str());
    CHECK(records[0].key == records[1].key);
    auto progress = decodeValue<JobProgress>(records[1].value);
    CHECK(progress.ok());
    CHECK(progress->state == JobStage::Running);
}

// Guards against callbacks into a leader that is gone, from an append, a repeat, a group delay or a lock-out.
TEST(ProgressJournal, NothingIsCalledAfterTheEnd)
{
    change("j1");
    journal.reset();
    pass(Milliseconds { 50 });
    CHECK_EQUAL(0, collections);
    journal = makeJournal(7);
    change("j2");
    pass(Milliseconds { 9 });
    journal.reset();
    pass(Milliseconds { 50 });
    CHECK(stored.empty());
    store.fault = FakeRecordStore::Fault::Refusing;
    journal = makeJournal(8);
    bool locked = false;
    journal->lockOut([&] { locked = true; });
    pass(Milliseconds { 20 });
    journal.reset();
    store.fault = FakeRecordStore::Fault::None;
    pass(Milliseconds { 500 });
    CHECK_FALSE(locked);
    CHECK_EQUAL(0, fences);
}
