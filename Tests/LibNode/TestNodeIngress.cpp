#include "FakePeerTransport.h"
#include "FakeRecordStore.h"
#include "NodeTestClock.h"
#include "PlainFormats.h"
#include <CppUTest/TestHarness.h>
#include <LibNode/NodeIngress.h>
#include <LibReport/NodeMetrics.h>
#include <memory>
#include <new>
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
    JobQueryReply reply { .status = JobQueryStatus::Found };
    std::optional<std::string> leaderAddress { "here" };
    QueryRouter router { *loop, peers,
        { .firstQueryId = 1,
            .peerAddress = "here",
            .leaderAddress = [this] { return leaderAddress; },
            .handleLocally =
                [this](const JobQuery& query, QueryRouter::ReplyCallback callback) {
                    queries.push_back(query);
                    reply.queryId = query.queryId;
                    callback(reply);
                } } };
    std::shared_ptr<const RoutingTable> routing { std::make_shared<const RoutingTable>(RoutingTable { .version = 1,
        .routes = { { .queue = "short", .host = "h.example", .pathPrefix = "/q/" },
            { .queue = "long", .host = "h.example", .pathPrefix = "/q/deep/" },
            { .queue = "other", .host = "o.example", .pathPrefix = "/q/deep/er/" } } }) };
    NodeIngress ingress { *loop, acceptor, router, formats, metrics,
        { .routing = [this] { return routing; },
            .isConfigurationCurrent = [this] { return isCurrent; },
            .expectedWaits = [this] { return expectedWaits; } } };
    bool isCurrent { true };
    std::vector<ExpectedWait> expectedWaits;
    std::vector<HttpResponse> responses;

    void request(const std::string& method, const std::string& path, std::string body = {}, HttpHeaders headers = {})
    {
        headers.push_back({ "Host", "h.example" });
        ingress.handle({ .method = method, .path = path, .headers = std::move(headers), .body = std::move(body) },
            HttpResponder([this](const HttpResponse& it) { responses.push_back(it); }));
    }

    /// Sends a request that must get an immediate response, and returns the status; 0 without a response.
    int statusOf(const std::string& method, const std::string& path, const std::string& body = {})
    {
        responses.clear();
        request(method, path, body);
        advance(Milliseconds { 2 });
        return responses.empty() ? 0 : responses.front().status;
    }

    void submit(Milliseconds deadline = Milliseconds { 3000 })
    {
        request("POST", std::string("/q/") + id, encodeValue(JobSpec { .id = "x", .steps = { {} } }),
            { { "X-Deadline-Ms", std::to_string(deadline.count()) } });
    }

    /// Submits a job with an objective of 3 s, while its best-effort tasks wait 30 s.
    void submitInOverload(Milliseconds deadline = Milliseconds { 3000 })
    {
        auto table = std::make_shared<RoutingTable>(*routing);
        table->routes[0].policy = { .service = "s", .stretch = 1, .targetLatencyMs = 1000 };
        routing = table;
        expectedWaits = { { .service = "s", .image = "i", .waitMs = 30500 } };
        JobSpec job { .id = "x", .steps = { { .estimateMs = 2000, .bestEffort = true, .image = "i" } } };
        request("POST", std::string("/q/") + id, encodeValue(job),
            { { "X-Deadline-Ms", std::to_string(deadline.count()) } });
    }

    JobSpec storedJob()
    {
        const auto& records = store.records(StreamName::Jobs);
        CHECK_EQUAL(1, records.size());
        return *decodeValue<JobSpec>(records.front().value);
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

// Guards against status 404 from a node that has not loaded its configuration: the caller would not retry.
TEST(NodeIngress, AllRequestsAreUnavailableWithoutAConfiguration)
{
    routing = nullptr;
    for (auto method : { "POST", "GET", "DELETE" })
        CHECK_EQUAL(503, statusOf(method, std::string("/q/") + id));
    CHECK_EQUAL(503, statusOf("GET", "/nowhere/"));
    STRCMP_EQUAL("1", std::string(headerValue(responses.front().headers, "Retry-After")).c_str());
    CHECK(queries.empty());
    CHECK_EQUAL(0, store.appends);
}

// Guards against requests that are routed to a queue of another host or path, or that wait for a queue that does not
// exist.
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

// Guards against status 404, after which callers do not retry, for a queue that a newer configuration has (issue 55).
TEST(NodeIngress, QueueIsNotCalledUnknownByAnOutdatedConfiguration)
{
    isCurrent = false;
    for (auto method : { "POST", "GET", "DELETE" })
        CHECK_EQUAL(503, statusOf(method, std::string("/elsewhere/") + id));
    isCurrent = true;
    CHECK_EQUAL(404, statusOf("GET", std::string("/elsewhere/") + id));
}

// Guards against routing a job to the queue of a shorter prefix, or of a longer prefix of another host.
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
    request("POST", std::string("/q/deep/") + id, encodeValue(JobSpec { .id = "x", .steps = { {} } }));
    advance(Milliseconds { 20 });
    STRCMP_EQUAL("long", storedJob().queue.c_str());
}

