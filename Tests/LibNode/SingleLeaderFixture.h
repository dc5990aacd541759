#pragma once

#include "FakeRecordStore.h"
#include "FenceTokens.h"
#include "MockTaskExecutor.h"
#include "NodeTestClock.h"
#include "PlainFormats.h"
#include <CppUTest/TestHarness.h>
#include <LibHttp/ConnectionRefused.h>
#include <LibNode/TaskLeader.h>
#include <LibReport/NodeMetrics.h>
#include <LibWire/ValueCodec.h>
#include <algorithm>
#include <memory>
#include <optional>
#include <string>
#include <vector>

namespace Bergamot {

/// A leader in virtual time whose worker replies and job streams are controlled by the test.
class SingleLeaderFixture : public Utest {
public:
    uint64_t epoch { 7 };

    NodeTestClock clock;
    std::unique_ptr<EventLoop> loop { EventLoop::create(clock) };
    FakeRecordStore store { *loop };
    MockTaskExecutor taskExecutor;
    PlainFormats formats;
    NodeMetrics metrics;
    int fencedCalls { 0 };
    uint64_t lastQueryId { 0 };
    bool canStart { true };
    Instant soleLeaderUntil { Instant::max() };
    ElectionHistory elections;
    std::unique_ptr<TaskLeader> leader;

    void announce(const std::string& worker, int64_t startedAtMs, bool draining = false)
    {
        auto value = worker + "/" + std::to_string(startedAtMs) + (draining ? "/draining" : "");
        formats.announcements[value] = { .view = { .id = worker,
                                             .service = "s",
                                             .zone = "z",
                                             .rack = "r",
                                             .capacity = { 4000, 8192, 0 },
                                             .draining = draining },
            .address = worker,
            .startedAtMs = startedAtMs };
        store.put(StreamName::Workers, worker, value);
    }

    void putJob(const std::string& id, uint32_t tasks = 1)
    {
        JobSpec spec {
            .id = id, .queue = "q", .steps = { { .count = tasks, .size = { 1000, 128, 0 }, .estimateMs = 1000 } }
        };
        store.put(StreamName::Jobs, id, encodeValue(spec));
    }

    void putProgress(const JobProgress& progress)
    {
        store.put(StreamName::Progress, jobKeyPrefix + progress.id, encodeValue(progress));
    }

    void putAssignedWorkers(std::vector<WorkerIncarnation> workers)
    {
        store.put(
            StreamName::Progress, assignedWorkersKey, encodeValue(AssignedWorkers { .workers = std::move(workers) }));
    }

    void lead(bool hasPredecessor)
    {
        elections.add(epoch, clock.now());
        leader = std::make_unique<TaskLeader>(*loop, store, taskExecutor, formats, metrics,
            TaskLeader::Options { .node = { .member = "m", .workerSilenceUntilRemoval = Milliseconds { 3000 } },
                .epoch = epoch,
                .hasPredecessor = hasPredecessor,
                .elections = elections,
                .onFenced = [this] { ++fencedCalls; },
                .canStart = [this] { return canStart; },
                .soleLeaderUntil = [this] { return soleLeaderUntil; },
                .fenceToken = [this, leading = epoch] { return fenceTokenAt(leading, clock.now()); } });
        leader->setQueues(1, { { "q", { .service = "s", .maxAttempts = 3 } } });
        leader->start();
    }

    void advance(Milliseconds time)
    {
        constexpr Milliseconds step { 2 };
        for (Milliseconds passed { 0 }; passed < time; passed += step) {
            clock.advance(step);
            loop->runReady();
        }
    }

    /// An accepted reply. The worker's clock equals the local clock.
    TaskCommandReply commandReply(int64_t startedAtMs) const
    {
        return { .clockMs = clock.now().time_since_epoch().count(), .startedAtMs = startedAtMs };
    }

    /// Replies to all lease renewals of the worker. Returns the sequence number acknowledged by the last one.
    uint64_t report(const std::string& worker, int64_t startedAtMs, std::vector<RunReport> running = {},
        std::vector<RunEnd> ended = {})
    {
        uint64_t acknowledged = 0;
        for (auto left = taskExecutor.renewLeaseCalls.size(); left > 0; --left) {
            auto call = taskExecutor.takeRenewLeaseCall();
            if (call.address != worker) {
                taskExecutor.renewLeaseCalls.push_back(std::move(call));
                continue;
            }
            CHECK_EQUAL(epoch, epochOfToken(call.fenceToken));
            acknowledged = call.request.acknowledgedSequence;
            call.reply(RenewLeaseReply { .commandReply = commandReply(startedAtMs),
                .running = running,
                .ended = ended,
                .endCoverage = RunEndCoverage::All });
        }
        loop->runReady();
        return acknowledged;
    }

