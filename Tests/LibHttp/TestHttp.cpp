#include <CppUTest/TestHarness.h>
#include <LibCore/SteadyClock.h>
#include <LibHttp/ConnectionRefused.h>
#include <LibHttp/EventLoop.h>
#include <LibHttp/HttpClient.h>
#include <LibHttp/HttpEngine.h>
#include <LibHttp/HttpServer.h>
#include <array>
#include <fmt/format.h>
#include <future>
#include <memory>
#include <mutex>
#include <netinet/in.h>
#include <optional>
#include <string_view>
#include <sys/epoll.h>
#include <sys/socket.h>
#include <thread>
#include <unistd.h>
#include <vector>

using namespace Bergamot;

TEST_GROUP(Http) { std::unique_ptr<HttpServer> startServer(HttpServer::Handler handler) {
    auto server = HttpServer::create({ .limits = { .maxRequestBytes = 4096 }, .handler = std::move(handler) });
CHECK(server.ok());
return std::move(*server);
}

HttpCall callTo(const HttpServer& server, std::string path)
{
    return { .url = fmt::format("http://127.0.0.1:{}{}", server.port(), path), .sendLimit = SendLimit::unlimited() };
}
}
;

// Guards against a status, header, query or body that is lost between client and server.
TEST(Http, RequestAndReplyRoundTrip)
{
    auto server = startServer([](HttpRequest request, HttpResponder responder) {
        auto segments = request.segments();
        responder.send({ .status = 207,
            .headers = { { "X-Echo", std::string(headerValue(request.headers, "x-sent")) } },
            .body = request.method + segments.at(1) + std::string(headerValue(request.query, "q")) + request.body });
    });
    auto call = callTo(*server, "/a/b?q=7");
    call.method = "POST";
    call.body = "body";
    call.headers = { { "X-Sent", "value" } };
    auto reply = HttpClient().call(call);
    CHECK(reply.ok());
    CHECK_EQUAL(207, reply->status);
    STRCMP_EQUAL("value", std::string(headerValue(reply->headers, "X-Echo")).c_str());
    STRCMP_EQUAL("POSTb7body", reply->body.c_str());
}

// Guards against a Pistache version that does not let another thread respond later, which the quick path requires.
TEST(Http, ResponseFromAnotherThread)
{
    std::thread responderThread;
    auto server = startServer([&](HttpRequest, HttpResponder responder) {
        responderThread = std::thread([sharedResponder = std::make_shared<HttpResponder>(std::move(responder))] {
            sharedResponder->send({ .body = "late" });
        });
    });
    auto reply = HttpClient().call(callTo(*server, "/"));
    responderThread.join();
    CHECK(reply.ok());
    STRCMP_EQUAL("late", reply->body.c_str());
    CHECK_EQUAL(0, server->requestsInProgress());
}

// Guards against accepting an invalid Content-Length, as Pistache 0.0.5 does, and against accepting oversize bodies.
TEST(Http, InvalidContentLengthAndOversizeBodyAreRejected)
{
    auto server = startServer([](HttpRequest, HttpResponder responder) { responder.send({ .body = "ran" }); });
    auto call = callTo(*server, "/");
    call.headers = { { "Content-Length", "zz" } };
    auto reply = HttpClient().call(call);
    CHECK(reply.ok());
    CHECK_EQUAL(400, reply->status);
    auto large = callTo(*server, "/");
    large.method = "POST";
    large.body.assign(8192, 'x');
    reply = HttpClient().call(large);
    CHECK(reply.ok());
    CHECK_EQUAL(413, reply->status);
}

// Guards against reporting a refused connection as an unknown outcome instead of a request that was not executed.
TEST(Http, RefusedConnectionIsReportedAsAborted)
{
    uint16_t port = 0;
    {
        auto server = startServer([](HttpRequest, HttpResponder responder) { responder.send({}); });
        port = server->port();
    }
    auto reply
        = HttpClient().call({ .url = fmt::format("http://127.0.0.1:{}/", port), .sendLimit = SendLimit::unlimited() });
    CHECK(absl::IsAborted(reply.status()));
    CHECK(isConnectionRefused(reply.status()));
}

