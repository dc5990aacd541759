#include "FakeRecordStore.h"
#include "NodeTestClock.h"
#include <CppUTest/TestHarness.h>
#include <LibNode/StreamReader.h>
#include <map>
#include <memory>
#include <stdexcept>
#include <string>
#include <vector>

using namespace Bergamot;

TEST_GROUP(StreamReader)
{
    NodeTestClock clock;
    std::unique_ptr<EventLoop> loop { EventLoop::create(clock) };
    FakeRecordStore store { *loop };
    std::unique_ptr<StreamReader> reader;

    /// Newest value of each key delivered since the last reload.
    std::map<std::string, std::string> known;
    std::vector<std::string> records;
    int reloads { 0 };
    int catchUps { 0 };
    bool failsToCatchUp { false };

    void start(Milliseconds interval = Milliseconds { 0 })
    {
        reader = std::make_unique<StreamReader>(*loop, store,
            StreamReader::Options { .stream = StreamName::Workers,
                .maxWait = Milliseconds { 100 },
                .pollInterval = interval,
                .onReload =
                    [this] {
                        ++reloads;
                        known.clear();
                    },
                .onRecord =
                    [this](const KeyedRecord& it) {
                        if (it.value == "throws")
                            throw std::out_of_range("a fault in the processing of this record");
                        records.push_back(it.key + "=" + it.value);
                        known[it.key] = it.value;
                    },
                .onCaughtUp =
                    [this] {
                        ++catchUps;
                        if (failsToCatchUp)
                            throw std::out_of_range("a fault in what follows the last record");
                    } });
        reader->start();
    }

    void put(const std::string& key, const std::string& value) { store.put(StreamName::Workers, key, value); }

    void advance(Milliseconds time)
    {
        constexpr Milliseconds step { 2 };
        for (Milliseconds passed { 0 }; passed < time; passed += step) {
            clock.advance(step);
            loop->runReady();
        }
    }
};

// Guards against missing records from before the start, and against duplicate or out-of-order delivery between the load
// and the reads.
TEST(StreamReader, NewestRecordsComeFirstAndThenEachNewOneOnce)
{
    put("a", "old");
    put("a", "1");
    put("b", "2");
    start();
    CHECK_FALSE(reader->hasLoaded());
    advance(Milliseconds { 20 });
    CHECK(reader->hasLoaded());
    put("c", "3");
    put("a", "4");
    advance(Milliseconds { 50 });
    CHECK((records == std::vector<std::string> { "a=1", "b=2", "c=3", "a=4" }));
    CHECK_EQUAL(1, reloads);
}

// Guards against missing the change of a record on a page that has already been read: reading from the end of the
// stream at the last page instead of the first page would skip the change.
TEST(StreamReader, ChangeBetweenTwoPagesIsDelivered)
{
    for (auto key : { "a", "b", "c", "d", "e" })
        put(key, "1");
    store.pageRecords = 2;
    start();
    advance(Milliseconds { 6 });
    CHECK_EQUAL(2, known.size());
    CHECK_FALSE(reader->hasLoaded());
    put("a", "2");
    put("aa", "2");
    advance(Milliseconds { 40 });
    CHECK(reader->hasLoaded());
    CHECK_EQUAL(3, store.loads);
    CHECK_EQUAL(6, known.size());
    STRCMP_EQUAL("2", known["a"].c_str());
    STRCMP_EQUAL("2", known["aa"].c_str());
    CHECK_EQUAL(1, reloads);
}

// Guards against missing the deletion of a key between the reads of two pages.
TEST(StreamReader, KeyDeletionBetweenTwoPagesIsDelivered)
{
    for (auto key : { "a", "b", "c" })
        put(key, "1");
    store.pageRecords = 2;
    start();
    advance(Milliseconds { 6 });
    put("a", "");
    advance(Milliseconds { 40 });
    STRCMP_EQUAL("", known["a"].c_str());
    STRCMP_EQUAL("a=", records.back().c_str());
}

// Guards against a reader that stops or misses keys when the store has deleted records that were not read yet, and
// against keeping keys that were deleted before the reload.
TEST(StreamReader, ExpiredPositionLoadsTheNewestRecordsAgain)
{
    put("a", "1");
    put("b", "1");
    start(Milliseconds { 400 });
    advance(Milliseconds { 200 });
    CHECK_EQUAL(1, catchUps);
    put("a", "2");
    put("b", "");
    put("c", "1");
    store.expire(StreamName::Workers);
    advance(Milliseconds { 600 });
    CHECK_EQUAL(2, reloads);
    CHECK((known == std::map<std::string, std::string> { { "a", "2" }, { "c", "1" } }));
    put("d", "1");
    advance(Milliseconds { 600 });
    STRCMP_EQUAL("1", known["d"].c_str());
    CHECK_EQUAL(2, reloads);
}

