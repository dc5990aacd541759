#include "TaskLeaderFixture.h"

using namespace Bergamot;

TEST_GROUP_BASE(PlacedTasks, TaskLeaderFixture)
{
    static constexpr Milliseconds settlingTime { 1500 };

    /// The worker on which the lasting task runs.
    std::string placedOn;

    void putLastingJob(const std::string& id)
    {
        JobSpec spec {
            .id = id, .queue = "q", .steps = { { .size = { 1000, 128, 0 }, .estimateMs = 1000, .longRunning = true } }
        };
        store.put(StreamName::Jobs, id, encodeValue(spec));
    }

    /// Lets a leader start a lasting task on one of three workers, which accepts it.
    void startLastingTask()
    {
        for (const char* worker : { "w1", "w2", "w3" })
            announce(worker);
        putAssignedWorkers({ "w1", "w2", "w3" });
        elect();
        run(Milliseconds { 500 });
        putLastingJob("j");
        CHECK(timeOfStart(clock.now(), Milliseconds { 2000 }).has_value());
        auto command = taskExecutor.takeCommand();
        placedOn = command.address;
        runs[placedOn] = { { .task = { .job = "j" }, .run = command.run, .progressPercent = 1 } };
        command.reply(replyOf(placedOn));
        run(Milliseconds { 1500 });
        CHECK_EQUAL(0, starts());
    }

    std::string otherWorker() const { return placedOn == "w1" ? "w2" : "w1"; }

    /// The worker lists the end of the run.
    void stopRun()
    {
        ends[placedOn] = {
            { .sequence = 1, .task = { .job = "j" }, .run = runs[placedOn].front().run, .outcome = RunOutcome::Stopped }
        };
        runs[placedOn].clear();
    }
};

// Guards against a task that waits for the lease of a worker on which it cannot run (issue 61).
TEST(PlacedTasks, TaskOfAReachedWorkerDoesNotWaitForOtherWorkers)
{
    startLastingTask();
    stopRun();
    silent = { otherWorker() };
    elect();
    auto time = timeOfStart(electedAt, Milliseconds { 10'000 });
    CHECK(time.has_value());
    CHECK_COMPARE(time->count(), <, settlingTime.count());
}

// Guards against the same wait under leaders that end soon, while a further worker is lost.
TEST(PlacedTasks, LossesUnderLeadersThatEndSoonDoNotHoldBackTheTask)
{
    startLastingTask();
    stopRun();
    silent = { otherWorker() };
    for (uint32_t i = 0; i < 4; ++i) {
        elect();
        run(Milliseconds { 60 });
        CHECK_EQUAL(0, starts());
        silent.insert(placedOn == "w3" ? "w2" : "w3");
    }
    auto time = timeOfStart(electedAt, Milliseconds { 10'000 });
    CHECK(time.has_value());
    CHECK_COMPARE(time->count(), <, settlingTime.count());
}

// Guards against a second run of a task whose worker runs on unreached.
TEST(PlacedTasks, TaskOfAnUnreachedWorkerWaitsForItsLease)
{
    startLastingTask();
    silent = { placedOn };
    elect();
    auto time = timeOfStart(electedAt, Milliseconds { 10'000 });
    CHECK(time.has_value());
    CHECK_COMPARE(time->count(), >=, minLeaseWait.count());
}

// Guards against a second run on a later incarnation of the worker, which may execute the start late.
TEST(PlacedTasks, TaskWaitsForALaterIncarnationOfItsWorker)
{
    startLastingTask();
    silent = { placedOn };
    restartedAtMs[placedOn] = 60;
    announce(placedOn);
    elect();
    auto time = timeOfStart(electedAt, Milliseconds { 30'000 });
    CHECK(time.has_value());
    CHECK_COMPARE(time->count(), >=, minLeaseWait.count());
}

// Guards against a second run: a leader of an earlier version starts the task elsewhere without a record.
TEST(PlacedTasks, TaskWaitsAfterALeaderOfAnEarlierVersion)
{
    startLastingTask();
    stopRun();
    silent = { otherWorker() };
    leader.reset();
    ++epoch;
    elections.add(epoch, clock.now(), {}, { .storesReachedWorkers = true, .recordsStartsOfIdleTasks = true });
    placementsRecordedSince = epoch + 1;
    elect();
    auto time = timeOfStart(electedAt, Milliseconds { 10'000 });
    CHECK(time.has_value());
    CHECK_COMPARE(time->count(), >=, minLeaseWait.count());
}

// Guards against a start that a successor does not know of: it is sent before the store has its record.
TEST(PlacedTasks, StartWaitsUntilTheStoreHasItsRecord)
{
    announce("w1");
    elect();
    run(Milliseconds { 500 });
    store.fault = FakeRecordStore::Fault::LosingReplies;
    putLastingJob("j");
    run(Milliseconds { 1000 });
    CHECK_EQUAL(0, starts());
    store.fault = FakeRecordStore::Fault::None;
    run(Milliseconds { 2000 });
    CHECK_EQUAL(1, starts());
    auto stored = storedValue<JobProgress>(jobKeyPrefix + std::string("j"));
    CHECK(stored.has_value());
    CHECK_EQUAL(1, stored->placedTasks.size());
    STRCMP_EQUAL("w1", stored->placedTasks.front().worker.c_str());
}

// Guards against a job that was accepted while no process led, and waits for workers although no leader knew it.
TEST(PlacedTasks, JobThatNoLeaderHasRecordedDoesNotWait)
{
    announce("w1");
    announce("w2");
    putAssignedWorkers({ "w1", "w2" });
    elect();
    run(Milliseconds { 500 });
    leader.reset();
    putLastingJob("j");
    silent = { "w2" };
    elect();
    auto time = timeOfStart(electedAt, Milliseconds { 10'000 });
    CHECK(time.has_value());
    CHECK_COMPARE(time->count(), <, settlingTime.count());
}