// Guards against a Host header with a port that does not match the configured host.
TEST(NodeIngress, PortOfTheHostIsIgnored)
{
    ingress.handle({ .method = "GET", .path = "/q/", .headers = { { "host", "h.example:8080" } } },
        HttpResponder([this](const HttpResponse& it) { responses.push_back(it); }));
    advance(Milliseconds { 2 });
    CHECK_EQUAL(200, responses.at(0).status);
    STRCMP_EQUAL("pending 0", responses.at(0).body.c_str());
}

// Guards against storing a job under an invalid id, and against forwarding queries for invalid ids to the leader.
TEST(NodeIngress, InvalidIdIsABadRequestForSubmissionAndGoneOtherwise)
{
    for (auto bad : { "0123456789abcde", "0123456789abcdef0", "0123456789abcdeg", "0123456789abcde/", "x" }) {
        auto path = std::string("/q/") + bad;
        CHECK_EQUAL(400, statusOf("POST", path, encodeValue(JobSpec { .id = "x", .steps = { {} } })));
        CHECK_EQUAL(410, statusOf("GET", path));
        CHECK_EQUAL(410, statusOf("DELETE", path));
    }
    CHECK_EQUAL(400, statusOf("POST", "/q/", encodeValue(JobSpec { .id = "x", .steps = { {} } })));
    CHECK(queries.empty());
    CHECK_EQUAL(0, store.appends);
}

// Guards against storing a job that cannot be parsed.
TEST(NodeIngress, MalformedJobIsABadRequest)
{
    CHECK_EQUAL(400, statusOf("POST", std::string("/q/") + id, "\xc1"));
    CHECK_EQUAL(0, store.appends);
    CHECK_EQUAL(405, statusOf("PUT", std::string("/q/") + id));
}

// Guards against a 2xx before the job is stored, and against a body that overrides the id or the queue of the job.
TEST(NodeIngress, JobIsAcceptedOnceItIsStored)
{
    request("POST", std::string("/q/") + id, encodeValue(JobSpec { .id = "x", .queue = "x", .steps = { {} } }));
    CHECK(responses.empty());
    advance(Milliseconds { 20 });
    CHECK_EQUAL(200, responses.at(0).status);
    STRCMP_EQUAL(id, storedJob().id.c_str());
    STRCMP_EQUAL("short", storedJob().queue.c_str());
    CHECK(storedJob().acceptedAtMs > 0);
    CHECK_EQUAL(1, storedJob().configVersionAtAcceptance);
}

// Guards against 504 for a job that is definitely not stored: the caller would wait before it submits the job
// elsewhere.
TEST(NodeIngress, RejectionByTheStoreIsUnavailable)
{
    store.fault = FakeRecordStore::Fault::Refusing;
    submit();
    advance(Milliseconds { 30 });
    CHECK_EQUAL(503, responses.at(0).status);
    CHECK(store.records(StreamName::Jobs).empty());
}

// Guards against refusing a job that an append without a reply may have stored, even if the store rejects the retries
// later: a refused job must never run.
TEST(NodeIngress, AppendWithUnknownEffectIsNeverRefused)
{
    for (auto fault : { FakeRecordStore::Fault::LosingReplies, FakeRecordStore::Fault::Unresponsive }) {
        responses.clear();
        store.fault = fault;
        submit();
        advance(Milliseconds { 600 });
        CHECK(responses.empty());
        store.fault = FakeRecordStore::Fault::Refusing;
        advance(Milliseconds { 4000 });
        CHECK_EQUAL(1, responses.size());
        CHECK_EQUAL(504, responses.at(0).status);
        // A successful append resets the count of time-outs, after which further jobs would be refused immediately.
        store.fault = FakeRecordStore::Fault::None;
        submit();
        advance(Milliseconds { 50 });
    }
}