// Guards against a process that never loads its configuration because the store rejected the first load.
TEST(StreamReader, FailedLoadIsRetried)
{
    put("a", "1");
    store.fault = FakeRecordStore::Fault::Refusing;
    start();
    advance(Milliseconds { 400 });
    CHECK_FALSE(reader->hasLoaded());
    CHECK_EQUAL(0, reloads);
    CHECK(store.loads >= 2 && store.loads <= 4);
    store.fault = FakeRecordStore::Fault::None;
    advance(Milliseconds { 200 });
    CHECK(reader->hasLoaded());
    STRCMP_EQUAL("1", known["a"].c_str());
}

// Guards against skipping a page, or restarting the load from the first page, when the read of a page fails.
TEST(StreamReader, FailedPageIsRetriedFromItsKey)
{
    for (auto key : { "a", "b", "c" })
        put(key, "1");
    store.pageRecords = 2;
    start();
    // The read of the first page is already in progress, so the fault affects the read of the second page.
    store.fault = FakeRecordStore::Fault::Refusing;
    advance(Milliseconds { 300 });
    CHECK_FALSE(reader->hasLoaded());
    CHECK_EQUAL(2, known.size());
    store.fault = FakeRecordStore::Fault::None;
    advance(Milliseconds { 200 });
    CHECK(reader->hasLoaded());
    CHECK((records == std::vector<std::string> { "a=1", "b=1", "c=1" }));
    CHECK_EQUAL(1, reloads);
}

// Guards against a reader that stops, or skips or repeats records, after a store outage.
TEST(StreamReader, FailedReadIsRetriedFromItsPosition)
{
    put("a", "1");
    start();
    advance(Milliseconds { 20 });
    for (auto fault : { FakeRecordStore::Fault::Refusing, FakeRecordStore::Fault::Unresponsive }) {
        store.fault = fault;
        advance(Milliseconds { 400 });
        put("b", "1");
        store.fault = FakeRecordStore::Fault::None;
        advance(Milliseconds { 1800 });
    }
    CHECK((records == std::vector<std::string> { "a=1", "b=1", "b=1" }));
    CHECK_EQUAL(1, reloads);
}

// Guards against treating old records as current while the store is unavailable.
TEST(StreamReader, CurrentAsOfIsTheStartOfTheLastReadThatReachedTheEnd)
{
    put("a", "1");
    start();
    advance(Milliseconds { 300 });
    CHECK(clock.now() - reader->currentAsOf() < Milliseconds { 250 });
    store.fault = FakeRecordStore::Fault::Refusing;
    auto failingFrom = clock.now();
    advance(Milliseconds { 3000 });
    CHECK(reader->currentAsOf() <= failingFrom);
}

// Guards against a reader that waits for its poll interval although more records are available: the announcements of
// thousands of workers fill several replies, and a reader that falls behind would never catch up.
TEST(StreamReader, ReaderBehindTheEndReadsOnAtOnce)
{
    put("a", "1");
    start(Milliseconds { 400 });
    advance(Milliseconds { 100 });
    CHECK_EQUAL(1, catchUps);
    store.readRecords = 2;
    for (auto key : { "b", "c", "d", "e", "f", "g" })
        put(key, "1");
    advance(Milliseconds { 400 });
    CHECK_EQUAL(7, known.size());
    CHECK_EQUAL(2, catchUps);
}

// Guards against decisions on records that are out of date because replies are late, and against a reader that counts
// as lagging while the store is unavailable.
TEST(StreamReader, LaggingMeansLateRepliesOfAnAvailableStore)
{
    constexpr Milliseconds maxAge { 1500 };
    start(Milliseconds { 400 });
    CHECK(reader->isLagging(maxAge));
    advance(Milliseconds { 1000 });
    CHECK_FALSE(reader->isLagging(maxAge));
    store.readDelays[StreamName::Workers] = Milliseconds { 3000 };
    advance(Milliseconds { 2000 });
    CHECK(reader->isLagging(maxAge));
    store.fault = FakeRecordStore::Fault::Refusing;
    advance(Milliseconds { 4000 });
    CHECK_FALSE(reader->isLagging(maxAge));
}

