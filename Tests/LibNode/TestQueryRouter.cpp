#include "FakePeerTransport.h"
#include "NodeTestClock.h"
#include <CppUTest/TestHarness.h>
#include <LibHttp/EventLoop.h>
#include <LibNode/QueryRouter.h>
#include <LibWire/Codec.h>
#include <memory>
#include <optional>
#include <stdexcept>
#include <string>

using namespace Bergamot;

TEST_GROUP(QueryRouter)
{
    NodeTestClock clock;
    std::unique_ptr<EventLoop> loop { EventLoop::create(clock) };
    FakePeerTransport transport;
    std::optional<JobQueryReply> receivedReply;

    std::unique_ptr<QueryRouter> makeRouter(uint64_t firstQueryId)
    {
        return std::make_unique<QueryRouter>(*loop, transport,
            QueryRouter::Options { .firstQueryId = firstQueryId,
                .peerAddress = "here",
                .leaderAddress = [] { return std::optional<std::string>("leader"); },
                .handleLocally =
                    [](const JobQuery& query, QueryRouter::ReplyCallback callback) {
                        callback({ .queryId = query.queryId, .status = JobQueryStatus::Found });
                    } });
    }

    void ask(QueryRouter & router)
    {
        router.sendQuery(JobQueryKind::State, "job", clock.now() + Milliseconds { 2000 },
            [this](const JobQueryReply& reply) { receivedReply = reply; });
    }

    void advance(Milliseconds time)
    {
        constexpr Milliseconds step { 5 };
        for (Milliseconds passed { 0 }; passed < time; passed += step) {
            clock.advance(step);
            loop->runReady();
        }
    }

    uint64_t queryIdSent(size_t position) const
    {
        auto message = decodePeerMessage(transport.sent.at(position).second);
        return std::get<JobQuery>(*message).queryId;
    }
};

// Guards against sending all queries on a stalled connection to the leader until TCP times out: a connection can stall
// without a reset.
TEST(QueryRouter, StalledConnectionIsReplacedByTheFirstRetry)
{
    auto router = makeRouter(1);
    ask(*router);
    advance(Milliseconds { 2500 });
    transport.sent.clear();
    transport.disconnects = 0;
    transport.stalledConnections.insert("leader");
    ask(*router);
    advance(Milliseconds { 300 });
    CHECK_EQUAL(0, transport.sent.size());
    advance(Milliseconds { 200 });
    CHECK_EQUAL(1, transport.sent.size());
    CHECK_EQUAL(1, transport.disconnects);
}

// Guards against a leader that receives queries but sends its replies on a stalled connection.
TEST(QueryRouter, RetransmittedQueryReplacesTheConnectionOfTheReply)
{
    auto router = makeRouter(1);
    transport.deliver(encodePeerMessage(JobQuery { .queryId = 6, .replyAddress = "there", .subject = "job" }));
    advance(Milliseconds { 1100 });
    CHECK_EQUAL(1, transport.sent.size());
    transport.stalledConnections.insert("there");
    auto query = encodePeerMessage(JobQuery { .queryId = 7, .replyAddress = "there", .subject = "job" });
    transport.deliver(query);
    advance(Milliseconds { 10 });
    CHECK_EQUAL(1, transport.sent.size());
    transport.deliver(query);
    advance(Milliseconds { 10 });
    CHECK_EQUAL(2, transport.sent.size());
}

// Guards against replacing a connection while it is still connecting, so that no connection is ever established.
TEST(QueryRouter, NewConnectionIsKept)
{
    auto router = makeRouter(1);
    ask(*router);
    advance(Milliseconds { 900 });
    CHECK_EQUAL(3, transport.sent.size());
    CHECK_EQUAL(0, transport.disconnects);
}

// Guards against repeatedly replacing the connection to a node that has restarted with lower query ids.
TEST(QueryRouter, LowerQueryIdsOfANewProcessAreNotRetransmissions)
{
    auto router = makeRouter(1);
    for (uint64_t queryId : { 5'000'000, 70, 71, 72 }) {
        transport.deliver(
            encodePeerMessage(JobQuery { .queryId = queryId, .replyAddress = "there", .subject = "job" }));
        advance(Milliseconds { 1100 });
    }
    CHECK_EQUAL(4, transport.sent.size());
    CHECK_EQUAL(0, transport.disconnects);
}

// Guards against delivering a late reply to a query of an earlier process as the reply to a query of this process.
TEST(QueryRouter, ReplyToAnEarlierProcessIsIgnored)
{
    auto earlier = makeRouter(1000);
    ask(*earlier);
    auto oldQueryId = queryIdSent(0);
    earlier.reset();
    auto router = makeRouter(900'000);
    ask(*router);
    transport.deliver(encodePeerMessage(JobQueryReply { .queryId = oldQueryId, .status = JobQueryStatus::Found }));
    advance(Milliseconds { 10 });
    CHECK_FALSE(receivedReply.has_value());
    transport.deliver(encodePeerMessage(JobQueryReply { .queryId = queryIdSent(1), .status = JobQueryStatus::Found }));
    advance(Milliseconds { 10 });
    CHECK(receivedReply.has_value());
}

// Guards against a message whose processing fails and that ends the process.
TEST(QueryRouter, MessageWhoseProcessingFailsIsLeftOut)
{
    QueryRouter router(*loop, transport,
        { .peerAddress = "here",
            .leaderAddress = [] { return std::optional<std::string>("leader"); },
            .handleLocally =
                [](const JobQuery& query, const QueryRouter::ReplyCallback& callback) {
                    if (query.subject == "throws")
                        throw std::out_of_range("a fault in the processing of this query");
                    callback({ .queryId = query.queryId, .status = JobQueryStatus::Found });
                } });
    for (const auto* subject : { "throws", "job" })
        transport.deliver(encodePeerMessage(JobQuery { .queryId = 5, .replyAddress = "there", .subject = subject }));
    advance(Milliseconds { 20 });
    CHECK_EQUAL(1, transport.sent.size());
}

// Guards against a query without an answer when the process stops, and against a second answer or further retries.
TEST(QueryRouter, PendingQueryIsAnsweredAtOnce)
{
    auto router = makeRouter(1);
    ask(*router);
    advance(Milliseconds { 10 });
    router->answerPending();
    CHECK(receivedReply.has_value());
    CHECK(receivedReply->status == JobQueryStatus::Unavailable);
    receivedReply.reset();
    auto sent = transport.sent.size();
    transport.deliver(encodePeerMessage(JobQueryReply { .queryId = queryIdSent(0), .status = JobQueryStatus::Found }));
    advance(Milliseconds { 3000 });
    CHECK_FALSE(receivedReply.has_value());
    CHECK_EQUAL(sent, transport.sent.size());
}