// Guards against a response after the caller's deadline: the caller would submit the job again.
TEST(NodeIngress, ResponseIsSentBeforeTheCallersDeadline)
{
    store.fault = FakeRecordStore::Fault::Unresponsive;
    submit(Milliseconds { 1000 });
    advance(Milliseconds { 980 });
    CHECK_EQUAL(1, responses.size());
    CHECK_EQUAL(504, responses.at(0).status);
    responses.clear();
    leaderAddress = std::nullopt;
    request("GET", std::string("/q/") + id, {}, { { "X-Deadline-Ms", "1000" } });
    advance(Milliseconds { 980 });
    CHECK_EQUAL(1, responses.size());
    CHECK_EQUAL(503, responses.at(0).status);
}

// Guards against an answer that waits for the next retry of the query, which is after the caller's deadline.
TEST(NodeIngress, QueryWithAShortDeadlineIsAnsweredInTime)
{
    leaderAddress = std::nullopt;
    request("GET", std::string("/q/") + id, {}, { { "X-Deadline-Ms", "100" } });
    advance(Milliseconds { 90 });
    CHECK_EQUAL(1, responses.size());
    CHECK_EQUAL(503, responses.at(0).status);
}

// Guards against malformed, non-positive and out-of-range deadlines, which could keep a request open for hours; the
// default of 3 s applies instead.
TEST(NodeIngress, InvalidDeadlineIsReplacedByTheDefault)
{
    leaderAddress = std::nullopt;
    for (auto deadline : { "-5", "0", "soon", "99999999999999999999", "" }) {
        responses.clear();
        request("GET", std::string("/q/") + id, {}, { { "X-Deadline-Ms", deadline } });
        advance(Milliseconds { 100 });
        CHECK(responses.empty());
        advance(Milliseconds { 2900 });
        CHECK_EQUAL(1, responses.size());
    }
}

// Guards against status 410 when no leader is available: the caller would conclude that a running job is lost.
TEST(NodeIngress, RepliesOfTheLeaderMapToStatusCodes)
{
    auto path = std::string("/q/") + id;
    reply = { .status = JobQueryStatus::Found, .state = JobStage::Running };
    CHECK_EQUAL(200, statusOf("GET", path));
    STRCMP_EQUAL("stage 1", responses.at(0).body.c_str());
    reply = { .status = JobQueryStatus::Unknown };
    CHECK_EQUAL(410, statusOf("GET", path));
    CHECK_EQUAL(410, statusOf("DELETE", path));
    reply = { .status = JobQueryStatus::Unavailable };
    CHECK(queries.back().kind == JobQueryKind::Cancel);
    responses.clear();
    request("GET", path);
    advance(Milliseconds { 4000 });
    CHECK_EQUAL(503, responses.at(0).status);
}

// Guards against a request whose processing fails and that ends the process, or leaves the caller without a response.
TEST(NodeIngress, RequestWhoseProcessingFailsGetsAResponse)
{
    NodeIngress failing(*loop, acceptor, router, formats, metrics,
        { .routing = []() -> std::shared_ptr<const RoutingTable> { throw std::bad_alloc(); } });
    failing.handle(
        { .method = "GET", .path = "/q/" }, HttpResponder([this](const HttpResponse& it) { responses.push_back(it); }));
    CHECK_EQUAL(1, responses.size());
    CHECK_EQUAL(500, responses[0].status);
}

// Guards against a request that starts a wait which the process does not outlive (issue 61).
TEST(NodeIngress, RequestAfterTheEndOfADrainIsRefusedAtOnce)
{
    ingress.setAnswerBy(clock.now() + Milliseconds { 100 });
    CHECK_EQUAL(200, statusOf("GET", "/q/"));
    advance(Milliseconds { 100 });
    queries.clear();
    for (auto method : { "POST", "GET", "DELETE" }) {
        CHECK_EQUAL(
            503, statusOf(method, std::string("/q/") + id, encodeValue(JobSpec { .id = "x", .steps = { {} } })));
        STRCMP_EQUAL("1", std::string(headerValue(responses.front().headers, "Retry-After")).c_str());
    }
    CHECK(queries.empty());
    CHECK_EQUAL(0, store.appends);
}

