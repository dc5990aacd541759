#include "FakeRecordStore.h"
#include "MockTaskExecutor.h"
#include "NodeTestClock.h"
#include "PlainFormats.h"
#include <CppUTest/TestHarness.h>
#include <LibNode/TaskLeader.h>
#include <LibReport/NodeMetrics.h>
#include <LibWire/ValueCodec.h>
#include <memory>
#include <string>
#include <vector>

using namespace Bergamot;

TEST_GROUP(TaskLeaderRoom)
{
    static constexpr int64_t startedAtMs { 50 };
    uint64_t epoch { 7 };

    NodeTestClock clock;
    std::unique_ptr<EventLoop> loop { EventLoop::create(clock) };
    FakeRecordStore store { *loop };
    MockTaskExecutor taskExecutor;
    PlainFormats formats;
    NodeMetrics metrics;
    std::unique_ptr<TaskLeader> leader;

    void announce(Resources capacity)
    {
        auto value = fmt::format("{}/{}/{}", capacity.cpuMillis, capacity.memoryMb, capacity.accelerators);
        formats.announcements[value] = { .view = { .id = "w", .service = "s", .zone = "z", .capacity = capacity },
            .address = "w",
            .startedAtMs = startedAtMs };
        store.put(StreamName::Workers, "w", value);
    }

    void putJob(const std::string& id, uint32_t tasks)
    {
        JobSpec spec {
            .id = id, .queue = "q", .steps = { { .count = tasks, .size = { 1000, 1000, 1 }, .estimateMs = 60000 } }
        };
        store.put(StreamName::Jobs, id, encodeValue(spec));
    }

    void lead()
    {
        leader = std::make_unique<TaskLeader>(*loop, store, taskExecutor, formats, metrics,
            TaskLeader::Options { .node = { .member = "m", .workerSilenceUntilRemoval = Milliseconds { 3000 } },
                .epoch = ++epoch,
                .onFenced = [] {},
                .canStart = [] { return true; },
                .soleLeaderUntil = [] { return Instant::max(); } });
        leader->setQueues(1, { { "q", { .service = "s", .maxAttempts = 3 } } });
        leader->start();
    }

    TaskCommandReply accepted() const
    {
        return { .clockMs = clock.now().time_since_epoch().count(), .startedAtMs = startedAtMs };
    }

    /// Advances the clock, while the worker answers its lease renewals with this list of runs.
    void reportFor(Milliseconds time, const std::vector<RunReport>& running = {})
    {
        constexpr Milliseconds step { 2 };
        for (Milliseconds passed { 0 }; passed < time; passed += step) {
            clock.advance(step);
            loop->runReady();
            for (auto left = taskExecutor.renewLeaseCalls.size(); left > 0; --left)
                taskExecutor.takeRenewLeaseCall().reply(
                    RenewLeaseReply { .commandReply = accepted(), .running = running });
            loop->runReady();
        }
    }

    /// Waits until a command is in progress, and takes it. The caller must reply before its time-out.
    MockTaskExecutor::Command awaitCommand(const std::string& kind, const std::vector<RunReport>& running = {})
    {
        for (int i = 0; i < 5000 && taskExecutor.commands.empty(); ++i)
            reportFor(Milliseconds { 2 }, running);
        CHECK_FALSE(taskExecutor.commands.empty());
        auto command = taskExecutor.takeCommand();
        STRCMP_EQUAL(kind.c_str(), command.kind.c_str());
        return command;
    }

    void teardown() override { leader.reset(); }
};

// Guards against a leader that keeps the first capacity of an incarnation (LIMIT): a shrunk one counts at once, and a
// grown one lets the waiting task start.
TEST(TaskLeaderRoom, ChangedCapacityOfAnIncarnationCounts)
{
    const Resources full { 4000, 4000, 4 };
    for (const auto& shrunk : { Resources { 500, 4000, 4 }, Resources { 4000, 500, 4 }, Resources { 4000, 4000, 0 },
             Resources { 0, 0, 0 } }) {
        announce(full);
        lead();
        reportFor(Milliseconds { 1500 });
        announce(shrunk);
        reportFor(Milliseconds { 600 });
        putJob("j", 1);
        reportFor(Milliseconds { 1500 });
        CHECK(taskExecutor.commands.empty());
        announce(full);
        awaitCommand("start");
        leader.reset();
        taskExecutor.renewLeaseCalls.clear();
        store.put(StreamName::Jobs, "j", {});
    }
}
