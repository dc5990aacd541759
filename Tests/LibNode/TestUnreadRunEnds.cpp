#include "TaskLeaderFixture.h"

using namespace Bergamot;

/// Workers that report one run end at a time.
TEST_GROUP_BASE(UnreadRunEnds, TaskLeaderFixture)
{
    static constexpr uint32_t earlierEnds { 400 };

    void setup() override { maxListedEnds = 1; }

    JobStage storedStage(const std::string& job)
    {
        return storedValue<JobProgress>(jobKeyPrefix + job).value_or(JobProgress { .state = JobStage::Queued }).state;
    }

    /// Lets the worker hold an end of the only task of the job, behind those of another job.
    void putUnreadEnd(const std::string& worker, const std::string& job, uint64_t runNumber, RunOutcome outcome)
    {
        JobSpec other { .id = "other",
            .queue = "q",
            .steps = { { .count = earlierEnds, .size = { 1000, 128, 0 }, .estimateMs = 1000 } } };
        store.put(StreamName::Jobs, other.id, encodeValue(other));
        for (uint32_t i = 0; i < earlierEnds; ++i)
            ends[worker].push_back({ .sequence = i + 1, .task = { other.id, 0, 0, i }, .run = 600001 });
        ends[worker].push_back(
            { .sequence = earlierEnds + 1, .task = { job, 0, 0, 0 }, .run = runNumber, .outcome = outcome });
    }
};

// Guards against a second run of a task (TWICE in issue 38) under a new leader: its end as done is on a later page of
// the worker's ends, which takes longer to read than the leases of the earlier leader last.
TEST(UnreadRunEnds, NewLeaderStartsNoTaskBeforeItHasReadAllEnds)
{
    announce("w1");
    announce("w2");
    putAssignedWorkers({ "w1", "w2" });
    putJob("j");
    putUnreadEnd("w1", "j", 600001, RunOutcome::Done);
    elect();
    for (Milliseconds passed { 0 }; passed < Milliseconds { 60000 } && storedStage("j") != JobStage::Completed;
         passed += Milliseconds { 100 }) {
        run(Milliseconds { 100 });
        CHECK_EQUAL(0, starts());
    }
    CHECK(storedStage("j") == JobStage::Completed);
    CHECK(clock.now() - electedAt > maxLeaseWait);
}

// Guards against new jobs that wait for the ends of a worker: no earlier leader can have started them.
TEST(UnreadRunEnds, NewJobsDoNotWaitForUnreadEnds)
{
    announce("w1");
    putAssignedWorkers({ "w1" });
    putJob("j");
    putUnreadEnd("w1", "j", 600001, RunOutcome::Done);
    elect();
    run(Milliseconds { 500 });
    putJob("new");
    auto since = clock.now();
    CHECK(timeOfStart(since, Milliseconds { 1000 }).has_value());
}

// Guards against tasks that wait without bound for the ends of a worker that does not reply any more.
TEST(UnreadRunEnds, SilentWorkerIsWaitedForAsLongAsItsLease)
{
    announce("w1");
    announce("w2");
    putAssignedWorkers({ "w1", "w2" });
    putJob("j");
    putUnreadEnd("w1", "x", 600001, RunOutcome::Done);
    elect();
    run(Milliseconds { 500 });
    silent = { "w1" };
    auto silentSince = clock.now();
    while (starts() == 0 && clock.now() - silentSince < Milliseconds { 12000 }) {
        run(Milliseconds { 20 });
        // Calls to a silent worker time out.
        for (auto left = taskExecutor.renewLeaseCalls.size(); left > 0; --left) {
            auto call = taskExecutor.takeRenewLeaseCall();
            if (call.address == "w1")
                call.reply(absl::DeadlineExceededError("silent"));
            else
                taskExecutor.renewLeaseCalls.push_back(std::move(call));
        }
    }
    CHECK(starts() > 0);
    CHECK(clock.now() - silentSince >= Milliseconds { 4500 });
    CHECK(clock.now() - silentSince <= maxLeaseWait);
}

// Guards against acknowledging ends that were not read, and against reading on only after a pause.
TEST(UnreadRunEnds, EachPageIsAcknowledgedOnceItIsStored)
{
    announce("w1");
    putAssignedWorkers({ "w1" });
    putUnreadEnd("w1", "x", 600001, RunOutcome::Done);
    maxListedEnds = 50;
    elect();
    uint64_t acknowledged = 0;
    for (int i = 0; i < 500 && acknowledged <= earlierEnds; ++i) {
        advance(Milliseconds { 10 });
        if (!taskExecutor.renewLeaseCalls.empty()) {
            auto sequence = taskExecutor.renewLeaseCalls.front().request.acknowledgedSequence;
            CHECK(sequence <= acknowledged + maxListedEnds);
            acknowledged = std::max(acknowledged, sequence);
            std::erase_if(ends["w1"], [&](const RunEnd& it) { return it.sequence <= acknowledged; });
        }
        answerRenewals();
    }
    CHECK_EQUAL(earlierEnds + 1, acknowledged);
    constexpr Milliseconds maxTimeForNinePages { 2500 };
    CHECK(clock.now() - electedAt <= maxTimeForNinePages);
}
