#include "RawConnection.h"
#include <CppUTest/TestHarness.h>
#include <LibHttp/HttpServer.h>
#include <algorithm>
#include <atomic>
#include <chrono>
#include <fmt/format.h>
#include <memory>
#include <string>
#include <thread>
#include <vector>

using namespace Bergamot;

static constexpr int quietMs = 1500;

static bool contains(std::string_view text, std::string_view part) { return text.find(part) != std::string_view::npos; }

TEST_GROUP(HttpServerEdge)
{
    std::atomic<int> handled { 0 };
    std::unique_ptr<HttpServer> server;

    void serve(HttpServer::Options options = { .limits = { .maxRequestBytes = 4096 } })
    {
        options.handler = [this](HttpRequest request, HttpResponder responder) {
            ++handled;
            responder.send({ .body = "ran " + request.method + " " + request.path + " " + request.body });
        };
        auto created = HttpServer::create(std::move(options));
        CHECK(created.ok());
        server = std::move(*created);
    }

    void checkRejectedAndClosed(std::string_view bytes, std::string_view statusLine)
    {
        RawConnection connection(server->port());
        connection.send(bytes);
        auto text = connection.readToClose(quietMs);
        STRNCMP_EQUAL(std::string(statusLine).c_str(), text.c_str(), statusLine.size());
        CHECK_EQUAL(1, connection.responseCount());
        CHECK(connection.isClosed());
        CHECK_EQUAL(0, handled.load());
    }
};

// Guards against status 500 with the text of an internal exception for an invalid Content-Length, and against a
// connection that stays open although the start of the next request is unknown.
TEST(HttpServerEdge, InvalidContentLengthGets400AndCloses)
{
    serve();
    for (auto value : { "-1", "+5", "zz", "5x", "0x10", "1 2", "99999999999999999999999" })
        checkRejectedAndClosed(
            fmt::format("POST /a HTTP/1.1\r\nHost: h\r\nContent-Length: {}\r\n\r\nhello", value), "HTTP/1.1 400 ");
    checkRejectedAndClosed(
        "POST /a HTTP/1.1\r\nHost: h\r\nContent-Length: 2\r\nContent-Length: 3\r\n\r\nhello", "HTTP/1.1 400 ");
}

// Guards against input other than HTTP that gets no response or leaves its connection open.
TEST(HttpServerEdge, NonHttpInputGets400AndCloses)
{
    serve();
    checkRejectedAndClosed(std::string_view("\x00\x01\x02\xff\xfe", 5), "HTTP/1.1 400 ");
    checkRejectedAndClosed("\x16\x03\x01 GET / HTTP/1.1\r\nHost: h\r\n\r\n", "HTTP/1.1 400 ");
    checkRejectedAndClosed("nonsense\r\n\r\n", "HTTP/1.1 400 ");
    checkRejectedAndClosed("GET /\r\n\r\n", "HTTP/1.1 400 ");
    checkRejectedAndClosed("{\"json\":1}", "HTTP/1.1 400 ");
    checkRejectedAndClosed("GET / HTTP/1.1\r\nno colon\r\n\r\n", "HTTP/1.1 400 ");
}

// Guards against a lost response when the peer shuts down its sending side after a complete request.
TEST(HttpServerEdge, HalfClosedConnectionGetsItsResponse)
{
    serve();
    RawConnection connection(server->port());
    connection.send("POST /half HTTP/1.1\r\nHost: h\r\nContent-Length: 4\r\n\r\nbody");
    connection.shutdownSending();
    auto text = connection.readToClose(quietMs);
    CHECK(text.starts_with("HTTP/1.1 200 "));
    CHECK(text.ends_with("ran POST /half body"));
    CHECK(connection.isClosed());
}

// Guards against a lost response on a half-closed connection when the response is sent later from another thread, as
// all responses of the node are.
TEST(HttpServerEdge, HalfClosedConnectionGetsADelayedResponse)
{
    std::thread responderThread;
    auto created = HttpServer::create({ .handler = [&](HttpRequest, HttpResponder responder) {
        responderThread = std::thread([sharedResponder = std::make_shared<HttpResponder>(std::move(responder))] {
            std::this_thread::sleep_for(std::chrono::milliseconds(300));
            sharedResponder->send({ .body = "late" });
        });
    } });
    CHECK(created.ok());
    RawConnection connection((*created)->port());
    connection.send("GET / HTTP/1.1\r\nHost: h\r\n\r\n");
    connection.shutdownSending();
    auto text = connection.readToClose(quietMs);
    responderThread.join();
    CHECK(text.ends_with("late"));
    CHECK(connection.isClosed());
    CHECK_EQUAL(0, (*created)->requestsInProgress());
}

