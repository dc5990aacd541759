#include "FakeRecordStore.h"
#include "MockTaskExecutor.h"
#include "NodeTestClock.h"
#include "PlainFormats.h"
#include <CppUTest/TestHarness.h>
#include <LibHttp/ConnectionRefused.h>
#include <LibNode/TaskLeader.h>
#include <LibReport/NodeMetrics.h>
#include <LibWire/ValueCodec.h>
#include <algorithm>
#include <functional>
#include <map>
#include <memory>
#include <set>
#include <string>
#include <vector>

using namespace Bergamot;

/// Time for which a crashed worker refuses connections.
static constexpr Milliseconds restartTime { 3000 };
static constexpr Milliseconds tickTime { 10 };

// Workers that crash when they start a certain task and come back as a new incarnation, under one or several leaders.
TEST_GROUP(TaskLeaderCrashes)
{
    struct FakeWorker {
        int64_t startedAtMs { 1 };
        Instant crashesAt { neverInstant };
        Instant backAt { neverInstant };
        std::vector<RunReport> running {};
    };

    NodeTestClock clock;
    std::unique_ptr<EventLoop> loop { EventLoop::create(clock) };
    FakeRecordStore store { *loop };
    MockTaskExecutor taskExecutor;
    PlainFormats formats;
    NodeMetrics metrics;
    uint64_t epoch { 1 };
    std::unique_ptr<TaskLeader> leader;
    std::map<std::string, FakeWorker> workers;
    std::map<JobId, size_t> starts;
    std::string crashingJob { "bad" };

    /// Time from the start of the crashing task to the crash; with 0, the start has no answer.
    Milliseconds crashDelay { 0 };

    /// Called when a worker crashes.
    std::function<void()> onCrash;

    void announce(const std::string& id)
    {
        auto startedAtMs = workers[id].startedAtMs;
        auto value = id + "/" + std::to_string(startedAtMs);
        formats.announcements[value]
            = { .view = { .id = id, .service = "s", .zone = "z", .rack = id, .capacity = { 4000, 8192, 0 } },
                  .address = id,
                  .startedAtMs = startedAtMs };
        store.put(StreamName::Workers, id, value);
    }

    void putJob(const std::string& id)
    {
        JobSpec spec { .id = id, .queue = "q", .steps = { { .size = { 1000, 128, 0 }, .estimateMs = 60000 } } };
        store.put(StreamName::Jobs, id, encodeValue(spec));
    }

    void lead()
    {
        ++epoch;
        leader = std::make_unique<TaskLeader>(*loop, store, taskExecutor, formats, metrics,
            TaskLeader::Options { .node = { .member = "m", .workerSilenceUntilRemoval = Milliseconds { 3000 } },
                .epoch = epoch,
                .onFenced = [] {},
                .canStart = [] { return true; },
                .soleLeaderUntil = [] { return Instant::max(); } });
        leader->setQueues(1, { { "q", { .service = "s", .maxAttempts = 3 } } });
        leader->start();
    }

    TaskCommandReply accepted(const FakeWorker& worker) const
    {
        return { .clockMs = clock.now().time_since_epoch().count(), .startedAtMs = worker.startedAtMs };
    }

    void crash(FakeWorker & worker)
    {
        worker.crashesAt = neverInstant;
        worker.backAt = clock.now() + restartTime;
        worker.running.clear();
        if (onCrash)
            onCrash();
    }

    void execute(MockTaskExecutor::Command command)
    {
        auto& worker = workers[command.address];
        if (worker.backAt != neverInstant)
            return command.reply(connectionRefusedError("refused"));
        if (command.kind == "start") {
            ++starts[command.start.task.job];
            if (command.start.task.job == crashingJob && crashDelay.count() == 0) {
                crash(worker);
                return command.reply(absl::UnavailableError("connection reset"));
            }
            if (command.start.task.job == crashingJob)
                worker.crashesAt = clock.now() + crashDelay;
            worker.running.push_back({ .task = command.start.task, .run = command.start.run });
        }
        command.reply(accepted(worker));
    }

    void answer(MockTaskExecutor::RenewLeaseCall call)
    {
        auto& worker = workers[call.address];
        if (worker.backAt != neverInstant)
            return call.reply(connectionRefusedError("refused"));
        call.reply(RenewLeaseReply { .commandReply = accepted(worker), .running = worker.running });
    }

    void advance(Milliseconds time)
    {
        for (Milliseconds passed { 0 }; passed < time; passed += tickTime) {
            clock.advance(tickTime);
            loop->runReady();
            for (auto& [id, worker] : workers) {
                if (worker.crashesAt != neverInstant && clock.now() >= worker.crashesAt)
                    crash(worker);
                if (worker.backAt == neverInstant || clock.now() < worker.backAt)
                    continue;
                worker.backAt = neverInstant;
                ++worker.startedAtMs;
                announce(id);
            }
            for (auto n = taskExecutor.commands.size(); n > 0; --n)
                execute(taskExecutor.takeCommand());
            for (auto n = taskExecutor.renewLeaseCalls.size(); n > 0; --n)
                answer(taskExecutor.takeRenewLeaseCall());
            loop->runReady();
        }
    }

    void startWorkers(int count)
    {
        for (int i = 0; i < count; ++i)
            announce("w" + std::to_string(i));
        putJob("good");
        putJob("bad");
        lead();
    }

    /// Plays a minute in which the leader is killed together with the workers that crash for these times.
    void playWithKilledLeaders(const std::set<int>& crashes)
    {
        int crashed = 0;
        bool isKilled = false;
        onCrash = [&] { isKilled = crashes.contains(++crashed); };
        startWorkers(4);
        for (int i = 0; i < 6000; ++i) {
            advance(tickTime);
            if (!std::exchange(isKilled, false))
                continue;
            leader.reset();
            taskExecutor.commands.clear();
            taskExecutor.renewLeaseCalls.clear();
            advance(Milliseconds { 1200 });
            lead();
        }
    }

    JobStage storedState(const JobId& id)
    {
        JobStage state = JobStage::Queued;
        for (const auto& record : store.records(StreamName::Progress)) {
            if (record.key == jobKeyPrefix + id)
                state = decodeValue<JobProgress>(record.value)->state;
        }
        return state;
    }
};

