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

    void checkRefusedAndClosed(std::string_view bytes, std::string_view statusLine)
    {
        RawConnection connection(server->port());
        connection.send(bytes);
        auto text = connection.readToClose(quietMs);
        STRNCMP_EQUAL(std::string(statusLine).c_str(), text.c_str(), statusLine.size());
        CHECK_EQUAL(1, connection.answers());
        CHECK(connection.isClosed());
        CHECK_EQUAL(0, handled.load());
    }
};

// Guards against 500 with the text of an internal exception for a length that is no number, and against a connection
// that goes on although nobody knows where the next request begins.
TEST(HttpServerEdge, BadContentLengthIsABadRequestAndCloses)
{
    serve();
    for (auto value : { "-1", "+5", "zz", "5x", "0x10", "1 2", "99999999999999999999999" })
        checkRefusedAndClosed(
            fmt::format("POST /a HTTP/1.1\r\nHost: h\r\nContent-Length: {}\r\n\r\nhello", value), "HTTP/1.1 400 ");
    checkRefusedAndClosed(
        "POST /a HTTP/1.1\r\nHost: h\r\nContent-Length: 2\r\nContent-Length: 3\r\n\r\nhello", "HTTP/1.1 400 ");
}

// Guards against a sender of something that is not HTTP who gets neither an answer nor a close.
TEST(HttpServerEdge, GarbageBeforeARequestLineIsABadRequestAndCloses)
{
    serve();
    checkRefusedAndClosed(std::string_view("\x00\x01\x02\xff\xfe", 5), "HTTP/1.1 400 ");
    checkRefusedAndClosed("\x16\x03\x01 GET / HTTP/1.1\r\nHost: h\r\n\r\n", "HTTP/1.1 400 ");
    checkRefusedAndClosed("nonsense\r\n\r\n", "HTTP/1.1 400 ");
    checkRefusedAndClosed("GET /\r\n\r\n", "HTTP/1.1 400 ");
    checkRefusedAndClosed("{\"json\":1}", "HTTP/1.1 400 ");
    checkRefusedAndClosed("GET / HTTP/1.1\r\nno colon\r\n\r\n", "HTTP/1.1 400 ");
}

// Guards against a caller that ends its sending side after a whole request and never gets the answer.
TEST(HttpServerEdge, HalfClosedSenderGetsItsAnswer)
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

// Guards against the same loss when the answer comes later and from another thread, as all answers of the node do.
TEST(HttpServerEdge, HalfClosedSenderGetsALateAnswer)
{
    std::thread answerer;
    auto created = HttpServer::create({ .handler = [&](HttpRequest, HttpResponder responder) {
        answerer = std::thread([moved = std::make_shared<HttpResponder>(std::move(responder))] {
            std::this_thread::sleep_for(std::chrono::milliseconds(300));
            moved->send({ .body = "late" });
        });
    } });
    CHECK(created.ok());
    RawConnection connection((*created)->port());
    connection.send("GET / HTTP/1.1\r\nHost: h\r\n\r\n");
    connection.shutdownSending();
    auto text = connection.readToClose(quietMs);
    answerer.join();
    CHECK(text.ends_with("late"));
    CHECK(connection.isClosed());
    CHECK_EQUAL(0, (*created)->requestsInProgress());
}

// Guards against 413 for each piece of one large body, and against the rest of the body read as further requests.
TEST(HttpServerEdge, OversizeBodyIsAnsweredOnceAndCloses)
{
    serve();
    RawConnection connection(server->port());
    connection.send("POST /a HTTP/1.1\r\nHost: h\r\nContent-Length: 200000\r\n\r\n");
    std::string piece(4096, 'x');
    for (int i = 0; i < 40 && connection.send(piece); ++i)
        std::this_thread::sleep_for(std::chrono::milliseconds(2));
    auto text = connection.readToClose(quietMs);
    CHECK(text.starts_with("HTTP/1.1 413 "));
    CHECK_EQUAL(1, connection.answers());
    CHECK(connection.isClosed());
    CHECK_EQUAL(0, handled.load());
}

// Guards against an endless body in chunks, whose size no header tells.
TEST(HttpServerEdge, OversizeChunkedBodyIsAnsweredOnceAndCloses)
{
    serve();
    std::string bytes = "POST /a HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked\r\n\r\n";
    for (int i = 0; i < 100; ++i)
        bytes += "400\r\n" + std::string(0x400, 'x') + "\r\n";
    checkRefusedAndClosed(bytes, "HTTP/1.1 413 ");
}

