#include "FakeRecordStore.h"
#include "NodeTestClock.h"
#include <CppUTest/TestHarness.h>
#include <LibNode/StreamReader.h>
#include <map>
#include <memory>
#include <string>
#include <vector>

using namespace Bergamot;

TEST_GROUP(StreamReader)
{
    NodeTestClock clock;
    std::unique_ptr<EventLoop> loop { EventLoop::create(clock) };
    FakeRecordStore store { *loop };
    std::unique_ptr<StreamReader> reader;

    /// What a reader knows that starts anew at each reload.
    std::map<std::string, std::string> known;
    std::vector<std::string> records;
    int reloads { 0 };
    int catches { 0 };

    void start(Milliseconds interval = Milliseconds { 0 })
    {
        reader = std::make_unique<StreamReader>(*loop, store,
            StreamReader::Options { .stream = StreamName::Workers,
                .wait = Milliseconds { 100 },
                .interval = interval,
                .onReload =
                    [this] {
                        ++reloads;
                        known.clear();
                    },
                .onRecord =
                    [this](const KeyedRecord& it) {
                        records.push_back(it.key + "=" + it.value);
                        known[it.key] = it.value;
                    },
                .onCaughtUp = [this] { ++catches; } });
        reader->start();
    }

    void put(const std::string& key, const std::string& value) { store.put(StreamName::Workers, key, value); }

    void pass(Milliseconds time)
    {
        constexpr Milliseconds step { 2 };
        for (Milliseconds passed { 0 }; passed < time; passed += step) {
            clock.pass(step);
            loop->runReady();
        }
    }
};

// Guards against records before the start that are missed, and against a record that is delivered twice or out of order
// between the load and the reads.
TEST(StreamReader, NewestRecordsComeFirstAndThenEachNewOneOnce)
{
    put("a", "old");
    put("a", "1");
    put("b", "2");
    start();
    CHECK_FALSE(reader->hasLoaded());
    pass(Milliseconds { 20 });
    CHECK(reader->hasLoaded());
    put("c", "3");
    put("a", "4");
    pass(Milliseconds { 50 });
    CHECK((records == std::vector<std::string> { "a=1", "b=2", "c=3", "a=4" }));
    CHECK_EQUAL(1, reloads);
}

// Guards against a record that changes while a later page is read and whose newest value is never delivered: it belongs
// to a page that has passed, and the last page's end lies behind it.
TEST(StreamReader, ChangeBetweenTwoPagesIsReadFromTheEndOfTheFirst)
{
    for (auto key : { "a", "b", "c", "d", "e" })
        put(key, "1");
    store.pageRecords = 2;
    start();
    pass(Milliseconds { 6 });
    CHECK_EQUAL(2, known.size());
    CHECK_FALSE(reader->hasLoaded());
    put("a", "2");
    put("aa", "2");
    pass(Milliseconds { 40 });
    CHECK(reader->hasLoaded());
    CHECK_EQUAL(3, store.loads);
    CHECK_EQUAL(6, known.size());
    STRCMP_EQUAL("2", known["a"].c_str());
    STRCMP_EQUAL("2", known["aa"].c_str());
    CHECK_EQUAL(1, reloads);
}

// Guards against a key that is dropped between two pages and stays known.
TEST(StreamReader, KeyDroppedBetweenTwoPagesIsDelivered)
{
    for (auto key : { "a", "b", "c" })
        put(key, "1");
    store.pageRecords = 2;
    start();
    pass(Milliseconds { 6 });
    put("a", "");
    pass(Milliseconds { 40 });
    STRCMP_EQUAL("", known["a"].c_str());
    STRCMP_EQUAL("a=", records.back().c_str());
}

