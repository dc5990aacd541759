#include <CppUTest/TestHarness.h>
#include <LibHttp/HttpClient.h>
#include <arpa/inet.h>
#include <fmt/format.h>
#include <netinet/in.h>
#include <string>
#include <string_view>
#include <sys/socket.h>
#include <thread>
#include <type_traits>
#include <unistd.h>

using namespace Bergamot;

/// A server that answers the first request, and closes the connection of the second one without an answer.
TEST_GROUP(SingleSend)
{
    int listener { -1 };
    uint16_t port { 0 };
    int requests { 0 };
    std::thread server;

    void setup() override
    {
        listener = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
        sockaddr_in address { .sin_family = AF_INET, .sin_port = 0, .sin_addr = { htonl(INADDR_LOOPBACK) } };
        socklen_t size = sizeof(address);
        CHECK_EQUAL(0, bind(listener, reinterpret_cast<sockaddr*>(&address), size));
        CHECK_EQUAL(0, listen(listener, 4));
        CHECK_EQUAL(0, getsockname(listener, reinterpret_cast<sockaddr*>(&address), &size));
        port = ntohs(address.sin_port);
        server = std::thread([this] { serve(); });
    }

    void teardown() override
    {
        stop();
        close(listener);
    }

    /// Ends the server, so that `requests` may be read.
    void stop()
    {
        shutdown(listener, SHUT_RDWR);
        if (server.joinable())
            server.join();
    }

    void serve()
    {
        for (int connection = accept(listener, nullptr, nullptr); connection >= 0;
             connection = accept(listener, nullptr, nullptr)) {
            while (readRequest(connection) && ++requests != 2) {
                constexpr std::string_view reply = "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok";
                send(connection, reply.data(), reply.size(), MSG_NOSIGNAL);
            }
            close(connection);
        }
    }

    static bool readRequest(int connection)
    {
        std::string text;
        char buf[4096];
        while (!text.ends_with("\r\n\r\nbody")) {
            auto n = recv(connection, buf, sizeof(buf), 0);
            if (n <= 0)
                return false;
            text.append(buf, static_cast<size_t>(n));
        }
        return true;
    }

    HttpCall call(SendLimit limit) const
    {
        return { .method = "POST",
            .url = fmt::format("http://127.0.0.1:{}/", port),
            .body = "body",
            .timeout = Milliseconds { 2000 },
            .sendLimit = limit };
    }
};

// Guards against a second start of a task: libcurl repeats a request when a reused connection is closed without an
// answer, and the repeat reaches the process that took the place of the first one.
TEST(SingleSend, ClosedConnectionDoesNotRepeatTheRequest)
{
    {
        HttpClient client;
        CHECK(client.call(call(SendLimit::once())).ok());
        auto reply = client.call(call(SendLimit::once()));
        CHECK(absl::IsUnavailable(reply.status()));
    }
    stop();
    CHECK_EQUAL(2, requests);
}

// Guards against failures of calls that may be repeated when a server closes idle connections.
TEST(SingleSend, ClosedConnectionRepeatsARequestWithoutLimit)
{
    {
        HttpClient client;
        CHECK(client.call(call(SendLimit::unlimited())).ok());
        CHECK(client.call(call(SendLimit::unlimited())).ok());
    }
    stop();
    CHECK_EQUAL(3, requests);
}

// A call that doesn't state its limit must not compile.
static_assert(!std::is_default_constructible_v<HttpCall>);