// Guards against hundreds of senders that stop in the middle of their headers and hold their connections for good, and
// against a time-out that also strikes who sends whole requests beside them.
TEST(HttpServerEdge, HeadersThatDoNotArriveAreAnsweredAndClosed)
{
    constexpr int senders = 400;
    serve({ .limits = { .headerTimeout = Milliseconds { 500 } } });
    std::vector<std::unique_ptr<RawConnection>> connections;
    for (int i = 0; i < senders; ++i) {
        connections.push_back(std::make_unique<RawConnection>(server->port()));
        CHECK(connections.back()->send(i % 2 == 0 ? "GET / HTTP/1.1\r\nHost: h\r\nX-Half: " : "GE"));
    }
    RawConnection sound(server->port());
    sound.send("GET /sound HTTP/1.1\r\nHost: h\r\n\r\n");
    CHECK(contains(sound.readUntil("ran GET /sound", quietMs), "ran GET /sound"));
    int closed = 0;
    for (auto& connection : connections) {
        const auto& text = connection->readToClose(quietMs);
        if (connection->isClosed() && text.starts_with("HTTP/1.1 408 ") && connection->answers() == 1)
            ++closed;
        else if (!connection->isClosed())
            break;
    }
    CHECK_EQUAL(senders, closed);
    sound.send("GET /again HTTP/1.1\r\nHost: h\r\n\r\n");
    CHECK(contains(sound.readUntil("ran GET /again", quietMs), "ran GET /again"));
}

// Guards against a sender that keeps a connection by one more byte of its headers now and then.
TEST(HttpServerEdge, TrickledHeadersDoNotExtendTheirTime)
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

// Guards against connections that nobody uses any more, and against a header time-out for a connection between two
// requests, whose end a caller would take for a lost answer.
TEST(HttpServerEdge, IdleConnectionClosesWithoutAnAnswer)
{
    serve({ .limits = { .headerTimeout = Milliseconds { 200 }, .idleTimeout = Milliseconds { 1000 } } });
    RawConnection connection(server->port());
    connection.send("GET /one HTTP/1.1\r\nHost: h\r\n\r\n");
    connection.readUntil("ran GET /one", quietMs);
    std::this_thread::sleep_for(std::chrono::milliseconds(500));
    connection.send("GET /two HTTP/1.1\r\nHost: h\r\n\r\n");
    CHECK(contains(connection.readToClose(quietMs), "ran GET /two"));
    CHECK(connection.isClosed());
    CHECK_EQUAL(2, connection.answers());
}

// Guards against a time-out for a request that is complete and whose answer takes long.
TEST(HttpServerEdge, TimeOutsDoNotStrikeARequestInProgress)
{
    std::thread answerer;
    auto created = HttpServer::create({ .limits = { .headerTimeout = Milliseconds { 100 },
                                            .bodyTimeout = Milliseconds { 100 },
                                            .idleTimeout = Milliseconds { 100 } },
        .handler = [&](HttpRequest, HttpResponder responder) {
            answerer = std::thread([moved = std::make_shared<HttpResponder>(std::move(responder))] {
                std::this_thread::sleep_for(std::chrono::milliseconds(900));
                moved->send({ .body = "late" });
            });
        } });
    CHECK(created.ok());
    RawConnection connection((*created)->port());
    connection.send("GET / HTTP/1.1\r\nHost: h\r\n\r\n");
    auto text = connection.readUntil("late", quietMs);
    answerer.join();
    CHECK(text.starts_with("HTTP/1.1 200 "));
    CHECK(text.ends_with("late"));
}

// Guards against memory that any sender can claim by header bytes, in one line or in many, whole or without an end.
TEST(HttpServerEdge, LargeHeadersAreRefusedAndClose)
{
    serve({ .limits = { .maxRequestBytes = size_t { 320 } << 10, .maxHeaderBytes = 8192 } });
    checkRefusedAndClosed(
        "GET / HTTP/1.1\r\nHost: h\r\nX-Large: " + std::string(65536, 'x') + "\r\n\r\n", "HTTP/1.1 431 ");
    checkRefusedAndClosed("GET / HTTP/1.1\r\nHost: h\r\nX-Endless: " + std::string(9000, 'x'), "HTTP/1.1 431 ");
    checkRefusedAndClosed("GET /" + std::string(9000, 'x'), "HTTP/1.1 431 ");
}

