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

using namespace Bergamot;

TEST_GROUP(TaskLeader)
{
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

// Guards against starts and lease renewals before all job streams are read: runs of unknown jobs would be stopped, and
// jobs from a stream that is read later would start late, on the remaining capacity.
TEST(TaskLeader, NoCommandBeforeAllJobStreamsAreLoaded)
{
    announce("w1", 50);
    putAssignedWorkers({ { .id = "w1", .address = "w1", .startedAtMs = 50 } });
    putJob("j");
    store.unreadable.insert({ StreamName::Jobs, 3 });
    lead(false);
    advance(Milliseconds { 4000 });
    CHECK(taskExecutor.renewLeaseCalls.empty());
    CHECK(taskExecutor.commands.empty());
    store.unreadable.clear();
    reportFor(Milliseconds { 1500 }, "w1", 50);
    CHECK_EQUAL(1, startsInQueue());
}

// Guards against running a task twice after a change of leader: an assigned worker that has not replied yet may still
// run the task.
TEST(TaskLeader, EarlierTasksStartWhenAllAssignedWorkersHaveReplied)
{
    announce("w1", 50);
    announce("w2", 51);
    putAssignedWorkers(
        { { .id = "w1", .address = "w1", .startedAtMs = 50 }, { .id = "w2", .address = "w2", .startedAtMs = 51 } });
    putJob("j");
    lead(true);
    reportFor(Milliseconds { 3000 }, "w1", 50);
    CHECK(taskExecutor.commands.empty());
    report("w2", 51);
    reportFor(Milliseconds { 200 }, "w1", 50);
    CHECK_EQUAL(1, startsInQueue());
}

// Guards against running a task twice if an assigned worker never replies: its lease must have expired on the slowest
// worker clock. Guards also against waiting for such a worker indefinitely.
TEST(TaskLeader, EarlierTasksStartWhenTheLeaseOfAnUnresponsiveWorkerHasExpired)
{
    announce("w1", 50);
    putAssignedWorkers(
        { { .id = "w1", .address = "w1", .startedAtMs = 50 }, { .id = "w2", .address = "w2", .startedAtMs = 51 } });
    putJob("j");
    lead(true);
    constexpr Milliseconds maxLeaseDuration { 5000 };
    constexpr double minClockRate = 0.98;
    auto expired = std::chrono::duration_cast<Milliseconds>(maxLeaseDuration / minClockRate);
    reportFor(expired, "w1", 50);
    CHECK(taskExecutor.commands.empty());
    reportFor(Milliseconds { 1000 }, "w1", 50);
    CHECK_EQUAL(1, startsInQueue());
}

// Guards against a new leader that starts a task while the lease of a worker that it does not reach may last, whatever
// the list of workers and the worker's address tell: the entry expires while the store is down, and a partitioned
// network refuses connections. Once the lease has expired, nothing is waited for.
TEST(TaskLeader, UnreachedWorkerIsWaitedForUntilItsLeaseHasExpired)
{
    // The shortest time in which a lease expires on the slowest worker clock, and the longest wait for it.
    constexpr Milliseconds minLeaseWait { 5103 };
    constexpr Milliseconds maxLeaseWait { 5700 };
    struct Case {
        bool isListed;
        absl::Status failure;
    };
    for (const auto& it : { Case { false, connectionRefusedError("refused") },
             Case { true, connectionRefusedError("refused") }, Case { false, absl::AbortedError("unreachable") },
             Case { false, absl::DeadlineExceededError("silent") } }) {
        announce("w1", 50);
        store.put(StreamName::Workers, "w2", {});
        if (it.isListed)
            announce("w2", 51);
        putAssignedWorkers(
            { { .id = "w1", .address = "w1", .startedAtMs = 50 }, { .id = "w2", .address = "w2", .startedAtMs = 51 } });
        putJob("j");
        auto electedAt = clock.now();
        lead(true);
        while (clock.now() - electedAt < maxLeaseWait && startsInQueue() == 0) {
            advance(Milliseconds { 20 });
            for (auto left = taskExecutor.renewLeaseCalls.size(); left > 0; --left) {
                auto call = taskExecutor.takeRenewLeaseCall();
                if (call.address == "w2")
                    call.reply(it.failure);
                else
                    call.reply(
                        RenewLeaseReply { .commandReply = commandReply(50), .endCoverage = RunEndCoverage::All });
            }
        }
        CHECK_EQUAL(1, startsInQueue());
        CHECK(clock.now() - electedAt >= minLeaseWait);
        leader.reset();
        taskExecutor.commands.clear();
        taskExecutor.renewLeaseCalls.clear();
    }
}

// Guards against tasks that wait anew with each change of leader: a task whose worker fell silent under the first
// leader must run again within 6 s, also when a second leader follows 2 s later. In the sweeps at 300 hosts, lasting
// tasks of a zone without power waited for up to 20 s.
TEST(TaskLeader, SecondLeaderRestartsLostTasksWithinSixSeconds)
{
    constexpr Milliseconds maxTimeWithoutRun { 6000 };
    announce("w1", 50);
    announce("w2", 51);
    putAssignedWorkers(
        { { .id = "w1", .address = "w1", .startedAtMs = 50 }, { .id = "w2", .address = "w2", .startedAtMs = 51 } });
    putJob("j");
    auto silentSince = clock.now();
    lead(true);
    reportFor(Milliseconds { 2000 }, "w1", 50);
    leader.reset();
    taskExecutor.renewLeaseCalls.clear();
    ++epoch;
    lead(true);
    reportFor(maxTimeWithoutRun - (clock.now() - silentSince), "w1", 50);
    CHECK_EQUAL(1, startsInQueue());
}

// Guards against tasks of a worker that has left and that wait until its lease has expired.
TEST(TaskLeader, RunsOfADepartedWorkerStartElsewhereAtOnce)
{
    CHECK_EQUAL(1, startsAfterRemoval(Milliseconds { 500 }));
}

// Guards against giving up the runs of a worker that is only cut off: the platform removes it from its list after a
// time of silence.
TEST(TaskLeader, RunsOfASilentWorkerAreKeptAfterItsRemovalFromTheList)
{
    CHECK_EQUAL(0, startsAfterRemoval(Milliseconds { 3500 }));
}

// Guards against a second run of a task whose worker is cut off by a network that refuses connections, while its entry
// has expired.
TEST(TaskLeader, RunsOfACutOffWorkerAreKeptWhileConnectionsAreRefused)
{
    CHECK_EQUAL(0, startsAfterRemoval(Milliseconds { 3500 }, connectionRefusedError("refused")));
}

// Guards against starting a task that is still running under a command of an earlier leader.
TEST(TaskLeader, RunsOfAnEarlierLeaderContinue)
{
    announce("w1", 50);
    putAssignedWorkers({ { .id = "w1", .address = "w1", .startedAtMs = 50 } });
    putProgress({ .id = "j", .state = JobStage::Running, .done = { "00" } });
    putJob("j", 2);
    lead(true);
    constexpr uint64_t earlierRun = 300001;
    reportFor(Milliseconds { 2000 }, "w1", 50, { { .task = { "j", 0, 0, 0 }, .run = earlierRun } });
    CHECK_EQUAL(1, taskExecutor.commands.size());
    STRCMP_EQUAL("start", taskExecutor.commands.front().kind.c_str());
    CHECK_EQUAL(1, taskExecutor.commands.front().start.task.index);
    CHECK(taskExecutor.commands.front().run > earlierRun);
}

// Guards against running tasks again that are done according to the progress stored by an earlier leader.
TEST(TaskLeader, StoredRunEndsAreNotStartedAgain)
{
    announce("w1", 50);
    putProgress({ .id = "ended", .state = JobStage::Completed });
    putProgress({ .id = "half", .state = JobStage::Running, .done = { "10" } });
    putJob("ended");
    putJob("half", 2);
    lead(false);
    reportFor(Milliseconds { 2000 }, "w1", 50);
    CHECK_EQUAL(1, taskExecutor.commands.size());
    STRCMP_EQUAL("half", taskExecutor.commands.front().start.task.job.c_str());
    CHECK_EQUAL(1, taskExecutor.commands.front().start.task.index);
    CHECK(stageOf("ended") == JobStage::Completed);
}

// Guards against a run on a worker that the next leader does not know and therefore does not reconcile with.
TEST(TaskLeader, WorkerIsStoredAsAssignedBeforeItsFirstStart)
{
    putJob("j");
    lead(false);
    advance(Milliseconds { 1200 });
    announce("w1", 50);
    bool isAssigned = false;
    for (int i = 0; i < 400 && startsInQueue() == 0; ++i) {
        advance(Milliseconds { 2 });
        for (const auto& record : store.records(StreamName::Progress)) {
            if (record.key != assignedWorkersKey)
                continue;
            auto assignedWorkers = decodeValue<AssignedWorkers>(record.value);
            isAssigned = std::ranges::find(assignedWorkers->workers, std::string("w1"), &WorkerIncarnation::id)
                != assignedWorkers->workers.end();
        }
        report("w1", 50);
        if (startsInQueue() > 0)
            CHECK(isAssigned);
    }
    CHECK_EQUAL(1, startsInQueue());
}

// Guards against a start on a worker that could not be stored as an assigned worker because the store is unavailable.
TEST(TaskLeader, NothingStartsOnAWorkerThatCannotBeStored)
{
    putJob("j");
    lead(false);
    advance(Milliseconds { 1200 });
    announce("w1", 50);
    for (int i = 0; i < 1000 && taskExecutor.renewLeaseCalls.empty(); ++i)
        advance(Milliseconds { 2 });
    store.fault = FakeRecordStore::Fault::Refusing;
    reportFor(Milliseconds { 3000 }, "w1", 50);
    CHECK(taskExecutor.commands.empty());
    store.fault = FakeRecordStore::Fault::None;
    reportFor(Milliseconds { 1500 }, "w1", 50);
    CHECK_EQUAL(1, startsInQueue());
}

// Guards against starts by a leader that may have been replaced.
TEST(TaskLeader, NothingStartsUnlessCanStartIsTrue)
{
    canStart = false;
    announce("w1", 50);
    putJob("j");
    lead(false);
    reportFor(Milliseconds { 2000 }, "w1", 50);
    CHECK(taskExecutor.commands.empty());
    canStart = true;
    reportFor(Milliseconds { 300 }, "w1", 50);
    CHECK_EQUAL(1, startsInQueue());
}

// Guards against two runs of a new job around a change of leader: a leader that was late to notice its successor
// started a job that the successor had already started, on a worker that the successor had not reached yet (TWICE in
// the sweeps at 300 hosts). Jobs from before the last proof of leadership still start, because the successor waits for
// their workers.
TEST(TaskLeader, OnlyJobsFromBeforeTheLastProofOfLeadershipStart)
{
    announce("w1", 50);
    lead(false);
    reportFor(Milliseconds { 1500 }, "w1", 50);
    putJob("old", 2);
    reportFor(Milliseconds { 40 }, "w1", 50);
    soleLeaderUntil = clock.now();
    putJob("new");
    reportFor(Milliseconds { 600 }, "w1", 50);
    CHECK_EQUAL(1, taskExecutor.commands.size());
    taskExecutor.takeCommand().reply(commandReply(50));
    taskExecutor.takeCommand().reply(commandReply(50));
    CHECK_EQUAL(0, startsInQueue());
    soleLeaderUntil = clock.now();
    reportFor(Milliseconds { 100 }, "w1", 50);
    CHECK_EQUAL(1, startsInQueue());
    STRCMP_EQUAL("new", taskExecutor.commands.front().start.task.job.c_str());
}

// Guards against a queued start that is sent after the leadership has become doubtful.
TEST(TaskLeader, QueuedStartOfANewJobNeedsAProofOfLeadership)
{
    announce("w1", 50);
    lead(false);
    reportFor(Milliseconds { 1500 }, "w1", 50);
    auto before = clock.now();
    putJob("new", 2);
    reportUntilStarts(1, "w1", 50);
    soleLeaderUntil = before;
    taskExecutor.takeCommand().reply(commandReply(50));
    CHECK_EQUAL(0, startsInQueue());
}

// Guards against a task that starts on a leaving worker or in an excluded zone, because its start waited behind a
// command without a reply (DRAIN in the sweeps at 300 hosts: 5.5 s after the notice).
TEST(TaskLeader, QueuedStartIsNotSentToAWorkerThatNoLongerAcceptsRuns)
{
    for (bool drains : { true, false }) {
        announce("w1", 50);
        putJob(drains ? "j1" : "j2", 2);
        lead(false);
        reportUntilStarts(1, "w1", 50);
        if (drains)
            announce("w1", 50, true);
        else
            leader->setExcludedZones({ "z" });
        reportFor(Milliseconds { 600 }, "w1", 50);
        taskExecutor.takeCommand().reply(commandReply(50));
        reportFor(Milliseconds { 1200 }, "w1", 50);
        CHECK_EQUAL(0, startsInQueue());
        leader.reset();
        taskExecutor.renewLeaseCalls.clear();
        taskExecutor.commands.clear();
        store.put(StreamName::Jobs, "j1", {});
    }
}

// Guards against starts by a leader that is so far behind that it does not know which workers are leaving.
TEST(TaskLeader, NothingStartsWithAnOldListOfWorkers)
{
    announce("w1", 50);
    lead(false);
    reportFor(Milliseconds { 1500 }, "w1", 50);
    store.readDelays[StreamName::Workers] = Milliseconds { 5000 };
    reportFor(Milliseconds { 2500 }, "w1", 50);
    putJob("j");
    reportFor(Milliseconds { 1000 }, "w1", 50);
    CHECK_EQUAL(0, startsInQueue());
    store.readDelays.clear();
    reportFor(Milliseconds { 3000 }, "w1", 50);
    CHECK_EQUAL(1, startsInQueue());
}

// Guards against acknowledging a run end before it is stored: the worker would delete it, and the next leader would run
// the task again. Guards also against reporting `completed` before it is stored: the next leader could revert it.
TEST(TaskLeader, RunEndIsAcknowledgedAndReportedOnceItIsStored)
{
    auto run = leadWithOneRun();
    advance(Milliseconds { 40 });
    store.fault = FakeRecordStore::Fault::Unresponsive;
    std::vector<RunEnd> ends { { .sequence = 1, .task = { "j", 0, 0, 0 }, .run = run } };
    for (int i = 0; i < 100; ++i) {
        CHECK_EQUAL(0, report("w1", 50, {}, ends));
        CHECK(stageOf("j") == JobStage::Running);
        advance(Milliseconds { 40 });
    }
    CHECK(storedProgress("j").value_or(JobProgress {}).state != JobStage::Completed);
    store.fault = FakeRecordStore::Fault::None;
    uint64_t acknowledged = 0;
    for (int i = 0; i < 200 && acknowledged == 0; ++i) {
        advance(Milliseconds { 20 });
        acknowledged = report("w1", 50, {}, ends);
        if (acknowledged > 0 || (query(JobQueryKind::State, "j") && stageOf("j") == JobStage::Completed))
            CHECK(storedProgress("j")->state == JobStage::Completed);
    }
    CHECK_EQUAL(1, acknowledged);
    CHECK(stageOf("j") == JobStage::Completed);
}

// Guards against acknowledging a run end that arrives during an append together with that append, which holds only
// earlier run ends.
TEST(TaskLeader, RunEndDuringAnAppendIsAcknowledgedWithTheNextAppend)
{
    announce("w1", 50);
    putJob("j", 2);
    lead(false);
    reportUntilStarts(1, "w1", 50);
    std::vector<uint64_t> runs;
    while (!taskExecutor.commands.empty()) {
        auto start = taskExecutor.takeCommand();
        runs.push_back(start.run);
        start.reply(commandReply(50));
        loop->runReady();
    }
    CHECK_EQUAL(2, runs.size());
    reportFor(Milliseconds { 300 }, "w1", 50,
        { { .task = { "j", 0, 0, 0 }, .run = runs[0] }, { .task = { "j", 0, 0, 1 }, .run = runs[1] } });
    store.fault = FakeRecordStore::Fault::LosingReplies;
    RunEnd first { .sequence = 1, .task = { "j", 0, 0, 0 }, .run = runs[0] };
    RunEnd second { .sequence = 2, .task = { "j", 0, 0, 1 }, .run = runs[1] };
    advance(Milliseconds { 20 });
    report("w1", 50, { { .task = { "j", 0, 0, 1 }, .run = runs[1] } }, { first });
    advance(Milliseconds { 200 });
    report("w1", 50, {}, { first, second });
    // The retry of the first append succeeds; the next append, with the second run end, is rejected.
    store.fault = FakeRecordStore::Fault::None;
    auto appends = store.appends;
    for (int i = 0; i < 1000 && store.appends == appends; ++i)
        advance(Milliseconds { 2 });
    store.fault = FakeRecordStore::Fault::Refusing;
    for (int i = 0; i < 100; ++i) {
        advance(Milliseconds { 10 });
        CHECK(report("w1", 50, {}, { first, second }) < 2);
    }
    CHECK(storedProgress("j")->state == JobStage::Running);
    store.fault = FakeRecordStore::Fault::None;
    uint64_t acknowledged = 0;
    for (int i = 0; i < 2000 && acknowledged < 2; ++i) {
        advance(Milliseconds { 2 });
        acknowledged = std::max(acknowledged, report("w1", 50, {}, { first, second }));
        if (acknowledged >= 2)
            CHECK(storedProgress("j")->state == JobStage::Completed);
    }
    CHECK_EQUAL(2, acknowledged);
}

// Guards against losing a task when its worker restarts under the same id, and against treating run ends of the new
// incarnation as acknowledged because the previous incarnation had reached the same sequence number.
TEST(TaskLeader, AnnouncedRestartLosesTheRunsOfThePreviousIncarnation)
{
    auto run = leadWithOneRun();
    reportFor(Milliseconds { 200 }, "w1", 50, { { .task = { "j", 0, 0, 0 }, .run = run } });
    CHECK(taskExecutor.commands.empty());
    taskExecutor.renewLeaseCalls.clear();
    announce("w1", 60);
    reportUntilStarts(1, "w1", 60);
    auto restarted = taskExecutor.takeCommand();
    CHECK(restarted.run > run);
    restarted.reply(commandReply(60));
    loop->runReady();
    std::vector<RunEnd> ends { { .sequence = 1, .task = { "j", 0, 0, 0 }, .run = restarted.run } };
    uint64_t acknowledged = 0;
    for (int i = 0; i < 200 && acknowledged == 0; ++i) {
        advance(Milliseconds { 20 });
        acknowledged = report("w1", 60, {}, ends);
    }
    CHECK_EQUAL(1, acknowledged);
    CHECK(stageOf("j") == JobStage::Completed);
}

// Guards against losing a task when a reply of the restarted worker precedes its new announcement, and against
// re-adding the previous incarnation when its old announcement is read again.
TEST(TaskLeader, RestartSeenInAReplyLosesTheRunsOfThePreviousIncarnation)
{
    auto run = leadWithOneRun();
    reportFor(Milliseconds { 200 }, "w1", 50, { { .task = { "j", 0, 0, 0 }, .run = run } });
    announce("w2", 51);
    advance(Milliseconds { 600 });
    report("w2", 51);
    report("w1", 60);
    // Less time than until the leases of the previous incarnation expire.
    reportFor(Milliseconds { 1000 }, "w2", 51);
    CHECK_EQUAL(1, startsInQueue());
    STRCMP_EQUAL("w2", taskExecutor.commands.front().address.c_str());
    CHECK(taskExecutor.commands.front().run > run);
    announce("w1", 60);
    reportFor(Milliseconds { 1000 }, "w1", 60);
    announce("w1", 50);
    auto renewLeaseCalls = taskExecutor.renewLeaseCalls.size();
    advance(Milliseconds { 900 });
    CHECK_EQUAL(renewLeaseCalls, taskExecutor.renewLeaseCalls.size());
}

// Guards against confirming a cancellation before it is stored: under the next leader the job would continue to run.
TEST(TaskLeader, CancellationIsConfirmedOnceItIsStored)
{
    auto run = leadWithOneRun();
    RunReport running { .task = { "j", 0, 0, 0 }, .run = run };
    reportFor(Milliseconds { 200 }, "w1", 50, { running });
    store.fault = FakeRecordStore::Fault::Refusing;
    std::optional<JobQueryReply> reply;
    leader->handleQuery({ .queryId = 5, .kind = JobQueryKind::Cancel, .subject = "j" },
        [&reply](const JobQueryReply& it) { reply = it; });
    reportFor(Milliseconds { 2000 }, "w1", 50, { running });
    CHECK_FALSE(reply.has_value());
    CHECK(stageOf("j") == JobStage::Running);
    store.fault = FakeRecordStore::Fault::None;
    advance(Milliseconds { 1000 });
    CHECK(reply.has_value());
    CHECK_EQUAL(5, reply->queryId);
    CHECK(reply->status == JobQueryStatus::Found);
    CHECK(reply->state == JobStage::Cancelled);
    CHECK(storedProgress("j")->state == JobStage::Cancelled);
    CHECK(
        std::ranges::any_of(taskExecutor.commands, [&](const auto& it) { return it.kind == "stop" && it.run == run; }));
}

// Guards against starting a job that was cancelled before its first start, and against reporting it as completed.
TEST(TaskLeader, CancelledJobDoesNotStart)
{
    putJob("j");
    lead(false);
    advance(Milliseconds { 1500 });
    std::optional<JobQueryReply> reply;
    leader->handleQuery(
        { .kind = JobQueryKind::Cancel, .subject = "j" }, [&reply](const JobQueryReply& it) { reply = it; });
    advance(Milliseconds { 100 });
    CHECK(reply.has_value());
    CHECK(reply->state == JobStage::Cancelled);
    announce("w1", 50);
    reportFor(Milliseconds { 2000 }, "w1", 50);
    CHECK(taskExecutor.commands.empty());
}

// Guards against a job that starts after its cancellation was confirmed: the leader did not know it yet, because its
// append was carried out late.
TEST(TaskLeader, CancelledUnknownJobDoesNotStartLater)
{
    announce("w1", 50);
    lead(false);
    reportFor(Milliseconds { 1500 }, "w1", 50);
    std::optional<JobQueryReply> reply;
    leader->handleQuery(
        { .kind = JobQueryKind::Cancel, .subject = "j" }, [&reply](const JobQueryReply& it) { reply = it; });
    store.fault = FakeRecordStore::Fault::Refusing;
    reportFor(Milliseconds { 600 }, "w1", 50);
    CHECK_FALSE(reply.has_value());
    store.fault = FakeRecordStore::Fault::None;
    reportFor(Milliseconds { 400 }, "w1", 50);
    CHECK(reply.has_value());
    CHECK(reply->status == JobQueryStatus::Unknown);
    putJob("j");
    reportFor(Milliseconds { 2000 }, "w1", 50);
    CHECK(taskExecutor.commands.empty());
    CHECK(stageOf("j") == JobStage::Cancelled);
    leader.reset();
    taskExecutor.renewLeaseCalls.clear();
    ++epoch;
    lead(true);
    reportFor(Milliseconds { 2000 }, "w1", 50);
    CHECK(taskExecutor.commands.empty());
    CHECK(stageOf("j") == JobStage::Cancelled);
}

// Guards against a job that is shown as cancelled before its cancellation is stored: the leader reads the job only
// then, and may end before that (issue 55).
TEST(TaskLeader, CancellationOfAnUnknownJobIsShownOnceItIsStored)
{
    announce("w1", 50);
    lead(false);
    reportFor(Milliseconds { 1500 }, "w1", 50);
    store.maxCallBytes = 0;
    auto isConfirmed = std::make_shared<bool>(false);
    leader->handleQuery({ .queryId = ++lastQueryId, .kind = JobQueryKind::Cancel, .subject = "j" },
        [isConfirmed](const JobQueryReply&) { *isConfirmed = true; });
    reportFor(Milliseconds { 300 }, "w1", 50);
    putJob("j");
    reportFor(Milliseconds { 1000 }, "w1", 50);
    CHECK_FALSE(*isConfirmed);
    CHECK(stageOf("j") == JobStage::Queued);
    store.maxCallBytes = size_t { 2 } << 20U;
    reportFor(Milliseconds { 1000 }, "w1", 50);
    CHECK(*isConfirmed);
    CHECK(stageOf("j") == JobStage::Cancelled);
    CHECK(taskExecutor.commands.empty());
}

// Guards against a run of a cancelled job that goes on because the leader that confirmed the cancellation has ended
// before its stop, while the next leader reads the job late.
TEST(TaskLeader, NextLeaderStopsTheRunOfACancelledJob)
{
    constexpr Milliseconds maxTimeUntilStop { 3000 };
    auto run = leadWithOneRun();
    RunReport running { .task = { "j", 0, 0, 0 }, .run = run };
    leader->handleQuery({ .kind = JobQueryKind::Cancel, .subject = "j" }, [](const JobQueryReply&) {});
    advance(Milliseconds { 40 });
    CHECK(storedProgress("j")->state == JobStage::Cancelled);
    leader.reset();
    taskExecutor.renewLeaseCalls.clear();
    taskExecutor.commands.clear();
    ++epoch;
    store.readNewestTime = Milliseconds { 200 };
    lead(true);
    reportFor(maxTimeUntilStop, "w1", 50, { running });
    CHECK(
        std::ranges::any_of(taskExecutor.commands, [&](const auto& it) { return it.kind == "stop" && it.run == run; }));
}

// Guards against a leader that continues after a worker has rejected a command because it has seen a later epoch.
TEST(TaskLeader, FencedCommandDeposes)
{
    announce("w1", 50);
    putJob("j");
    lead(false);
    reportUntilStarts(1, "w1", 50);
    CHECK_EQUAL(0, fencedCalls);
    taskExecutor.takeCommand().reply(TaskCommandReply { .outcome = TaskCommandOutcome::Fenced, .startedAtMs = 50 });
    // The owner may destroy the leader in onFenced, so onFenced is called in a later turn of the event loop.
    CHECK_EQUAL(0, fencedCalls);
    loop->runReady();
    CHECK_EQUAL(1, fencedCalls);
}

// Guards against a leader that continues after a worker has rejected its first lease renewal because it has seen a
// later epoch.
TEST(TaskLeader, FencedLeaseRenewalDeposes)
{
    announce("w1", 50);
    lead(false);
    for (int i = 0; i < 1000 && taskExecutor.renewLeaseCalls.empty(); ++i)
        advance(Milliseconds { 2 });
    taskExecutor.takeRenewLeaseCall().reply(
        RenewLeaseReply { .commandReply = { .outcome = TaskCommandOutcome::Fenced } });
    loop->runReady();
    CHECK_EQUAL(1, fencedCalls);
}

// Guards against a leader that continues after the store has rejected an append because it has seen a later epoch.
TEST(TaskLeader, FencedProgressDeposes)
{
    leadWithOneRun();
    AppendRequest later { .stream = StreamName::Progress,
        .fence = WriterFence { .writer = "leader", .epoch = epoch + 1, .sequence = 0 } };
    store.append(later, Milliseconds { 100 }, [](const auto&) {});
    std::optional<JobQueryReply> reply;
    leader->handleQuery(
        { .kind = JobQueryKind::Cancel, .subject = "j" }, [&reply](const JobQueryReply& it) { reply = it; });
    advance(Milliseconds { 500 });
    CHECK_EQUAL(1, fencedCalls);
    CHECK_FALSE(reply.has_value());
}

// Guards against the reply Unknown from a leader that has not read the job streams, or not recently: the caller would
// conclude that an accepted job is lost.
TEST(TaskLeader, UnknownJobIsReportedOnlyByACurrentLeader)
{
    store.unreadable.insert({ StreamName::Jobs, 2 });
    lead(false);
    advance(Milliseconds { 2000 });
    CHECK(query(JobQueryKind::State, "x")->status == JobQueryStatus::Unavailable);
    CHECK(query(JobQueryKind::Pending, "q")->status == JobQueryStatus::Unavailable);
    store.unreadable.clear();
    advance(Milliseconds { 2000 });
    CHECK(statusAfterNextRead("x") == JobQueryStatus::Unknown);
    CHECK(query(JobQueryKind::Pending, "q")->status == JobQueryStatus::Found);
    store.unreadable.insert({ StreamName::Jobs, 1 });
    advance(Milliseconds { 4000 });
    CHECK(query(JobQueryKind::State, "x")->status == JobQueryStatus::Unavailable);
}

// Guards against an accepted job that is called unknown, because the leader has read its stream a second before, but
// not since (issue 55).
TEST(TaskLeader, AcceptedJobIsNotCalledUnknownBeforeTheNextRead)
{
    lead(false);
    advance(Milliseconds { 2000 });
    store.unreadable.insert({ StreamName::Jobs, 0 });
    // Lets the read in progress end.
    advance(Milliseconds { 1000 });
    putJob("x");
    CHECK(statusAfterNextRead("x") == JobQueryStatus::Unavailable);
    store.unreadable.clear();
    CHECK(statusAfterNextRead("x") == JobQueryStatus::Found);
}

// Guards against a leader that never schedules because a call failed while it was loading its state.
TEST(TaskLeader, FailedLoadIsRetried)
{
    announce("w1", 50);
    putJob("j");
    store.fault = FakeRecordStore::Fault::Refusing;
    lead(false);
    advance(Milliseconds { 500 });
    store.fault = FakeRecordStore::Fault::None;
    store.unreadable.insert({ StreamName::Progress, 0 });
    advance(Milliseconds { 1000 });
    CHECK(taskExecutor.renewLeaseCalls.empty());
    store.unreadable.clear();
    reportFor(Milliseconds { 2000 }, "w1", 50);
    CHECK_EQUAL(1, startsInQueue());
}

// Guards against missing stored progress that spans more than one page.
TEST(TaskLeader, ProgressOfSeveralPagesIsLoaded)
{
    store.pageRecords = 2;
    for (auto id : { "a", "b", "c", "d", "e" }) {
        putProgress({ .id = id, .state = JobStage::Completed });
        putJob(id);
    }
    announce("w1", 50);
    lead(false);
    reportFor(Milliseconds { 2000 }, "w1", 50);
    CHECK(taskExecutor.commands.empty());
    for (auto id : { "a", "b", "c", "d", "e" })
        CHECK(stageOf(id) == JobStage::Completed);
}

// Guards against replies of workers and of the store that act on a leader after its destruction.
TEST(TaskLeader, NoCommandAfterDestruction)
{
    announce("w1", 50);
    putJob("j");
    lead(false);
    reportUntilStarts(1, "w1", 50);
    advance(Milliseconds { 40 });
    auto start = taskExecutor.takeCommand();
    auto renewLeaseCalls = std::move(taskExecutor.renewLeaseCalls);
    taskExecutor.renewLeaseCalls.clear();
    leader.reset();
    start.reply(TaskCommandReply { .outcome = TaskCommandOutcome::Fenced });
    for (auto& call : renewLeaseCalls)
        call.reply(RenewLeaseReply { .commandReply = { .outcome = TaskCommandOutcome::Fenced } });
    auto appends = store.appends;
    advance(Milliseconds { 3000 });
    CHECK_EQUAL(0, fencedCalls);
    CHECK(taskExecutor.renewLeaseCalls.empty());
    CHECK(taskExecutor.commands.empty());
    CHECK_EQUAL(appends, store.appends);
}