// Guards against callbacks into a destroyed owner: a deposed leader destroys its readers while calls and retries are in
// progress.
TEST(StreamReader, NothingIsCalledAfterDestruction)
{
    put("a", "1");
    start();
    reader.reset();
    advance(Milliseconds { 50 });
    CHECK_EQUAL(0, reloads);
    start();
    advance(Milliseconds { 20 });
    auto before = records.size();
    int catchUpsBefore = catchUps;
    reader.reset();
    put("b", "1");
    advance(Milliseconds { 300 });
    CHECK_EQUAL(before, records.size());
    CHECK_EQUAL(catchUpsBefore, catchUps);
    store.fault = FakeRecordStore::Fault::Refusing;
    start();
    advance(Milliseconds { 50 });
    reader.reset();
    store.fault = FakeRecordStore::Fault::None;
    auto loads = store.loads;
    advance(Milliseconds { 500 });
    CHECK_EQUAL(loads, store.loads);
}

// Guards against one record whose processing fails and that ends each process that reads it, or hides later records.
TEST(StreamReader, RecordWhoseProcessingFailsIsLeftOut)
{
    put("a", "1");
    put("b", "throws");
    put("c", "1");
    start();
    advance(Milliseconds { 20 });
    put("d", "throws");
    put("e", "1");
    advance(Milliseconds { 50 });
    CHECK((records == std::vector<std::string> { "a=1", "c=1", "e=1" }));
    CHECK(reader->hasLoaded());
    CHECK(catchUps > 0);
}

// Guards against a node that reads no more records because what follows the last one fails.
TEST(StreamReader, ReadsGoOnAfterAFailureAtTheEndOfTheStream)
{
    failsToCatchUp = true;
    start();
    advance(Milliseconds { 20 });
    CHECK(catchUps > 0);
    put("a", "1");
    advance(Milliseconds { 50 });
    CHECK((records == std::vector<std::string> { "a=1" }));
}

// Guards against reads without a pause, each of which has its price, when the store announces records and sends none.
TEST(StreamReader, ReplyWithoutTheAnnouncedRecordsIsReadAgainLater)
{
    start();
    advance(Milliseconds { 200 });
    store.readRecords = 0;
    put("a", "1");
    auto before = store.reads;
    advance(Milliseconds { 1000 });
    CHECK(store.reads - before < 10);
    store.readRecords = 500;
    advance(Milliseconds { 400 });
    CHECK((records == std::vector<std::string> { "a=1" }));
}

// Guards against a key in use again: it was on a page of the load, and the record of its removal expired before it was
// read.
TEST(StreamReader, KeyDeletedBetweenTwoPagesAndExpiredIsDropped)
{
    for (auto key : { "a", "b", "c" })
        put(key, "1");
    store.pageRecords = 2;
    start();
    advance(Milliseconds { 6 });
    CHECK_EQUAL(1, known.count("a"));
    put("a", "");
    store.expire(StreamName::Workers);
    advance(Milliseconds { 60 });
    CHECK((known == std::map<std::string, std::string> { { "b", "1" }, { "c", "1" } }));
    CHECK_EQUAL(2, reloads);
}

// Guards against a key in use again after a second reload that begins before the first one has ended.
TEST(StreamReader, KeyDeletedBeforeARepeatedReloadIsDropped)
{
    for (auto key : { "a", "b", "c" })
        put(key, "1");
    store.pageRecords = 1;
    start(Milliseconds { 400 });
    advance(Milliseconds { 200 });
    store.expire(StreamName::Workers);
    put("b", "2");
    store.expire(StreamName::Workers);
    advance(Milliseconds { 210 });
    put("a", "");
    store.expire(StreamName::Workers);
    advance(Milliseconds { 600 });
    CHECK((known == std::map<std::string, std::string> { { "b", "2" }, { "c", "1" } }));
}

// Guards against replies about unknown jobs that wait for the end of a read which waits for records, and against a
// reader that passes for current although the store holds a record that it has not delivered.
TEST(StreamReader, CheckOfTheEndDoesNotWaitAndDeliversNothing)
{
    start();
    advance(Milliseconds { 50 });
    auto askedAt = clock.now();
    reader->checkEnd();
    advance(Milliseconds { 6 });
    CHECK(reader->currentAsOf() >= askedAt);

    store.unreadable.insert({ StreamName::Workers, 0 });
    advance(Milliseconds { 200 });
    put("a", "1");
    store.unreadable.clear();
    askedAt = clock.now();
    reader->checkEnd();
    advance(Milliseconds { 6 });
    CHECK(reader->currentAsOf() < askedAt);
    CHECK(records.empty());
    advance(Milliseconds { 400 });
    CHECK_EQUAL(1, records.size());
    CHECK(reader->currentAsOf() >= askedAt);
}