// Guards against a separate status 413 for each piece of a large body, and against parsing the rest of the body as
// requests.
TEST(HttpServerEdge, OversizeBodyGetsOne413AndCloses)
{
    serve();
    RawConnection connection(server->port());
    connection.send("POST /a HTTP/1.1\r\nHost: h\r\nContent-Length: 200000\r\n\r\n");
    std::string piece(4096, 'x');
    for (int i = 0; i < 40 && connection.send(piece); ++i)
        std::this_thread::sleep_for(std::chrono::milliseconds(2));
    auto text = connection.readToClose(quietMs);
    CHECK(text.starts_with("HTTP/1.1 413 "));
    CHECK_EQUAL(1, connection.responseCount());
    CHECK(connection.isClosed());
    CHECK_EQUAL(0, handled.load());
}

// Guards against an endless chunked body, whose size is not known from the headers.
TEST(HttpServerEdge, OversizeChunkedBodyGetsOne413AndCloses)
{
    serve();
    std::string bytes = "POST /a HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked\r\n\r\n";
    for (int i = 0; i < 100; ++i)
        bytes += "400\r\n" + std::string(0x400, 'x') + "\r\n";
    checkRejectedAndClosed(bytes, "HTTP/1.1 413 ");
}

// Guards against hundreds of peers that stop in the middle of their headers and keep their connections open
// indefinitely, and against a time-out that also affects other connections with complete requests.
TEST(HttpServerEdge, IncompleteHeadersGet408AndClose)
{
    constexpr int incompleteConnections = 400;
    serve({ .limits = { .headerTimeout = Milliseconds { 500 } } });
    std::vector<std::unique_ptr<RawConnection>> connections;
    for (int i = 0; i < incompleteConnections; ++i) {
        connections.push_back(std::make_unique<RawConnection>(server->port()));
        CHECK(connections.back()->send(i % 2 == 0 ? "GET / HTTP/1.1\r\nHost: h\r\nX-Half: " : "GE"));
    }
    RawConnection completeConnection(server->port());
    completeConnection.send("GET /sound HTTP/1.1\r\nHost: h\r\n\r\n");
    CHECK(contains(completeConnection.readUntil("ran GET /sound", quietMs), "ran GET /sound"));
    int closed = 0;
    for (auto& connection : connections) {
        const auto& text = connection->readToClose(quietMs);
        if (connection->isClosed() && text.starts_with("HTTP/1.1 408 ") && connection->responseCount() == 1)
            ++closed;
        else if (!connection->isClosed())
            break;
    }
    CHECK_EQUAL(incompleteConnections, closed);
    completeConnection.send("GET /again HTTP/1.1\r\nHost: h\r\n\r\n");
    CHECK(contains(completeConnection.readUntil("ran GET /again", quietMs), "ran GET /again"));
}

// Guards against a peer that extends the header time-out by sending its headers one byte at a time.
TEST(HttpServerEdge, SlowHeadersDoNotExtendTheHeaderTimeout)
{
    serve({ .limits = { .headerTimeout = Milliseconds { 500 } } });
    RawConnection connection(server->port());
    connection.send("GET / HTTP/1.1\r\nX-Slow: ");
    for (int i = 0; i < 20 && !connection.isClosed(); ++i) {
        connection.send("x");
        connection.readToClose(100);
    }
    CHECK(connection.isClosed());
}

// Guards against idle connections that stay open indefinitely, and against a header time-out between two requests,
// which the peer would take for a lost response.
TEST(HttpServerEdge, IdleConnectionClosesWithoutAResponse)
{
    serve({ .limits = { .headerTimeout = Milliseconds { 200 }, .idleTimeout = Milliseconds { 1000 } } });
    RawConnection connection(server->port());
    connection.send("GET /one HTTP/1.1\r\nHost: h\r\n\r\n");
    connection.readUntil("ran GET /one", quietMs);
    std::this_thread::sleep_for(std::chrono::milliseconds(500));
    connection.send("GET /two HTTP/1.1\r\nHost: h\r\n\r\n");
    CHECK(contains(connection.readToClose(quietMs), "ran GET /two"));
    CHECK(connection.isClosed());
    CHECK_EQUAL(2, connection.responseCount());
}

