#include "SingleLeaderFixture.h"

using namespace Bergamot;

TEST_GROUP_BASE(TaskLeader, SingleLeaderFixture) {};

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

// Guards against acknowledging a run end, or showing it, whose record was left out because the store refuses it.
TEST(TaskLeader, RunEndIsNotAcknowledgedWhileItsRecordIsLeftOut)
{
    auto run = leadWithOneRun();
    advance(Milliseconds { 40 });
    store.statedMaxRecordBytes = 4;
    std::vector<RunEnd> ends { { .sequence = 1, .task = { "j", 0, 0, 0 }, .run = run } };
    for (int i = 0; i < 100; ++i) {
        CHECK_EQUAL(0, report("w1", 50, {}, ends));
        CHECK(stageOf("j") == JobStage::Running);
        advance(Milliseconds { 40 });
    }
    CHECK(storedProgress("j").value_or(JobProgress {}).state != JobStage::Completed);
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