// Guards against a task that takes down worker after worker until the end of the day (letter of the two incidents).
TEST(TaskLeaderCrashes, TaskThatCrashesItsWorkersIsStartedAFewTimesOnly)
{
    startWorkers(4);
    advance(Milliseconds { 60000 });
    CHECK_COMPARE(starts["bad"], <=, 5);
    CHECK(storedState("bad") == JobStage::Failed);
    CHECK(storedState("good") != JobStage::Failed);
}

// Guards against crashes that nobody counts because the leader is killed before it notices them, some time after the
// start.
TEST(TaskLeaderCrashes, LeadersKilledAfterSlowCrashesDoNotForgetThem)
{
    crashDelay = Milliseconds { 730 };
    playWithKilledLeaders({ 1, 3, 4 });
    CHECK_COMPARE(starts["bad"], <=, 5);
    CHECK(storedState("bad") == JobStage::Failed);
    CHECK(storedState("good") != JobStage::Failed);
}

// Guards against crashes that nobody counts because the leader is killed right after the start that caused them.
TEST(TaskLeaderCrashes, LeaderKilledAfterAStartDoesNotForgetTheCrash)
{
    playWithKilledLeaders({ 2, 3 });
    CHECK_COMPARE(starts["bad"], <=, 5);
    CHECK(storedState("bad") == JobStage::Failed);
    CHECK(storedState("good") != JobStage::Failed);
}

// Guards against crashes that are not counted while the store loses the replies to the appends.
TEST(TaskLeaderCrashes, LostRepliesOfTheStoreDoNotHideCrashes)
{
    startWorkers(4);
    for (int i = 0; i < 60; ++i) {
        store.fault = i % 3 == 1 ? FakeRecordStore::Fault::LosingReplies : FakeRecordStore::Fault::None;
        advance(Milliseconds { 1000 });
    }
    CHECK_COMPARE(starts["bad"], <=, 5);
    CHECK(storedState("bad") == JobStage::Failed);
    CHECK(storedState("good") != JobStage::Failed);
}
