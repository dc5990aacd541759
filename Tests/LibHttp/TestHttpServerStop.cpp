#include "RawConnection.h"
#include <CppUTest/TestHarness.h>
#include <LibHttp/HttpServer.h>
#include <atomic>
#include <chrono>
#include <fmt/format.h>
#include <memory>
#include <mutex>
#include <string>
#include <thread>
#include <utility>
#include <vector>

using namespace Bergamot;

static constexpr int quietMs = 1500;
static constexpr std::chrono::seconds maxWait { 5 };
static constexpr const char* getRequest = "GET /one HTTP/1.1\r\nHost: h\r\nConnection: keep-alive\r\n\r\n";

static bool contains(std::string_view text, std::string_view part) { return text.find(part) != std::string_view::npos; }

TEST_GROUP(HttpServerStop)
{
    std::atomic<int> handled { 0 };
    std::atomic<bool> holdsRequests { false };
    std::mutex mutex;
    std::vector<HttpResponder> heldResponders;
    std::unique_ptr<HttpServer> server;

    void setup() override
    {
        auto created = HttpServer::create({ .handler = [this](const HttpRequest& request, HttpResponder responder) {
            ++handled;
            if (request.path == "/large")
                return responder.send({ .body = std::string(size_t { 12 } << 20, 'x') });
            if (!holdsRequests)
                return responder.send({ .body = "ran " + request.path + ";" });
            std::lock_guard lock(mutex);
            heldResponders.push_back(std::move(responder));
        } });
        CHECK(created.ok());
        server = std::move(*created);
    }

    void teardown() override { server = nullptr; }

    template <typename Condition> bool waitUntil(Condition && condition)
    {
        auto deadline = std::chrono::steady_clock::now() + maxWait;
        while (!condition()) {
            if (std::chrono::steady_clock::now() > deadline)
                return false;
            std::this_thread::sleep_for(std::chrono::milliseconds(1));
        }
        return true;
    }

    void answerHeldRequests()
    {
        std::lock_guard lock(mutex);
        for (auto& it : std::exchange(heldResponders, {}))
            it.send({ .body = "held" });
    }
};

// Guards against callers that keep their connections to a host that is about to stop.
TEST(HttpServerStop, ConnectionClosesAfterTheResponse)
{
    RawConnection connection(server->port());
    connection.send(getRequest);
    CHECK(contains(connection.readUntil("ran", quietMs), "Connection: keep-alive"));
    server->closeConnectionsAfterResponses();
    connection.send(getRequest);
    auto text = connection.readToClose(quietMs);
    CHECK(connection.isClosed());
    CHECK_EQUAL(2, connection.responseCount());
    CHECK(contains(text, "Connection: Close"));
}

// Guards against a connection that closes before requests that were read with an earlier one are answered.
TEST(HttpServerStop, RequestsSentAheadAreAnsweredBeforeTheConnectionCloses)
{
    server->closeConnectionsAfterResponses();
    RawConnection connection(server->port());
    connection.send(std::string(getRequest) + getRequest + getRequest);
    connection.readToClose(quietMs);
    CHECK(connection.isClosed());
    CHECK_EQUAL(3, connection.responseCount());
}

// Guards against a request that is read but not answered when the server stops (issue 61).
TEST(HttpServerStop, RequestsThatWereReadAreAnswered)
{
    RawConnection idle(server->port());
    idle.send(getRequest);
    idle.readUntil("ran", quietMs);
    RawConnection incomplete(server->port());
    incomplete.send("GET /half HTTP/1.1\r\nHost:");
    holdsRequests = true;
    RawConnection busy(server->port());
    busy.send(std::string(getRequest) + getRequest);
    CHECK(waitUntil([this] { return handled == 2; }));

    server->stopReading();
    idle.readToClose(quietMs);
    incomplete.readToClose(quietMs);
    CHECK(idle.isClosed());
    CHECK(incomplete.isClosed());
    CHECK_EQUAL(1, server->unfinishedRequests());

    holdsRequests = false;
    answerHeldRequests();
    auto text = busy.readToClose(quietMs);
    CHECK(contains(text, "held"));
    CHECK(contains(text, "ran"));
    CHECK_EQUAL(2, busy.responseCount());
    CHECK(waitUntil([this] { return server->unfinishedRequests() == 0; }));
}

// Guards against a server that counts as idle while a part of a response is not written yet: its process would stop.
TEST(HttpServerStop, ResponseIsUnfinishedUntilItIsWritten)
{
    RawConnection connection(server->port());
    connection.send("GET /large HTTP/1.1\r\nHost: h\r\n\r\n");
    CHECK(waitUntil([this] { return handled == 1 && server->requestsInProgress() == 0; }));
    CHECK_EQUAL(1, server->unfinishedRequests());
    server->stopReading();
    CHECK(connection.readToClose(quietMs).size() > size_t { 12 } << 20);
    CHECK(waitUntil([this] { return server->unfinishedRequests() == 0; }));
}

// Guards against a request that is read between the check for unfinished requests and the end of the server.
TEST(HttpServerStop, NoRequestIsReadOnceNoneIsUnfinished)
{
    constexpr int rounds = 8;
    constexpr int callers = 6;
    for (int round = 0; round < rounds; ++round) {
        setup();
        handled = 0;
        std::atomic<int> answered { 0 };
        std::vector<std::thread> threads;
        for (int i = 0; i < callers; ++i)
            threads.emplace_back([&] {
                RawConnection connection(server->port());
                for (int n = 0; connection.send(fmt::format("GET /{} HTTP/1.1\r\nHost: h\r\n\r\n", n)); ++n) {
                    auto answer = fmt::format("ran /{};", n);
                    if (!contains(connection.readUntil(answer, quietMs), answer))
                        return;
                    ++answered;
                }
            });
        bool isBusy = waitUntil([&] { return answered > callers * (round + 1); });
        server->stopReading();
        bool isFinished = waitUntil([this] { return server->unfinishedRequests() == 0; });
        auto handledAtTheEnd = handled.load();
        server->shutdown();
        for (auto& it : threads)
            it.join();
        CHECK(isBusy);
        CHECK(isFinished);
        CHECK_EQUAL(handledAtTheEnd, handled.load());
        CHECK_EQUAL(handledAtTheEnd, answered.load());
    }
}
