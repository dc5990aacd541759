#include "FakeRecordStore.h"
#include "NodeTestClock.h"
#include <CppUTest/TestHarness.h>
#include <LibNode/JobAcceptor.h>
#include <algorithm>
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

    void advance(Milliseconds time)
    {
        constexpr Milliseconds step { 2 };
        for (Milliseconds passed { 0 }; passed < time; passed += step) {
            clock.advance(step);
            loop->runReady();
        }
    }
};

// Guards against one append per job in a burst of jobs.
TEST(JobAcceptor, PendingJobsShareAnAppend)
{
    for (int i = 0; i < 20; ++i)
        accept("j" + std::to_string(i));
    advance(Milliseconds { 20 });
    CHECK_EQUAL(20, results.size());
    CHECK_EQUAL(2, store.appends);
    CHECK_EQUAL(20, store.records(StreamName::Jobs).size());
}

// Guards against jobs that together exceed the limit of a call: the store would refuse them until their deadlines.
TEST(JobAcceptor, LargeJobsAreSpreadOverAppends)
{
    constexpr size_t jobs = 40;
    constexpr size_t payloadBytes = 200000;
    for (size_t i = 0; i < jobs; ++i)
        acceptor.accept({ .id = "j" + std::to_string(i), .payload = std::string(payloadBytes, 'p') },
            clock.now() + Milliseconds { 3000 }, [this](AcceptResult it) { results.push_back(it); });
    advance(Milliseconds { 200 });
    CHECK_EQUAL(jobs, results.size());
    CHECK(std::ranges::all_of(results, [](auto it) { return it == AcceptResult::Accepted; }));
    CHECK_EQUAL(jobs, store.records(StreamName::Jobs).size());
}

// Guards against a job that the store refuses for good, whose append is repeated together with the jobs of others.
TEST(JobAcceptor, JobBeyondTheLimitOfARecordIsRefusedAlone)
{
    acceptor.accept({ .id = "large", .payload = std::string(defaultMaxRecordBytes, 'p') },
        clock.now() + Milliseconds { 3000 }, [this](AcceptResult it) { results.push_back(it); });
    accept("j");
    advance(Milliseconds { 20 });
    CHECK((results == std::vector { AcceptResult::Refused, AcceptResult::Accepted }));
    CHECK_EQUAL(1, store.appends);
}

// Guards against refusing a job that may be stored: the caller would conclude that the job never runs.
TEST(JobAcceptor, JobWithALostReplyIsNeverRefused)
{
    store.fault = FakeRecordStore::Fault::LosingReplies;
    accept("j1");
    advance(Milliseconds { 350 });
    CHECK(results.empty());
    store.fault = FakeRecordStore::Fault::Refusing;
    advance(Milliseconds { 3000 });
    CHECK_EQUAL(1, results.size());
    CHECK(results[0] == AcceptResult::Unknown);
    CHECK_EQUAL(1, store.records(StreamName::Jobs).size());
}

// Guards against a caller that waits although the store has definitely rejected the append.
TEST(JobAcceptor, RejectionByTheStoreRefusesImmediately)
{
    store.fault = FakeRecordStore::Fault::Refusing;
    accept("j1");
    advance(Milliseconds { 20 });
    CHECK_EQUAL(1, results.size());
    CHECK(results[0] == AcceptResult::Refused);
    CHECK(store.records(StreamName::Jobs).empty());
}

// Guards against failing a job although a retry of its append succeeds.
TEST(JobAcceptor, RetryAfterALostReplyAccepts)
{
    store.fault = FakeRecordStore::Fault::LosingReplies;
    accept("j1", Milliseconds { 5000 });
    advance(Milliseconds { 2250 });
    store.fault = FakeRecordStore::Fault::None;
    advance(Milliseconds { 300 });
    CHECK_EQUAL(1, results.size());
    CHECK(results[0] == AcceptResult::Accepted);
}

// Guards against callers that wait until their deadline although recent appends have timed out.
TEST(JobAcceptor, UnresponsiveStoreRefusesFurtherJobsImmediately)
{
    store.fault = FakeRecordStore::Fault::Unresponsive;
    accept("j1", Milliseconds { 2000 });
    advance(Milliseconds { 1300 });
    CHECK(results.empty());
    accept("j2");
    CHECK_EQUAL(1, results.size());
    CHECK(results[0] == AcceptResult::Refused);
    advance(Milliseconds { 800 });
    CHECK_EQUAL(2, results.size());
    CHECK(results[1] == AcceptResult::Unknown);
    store.fault = FakeRecordStore::Fault::None;
    accept("j3");
    advance(Milliseconds { 50 });
    CHECK(results.back() == AcceptResult::Accepted);
}

// Guards against a submission without an answer when the process stops, and against an untrue one (issue 61).
TEST(JobAcceptor, PendingJobsAreAnsweredTrulyAtOnce)
{
    for (auto fault : { FakeRecordStore::Fault::Unresponsive, FakeRecordStore::Fault::LosingReplies }) {
        results.clear();
        store.fault = fault;
        accept("in append " + std::to_string(static_cast<int>(fault)));
        advance(Milliseconds { 20 });
        accept("behind it " + std::to_string(static_cast<int>(fault)));
        CHECK(results.empty());
        acceptor.answerPending();
        CHECK_EQUAL(2, results.size());
        CHECK(results[0] == AcceptResult::Unknown);
        CHECK(results[1] == AcceptResult::Refused);
        advance(Milliseconds { 5000 });
        CHECK_EQUAL(2, results.size());
        for (const auto& it : store.records(StreamName::Jobs))
            CHECK(it.key.starts_with("in append"));
    }
    store.fault = FakeRecordStore::Fault::None;
    accept("later");
    advance(Milliseconds { 50 });
    CHECK(results.back() == AcceptResult::Accepted);
}

// Guards against refusing a job of an append without a reply that waits for its next append (issue 61).
TEST(JobAcceptor, JobBetweenTwoAppendsIsNotRefusedAtOnce)
{
    store.fault = FakeRecordStore::Fault::LosingReplies;
    accept("j1", Milliseconds { 20000 });
    auto appends = store.appends;
    while (store.appends == appends)
        advance(Milliseconds { 2 });
    advance(Milliseconds { 50 });
    acceptor.answerPending();
    CHECK_EQUAL(1, results.size());
    CHECK(results[0] == AcceptResult::Unknown);
}

// Guards against a job that is answered twice, at once and by the reply to its append.
TEST(JobAcceptor, ReplyAfterTheAnswerIsIgnored)
{
    store.appendTime = Milliseconds { 100 };
    accept("j1");
    advance(Milliseconds { 20 });
    acceptor.answerPending();
    advance(Milliseconds { 500 });
    CHECK_EQUAL(1, results.size());
    CHECK(results[0] == AcceptResult::Unknown);
}