// Guards against thousands of header lines that are each small.
TEST(HttpServerEdge, ManyHeadersAreRefusedAndClose)
{
    serve({ .limits
        = { .maxRequestBytes = size_t { 320 } << 10, .maxHeaderBytes = size_t { 64 } << 10, .maxHeaders = 100 } });
    std::string bytes = "GET / HTTP/1.1\r\n";
    for (int i = 0; i < 2000; ++i)
        bytes += fmt::format("X-{}: a\r\n", i);
    checkRefusedAndClosed(bytes + "\r\n", "HTTP/1.1 431 ");
    checkRefusedAndClosed(bytes, "HTTP/1.1 431 ");
}

// Guards against limits that strike requests below them, and against requests that are lost behind an earlier one.
TEST(HttpServerEdge, WholeRequestsOnOneConnectionAreAllAnsweredInOrder)
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

// Guards against a request whose parts arrive one by one and that is read as several, or never.
TEST(HttpServerEdge, RequestInSmallPiecesIsOneRequest)
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

// Guards against a connection that stays open although the caller has asked for its end.
TEST(HttpServerEdge, ConnectionClosesWhenTheCallerAsksForIt)
{
    serve();
    RawConnection connection(server->port());
    connection.send("GET /last HTTP/1.1\r\nHost: h\r\nConnection: close\r\n\r\n");
    CHECK(contains(connection.readToClose(quietMs), "ran GET /last"));
    CHECK(connection.isClosed());
}

// Guards against a query that reaches the handler in another form than the caller wrote it.
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

// Guards against limits of a new configuration that wait for a restart or for new connections.
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

// Guards against callers that connect at the same moment and wait a second for their handshake to be repeated, because
// the queue of the listener was full.
TEST(HttpServerEdge, HundredsOfCallersConnectAtOnce)
{
    constexpr int callers = 800;
    constexpr int handshakeRepeatMs = 1000;
    serve();
    sockaddr_in address {
        .sin_family = AF_INET, .sin_port = htons(server->port()), .sin_addr = { htonl(INADDR_LOOPBACK) }
    };
    std::vector<pollfd> sockets;
    for (int i = 0; i < callers; ++i) {
        int descriptor = socket(AF_INET, SOCK_STREAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0);
        sockets.push_back({ .fd = descriptor, .events = POLLOUT, .revents = 0 });
    }
    for (const auto& it : sockets)
        connect(it.fd, reinterpret_cast<sockaddr*>(&address), sizeof(address));
    auto startedAt = std::chrono::steady_clock::now();
    size_t connected = 0;
    for (auto& it : sockets) {
        auto passed
            = std::chrono::duration_cast<std::chrono::milliseconds>(std::chrono::steady_clock::now() - startedAt);
        auto left = std::max<int>(0, handshakeRepeatMs - 100 - static_cast<int>(passed.count()));
        connected += poll(&it, 1, left) == 1 && (it.revents & POLLOUT) != 0 ? 1 : 0;
    }
    for (const auto& it : sockets)
        close(it.fd);
    CHECK_EQUAL(callers, connected);
}

// Guards against an answer that is cut off, or a connection that is lost, when the caller reads slower than the server
// writes; and against a caller that never reads and holds its answer for good.
TEST(HttpServerEdge, LargeAnswerReachesASlowReaderWhole)
{
    constexpr size_t answerBytes = size_t { 12 } << 20;
    auto created = HttpServer::create({ .limits = { .idleTimeout = Milliseconds { 1200 } },
        .handler = [](const HttpRequest& request, HttpResponder responder) {
            responder.send({ .body = request.path == "/large" ? std::string(answerBytes, 'x') : std::string("small") });
        } });
    CHECK(created.ok());
    RawConnection connection((*created)->port());
    connection.send("GET /large HTTP/1.1\r\nHost: h\r\n\r\nGET /small HTTP/1.1\r\nHost: h\r\n\r\n");
    std::this_thread::sleep_for(std::chrono::milliseconds(300));
    const auto& text = connection.readUntil("small", quietMs);
    CHECK(text.size() > answerBytes);
    CHECK(text.ends_with("small"));
    CHECK_EQUAL(2, connection.answers());
    RawConnection silent((*created)->port());
    silent.send("GET /large HTTP/1.1\r\nHost: h\r\n\r\n");
    std::this_thread::sleep_for(std::chrono::milliseconds(1800));
    CHECK(silent.readToClose(quietMs).size() < answerBytes);
    CHECK(silent.isClosed());
}
