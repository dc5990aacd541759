#include "FakePeerTransport.h"
#include "NodeTestClock.h"
#include <CppUTest/TestHarness.h>
#include <LibHttp/EventLoop.h>
#include <LibNode/QueryRouter.h>
#include <LibWire/Codec.h>
#include <memory>
#include <optional>

using namespace Bergamot;

TEST_GROUP(QueryRouter)
{
    NodeTestClock clock;
    std::unique_ptr<EventLoop> loop { EventLoop::create(clock) };
    FakePeerTransport transport;
    std::optional<JobQueryReply> answered;

    std::unique_ptr<QueryRouter> makeRouter(uint64_t firstQueryId)
    {
        return std::make_unique<QueryRouter>(*loop, transport,
            QueryRouter::Options { .firstQueryId = firstQueryId,
                .peerAddress = "here",
                .leaderAddress = [] { return std::optional<std::string>("leader"); },
                .answerHere =
                    [](const JobQuery& query, QueryRouter::Reply reply) {
                        reply({ .queryId = query.queryId, .status = JobQueryStatus::Found });
                    } });
    }

    void ask(QueryRouter & router)
    {
        router.ask(JobQueryKind::State, "job", clock.now() + Milliseconds { 2000 },
            [this](const JobQueryReply& answer) { answered = answer; });
    }

    void pass(Milliseconds time)
    {
        constexpr Milliseconds step { 5 };
        for (Milliseconds passed { 0 }; passed < time; passed += step) {
            clock.pass(step);
            loop->runReady();
        }
    }

    uint64_t queryIdSent(size_t position) const
    {
        auto message = decodePeerMessage(transport.sent.at(position).second);
        return std::get<JobQuery>(*message).queryId;
    }
};

// Guards against a connection to the leader that went silent without a reset and takes all questions until TCP gives
// up.
TEST(QueryRouter, SilentConnectionIsReplacedByTheFirstRepeat)
{
    auto router = makeRouter(1);
    ask(*router);
    pass(Milliseconds { 2500 });
    transport.sent.clear();
    transport.disconnects = 0;
    transport.silentConnections.insert("leader");
    ask(*router);
    pass(Milliseconds { 300 });
    CHECK_EQUAL(0, transport.sent.size());
    pass(Milliseconds { 200 });
    CHECK_EQUAL(1, transport.sent.size());
    CHECK_EQUAL(1, transport.disconnects);
}

// Guards against a leader whose answers go into a silent connection, while the questions arrive.
TEST(QueryRouter, RepeatedQuestionReplacesTheConnectionOfTheAnswer)
{
    auto router = makeRouter(1);
    transport.deliver(encodePeerMessage(JobQuery { .queryId = 6, .replyAddress = "there", .subject = "job" }));
    pass(Milliseconds { 1100 });
    CHECK_EQUAL(1, transport.sent.size());
    transport.silentConnections.insert("there");
    auto question = encodePeerMessage(JobQuery { .queryId = 7, .replyAddress = "there", .subject = "job" });
    transport.deliver(question);
    pass(Milliseconds { 10 });
    CHECK_EQUAL(1, transport.sent.size());
    transport.deliver(question);
    pass(Milliseconds { 10 });
    CHECK_EQUAL(2, transport.sent.size());
}

// Guards against replacing a connection that is still being opened, so that none ever opens.
TEST(QueryRouter, YoungConnectionIsKept)
{
    auto router = makeRouter(1);
    ask(*router);
    pass(Milliseconds { 900 });
    CHECK_EQUAL(3, transport.sent.size());
    CHECK_EQUAL(0, transport.disconnects);
}

// Guards against replacing connections all the time to a node that started again and numbers its questions from below.
TEST(QueryRouter, LowerNumbersOfANewProcessAreNoRepeats)
{
    auto router = makeRouter(1);
    for (uint64_t queryId : { 5'000'000, 70, 71, 72 }) {
        transport.deliver(
            encodePeerMessage(JobQuery { .queryId = queryId, .replyAddress = "there", .subject = "job" }));
        pass(Milliseconds { 1100 });
    }
    CHECK_EQUAL(4, transport.sent.size());
    CHECK_EQUAL(0, transport.disconnects);
}

// Guards against a late answer to a question of an earlier process that is taken for the answer to another caller.
TEST(QueryRouter, AnswerToAnEarlierProcessIsIgnored)
{
    auto earlier = makeRouter(1000);
    ask(*earlier);
    auto oldQueryId = queryIdSent(0);
    earlier.reset();
    auto router = makeRouter(900'000);
    ask(*router);
    transport.deliver(encodePeerMessage(JobQueryReply { .queryId = oldQueryId, .status = JobQueryStatus::Found }));
    pass(Milliseconds { 10 });
    CHECK_FALSE(answered.has_value());
    transport.deliver(encodePeerMessage(JobQueryReply { .queryId = queryIdSent(1), .status = JobQueryStatus::Found }));
    pass(Milliseconds { 10 });
    CHECK(answered.has_value());
}