// Guards against an idle connection that stays open until the next of a series of fixed checks, up to 500 ms after its
// time-out. The connections become idle at different times, so that they can't all meet such a check.
TEST(HttpServerEdge, IdleConnectionClosesSoonAfterItsTimeout)
{
    constexpr std::chrono::milliseconds idleTimeout { 700 };
    constexpr std::chrono::milliseconds maxDelay { 300 };
    serve({ .limits = { .idleTimeout = idleTimeout } });
    std::vector<std::unique_ptr<RawConnection>> connections;
    std::vector<std::chrono::steady_clock::time_point> idleSince;
    for (int i = 0; i < 5; ++i) {
        auto& connection = connections.emplace_back(std::make_unique<RawConnection>(server->port()));
        connection->send("GET /one HTTP/1.1\r\nHost: h\r\n\r\n");
        connection->readUntil("ran GET /one", quietMs);
        idleSince.push_back(std::chrono::steady_clock::now());
        std::this_thread::sleep_for(std::chrono::milliseconds(100));
    }
    for (size_t i = 0; i < connections.size(); ++i) {
        connections[i]->readToClose(quietMs);
        CHECK(connections[i]->isClosed());
        CHECK(std::chrono::steady_clock::now() - idleSince[i] < idleTimeout + maxDelay);
    }
}

// Guards against a connection time-out while the handler takes a long time to respond to a complete request.
TEST(HttpServerEdge, TimeoutsDoNotApplyToRequestsInProgress)
{
    std::thread responderThread;
    auto created = HttpServer::create({ .limits = { .headerTimeout = Milliseconds { 100 },
                                            .bodyTimeout = Milliseconds { 100 },
                                            .idleTimeout = Milliseconds { 100 } },
        .handler = [&](HttpRequest, HttpResponder responder) {
            responderThread = std::thread([sharedResponder = std::make_shared<HttpResponder>(std::move(responder))] {
                std::this_thread::sleep_for(std::chrono::milliseconds(900));
                sharedResponder->send({ .body = "late" });
            });
        } });
    CHECK(created.ok());
    RawConnection connection((*created)->port());
    connection.send("GET / HTTP/1.1\r\nHost: h\r\n\r\n");
    auto text = connection.readUntil("late", quietMs);
    responderThread.join();
    CHECK(text.starts_with("HTTP/1.1 200 "));
    CHECK(text.ends_with("late"));
}

// Guards against unbounded memory for oversize headers or request lines, whether or not the line ends.
TEST(HttpServerEdge, OversizeHeadersGet431AndClose)
{
    serve({ .limits = { .maxRequestBytes = size_t { 320 } << 10, .maxHeaderBytes = 8192 } });
    checkRejectedAndClosed(
        "GET / HTTP/1.1\r\nHost: h\r\nX-Large: " + std::string(65536, 'x') + "\r\n\r\n", "HTTP/1.1 431 ");
    checkRejectedAndClosed("GET / HTTP/1.1\r\nHost: h\r\nX-Endless: " + std::string(9000, 'x'), "HTTP/1.1 431 ");
    checkRejectedAndClosed("GET /" + std::string(9000, 'x'), "HTTP/1.1 431 ");
}

// Guards against unbounded memory for thousands of small header lines.
TEST(HttpServerEdge, TooManyHeadersGet431AndClose)
{
    serve({ .limits
        = { .maxRequestBytes = size_t { 320 } << 10, .maxHeaderBytes = size_t { 64 } << 10, .maxHeaders = 100 } });
    std::string bytes = "GET / HTTP/1.1\r\n";
    for (int i = 0; i < 2000; ++i)
        bytes += fmt::format("X-{}: a\r\n", i);
    checkRejectedAndClosed(bytes + "\r\n", "HTTP/1.1 431 ");
    checkRejectedAndClosed(bytes, "HTTP/1.1 431 ");
}