// Guards against accepting jobs that wait beyond any use, with which the backlog never ends (issue 67).
TEST(NodeIngress, JobThatWouldEndTooLateIsRefused)
{
    reply = { .status = JobQueryStatus::Unknown };
    submitInOverload();
    advance(Milliseconds { 30 });
    CHECK_EQUAL(503, responses.at(0).status);
    STRCMP_EQUAL("24", std::string(headerValue(responses.at(0).headers, "Retry-After")).c_str());
    STRCMP_CONTAINS(R"("ran":"no")", responses.at(0).body.c_str());
    CHECK_EQUAL(1, queries.size());
    CHECK(queries.front().kind == JobQueryKind::State);
    STRCMP_EQUAL(id, queries.front().subject.c_str());
    CHECK_EQUAL(0, store.appends);
    STRCMP_CONTAINS(R"(bergamot_node_submission_seconds_count{result="overloaded"} 1)", metrics.text().c_str());
    CHECK(metrics.text().find(R"(result="accepted")") == std::string::npos);
}

// Guards against a refusal while an append of an earlier request for the same job may still store it.
TEST(NodeIngress, JobWithAnAppendInProgressIsNotRefused)
{
    reply = { .status = JobQueryStatus::Unknown };
    store.fault = FakeRecordStore::Fault::Unresponsive;
    submit();
    advance(Milliseconds { 30 });
    submitInOverload();
    advance(Milliseconds { 3000 });
    CHECK_EQUAL(2, responses.size());
    for (const auto& it : responses)
        CHECK_EQUAL(504, it.status);
}

// Guards against refusing jobs that the backlog does not concern, or asking the leader for each of them.
TEST(NodeIngress, JobsOfOtherImagesAreAcceptedDuringABacklog)
{
    expectedWaits = { { .service = "s", .image = "i", .waitMs = 30500 } };
    submit();
    advance(Milliseconds { 30 });
    CHECK_EQUAL(200, responses.at(0).status);
    CHECK(queries.empty());
}

// Guards against telling the caller that a job never runs which was accepted by an earlier request.
TEST(NodeIngress, KnownJobIsNotRefused)
{
    for (auto stage : { JobStage::Queued, JobStage::Running, JobStage::Completed }) {
        responses.clear();
        reply = { .status = JobQueryStatus::Found, .state = stage };
        submitInOverload();
        advance(Milliseconds { 30 });
        CHECK_EQUAL(200, responses.at(0).status);
        STRCMP_EQUAL("{}", responses.at(0).body.c_str());
    }
    CHECK_EQUAL(0, store.appends);
}

// Guards against a refusal of a job that may have been accepted before, and against an answer after the caller's
// deadline, while no leader answers.
TEST(NodeIngress, JobIsAcceptedDuringABacklogIfNoLeaderAnswers)
{
    leaderAddress = std::nullopt;
    for (auto deadline : { 40, 1000, 60000 }) {
        responses.clear();
        submitInOverload(Milliseconds { deadline });
        advance(std::min(Milliseconds { deadline }, Milliseconds { 1100 }));
        CHECK_EQUAL(1, responses.size());
        CHECK_EQUAL(200, responses.at(0).status);
    }
}

// Guards against a submission that waits for the leader longer than the process lives.
TEST(NodeIngress, SubmissionDuringABacklogIsAnsweredBeforeTheEndOfADrain)
{
    leaderAddress = std::nullopt;
    ingress.setAnswerBy(clock.now() + Milliseconds { 100 });
    submitInOverload();
    advance(Milliseconds { 100 });
    CHECK_EQUAL(1, responses.size());
    CHECK_EQUAL(200, responses.at(0).status);
}

// Guards against an append that is sent at the end of a drain, after all pending submissions have been answered.
TEST(NodeIngress, NoJobIsStoredAfterTheEndOfADrain)
{
    leaderAddress = std::nullopt;
    submitInOverload();
    ingress.setAnswerBy(clock.now() + Milliseconds { 2 });
    advance(Milliseconds { 2 });
    acceptor.answerPending();
    router.answerPending();
    CHECK_EQUAL(1, responses.size());
    CHECK_EQUAL(504, responses.at(0).status);
    advance(Milliseconds { 100 });
    CHECK_EQUAL(0, store.appends);
}
