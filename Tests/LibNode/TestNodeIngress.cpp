#include "FakePeerTransport.h"
#include "FakeRecordStore.h"
#include "NodeTestClock.h"
#include "PlainFormats.h"
#include <CppUTest/TestHarness.h>
#include <LibNode/NodeIngress.h>
#include <LibReport/NodeMetrics.h>
#include <memory>
#include <optional>
#include <string>
#include <vector>

using namespace Bergamot;

static constexpr const char* id = "0123456789abcdef";

TEST_GROUP(NodeIngress)
{
    NodeTestClock clock;
    std::unique_ptr<EventLoop> loop { EventLoop::create(clock) };
    FakeRecordStore store { *loop };
    FakePeerTransport peers;
    PlainFormats formats;
    NodeMetrics metrics;
    JobAcceptor acceptor { *loop, store, 0 };
    std::vector<JobQuery> queries;
    JobQueryReply answer { .status = JobQueryStatus::Found };
    std::optional<std::string> leaderAddress { "here" };
    QueryRouter router { *loop, peers,
        { .firstQueryId = 1,
            .peerAddress = "here",
            .leaderAddress = [this] { return leaderAddress; },
            .answerHere =
                [this](const JobQuery& query, QueryRouter::Reply reply) {
                    queries.push_back(query);
                    answer.queryId = query.queryId;
                    reply(answer);
                } } };
    std::shared_ptr<const RoutingTable> routing { std::make_shared<const RoutingTable>(RoutingTable { .version = 1,
        .routes = { { .queue = "short", .host = "h.example", .pathPrefix = "/q/" },
            { .queue = "long", .host = "h.example", .pathPrefix = "/q/deep/" },
            { .queue = "other", .host = "o.example", .pathPrefix = "/q/deep/er/" } } }) };
    NodeIngress ingress { *loop, acceptor, router, formats, metrics, { .routing = [this] { return routing; } } };
    std::vector<HttpResponse> responses;

    void request(const std::string& method, const std::string& path, std::string body = {}, HttpHeaders headers = {})
    {
        headers.push_back({ "Host", "h.example" });
        ingress.handle({ .method = method, .path = path, .headers = std::move(headers), .body = std::move(body) },
            HttpResponder([this](const HttpResponse& it) { responses.push_back(it); }));
    }

    /// The status of a request that is answered without a wait.
    int statusOf(const std::string& method, const std::string& path, const std::string& body = {})
    {
        responses.clear();
        request(method, path, body);
        pass(Milliseconds { 2 });
        return responses.empty() ? 0 : responses.front().status;
    }

    void submit(Milliseconds deadline = Milliseconds { 3000 })
    {
        request("POST", std::string("/q/") + id, encodeValue(JobSpec { .steps = { {} } }),
            { { "X-Deadline-Ms", std::to_string(deadline.count()) } });
    }

    JobSpec storedJob()
    {
        const auto& records = store.records(StreamName::Jobs);
        CHECK_EQUAL(1, records.size());
        return *decodeValue<JobSpec>(records.front().value);
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

// Guards against "no such queue" from a node that has not read its configuration: the caller would give up for good.
TEST(NodeIngress, EverythingIsUnavailableWithoutAConfiguration)
{
    routing = nullptr;
    for (auto method : { "POST", "GET", "DELETE" })
        CHECK_EQUAL(503, statusOf(method, std::string("/q/") + id));
    CHECK_EQUAL(503, statusOf("GET", "/nowhere/"));
    STRCMP_EQUAL("1", std::string(headerValue(responses.front().headers, "Retry-After")).c_str());
    CHECK(queries.empty());
    CHECK_EQUAL(0, store.appends);
}

// Guards against requests that reach a queue of another host or path, or that wait for a queue that does not exist.
TEST(NodeIngress, RequestsWithoutARouteAreNotFound)
{
    for (auto method : { "POST", "GET", "DELETE" }) {
        CHECK_EQUAL(404, statusOf(method, std::string("/other/") + id));
        CHECK_EQUAL(404, statusOf(method, "/q"));
    }
    CHECK_EQUAL(404, statusOf("GET", "/"));
    CHECK(queries.empty());
    CHECK_EQUAL(0, store.appends);
}

// Guards against a job in the queue of a shorter prefix, or of another host whose prefix is longer still.
TEST(NodeIngress, LongestPrefixOfTheHostSelectsTheQueue)
{
    for (auto [path, queue] : { std::pair { "/q/", "short" }, { "/q/deep/", "long" }, { "/q/deep", "" } }) {
        queries.clear();
        auto status = statusOf("GET", path);
        if (std::string(queue).empty()) {
            CHECK_EQUAL(410, status);
            continue;
        }
        CHECK_EQUAL(200, status);
        STRCMP_EQUAL(queue, queries.at(0).subject.c_str());
    }
    request("POST", std::string("/q/deep/") + id, encodeValue(JobSpec { .steps = { {} } }));
    pass(Milliseconds { 20 });
    STRCMP_EQUAL("long", storedJob().queue.c_str());
}

// Guards against a host with a port that is taken for another host.
TEST(NodeIngress, PortOfTheHostIsIgnored)
{
    ingress.handle({ .method = "GET", .path = "/q/", .headers = { { "host", "h.example:8080" } } },
        HttpResponder([this](const HttpResponse& it) { responses.push_back(it); }));
    pass(Milliseconds { 2 });
    CHECK_EQUAL(200, responses.at(0).status);
    STRCMP_EQUAL("pending 0", responses.at(0).body.c_str());
}

// Guards against a job under an id that no other node finds, and against a question for one that reaches the leader.
TEST(NodeIngress, BadIdIsABadRequestToSubmitAndUnknownElsewhere)
{
    for (auto bad : { "0123456789abcde", "0123456789abcdef0", "0123456789abcdeg", "0123456789abcde/", "x" }) {
        auto path = std::string("/q/") + bad;
        CHECK_EQUAL(400, statusOf("POST", path, encodeValue(JobSpec { .steps = { {} } })));
        CHECK_EQUAL(410, statusOf("GET", path));
        CHECK_EQUAL(410, statusOf("DELETE", path));
    }
    CHECK_EQUAL(400, statusOf("POST", "/q/", encodeValue(JobSpec { .steps = { {} } })));
    CHECK(queries.empty());
    CHECK_EQUAL(0, store.appends);
}

// Guards against a job that nobody can read and that is stored all the same.
TEST(NodeIngress, UnreadableJobIsABadRequest)
{
    CHECK_EQUAL(400, statusOf("POST", std::string("/q/") + id, "\xc1"));
    CHECK_EQUAL(0, store.appends);
    CHECK_EQUAL(405, statusOf("PUT", std::string("/q/") + id));
}

// Guards against a 2xx before the job is stored, and against a job whose id or queue the body could choose.
TEST(NodeIngress, JobIsAcceptedOnceItIsStored)
{
    request("POST", std::string("/q/") + id, encodeValue(JobSpec { .id = "x", .queue = "x", .steps = { {} } }));
    CHECK(responses.empty());
    pass(Milliseconds { 20 });
    CHECK_EQUAL(200, responses.at(0).status);
    STRCMP_EQUAL(id, storedJob().id.c_str());
    STRCMP_EQUAL("short", storedJob().queue.c_str());
    CHECK(storedJob().acceptedAtMs > 0);
}

// Guards against 504 for a job that is surely not stored: the caller would wait for it before it asks elsewhere.
TEST(NodeIngress, RefusalOfTheStoreIsUnavailable)
{
    store.fault = FakeRecordStore::Fault::Refusing;
    submit();
    pass(Milliseconds { 30 });
    CHECK_EQUAL(503, responses.at(0).status);
    CHECK(store.records(StreamName::Jobs).empty());
}

// Guards against a refusal, after which the job must never run, of a job that an unanswered append may have stored;
// also when the store refuses its repeats later.
TEST(NodeIngress, AppendWithUnknownEffectIsNeverRefused)
{
    for (auto fault : { FakeRecordStore::Fault::LosingAnswers, FakeRecordStore::Fault::Silent }) {
        responses.clear();
        store.fault = fault;
        submit();
        pass(Milliseconds { 600 });
        CHECK(responses.empty());
        store.fault = FakeRecordStore::Fault::Refusing;
        pass(Milliseconds { 4000 });
        CHECK_EQUAL(1, responses.size());
        CHECK_EQUAL(504, responses.at(0).status);
        // Ends the suspicion that the store does not answer, which refuses further jobs at once.
        store.fault = FakeRecordStore::Fault::None;
        submit();
        pass(Milliseconds { 50 });
    }
}

// Guards against an answer that comes when the caller has stopped waiting, which sends the job once more.
TEST(NodeIngress, AnswerComesBeforeTheCallersDeadline)
{
    store.fault = FakeRecordStore::Fault::Silent;
    submit(Milliseconds { 1000 });
    pass(Milliseconds { 980 });
    CHECK_EQUAL(1, responses.size());
    CHECK_EQUAL(504, responses.at(0).status);
    responses.clear();
    leaderAddress = std::nullopt;
    request("GET", std::string("/q/") + id, {}, { { "X-Deadline-Ms", "1000" } });
    pass(Milliseconds { 980 });
    CHECK_EQUAL(1, responses.size());
    CHECK_EQUAL(503, responses.at(0).status);
}

// Guards against a deadline that cannot be read, is negative, or would keep the request for hours.
TEST(NodeIngress, OddDeadlineCountsAsTheUsualOne)
{
    leaderAddress = std::nullopt;
    for (auto deadline : { "-5", "0", "soon", "99999999999999999999", "" }) {
        responses.clear();
        request("GET", std::string("/q/") + id, {}, { { "X-Deadline-Ms", deadline } });
        pass(Milliseconds { 100 });
        CHECK(responses.empty());
        pass(Milliseconds { 2900 });
        CHECK_EQUAL(1, responses.size());
    }
}

// Guards against "no such job" from a node without a leader: the caller would take a running job for lost.
TEST(NodeIngress, AnswersOfTheLeaderKeepTheirMeaning)
{
    auto path = std::string("/q/") + id;
    answer = { .status = JobQueryStatus::Found, .state = JobStage::Running };
    CHECK_EQUAL(200, statusOf("GET", path));
    STRCMP_EQUAL("stage 1", responses.at(0).body.c_str());
    answer = { .status = JobQueryStatus::Unknown };
    CHECK_EQUAL(410, statusOf("GET", path));
    CHECK_EQUAL(410, statusOf("DELETE", path));
    answer = { .status = JobQueryStatus::Unavailable };
    CHECK(queries.back().kind == JobQueryKind::Cancel);
    responses.clear();
    request("GET", path);
    pass(Milliseconds { 4000 });
    CHECK_EQUAL(503, responses.at(0).status);
}
