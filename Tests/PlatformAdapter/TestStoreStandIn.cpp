#include <CppUTest/TestHarness.h>
#include <LibHttp/EventLoop.h>
#include <LibHttp/HttpEngine.h>
#include <LibNode/NodeTestClock.h>
#include <PlatformStandIn/StoreStandIn.h>
#include <fmt/format.h>
#include <memory>
#include <mutex>
#include <optional>
#include <platform/PlatformStore.h>
#include <thread>
#include <unistd.h>

using namespace Bergamot;

static constexpr uint16_t port = 8169;
static constexpr Milliseconds timeout { 5000 };

/// A store stand-in on loopback and the node's client for it.
TEST_GROUP(StoreStandIn)
{
    NodeTestClock clock;
    std::unique_ptr<EventLoop> loop { EventLoop::create(clock) };

    // Derived from the process id, so that concurrent test programs do not compete for ports.
    std::string ip { fmt::format("127.{}.{}.2", 192 + getpid() / 256 % 32, getpid() % 256) };
    std::unique_ptr<StoreStandIn> store { std::move(*StoreStandIn::create(*loop, { .address = ip, .port = port })) };
    std::unique_ptr<HttpEngine> engine { HttpEngine::create({}) };
    Platform::PlatformStore client { *engine, { .address = fmt::format("{}:{}", ip, port) } };

    void teardown() override { store->stopServing(); }

    template <typename Reply, typename Call> absl::StatusOr<Reply> wait(Call call)
    {
        std::mutex mutex;
        std::optional<absl::StatusOr<Reply>> result;
        call([&](absl::StatusOr<Reply> reply) {
            std::lock_guard lock(mutex);
            result = std::move(reply);
        });
        while (true) {
            loop->runReady();
            std::lock_guard lock(mutex);
            if (result)
                return *result;
            std::this_thread::yield();
        }
    }
};

// Guards against a store stand-in that answers each page with the first one, because it compares keys with an encoded
// "/" in the request. A node that loaded more than one page of progress from it never ended.
TEST(StoreStandIn, NextPageStartsAfterAKeyWithASlash)
{
    constexpr size_t recordCount = 600;
    AppendRequest request { .stream = StreamName::Progress };
    for (size_t n = 0; n < recordCount; ++n)
        request.records.push_back({ .key = fmt::format("job/{:03}", n), .value = "v" });
    CHECK(wait<AppendReply>([&](auto done) { client.append(request, timeout, done); }).ok());
    auto readAfter = [&](const std::string& key) {
        return wait<ReadNewestReply>(
            [&](auto done) { client.readNewest(StreamName::Progress, 0, key, timeout, done); });
    };
    auto first = readAfter("");
    CHECK(first->hasMore);
    auto second = readAfter(first->records.back().key);
    CHECK_FALSE(second->hasMore);
    LONGS_EQUAL(recordCount, first->records.size() + second->records.size());
    STRCMP_EQUAL("job/599", second->records.back().key.c_str());
}
