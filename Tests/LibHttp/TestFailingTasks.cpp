#include <CppUTest/TestHarness.h>
#include <LibCore/SteadyClock.h>
#include <LibHttp/EventLoop.h>
#include <LibHttp/HttpEngine.h>
#include <LibHttp/HttpServer.h>
#include <fmt/format.h>
#include <memory>
#include <stdexcept>
#include <sys/epoll.h>
#include <sys/eventfd.h>
#include <unistd.h>

using namespace Bergamot;

/// Tasks of an event loop that end with an exception.
TEST_GROUP(FailingTasks)
{
    SteadyClock clock;
    std::unique_ptr<EventLoop> loop { EventLoop::create(clock) };
    int finished { 0 };

    static void fail() { throw std::runtime_error("value out of range"); }

    void runUntilFinished(int tasks)
    {
        constexpr int maxTurns = 2000;
        for (int i = 0; i < maxTurns && finished < tasks; ++i) {
            loop->runReady();
            usleep(1000);
        }
    }
};

// Guards against a process that ends, and against later tasks that are lost, because one task fails.
TEST(FailingTasks, LaterTimersAndPostedTasksRun)
{
    loop->callAfter(Milliseconds { 0 }, fail);
    loop->callAfter(Milliseconds { 0 }, [this] { ++finished; });
    loop->post(fail);
    loop->post([this] { ++finished; });
    runUntilFinished(2);
    CHECK_EQUAL(2, finished);
    CHECK_EQUAL(2, loop->failedTasks());
}

// Guards against the same in the watcher of a descriptor, which must stay registered.
TEST(FailingTasks, WatcherIsCalledAgain)
{
    int descriptor = eventfd(1, EFD_NONBLOCK | EFD_CLOEXEC);
    loop->watch(descriptor, EPOLLIN, [this](uint32_t) {
        ++finished;
        fail();
    });
    runUntilFinished(2);
    loop->unwatch(descriptor);
    close(descriptor);
    CHECK_EQUAL(2, finished);
    CHECK_EQUAL(2, loop->failedTasks());
}

// Guards against replies that are never delivered, because the callback of one that arrived with them fails.
TEST(FailingTasks, LaterRepliesAreDelivered)
{
    auto server = HttpServer::create({ .limits = { .maxRequestBytes = 4096 },
        .handler = [](HttpRequest, HttpResponder responder) { responder.send({ .body = "reply" }); } });
    CHECK(server.ok());
    auto engine = HttpEngine::create(*loop, HttpEngine::Options {});
    constexpr int calls = 8;
    for (int i = 0; i < calls; ++i) {
        engine->submit(
            { .url = fmt::format("http://127.0.0.1:{}/", (*server)->port()), .sendLimit = SendLimit::unlimited() },
            [this, i](const absl::StatusOr<HttpReply>&) {
                ++finished;
                if (i % 2 == 0)
                    fail();
            });
    }
    // All replies are ready before the loop reads the first one.
    constexpr useconds_t replyTime = 200000;
    for (int i = 0; i < calls; ++i)
        loop->runReady();
    usleep(replyTime);
    runUntilFinished(calls);
    CHECK_EQUAL(calls, finished);
}
