#include "TaskLeaderFixture.h"
#include <fmt/format.h>
#include <malloc.h>

using namespace Bergamot;

/// What a leader keeps and does for the jobs that ended under its predecessors.
TEST_GROUP_BASE(TaskLeaderRecovery, TaskLeaderFixture) {
    static std::string idOf(size_t n) { return fmt::format("{:016x}", n * 0x9e3779b97f4a7c15);
}

void putEndedJob(const std::string& id, JobStage state, size_t payloadBytes = 0)
{
    JobSpec spec { .id = id,
        .queue = "q",
        .payload = std::string(payloadBytes, 'p'),
        .steps = { { .size = { 1000, 128, 0 }, .estimateMs = 1000 } } };
    store.put(StreamName::Jobs, id, encodeValue(spec));
    store.put(StreamName::Progress, jobKeyPrefix + id, encodeValue(JobProgress { .id = id, .state = state }));
}

std::optional<JobQueryReply> ask(JobQueryKind kind, const std::string& id)
{
    std::optional<JobQueryReply> result;
    leader->handleQuery({ .queryId = 1, .kind = kind, .subject = id }, [&](const auto& reply) { result = reply; });
    run(Milliseconds { 600 });
    return result;
}

size_t stopsOn(const std::string& worker) const
{
    return static_cast<size_t>(std::ranges::count_if(
        taskExecutor.commands, [&](const auto& it) { return it.kind == "stop" && it.address == worker; }));
}
}
;

// Guards against the memory of case 2 of the review: each leader kept the specification of every job in the store, so
// that with enough ended jobs no leader could load them.
TEST(TaskLeaderRecovery, EndedJobsTakeFewBytes)
{
    constexpr size_t jobs = 4000;
    constexpr size_t payloadBytes = 1000;
    constexpr size_t maxBytesPerJob = 100;
    announce("w1");
    putAssignedWorkers({ "w1" });
    for (size_t i = 0; i < jobs; ++i)
        putEndedJob(idOf(i), JobStage::Completed, payloadBytes);
    putJob("live");
    // The store of the test copies all records for each page, but frees them before the next step.
    auto before = mallinfo2().uordblks;
    auto peak = before;
    elect();
    for (int i = 0; i < 400; ++i) {
        advance(Milliseconds { 2 });
        peak = std::max(peak, mallinfo2().uordblks);
    }
    run(Milliseconds { 600 });
    CHECK(ask(JobQueryKind::State, idOf(7))->state == JobStage::Completed);
    CHECK(ask(JobQueryKind::State, idOf(jobs - 1))->state == JobStage::Completed);
    CHECK(ask(JobQueryKind::State, idOf(jobs))->status == JobQueryStatus::Unknown);
    CHECK(ask(JobQueryKind::State, "live")->state == JobStage::Queued);
    CHECK(peak - before < jobs * maxBytesPerJob);
    CHECK_EQUAL(1, starts());
}

// Guards against replies about ended jobs that a change of leader alters: each keeps its state, whatever its id looks
// like, a cancellation does not change it, and a repeated request does not run it again.
TEST(TaskLeaderRecovery, EndedJobsKeepTheirStates)
{
    announce("w1");
    putAssignedWorkers({ "w1" });
    const std::map<std::string, JobStage> states { { idOf(1), JobStage::Completed }, { idOf(2), JobStage::Failed },
        { idOf(3), JobStage::Cancelled }, { "short", JobStage::Failed }, { "00000000000000AB", JobStage::Cancelled },
        { "00000000000000ab", JobStage::Completed } };
    for (const auto& [id, state] : states)
        putEndedJob(id, state);
    for (int leaders = 0; leaders < 2; ++leaders) {
        elect();
        run(Milliseconds { 1000 });
        for (const auto& [id, state] : states) {
            putJob(id);
            run(Milliseconds { 100 });
            CHECK(ask(JobQueryKind::State, id)->status == JobQueryStatus::Found);
            CHECK(ask(JobQueryKind::State, id)->state == state);
            CHECK(ask(JobQueryKind::Cancel, id)->state == state);
        }
        run(maxLeaseWait);
        CHECK_EQUAL(0, starts());
    }
}

// Guards against an unknown job that becomes known because its cancellation is stored, and against a start of it when
// its append is carried out late.
TEST(TaskLeaderRecovery, CancelledUnknownJobStaysUnknownUntilItIsRead)
{
    announce("w1");
    putAssignedWorkers({ "w1" });
    elect();
    run(Milliseconds { 1000 });
    CHECK(ask(JobQueryKind::Cancel, idOf(1))->status == JobQueryStatus::Unknown);
    CHECK(ask(JobQueryKind::State, idOf(1))->status == JobQueryStatus::Unknown);
    elect();
    run(Milliseconds { 1000 });
    CHECK(ask(JobQueryKind::State, idOf(1))->status == JobQueryStatus::Unknown);
    putJob(idOf(1));
    run(maxLeaseWait);
    CHECK(ask(JobQueryKind::State, idOf(1))->state == JobStage::Cancelled);
    CHECK_EQUAL(0, starts());
}

// Guards against runs of an ended job that go on because the leader has no data of the job, and against run ends of it
// that are never acknowledged.
TEST(TaskLeaderRecovery, RunsAndEndsOfEndedJobsAreHandled)
{
    announce("w1");
    putAssignedWorkers({ "w1" });
    putEndedJob(idOf(1), JobStage::Cancelled);
    runs["w1"] = { { .task = { idOf(1), 0, 0, 0 }, .run = 600001 } };
    ends["w1"] = { { .sequence = 1, .task = { idOf(1), 0, 0, 0 }, .run = 600000 } };
    elect();
    uint64_t acknowledged = 0;
    for (int i = 0; i < 45; ++i) {
        advance(Milliseconds { 20 });
        for (const auto& call : taskExecutor.renewLeaseCalls)
            acknowledged = std::max(acknowledged, call.request.acknowledgedSequence);
        answerRenewals();
    }
    CHECK_EQUAL(1, acknowledged);
    CHECK_EQUAL(1, stopsOn("w1"));
    runs["w1"] = {};
    CHECK(ask(JobQueryKind::State, idOf(1))->state == JobStage::Cancelled);
    CHECK_EQUAL(0, starts());
}

// Guards against a start of a job whose stored progress says nothing about its tasks.
TEST(TaskLeaderRecovery, JobWithUnreadableProgressDoesNotRun)
{
    announce("w1");
    putAssignedWorkers({ "w1" });
    putEndedJob(idOf(1), JobStage::Completed);
    putJob(idOf(2));
    store.put(StreamName::Progress, jobKeyPrefix + idOf(2), "?");
    elect();
    run(maxLeaseWait);
    CHECK(ask(JobQueryKind::State, idOf(2))->status == JobQueryStatus::Unavailable);
    CHECK_EQUAL(0, starts());
}