// Guards against taking another failure for a refused connection, which proves that no process listens.
TEST(Http, OtherFailuresAreNoRefusedConnections)
{
    auto unsupported = HttpClient().call({ .url = "unsupported://127.0.0.1/", .sendLimit = SendLimit::unlimited() });
    CHECK(absl::IsAborted(unsupported.status()));
    CHECK_FALSE(isConnectionRefused(unsupported.status()));
    int listener = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
    sockaddr_in address { .sin_family = AF_INET, .sin_port = 0, .sin_addr = { htonl(INADDR_LOOPBACK) } };
    socklen_t size = sizeof(address);
    CHECK_EQUAL(0, bind(listener, reinterpret_cast<sockaddr*>(&address), size));
    CHECK_EQUAL(0, listen(listener, 1));
    getsockname(listener, reinterpret_cast<sockaddr*>(&address), &size);
    auto silent = HttpClient().call({ .url = fmt::format("http://127.0.0.1:{}/", ntohs(address.sin_port)),
        .timeout = Milliseconds { 200 },
        .sendLimit = SendLimit::unlimited() });
    close(listener);
    CHECK(absl::IsDeadlineExceeded(silent.status()));
    CHECK_FALSE(isConnectionRefused(silent.status()));
}

// Guards against engine callbacks that never run or get the reply to another request.
TEST(Http, EngineCallsBackWithTheReplyToEachRequest)
{
    auto server
        = startServer([](HttpRequest request, HttpResponder responder) { responder.send({ .body = request.path }); });
    auto engine = HttpEngine::create({});
    std::vector<std::future<bool>> results;
    for (int i = 0; i < 200; ++i) {
        auto promise = std::make_shared<std::promise<bool>>();
        results.push_back(promise->get_future());
        auto path = fmt::format("/{}", i);
        engine->submit(callTo(*server, path),
            [promise, path](auto reply) { promise->set_value(reply.ok() && reply->body == path); });
    }
    for (auto& result : results)
        CHECK(result.get());
}

// Guards against a fixed limit on kept connections: with two connections to each of 3,000 workers, a limit of 1,024
// made a leader open a connection for every request.
TEST(Http, ConnectionsWithinTheSocketLimitAreReused)
{
    constexpr int calls = 40;
    constexpr int64_t maxSockets = 64;
    auto connectionsOf = [](HttpEngine::Options options) {
        // Responses are sent only when all requests have arrived, so each request needs a connection of its own.
        std::mutex mutex;
        std::vector<std::shared_ptr<HttpResponder>> waiting;
        auto server = HttpServer::create({ .handler = [&](HttpRequest, HttpResponder responder) {
            std::lock_guard lock(mutex);
            waiting.push_back(std::make_shared<HttpResponder>(std::move(responder)));
            if (waiting.size() < calls)
                return;
            for (auto& it : waiting)
                it->send({});
            waiting.clear();
        } });
        CHECK(server.ok());
        auto engine = HttpEngine::create(options);
        for (int round = 0; round < 2; ++round) {
            std::vector<std::future<bool>> results;
            for (int i = 0; i < calls; ++i) {
                auto promise = std::make_shared<std::promise<bool>>();
                results.push_back(promise->get_future());
                engine->submit({ .url = fmt::format("http://127.0.0.1:{}/", (*server)->port()),
                                   .sendLimit = SendLimit::unlimited() },
                    [promise](auto reply) { promise->set_value(reply.ok()); });
            }
            for (auto& result : results)
                CHECK(result.get());
        }
        return engine->connectionsOpened();
    };
    CHECK_EQUAL(calls, connectionsOf(HttpEngine::Options::forSocketLimit(maxSockets)));
    CHECK(connectionsOf({ .maxIdleConnections = calls / 2 }) > calls);
    CHECK_EQUAL(1024, HttpEngine::Options::forSocketLimit(0).maxIdleConnections);
    CHECK_EQUAL(6993, HttpEngine::Options::forSocketLimit(7992).maxIdleConnections);
}

