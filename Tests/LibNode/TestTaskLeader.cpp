#include "FakeRecordStore.h"
#include "MockTaskExecutor.h"
#include "NodeTestClock.h"
#include "PlainFormats.h"
#include <CppUTest/TestHarness.h>
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
    static constexpr uint64_t epoch = 7;

    NodeTestClock clock;
    std::unique_ptr<EventLoop> loop { EventLoop::create(clock) };
    FakeRecordStore store { *loop };
    MockTaskExecutor host;
    PlainFormats formats;
    NodeMetrics metrics;
    int fences { 0 };
    bool mayStart { true };
    std::unique_ptr<TaskLeader> leader;

    void announce(const std::string& worker, int64_t startedAtMs)
    {
        auto value = worker + "/" + std::to_string(startedAtMs);
        formats.announcements[value]
            = { .view = { .id = worker, .service = "s", .zone = "z", .rack = "r", .capacity = { 4000, 8192, 0 } },
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

    void lead(bool earlierLeader)
    {
        leader = std::make_unique<TaskLeader>(*loop, store, host, formats, metrics,
            TaskLeader::Options { .node = { .member = "m" },
                .epoch = epoch,
                .earlierLeader = earlierLeader,
                .onFenced = [this] { ++fences; },
                .mayStart = [this] { return mayStart; } });
        leader->setQueues(1, { { "q", { .service = "s", .maxAttempts = 3 } } });
        leader->start();
    }

    void pass(Milliseconds time)
    {
        constexpr Milliseconds step { 2 };
        for (Milliseconds passed { 0 }; passed < time; passed += step) {
            clock.pass(step);
            loop->runReady();
        }
    }

    /// The worker's clock runs like the local one.
    TaskCommandReply orderAnswer(int64_t startedAtMs) const
    {
        return { .clockMs = clock.now().time_since_epoch().count(), .startedAtMs = startedAtMs };
    }

    /// Answers the worker's open questions; returns what the last one acknowledged.
    uint64_t report(const std::string& worker, int64_t startedAtMs, std::vector<RunReport> running = {},
        std::vector<RunEnd> ended = {})
    {
        uint64_t acknowledged = 0;
        for (auto left = host.renewLeaseCalls.size(); left > 0; --left) {
            auto call = host.takeRenewLeaseCall();
            if (call.address != worker) {
                host.renewLeaseCalls.push_back(std::move(call));
                continue;
            }
            CHECK_EQUAL(epoch, call.epoch);
            acknowledged = call.request.acknowledged;
            call.answer(
                RenewLeaseReply { .commandReply = orderAnswer(startedAtMs), .running = running, .ended = ended });
        }
        loop->runReady();
        return acknowledged;
    }

    /// Loads, and lets each worker answer its questions for so long.
    void reportFor(
        Milliseconds time, const std::string& worker, int64_t startedAtMs, std::vector<RunReport> running = {})
    {
        constexpr Milliseconds step { 20 };
        for (Milliseconds passed { 0 }; passed < time; passed += step) {
            pass(step);
            report(worker, startedAtMs, running);
        }
    }

    /// Lets the worker answer until `count` starts wait for their answers. A start that waits longer would be given up.
    void reportUntilStarts(size_t count, const std::string& worker, int64_t startedAtMs)
    {
        for (int i = 0; i < 500 && startsInQueue() < count; ++i)
            reportFor(Milliseconds { 20 }, worker, startedAtMs);
        CHECK_EQUAL(count, startsInQueue());
        CHECK_EQUAL(count, host.orders.size());
    }

    size_t startsInQueue() const
    {
        return static_cast<size_t>(
            std::ranges::count(host.orders, std::string("start"), &MockTaskExecutor::Order::kind));
    }

    /// Leads with one worker that runs the only task of job j; returns its run.
    uint64_t leadWithOneRun()
    {
        announce("w1", 50);
        putJob("j");
        lead(false);
        reportUntilStarts(1, "w1", 50);
        auto start = host.takeOrder();
        start.answer(orderAnswer(50));
        loop->runReady();
        return start.run;
    }

    std::optional<JobQueryReply> ask(JobQueryKind kind, const std::string& subject)
    {
        std::optional<JobQueryReply> result;
        leader->answer({ .kind = kind, .subject = subject }, [&result](const JobQueryReply& it) { result = it; });
        return result;
    }

    JobStage stageOf(const std::string& id)
    {
        auto answer = ask(JobQueryKind::State, id);
        CHECK(answer.has_value());
        CHECK(answer->status == JobQueryStatus::Found);
        return answer->state;
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

// Guards against starts and questions to workers before all job streams are read: what a worker lists of an unknown job
// would be stopped, and a job of a stream that comes later would start late and on what is left.
TEST(TaskLeader, NothingIsOrderedBeforeAllJobStreamsAreLoaded)
{
    announce("w1", 50);
    putAssignedWorkers({ { .id = "w1", .address = "w1", .startedAtMs = 50 } });
    putJob("j");
    store.unreadable.insert({ StreamName::Jobs, 3 });
    lead(false);
    pass(Milliseconds { 4000 });
    CHECK(host.renewLeaseCalls.empty());
    CHECK(host.orders.empty());
    store.unreadable.clear();
    reportFor(Milliseconds { 1500 }, "w1", 50);
    CHECK_EQUAL(1, startsInQueue());
}

// Guards against a task that runs twice after a change of leaders: a worker of the roster that has not answered yet may
// run it.
TEST(TaskLeader, EarlierTasksStartWhenAllWorkersOfTheRosterHaveAnswered)
{
    announce("w1", 50);
    announce("w2", 51);
    putAssignedWorkers(
        { { .id = "w1", .address = "w1", .startedAtMs = 50 }, { .id = "w2", .address = "w2", .startedAtMs = 51 } });
    putJob("j");
    lead(true);
    reportFor(Milliseconds { 3000 }, "w1", 50);
    CHECK(host.orders.empty());
    report("w2", 51);
    reportFor(Milliseconds { 200 }, "w1", 50);
    CHECK_EQUAL(1, startsInQueue());
}

// Guards against the same for a worker that never answers: its lease must have lapsed on the slowest clock; and against
// a leader that waits for such a worker for good.
TEST(TaskLeader, EarlierTasksStartWhenTheLeaseOfASilentWorkerHasLapsed)
{
    announce("w1", 50);
    putAssignedWorkers(
        { { .id = "w1", .address = "w1", .startedAtMs = 50 }, { .id = "w2", .address = "w2", .startedAtMs = 51 } });
    putJob("j");
    lead(true);
    constexpr Milliseconds longestLease { 5000 };
    constexpr double slowestClock = 0.98;
    auto lapsed = std::chrono::duration_cast<Milliseconds>(longestLease / slowestClock);
    reportFor(lapsed, "w1", 50);
    CHECK(host.orders.empty());
    reportFor(Milliseconds { 1000 }, "w1", 50);
    CHECK_EQUAL(1, startsInQueue());
}

// Guards against a task that is started anew although it runs on a worker of an earlier leader.
TEST(TaskLeader, RunsOfAnEarlierLeaderGoOn)
{
    announce("w1", 50);
    putAssignedWorkers({ { .id = "w1", .address = "w1", .startedAtMs = 50 } });
    putProgress({ .id = "j", .state = JobStage::Running, .done = { "00" } });
    putJob("j", 2);
    lead(true);
    constexpr uint64_t earlierRun = 300001;
    reportFor(Milliseconds { 2000 }, "w1", 50, { { .task = { "j", 0, 0, 0 }, .run = earlierRun } });
    CHECK_EQUAL(1, host.orders.size());
    STRCMP_EQUAL("start", host.orders.front().kind.c_str());
    CHECK_EQUAL(1, host.orders.front().start.task.index);
    CHECK(host.orders.front().run > earlierRun);
}

// Guards against a job that runs once more because a leader forgets what its predecessor has stored.
TEST(TaskLeader, StoredEndsAreNotStartedAgain)
{
    announce("w1", 50);
    putProgress({ .id = "ended", .state = JobStage::Completed });
    putProgress({ .id = "half", .state = JobStage::Running, .done = { "10" } });
    putJob("ended");
    putJob("half", 2);
    lead(false);
    reportFor(Milliseconds { 2000 }, "w1", 50);
    CHECK_EQUAL(1, host.orders.size());
    STRCMP_EQUAL("half", host.orders.front().start.task.job.c_str());
    CHECK_EQUAL(1, host.orders.front().start.task.index);
    CHECK(stageOf("ended") == JobStage::Completed);
}

// Guards against a run on a worker that the next leader does not know and therefore does not ask.
TEST(TaskLeader, WorkerIsStoredInTheRosterBeforeItsFirstStart)
{
    putJob("j");
    lead(false);
    pass(Milliseconds { 1200 });
    announce("w1", 50);
    bool isAssigned = false;
    for (int i = 0; i < 400 && startsInQueue() == 0; ++i) {
        pass(Milliseconds { 2 });
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

// Guards against the same while the store does not answer: no start goes to a worker that could not be stored.
TEST(TaskLeader, NothingStartsOnAWorkerThatCannotBeStored)
{
    putJob("j");
    lead(false);
    pass(Milliseconds { 1200 });
    announce("w1", 50);
    for (int i = 0; i < 1000 && host.renewLeaseCalls.empty(); ++i)
        pass(Milliseconds { 2 });
    store.fault = FakeRecordStore::Fault::Refusing;
    reportFor(Milliseconds { 3000 }, "w1", 50);
    CHECK(host.orders.empty());
    store.fault = FakeRecordStore::Fault::None;
    reportFor(Milliseconds { 1500 }, "w1", 50);
    CHECK_EQUAL(1, startsInQueue());
}

// Guards against starts by a node that may have been replaced.
TEST(TaskLeader, NothingStartsWithoutTheRightToStart)
{
    mayStart = false;
    announce("w1", 50);
    putJob("j");
    lead(false);
    reportFor(Milliseconds { 2000 }, "w1", 50);
    CHECK(host.orders.empty());
    mayStart = true;
    reportFor(Milliseconds { 300 }, "w1", 50);
    CHECK_EQUAL(1, startsInQueue());
}

// Guards against an end that the worker forgets before it is stored: a leader elected then would run the task again.
// Guards also against `completed` that a later leader takes back.
TEST(TaskLeader, EndIsAcknowledgedAndShownOnceItIsStored)
{
    auto run = leadWithOneRun();
    pass(Milliseconds { 40 });
    store.fault = FakeRecordStore::Fault::Silent;
    std::vector<RunEnd> ends { { .sequence = 1, .task = { "j", 0, 0, 0 }, .run = run } };
    for (int i = 0; i < 100; ++i) {
        CHECK_EQUAL(0, report("w1", 50, {}, ends));
        CHECK(stageOf("j") == JobStage::Running);
        pass(Milliseconds { 40 });
    }
    CHECK(storedProgress("j").value_or(JobProgress {}).state != JobStage::Completed);
    store.fault = FakeRecordStore::Fault::None;
    uint64_t acknowledged = 0;
    for (int i = 0; i < 200 && acknowledged == 0; ++i) {
        pass(Milliseconds { 20 });
        acknowledged = report("w1", 50, {}, ends);
        if (acknowledged > 0 || (ask(JobQueryKind::State, "j") && stageOf("j") == JobStage::Completed))
            CHECK(storedProgress("j")->state == JobStage::Completed);
    }
    CHECK_EQUAL(1, acknowledged);
    CHECK(stageOf("j") == JobStage::Completed);
}

// Guards against an end that arrives during an append and is acknowledged with it, although the append is of earlier
// ends.
TEST(TaskLeader, EndDuringAnAppendIsAcknowledgedWithTheNext)
{
    announce("w1", 50);
    putJob("j", 2);
    lead(false);
    reportUntilStarts(1, "w1", 50);
    std::vector<uint64_t> runs;
    while (!host.orders.empty()) {
        auto start = host.takeOrder();
        runs.push_back(start.run);
        start.answer(orderAnswer(50));
        loop->runReady();
    }
    CHECK_EQUAL(2, runs.size());
    reportFor(Milliseconds { 300 }, "w1", 50,
        { { .task = { "j", 0, 0, 0 }, .run = runs[0] }, { .task = { "j", 0, 0, 1 }, .run = runs[1] } });
    store.fault = FakeRecordStore::Fault::LosingAnswers;
    RunEnd first { .sequence = 1, .task = { "j", 0, 0, 0 }, .run = runs[0] };
    RunEnd second { .sequence = 2, .task = { "j", 0, 0, 1 }, .run = runs[1] };
    pass(Milliseconds { 20 });
    report("w1", 50, { { .task = { "j", 0, 0, 1 }, .run = runs[1] } }, { first });
    pass(Milliseconds { 200 });
    report("w1", 50, {}, { first, second });
    // The repeat of the first append is answered; the next append, with the second end, is not carried out.
    store.fault = FakeRecordStore::Fault::None;
    auto appends = store.appends;
    for (int i = 0; i < 1000 && store.appends == appends; ++i)
        pass(Milliseconds { 2 });
    store.fault = FakeRecordStore::Fault::Refusing;
    for (int i = 0; i < 100; ++i) {
        pass(Milliseconds { 10 });
        CHECK(report("w1", 50, {}, { first, second }) < 2);
    }
    CHECK(storedProgress("j")->state == JobStage::Running);
    store.fault = FakeRecordStore::Fault::None;
    uint64_t acknowledged = 0;
    for (int i = 0; i < 2000 && acknowledged < 2; ++i) {
        pass(Milliseconds { 2 });
        acknowledged = std::max(acknowledged, report("w1", 50, {}, { first, second }));
        if (acknowledged >= 2)
            CHECK(storedProgress("j")->state == JobStage::Completed);
    }
    CHECK_EQUAL(2, acknowledged);
}

// Guards against a task that is lost with a worker that started again under its id, and against ends of the new life
// that are taken for acknowledged because the old one had got as far.
TEST(TaskLeader, AnnouncedNewBirthLosesTheRunsOfTheOldOne)
{
    auto run = leadWithOneRun();
    reportFor(Milliseconds { 200 }, "w1", 50, { { .task = { "j", 0, 0, 0 }, .run = run } });
    CHECK(host.orders.empty());
    host.renewLeaseCalls.clear();
    announce("w1", 60);
    reportUntilStarts(1, "w1", 60);
    auto again = host.takeOrder();
    CHECK(again.run > run);
    again.answer(orderAnswer(60));
    loop->runReady();
    std::vector<RunEnd> ends { { .sequence = 1, .task = { "j", 0, 0, 0 }, .run = again.run } };
    uint64_t acknowledged = 0;
    for (int i = 0; i < 200 && acknowledged == 0; ++i) {
        pass(Milliseconds { 20 });
        acknowledged = report("w1", 60, {}, ends);
    }
    CHECK_EQUAL(1, acknowledged);
    CHECK(stageOf("j") == JobStage::Completed);
}

// Guards against the same when the worker's own answer shows the new life before its record does, and against the old
// record, read again, that makes the old life come back.
TEST(TaskLeader, NewBirthInAnAnswerLosesTheRunsOfTheOldOne)
{
    auto run = leadWithOneRun();
    reportFor(Milliseconds { 200 }, "w1", 50, { { .task = { "j", 0, 0, 0 }, .run = run } });
    announce("w2", 51);
    pass(Milliseconds { 600 });
    report("w2", 51);
    report("w1", 60);
    // Well before the leases of the old life would lapse.
    reportFor(Milliseconds { 1000 }, "w2", 51);
    CHECK_EQUAL(1, startsInQueue());
    STRCMP_EQUAL("w2", host.orders.front().address.c_str());
    CHECK(host.orders.front().run > run);
    announce("w1", 60);
    reportFor(Milliseconds { 1000 }, "w1", 60);
    announce("w1", 50);
    auto renewLeaseCalls = host.renewLeaseCalls.size();
    pass(Milliseconds { 900 });
    CHECK_EQUAL(renewLeaseCalls, host.renewLeaseCalls.size());
}

// Guards against 2xx for a cancellation that the next leader does not know: the job would run on.
TEST(TaskLeader, CancellationIsAnsweredOnceItIsStored)
{
    auto run = leadWithOneRun();
    RunReport running { .task = { "j", 0, 0, 0 }, .run = run };
    reportFor(Milliseconds { 200 }, "w1", 50, { running });
    store.fault = FakeRecordStore::Fault::Refusing;
    std::optional<JobQueryReply> answer;
    leader->answer({ .queryId = 5, .kind = JobQueryKind::Cancel, .subject = "j" },
        [&answer](const JobQueryReply& it) { answer = it; });
    reportFor(Milliseconds { 2000 }, "w1", 50, { running });
    CHECK_FALSE(answer.has_value());
    CHECK(stageOf("j") == JobStage::Running);
    store.fault = FakeRecordStore::Fault::None;
    pass(Milliseconds { 1000 });
    CHECK(answer.has_value());
    CHECK_EQUAL(5, answer->queryId);
    CHECK(answer->status == JobQueryStatus::Found);
    CHECK(answer->state == JobStage::Cancelled);
    CHECK(storedProgress("j")->state == JobStage::Cancelled);
    CHECK(std::ranges::any_of(host.orders, [&](const auto& it) { return it.kind == "stop" && it.run == run; }));
}

// Guards against a cancelled job that is answered as completed, or is started, when it had not begun.
TEST(TaskLeader, CancelledJobDoesNotStart)
{
    putJob("j");
    lead(false);
    pass(Milliseconds { 1500 });
    std::optional<JobQueryReply> answer;
    leader->answer(
        { .kind = JobQueryKind::Cancel, .subject = "j" }, [&answer](const JobQueryReply& it) { answer = it; });
    pass(Milliseconds { 100 });
    CHECK(answer.has_value());
    CHECK(answer->state == JobStage::Cancelled);
    announce("w1", 50);
    reportFor(Milliseconds { 2000 }, "w1", 50);
    CHECK(host.orders.empty());
}

// Guards against a leader that goes on when a worker has seen a later one, by an order or by a question.
TEST(TaskLeader, FencedOrderDeposes)
{
    announce("w1", 50);
    putJob("j");
    lead(false);
    reportUntilStarts(1, "w1", 50);
    CHECK_EQUAL(0, fences);
    host.takeOrder().answer(TaskCommandReply { .outcome = TaskCommandOutcome::Fenced, .startedAtMs = 50 });
    // The owner may end the leader, which is the caller, so it is told in a later turn of the loop.
    CHECK_EQUAL(0, fences);
    loop->runReady();
    CHECK_EQUAL(1, fences);
}

// Guards against the same when the first question is refused.
TEST(TaskLeader, FencedQuestionDeposes)
{
    announce("w1", 50);
    lead(false);
    for (int i = 0; i < 1000 && host.renewLeaseCalls.empty(); ++i)
        pass(Milliseconds { 2 });
    host.takeRenewLeaseCall().answer(RenewLeaseReply { .commandReply = { .outcome = TaskCommandOutcome::Fenced } });
    loop->runReady();
    CHECK_EQUAL(1, fences);
}

// Guards against a leader that goes on when the store has seen a later one.
TEST(TaskLeader, FencedProgressDeposes)
{
    leadWithOneRun();
    AppendRequest later { .stream = StreamName::Progress,
        .fence = WriterFence { .writer = "leader", .epoch = epoch + 1, .sequence = 0 } };
    store.append(later, Milliseconds { 100 }, [](const auto&) {});
    std::optional<JobQueryReply> answer;
    leader->answer(
        { .kind = JobQueryKind::Cancel, .subject = "j" }, [&answer](const JobQueryReply& it) { answer = it; });
    pass(Milliseconds { 500 });
    CHECK_EQUAL(1, fences);
    CHECK_FALSE(answer.has_value());
}

// Guards against "no such job" from a leader that has not read the job streams, or not for long: the caller would take
// an accepted job for lost.
TEST(TaskLeader, UnknownJobIsDeniedOnlyByACurrentLeader)
{
    store.unreadable.insert({ StreamName::Jobs, 2 });
    lead(false);
    pass(Milliseconds { 2000 });
    CHECK(ask(JobQueryKind::State, "x")->status == JobQueryStatus::Unavailable);
    CHECK(ask(JobQueryKind::Pending, "q")->status == JobQueryStatus::Unavailable);
    store.unreadable.clear();
    pass(Milliseconds { 2000 });
    CHECK(ask(JobQueryKind::State, "x")->status == JobQueryStatus::Unknown);
    CHECK(ask(JobQueryKind::Pending, "q")->status == JobQueryStatus::Found);
    store.unreadable.insert({ StreamName::Jobs, 1 });
    pass(Milliseconds { 4000 });
    CHECK(ask(JobQueryKind::State, "x")->status == JobQueryStatus::Unavailable);
}

// Guards against a leader that never leads because one of its first calls failed.
TEST(TaskLeader, FailedLoadIsRepeated)
{
    announce("w1", 50);
    putJob("j");
    store.fault = FakeRecordStore::Fault::Refusing;
    lead(false);
    pass(Milliseconds { 500 });
    store.fault = FakeRecordStore::Fault::None;
    store.unreadable.insert({ StreamName::Progress, 0 });
    pass(Milliseconds { 1000 });
    CHECK(host.renewLeaseCalls.empty());
    store.unreadable.clear();
    reportFor(Milliseconds { 2000 }, "w1", 50);
    CHECK_EQUAL(1, startsInQueue());
}

// Guards against progress of a predecessor that is missed because it takes more than one page.
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
    CHECK(host.orders.empty());
    for (auto id : { "a", "b", "c", "d", "e" })
        CHECK(stageOf(id) == JobStage::Completed);
}

// Guards against answers of workers and of the store that reach a leader that was deposed.
TEST(TaskLeader, NothingIsOrderedAfterTheEnd)
{
    announce("w1", 50);
    putJob("j");
    lead(false);
    reportUntilStarts(1, "w1", 50);
    pass(Milliseconds { 40 });
    auto start = host.takeOrder();
    auto renewLeaseCalls = std::move(host.renewLeaseCalls);
    host.renewLeaseCalls.clear();
    leader.reset();
    start.answer(TaskCommandReply { .outcome = TaskCommandOutcome::Fenced });
    for (auto& call : renewLeaseCalls)
        call.answer(RenewLeaseReply { .commandReply = { .outcome = TaskCommandOutcome::Fenced } });
    auto appends = store.appends;
    pass(Milliseconds { 3000 });
    CHECK_EQUAL(0, fences);
    CHECK(host.renewLeaseCalls.empty());
    CHECK(host.orders.empty());
    CHECK_EQUAL(appends, store.appends);
}