// Guards against rejecting requests within the limits, and against losing pipelined requests behind an earlier one.
TEST(HttpServerEdge, PipelinedRequestsAreAnsweredInOrder)
{
    serve();
    RawConnection connection(server->port());
    connection.send("\r\nGET /one HTTP/1.1\r\nHost: h\r\n\r\nPOST /two HTTP/1.1\r\nHost: h\r\ncontent-length: 3\r\n\r\n"
                    "abcPOST /three HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked\r\n\r\n2\r\nde\r\n1;x=y\r\nf\r\n"
                    "0\r\n\r\nGET /four HTTP/1.1\r\nHost: h\r\n\r\n");
    const auto& text = connection.readUntil("ran GET /four", quietMs);
    size_t at = 0;
    for (auto body : { "ran GET /one", "ran POST /two abc", "ran POST /three def", "ran GET /four" }) {
        at = text.find(body, at);
        CHECK(at != std::string::npos);
    }
    CHECK_EQUAL(4, handled.load());
}

// Guards against a request that arrives in many small pieces and is parsed as several requests or never.
TEST(HttpServerEdge, RequestInSmallPiecesIsParsedAsOneRequest)
{
    serve();
    RawConnection connection(server->port());
    for (char c : std::string_view("POST /p HTTP/1.1\r\nHost: h\r\nContent-Length: 4\r\n\r\nbody")) {
        connection.send({ &c, 1 });
        std::this_thread::sleep_for(std::chrono::milliseconds(1));
    }
    CHECK(contains(connection.readUntil("ran POST /p body", quietMs), "ran POST /p body"));
    CHECK_EQUAL(1, handled.load());
}

// Guards against a connection that stays open after a request with `Connection: close`.
TEST(HttpServerEdge, ConnectionCloseHeaderClosesTheConnection)
{
    serve();
    RawConnection connection(server->port());
    connection.send("GET /last HTTP/1.1\r\nHost: h\r\nConnection: close\r\n\r\n");
    CHECK(contains(connection.readToClose(quietMs), "ran GET /last"));
    CHECK(connection.isClosed());
}

// Guards against a query that is changed before it reaches the handler, such as by percent-decoding.
TEST(HttpServerEdge, QueryReachesTheHandler)
{
    std::string seen;
    auto created = HttpServer::create({ .handler = [&](HttpRequest request, HttpResponder responder) {
        std::ranges::sort(request.query, {}, &HttpHeader::name);
        for (const auto& it : request.query)
            seen += it.name + "=" + it.value + ";";
        responder.send({ .body = "path " + request.path });
    } });
    CHECK(created.ok());
    RawConnection connection((*created)->port());
    connection.send("GET /p%20q/r?a=1&b=x%20y+z&c&d=&e=f=g HTTP/1.1\r\nHost: h\r\n\r\n");
    CHECK(contains(connection.readUntil("path ", quietMs), "path /p%20q/r"));
    STRCMP_EQUAL("a=1;b=x%20y+z;c=;d=;e=f=g;", seen.c_str());
}

// Guards against new limits that take effect only after a restart or only for new connections.
TEST(HttpServerEdge, NewLimitsHoldForOpenConnections)
{
    serve();
    RawConnection connection(server->port());
    connection.send("POST /one HTTP/1.1\r\nHost: h\r\nContent-Length: 20\r\n\r\n" + std::string(20, 'x'));
    connection.readUntil("ran POST /one", quietMs);
    server->setLimits({ .maxBodyBytes = 10 });
    connection.send("POST /two HTTP/1.1\r\nHost: h\r\nContent-Length: 20\r\n\r\n" + std::string(20, 'x'));
    CHECK(contains(connection.readToClose(quietMs), "HTTP/1.1 413 "));
    CHECK(connection.isClosed());
    CHECK_EQUAL(1, handled.load());
}

// Guards against a request that is parsed with the limits from before setLimits() although it is parsed after that
// call, here later in the same round of events.
TEST(HttpServerEdge, NewLimitsHoldForRequestsParsedInTheSameRound)
{
    std::vector<HttpResponder> heldResponders;
    auto created = HttpServer::create({ .handler = [&](HttpRequest request, HttpResponder responder) {
        ++handled;
        if (request.path == "/hold")
            return heldResponders.push_back(std::move(responder));
        if (request.path == "/release") {
            for (auto& it : heldResponders)
                it.send({ .body = "held" });
        }
        if (request.path == "/limit")
            server->setLimits({ .maxBodyBytes = 10 });
        responder.send({ .body = "ran " + request.path });
    } });
    CHECK(created.ok());
    server = std::move(*created);

    // The responses to both held requests are written in one round; each makes the server parse the request behind it.
    RawConnection limiting(server->port());
    limiting.send("GET /hold HTTP/1.1\r\nHost: h\r\n\r\nGET /limit HTTP/1.1\r\nHost: h\r\n\r\n");
    while (handled.load() < 1)
        std::this_thread::yield();
    RawConnection limited(server->port());
    limited.send("GET /hold HTTP/1.1\r\nHost: h\r\n\r\n"
                 "POST /large HTTP/1.1\r\nHost: h\r\nContent-Length: 20\r\n\r\n"
        + std::string(20, 'x'));
    while (handled.load() < 2)
        std::this_thread::yield();
    RawConnection releasing(server->port());
    releasing.send("GET /release HTTP/1.1\r\nHost: h\r\n\r\n");

    CHECK(contains(limiting.readUntil("ran /limit", quietMs), "ran /limit"));
    CHECK(contains(limited.readToClose(quietMs), "HTTP/1.1 413 "));
    CHECK(limited.isClosed());
    server = nullptr;
}