// Guards against a reader that stands still, or that misses keys, once records that it still needed are deleted; and
// against keys that were dropped meanwhile and stay known.
TEST(StreamReader, ExpiredPositionLoadsTheNewestRecordsAgain)
{
    put("a", "1");
    put("b", "1");
    start(Milliseconds { 400 });
    pass(Milliseconds { 200 });
    CHECK_EQUAL(1, catches);
    put("a", "2");
    put("b", "");
    put("c", "1");
    store.expire(StreamName::Workers);
    pass(Milliseconds { 600 });
    CHECK_EQUAL(2, reloads);
    CHECK((known == std::map<std::string, std::string> { { "a", "2" }, { "c", "1" } }));
    put("d", "1");
    pass(Milliseconds { 600 });
    STRCMP_EQUAL("1", known["d"].c_str());
    CHECK_EQUAL(2, reloads);
}

// Guards against a process that never learns its configuration because the store refused the first load.
TEST(StreamReader, FailedLoadIsRepeated)
{
    put("a", "1");
    store.fault = FakeRecordStore::Fault::Refusing;
    start();
    pass(Milliseconds { 400 });
    CHECK_FALSE(reader->hasLoaded());
    CHECK_EQUAL(0, reloads);
    CHECK(store.loads >= 2 && store.loads <= 4);
    store.fault = FakeRecordStore::Fault::None;
    pass(Milliseconds { 200 });
    CHECK(reader->hasLoaded());
    STRCMP_EQUAL("1", known["a"].c_str());
}

// Guards against a page that is skipped, or a load that begins anew for good, when one of its calls fails.
TEST(StreamReader, FailedPageIsRepeatedFromItsKey)
{
    for (auto key : { "a", "b", "c" })
        put(key, "1");
    store.pageRecords = 2;
    start();
    // The first page is on its way, so the fault meets the call for the second.
    store.fault = FakeRecordStore::Fault::Refusing;
    pass(Milliseconds { 300 });
    CHECK_FALSE(reader->hasLoaded());
    CHECK_EQUAL(2, known.size());
    store.fault = FakeRecordStore::Fault::None;
    pass(Milliseconds { 200 });
    CHECK(reader->hasLoaded());
    CHECK((records == std::vector<std::string> { "a=1", "b=1", "c=1" }));
    CHECK_EQUAL(1, reloads);
}

// Guards against a reader that ends, skips or repeats records when the store is down for a while.
TEST(StreamReader, FailedReadIsRepeatedFromItsPosition)
{
    put("a", "1");
    start();
    pass(Milliseconds { 20 });
    for (auto fault : { FakeRecordStore::Fault::Refusing, FakeRecordStore::Fault::Silent }) {
        store.fault = fault;
        pass(Milliseconds { 400 });
        put("b", "1");
        store.fault = FakeRecordStore::Fault::None;
        pass(Milliseconds { 1800 });
    }
    CHECK((records == std::vector<std::string> { "a=1", "b=1", "b=1" }));
    CHECK_EQUAL(1, reloads);
}

// Guards against a process that takes old news for current while the store does not answer it.
TEST(StreamReader, CurrentnessIsAsOldAsTheLastReadThatSawTheEnd)
{
    put("a", "1");
    start();
    pass(Milliseconds { 300 });
    CHECK(clock.now() - reader->currentAsOf() < Milliseconds { 250 });
    store.fault = FakeRecordStore::Fault::Refusing;
    auto failingFrom = clock.now();
    pass(Milliseconds { 3000 });
    CHECK(reader->currentAsOf() <= failingFrom);
}

// Guards against callbacks into an owner that is gone: a leader that is deposed ends its readers with calls and retries
// in progress.
TEST(StreamReader, NothingIsCalledAfterTheEnd)
{
    put("a", "1");
    start();
    reader.reset();
    pass(Milliseconds { 50 });
    CHECK_EQUAL(0, reloads);
    start();
    pass(Milliseconds { 20 });
    auto before = records.size();
    int catchesBefore = catches;
    reader.reset();
    put("b", "1");
    pass(Milliseconds { 300 });
    CHECK_EQUAL(before, records.size());
    CHECK_EQUAL(catchesBefore, catches);
    store.fault = FakeRecordStore::Fault::Refusing;
    start();
    pass(Milliseconds { 50 });
    reader.reset();
    store.fault = FakeRecordStore::Fault::None;
    auto loads = store.loads;
    pass(Milliseconds { 500 });
    CHECK_EQUAL(loads, store.loads);
}
