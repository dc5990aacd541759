#include <CppUTest/TestHarness.h>
#include <LibHttp/HttpEngine.h>
#include <LibHttp/HttpServer.h>
#include <fmt/format.h>
#include <future>
#include <memory>
#include <platform/PlatformStore.h>
#include <platform/PlatformWorkers.h>
#include <string>
#include <utility>

using namespace Bergamot;
using namespace std::string_literals;

TEST_GROUP(MalformedReplies)
{
    HttpResponse response;
    std::unique_ptr<HttpServer> server { std::move(*HttpServer::create(
        { .handler = [this](const HttpRequest&, HttpResponder responder) { responder.send(response); } })) };
    std::unique_ptr<HttpEngine> engine { HttpEngine::create({}) };
    TaskExecutorAddress executor { .id = "i-1", .address = fmt::format("127.0.0.1:{}", server->port()) };
    Platform::PlatformStore store { *engine, { .address = executor.address } };
    Platform::PlatformWorkers workers { *engine };

    template <typename Reply, typename Call> absl::StatusOr<Reply> wait(Call call)
    {
        std::promise<absl::StatusOr<Reply>> promise;
        call([&](absl::StatusOr<Reply> reply) { promise.set_value(std::move(reply)); });
        return promise.get_future().get();
    }

    absl::StatusOr<RenewLeaseReply> renewLease(std::string body)
    {
        response = { .body = std::move(body) };
        return wait<RenewLeaseReply>([&](auto done) { workers.renewLease(executor, 7, {}, done); });
    }

    absl::StatusOr<ReadReply> read(std::string body)
    {
        response = { .body = std::move(body) };
        return wait<ReadReply>([&](auto done) { store.read(StreamName::Workers, 0, 840, Milliseconds { 0 }, done); });
    }

    absl::StatusOr<ReadNewestReply> readNewest(std::string body)
    {
        response = { .body = std::move(body) };
        return wait<ReadNewestReply>(
            [&](auto done) { store.readNewest(StreamName::Workers, 0, {}, Milliseconds { 1000 }, done); });
    }
};

// Guards against runs that count as lost, and start a second time, since the worker's list of them is no list.
TEST(MalformedReplies, RunListsOfAnotherTypeAreRefused)
{
    CHECK(renewLease(R"({"clockMs":5,"running":[],"finished":[]})").ok());
    for (const auto* other : { "null", "{}", "7", "\"\"", "true", R"({"a":["j.0.1.2",3,"cp",41]})" }) {
        CHECK_FALSE_TEXT(renewLease(fmt::format(R"({{"clockMs":5,"running":{},"finished":[]}})", other)).ok(), other);
        CHECK_FALSE_TEXT(renewLease(fmt::format(R"({{"clockMs":5,"running":[],"finished":{}}})", other)).ok(), other);
    }
}

// Guards against a worker's clock or start time that overflows when leases are computed from it.
TEST(MalformedReplies, TimesOutOfRangeAreIgnored)
{
    for (const auto* time : { "-1", "9223372036854775807", "9223372036854775808", "18446744073709551615", "1e300" }) {
        auto reply = renewLease(fmt::format(R"({{"clockMs":{0},"born":{0},"running":[],"finished":[]}})", time));
        CHECK_TEXT(reply.ok(), time);
        CHECK_FALSE_TEXT(reply->commandReply.clockMs.has_value(), time);
        CHECK_EQUAL_TEXT(0, reply->commandReply.startedAtMs, time);
    }
}

// Guards against a stored payload that is not UTF-8 and ends each leader that sends it to a worker.
TEST(MalformedReplies, StartThatCannotBeEncodedIsInvalid)
{
    response = { .body = R"({"clockMs":5})" };
    for (const auto& start : { StartTaskCommand { .task = { "j", 0, 0, 0 }, .run = 1, .payload = "\xff" },
             StartTaskCommand { .task = { "j\xc3", 0, 0, 0 }, .run = 1 },
             StartTaskCommand { .task = { "j", 0, 0, 0 }, .run = 1, .checkpoint = "\x80" } }) {
        auto reply = wait<TaskCommandReply>([&](auto done) { workers.start(executor, { .epoch = 7 }, start, done); });
        CHECK(reply.ok());
        CHECK(reply->outcome == TaskCommandOutcome::Invalid);
    }
}
