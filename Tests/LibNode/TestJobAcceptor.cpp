#include "FakeRecordStore.h"
#include "NodeTestClock.h"
#include <CppUTest/TestHarness.h>
#include <LibNode/JobAcceptor.h>
#include <memory>
#include <vector>

using namespace Bergamot;

TEST_GROUP(JobAcceptor)
{
    NodeTestClock clock;
    std::unique_ptr<EventLoop> loop { EventLoop::create(clock) };
    FakeRecordStore store { *loop };
    JobAcceptor acceptor { *loop, store, 0 };
    std::vector<AcceptResult> results;

    void accept(const std::string& id, Milliseconds allowed = Milliseconds { 3000 })
    {
        acceptor.accept({ .id = id }, clock.now() + allowed, [this](AcceptResult it) { results.push_back(it); });
    }

    void pass(Milliseconds time)
    {
        constexpr Milliseconds step { 2 };
        for (Milliseconds passed { 0 }; passed < time; passed += step) {
            clock.pass(step);
            loop->runReady();
        }
    }
};

// Guards against one store call for each job of a burst.
TEST(JobAcceptor, JobsThatWaitShareAnAppend)
{
    for (int i = 0; i < 20; ++i)
        accept("j" + std::to_string(i));
    pass(Milliseconds { 20 });
    CHECK_EQUAL(20, results.size());
    CHECK_EQUAL(2, store.appends);
    CHECK_EQUAL(20, store.records(StreamName::Jobs).size());
}

// Guards against a refusal of a job that may be stored: the caller would be told that it never runs.
TEST(JobAcceptor, JobWithALostAnswerIsNeverRefused)
{
    store.fault = FakeRecordStore::Fault::LosingAnswers;
    accept("j1");
    pass(Milliseconds { 350 });
    CHECK(results.empty());
    store.fault = FakeRecordStore::Fault::Refusing;
    pass(Milliseconds { 3000 });
    CHECK_EQUAL(1, results.size());
    CHECK(results[0] == AcceptResult::Unknown);
    CHECK_EQUAL(1, store.records(StreamName::Jobs).size());
}

// Guards against a caller that waits although the store has said that it does nothing.
TEST(JobAcceptor, RefusalOfTheStoreRefusesAtOnce)
{
    store.fault = FakeRecordStore::Fault::Refusing;
    accept("j1");
    pass(Milliseconds { 20 });
    CHECK_EQUAL(1, results.size());
    CHECK(results[0] == AcceptResult::Refused);
    CHECK(store.records(StreamName::Jobs).empty());
}

// Guards against an acceptance that is given up although the store answers the repeat.
TEST(JobAcceptor, RepeatAfterALostAnswerAccepts)
{
    store.fault = FakeRecordStore::Fault::LosingAnswers;
    accept("j1", Milliseconds { 5000 });
    pass(Milliseconds { 2250 });
    store.fault = FakeRecordStore::Fault::None;
    pass(Milliseconds { 300 });
    CHECK_EQUAL(1, results.size());
    CHECK(results[0] == AcceptResult::Accepted);
}

// Guards against callers that wait until their deadline although it is known that the store does not answer.
TEST(JobAcceptor, SilentStoreRefusesFurtherJobsAtOnce)
{
    store.fault = FakeRecordStore::Fault::Silent;
    accept("j1", Milliseconds { 2000 });
    pass(Milliseconds { 1300 });
    CHECK(results.empty());
    accept("j2");
    CHECK_EQUAL(1, results.size());
    CHECK(results[0] == AcceptResult::Refused);
    pass(Milliseconds { 800 });
    CHECK_EQUAL(2, results.size());
    CHECK(results[1] == AcceptResult::Unknown);
    store.fault = FakeRecordStore::Fault::None;
    accept("j3");
    pass(Milliseconds { 50 });
    CHECK(results.back() == AcceptResult::Accepted);
}
