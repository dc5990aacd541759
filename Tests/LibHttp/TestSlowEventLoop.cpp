#include <CppUTest/TestHarness.h>
#include <LibCore/SteadyClock.h>
#include <LibHttp/EventLoop.h>
#include <LibHttp/HttpEngine.h>
#include <LibHttp/HttpServer.h>
#include <atomic>
#include <fmt/format.h>
#include <memory>
#include <optional>
#include <thread>
#include <utility>

using namespace Bergamot;

/// Calls on an event loop each turn of which takes longer than the time-out of a call.
TEST_GROUP(SlowEventLoop)
{
    static constexpr Milliseconds callTimeout { 250 };
    static constexpr Milliseconds turnTime { 400 };

    SteadyClock clock;
    std::unique_ptr<EventLoop> loop { EventLoop::create(clock) };
    std::unique_ptr<HttpEngine> engine { HttpEngine::create(*loop, HttpEngine::Options {}) };
    std::atomic<int> received { 0 };
    std::optional<absl::StatusOr<HttpReply>> result;

    std::unique_ptr<HttpServer> startServer(bool answers)
    {
        auto server = HttpServer::create({ .limits = { .maxRequestBytes = 4096 },
            .handler = [this, answers, kept = std::make_shared<std::vector<HttpResponder>>()](
                           HttpRequest, HttpResponder responder) {
                ++received;
                if (answers)
                    return responder.send({ .body = "reply" });
                kept->push_back(std::move(responder));
            } });
        CHECK(server.ok());
        return std::move(*server);
    }

    void submit(const HttpServer& server)
    {
        result.reset();
        engine->submit({ .method = "POST",
                           .url = fmt::format("http://127.0.0.1:{}/", server.port()),
                           .body = "request",
                           .timeout = callTimeout,
                           .sendLimit = SendLimit::unlimited() },
            [this](absl::StatusOr<HttpReply> reply) { result = std::move(reply); });
    }

    /// Runs turns of the loop until the call has a result. Returns their number.
    int runTurns(int maxTurns)
    {
        int turns = 0;
        for (; turns < maxTurns && !result; ++turns) {
            loop->runReady();
            std::this_thread::sleep_for(turnTime);
        }
        return turns;
    }

    void teardown() override { engine.reset(); }
};

// Guards against commands that a slow leader never sends, because they time out before their connection is used, and
// against replies that time out unread.
TEST(SlowEventLoop, RequestIsSentAndItsReplyRead)
{
    auto server = startServer(true);
    for (int call = 1; call <= 2; ++call) {
        submit(*server);
        runTurns(5);
        CHECK_EQUAL(call, received);
        CHECK(result.has_value());
        CHECK(result->ok());
        STRCMP_EQUAL("reply", (*result)->body.c_str());
    }
    CHECK_EQUAL(1, engine->connectionsOpened());
}

// Guards against a call to a silent server that never ends.
TEST(SlowEventLoop, CallWithoutReplyTimesOut)
{
    auto server = startServer(false);
    submit(*server);
    CHECK(runTurns(8) < 8);
    CHECK(absl::IsDeadlineExceeded(result->status()));
}