    /// Advances the clock by `time`, while the worker replies to its lease renewals.
    void reportFor(
        Milliseconds time, const std::string& worker, int64_t startedAtMs, std::vector<RunReport> running = {})
    {
        constexpr Milliseconds step { 20 };
        for (Milliseconds passed { 0 }; passed < time; passed += step) {
            advance(step);
            report(worker, startedAtMs, running);
        }
    }

    /// Lets the worker reply to lease renewals until `count` starts are in progress. The caller must reply to a start
    /// before its time-out.
    void reportUntilStarts(size_t count, const std::string& worker, int64_t startedAtMs)
    {
        for (int i = 0; i < 500 && startsInQueue() < count; ++i)
            reportFor(Milliseconds { 20 }, worker, startedAtMs);
        CHECK_EQUAL(count, startsInQueue());
        CHECK_EQUAL(count, taskExecutor.commands.size());
    }

    size_t startsInQueue() const
    {
        return static_cast<size_t>(
            std::ranges::count(taskExecutor.commands, std::string("start"), &MockTaskExecutor::Command::kind));
    }

    /// Makes the leader start the only task of job j on one worker. Returns the run.
    uint64_t leadWithOneRun()
    {
        announce("w1", 50);
        putJob("j");
        lead(false);
        reportUntilStarts(1, "w1", 50);
        auto start = taskExecutor.takeCommand();
        start.reply(commandReply(50));
        loop->runReady();
        return start.run;
    }

    /// Lets calls to worker w1 fail with the only run of a job and removes it from the list after `silence`. Returns
    /// how many starts w2 has received one second later.
    size_t startsAfterRemoval(Milliseconds silence, const absl::Status& failure = absl::DeadlineExceededError("silent"))
    {
        auto run = leadWithOneRun();
        announce("w1", 50);
        announce("w2", 51);
        auto reportBoth = [&](Milliseconds time, bool isSilent) {
            for (Milliseconds passed { 0 }; passed < time; passed += Milliseconds { 20 }) {
                advance(Milliseconds { 20 });
                report("w2", 51);
                if (!isSilent) {
                    report("w1", 50, { { .task = { "j", 0, 0, 0 }, .run = run } });
                    continue;
                }
                for (auto left = taskExecutor.renewLeaseCalls.size(); left > 0; --left) {
                    auto call = taskExecutor.takeRenewLeaseCall();
                    if (call.address == "w1")
                        call.reply(failure);
                    else
                        taskExecutor.renewLeaseCalls.push_back(std::move(call));
                }
            }
        };
        reportBoth(Milliseconds { 500 }, false);
        reportBoth(silence, true);
        store.put(StreamName::Workers, "w1", {});
        reportBoth(Milliseconds { 1000 }, true);
        return startsInQueue();
    }

    std::optional<JobQueryReply> query(JobQueryKind kind, const std::string& subject)
    {
        auto result = std::make_shared<std::optional<JobQueryReply>>();
        leader->handleQuery({ .kind = kind, .subject = subject }, [result](const JobQueryReply& it) { *result = it; });
        return *result;
    }

    /// Asks for a job, and gives the leader time to read the job streams again.
    JobQueryStatus statusAfterNextRead(const std::string& job)
    {
        constexpr Milliseconds maxReadInterval { 900 };
        auto result = std::make_shared<JobQueryStatus>(JobQueryStatus::Unavailable);
        leader->handleQuery({ .queryId = ++lastQueryId, .kind = JobQueryKind::State, .subject = job },
            [result](const JobQueryReply& it) { *result = it.status; });
        advance(maxReadInterval);
        return *result;
    }

    JobStage stageOf(const std::string& id)
    {
        auto reply = query(JobQueryKind::State, id);
        CHECK(reply.has_value());
        CHECK(reply->status == JobQueryStatus::Found);
        return reply->state;
    }

    std::optional<JobProgress> storedProgress(const std::string& id)
    {
        std::optional<JobProgress> result;
        for (const auto& record : store.records(StreamName::Progress)) {
            if (record.key == jobKeyPrefix + id)
                result = *decodeValue<JobProgress>(record.value);
        }
        return result;
    }

    void teardown() override { leader.reset(); }
};

}