// Guards against a request cost that grows with the connections of the process: libcurl searches lists of all
// connections of a multi handle, so with one handle, a report of one of 3,000 workers cost 3.5 times as much as with
// 350. Also guards against shards that do not reuse connections, lose replies or do not end their requests with the
// engine.
TEST(Http, AddressesAreShardedAndConnectionsReused)
{
    constexpr size_t addresses = 50;
    auto options = HttpEngine::Options::forSocketLimit(7992);
    CHECK(options.maxIdleConnections / static_cast<long>(options.shards) < 150);
    CHECK_EQUAL(1, HttpEngine::Options::forSocketLimit(0).shards);
    auto server = HttpServer::create({ .address = "0.0.0.0",
        .handler = [](HttpRequest request, HttpResponder responder) { responder.send({ .body = request.path }); } });
    CHECK(server.ok());
    auto engine = HttpEngine::create(options);
    for (int round = 0; round < 2; ++round) {
        std::vector<std::future<bool>> results;
        for (size_t i = 1; i <= addresses; ++i) {
            auto promise = std::make_shared<std::promise<bool>>();
            results.push_back(promise->get_future());
            auto path = fmt::format("/{}", i);
            engine->submit({ .url = fmt::format("http://127.0.0.{}:{}{}", i, (*server)->port(), path),
                               .sendLimit = SendLimit::unlimited() },
                [promise, path](auto reply) { promise->set_value(reply.ok() && reply->body == path); });
        }
        for (auto& result : results)
            CHECK(result.get());
    }
    CHECK_EQUAL(addresses, engine->connectionsOpened());
    // Destroying the engine ends a request in progress in any shard.
    std::shared_ptr<HttpResponder> pendingResponder;
    std::promise<void> arrived;
    auto unresponsiveServer = startServer([&](HttpRequest, HttpResponder responder) {
        pendingResponder = std::make_shared<HttpResponder>(std::move(responder));
        arrived.set_value();
    });
    std::promise<bool> ended;
    engine->submit(callTo(*unresponsiveServer, "/"), [&](auto reply) { ended.set_value(!reply.ok()); });
    arrived.get_future().wait();
    engine.reset();
    CHECK(ended.get_future().get());
    pendingResponder.reset();
}

// Guards against reporting a request as not executed (Aborted) when it reached a server that terminated before it
// replied: libcurl retries the request on a new connection, and only the retry is refused.
TEST(Http, RequestToTerminatedServerIsReportedAsUnavailable)
{
    int listener = socket(AF_INET, SOCK_STREAM, 0);
    sockaddr_in address { .sin_family = AF_INET, .sin_port = 0, .sin_addr = { htonl(INADDR_LOOPBACK) } };
    socklen_t size = sizeof(address);
    CHECK_EQUAL(0, bind(listener, reinterpret_cast<sockaddr*>(&address), size));
    CHECK_EQUAL(0, listen(listener, 1));
    CHECK_EQUAL(0, getsockname(listener, reinterpret_cast<sockaddr*>(&address), &size));
    std::thread serverThread([&] {
        char buf[4096];
        int connection = accept(listener, nullptr, nullptr);
        if (read(connection, buf, sizeof(buf)) > 0) {
            constexpr std::string_view reply = "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok";
            if (write(connection, reply.data(), reply.size()) > 0 && read(connection, buf, sizeof(buf)) > 0)
                close(listener);
        }
        close(connection);
    });
    HttpClient client;
    HttpCall call { .url = fmt::format("http://127.0.0.1:{}/", ntohs(address.sin_port)),
        .sendLimit = SendLimit::unlimited() };
    CHECK(client.call(call).ok());
    auto status = client.call(call).status();
    serverThread.join();
    CHECK(absl::IsUnavailable(status));
}

// Guards against a busy loop when the peer closes a kept connection, and against lost requests when a connection is
// reused without a new epoll registration.
TEST(Http, PausedWatchEndsAtItsFirstEventAndCanBeResumed)
{
    SteadyClock clock;
    auto loop = EventLoop::create(clock);
    std::array<int, 2> ends {};
    CHECK_EQUAL(0, pipe(ends.data()));
    int calls = 0;
    loop->watch(ends[0], EPOLLIN, [&](uint32_t) { ++calls; });
    loop->pauseWatch(ends[0]);
    loop->watch(ends[0], EPOLLIN, [&](uint32_t) { ++calls; });
    CHECK_EQUAL(1, write(ends[1], "x", 1));
    loop->runReady();
    CHECK_EQUAL(1, calls);
    loop->pauseWatch(ends[0]);
    loop->runReady();
    loop->runReady();
    CHECK_EQUAL(1, calls);
    loop->watch(ends[0], EPOLLIN, [&](uint32_t) { ++calls; });
    loop->runReady();
    CHECK_EQUAL(2, calls);
    loop->unwatch(ends[0]);
    close(ends[0]);
    close(ends[1]);
}