// Guards against a full listen backlog when many peers connect at once: each dropped handshake is retried only after
// one second.
TEST(HttpServerEdge, ListenBacklogHoldsHundredsOfNewConnections)
{
    constexpr int connectionCount = 800;
    constexpr int handshakeRetryMs = 1000;
    serve();
    sockaddr_in address {
        .sin_family = AF_INET, .sin_port = htons(server->port()), .sin_addr = { htonl(INADDR_LOOPBACK) }
    };
    std::vector<pollfd> sockets;
    for (int i = 0; i < connectionCount; ++i) {
        int descriptor = socket(AF_INET, SOCK_STREAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0);
        sockets.push_back({ .fd = descriptor, .events = POLLOUT, .revents = 0 });
    }
    for (const auto& it : sockets)
        connect(it.fd, reinterpret_cast<sockaddr*>(&address), sizeof(address));
    auto startedAt = std::chrono::steady_clock::now();
    size_t connected = 0;
    for (auto& it : sockets) {
        auto elapsed
            = std::chrono::duration_cast<std::chrono::milliseconds>(std::chrono::steady_clock::now() - startedAt);
        auto remainingMs = std::max<int>(0, handshakeRetryMs - 100 - static_cast<int>(elapsed.count()));
        connected += poll(&it, 1, remainingMs) == 1 && (it.revents & POLLOUT) != 0 ? 1 : 0;
    }
    for (const auto& it : sockets)
        close(it.fd);
    CHECK_EQUAL(connectionCount, connected);
}

// Guards against a truncated response or a lost connection when the peer reads more slowly than the server writes, and
// against a peer that never reads and makes the server keep its response indefinitely.
TEST(HttpServerEdge, SlowReaderGetsTheWholeLargeResponse)
{
    constexpr size_t responseBytes = size_t { 12 } << 20;
    auto created = HttpServer::create({ .limits = { .idleTimeout = Milliseconds { 1200 } },
        .handler = [](const HttpRequest& request, HttpResponder responder) {
            responder.send(
                { .body = request.path == "/large" ? std::string(responseBytes, 'x') : std::string("small") });
        } });
    CHECK(created.ok());
    RawConnection connection((*created)->port());
    connection.send("GET /large HTTP/1.1\r\nHost: h\r\n\r\nGET /small HTTP/1.1\r\nHost: h\r\n\r\n");
    std::this_thread::sleep_for(std::chrono::milliseconds(300));
    const auto& text = connection.readUntil("small", quietMs);
    CHECK(text.size() > responseBytes);
    CHECK(text.ends_with("small"));
    CHECK_EQUAL(2, connection.responseCount());
    RawConnection nonReadingConnection((*created)->port());
    nonReadingConnection.send("GET /large HTTP/1.1\r\nHost: h\r\n\r\n");
    std::this_thread::sleep_for(std::chrono::milliseconds(1800));
    CHECK(nonReadingConnection.readToClose(quietMs).size() < responseBytes);
    CHECK(nonReadingConnection.isClosed());
}

// Guards against limits that are replaced while they are read: ThreadSanitizer reports the race.
TEST(HttpServerEdge, LimitsAreReplacedWhileRequestsAreParsed)
{
    constexpr int requests = 50;
    constexpr int replacementsPerRequest = 200;
    serve();
    RawConnection connection(server->port());
    for (int i = 0; i < requests; ++i) {
        connection.send("GET /one HTTP/1.1\r\nHost: h\r\n\r\n");
        for (int n = 0; n < replacementsPerRequest; ++n)
            server->setLimits({ .maxRequestBytes = 4096 });
    }
    while (handled.load() < requests)
        std::this_thread::yield();
}
