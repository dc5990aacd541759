#include "SingleLeaderFixture.h"

using namespace Bergamot;

/// Cancellations and state queries of jobs.
TEST_GROUP_BASE(TaskLeaderCancellations, SingleLeaderFixture) {};

// Guards against confirming a cancellation before it is stored: under the next leader the job would continue to run.
TEST(TaskLeaderCancellations, CancellationIsConfirmedOnceItIsStored)
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
TEST(TaskLeaderCancellations, CancelledJobDoesNotStart)
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
TEST(TaskLeaderCancellations, CancelledUnknownJobDoesNotStartLater)
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
TEST(TaskLeaderCancellations, CancellationOfAnUnknownJobIsShownOnceItIsStored)
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
TEST(TaskLeaderCancellations, NextLeaderStopsTheRunOfACancelledJob)
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

// Guards against the reply Unknown from a leader that has not read the job streams, or not recently: the caller would
// conclude that an accepted job is lost.
TEST(TaskLeaderCancellations, UnknownJobIsReportedOnlyByACurrentLeader)
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
TEST(TaskLeaderCancellations, AcceptedJobIsNotCalledUnknownBeforeTheNextRead)
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
