#include "TaskLeaderFixture.h"

using namespace Bergamot;

TEST_GROUP_BASE(IdleTasksOfLeaders, TaskLeaderFixture)
{
    /// Both workers have room for 4,000 millis.
    static constexpr int64_t largeMillis { 5000 };

    void putLastingJob(const std::string& id, int64_t cpuMillis = 1000)
    {
        JobSpec spec { .id = id,
            .queue = "q",
            .steps = { { .size = { cpuMillis, 128, 0 }, .estimateMs = 1000, .longRunning = true } } };
        store.put(StreamName::Jobs, id, encodeValue(spec));
    }

    bool isStoredAsIdle(const std::string& job)
    {
        auto stored = storedValue<JobProgress>(jobKeyPrefix + job);
        return stored && !stored->idleTasks.empty();
    }

    /// Lets a leader have a lasting task for which no worker has room, and then elects one that does not reach w2.
    void succeedWithIdleTask()
    {
        announce("w1");
        announce("w2");
        putAssignedWorkers({ "w1", "w2" });
        elect();
        run(Milliseconds { 500 });
        putLastingJob("j", largeMillis);
        run(Milliseconds { 2000 });
        CHECK(isStoredAsIdle("j"));
        CHECK_EQUAL(0, starts());
        silent = { "w2" };
    }

    /// The workers announce that they have more room.
    void addRoom()
    {
        formats.announcements["w1"].view.capacity = { 2 * largeMillis, 8192, 0 };
        store.put(StreamName::Workers, "w1", "w1");
    }
};

// Guards against a task that waited for room and waits for the leases of an unreached worker under the next leader.
TEST(IdleTasksOfLeaders, TaskThatRunsNowhereDoesNotWaitForUnreachedWorkers)
{
    succeedWithIdleTask();
    addRoom();
    elect();
    auto time = timeOfStart(electedAt, Milliseconds { 10000 });
    CHECK(time.has_value());
    CHECK(*time < Milliseconds { 1500 });
    CHECK_FALSE(isStoredAsIdle("j"));
}

// Guards against a second run: an earlier version starts the task without a record.
TEST(IdleTasksOfLeaders, TaskWaitsAfterALeaderOfAnEarlierVersion)
{
    succeedWithIdleTask();
    addRoom();
    leader.reset();
    ++epoch;
    elections.add(epoch, clock.now(), {}, { .storesReachedWorkers = true });
    elect();
    auto time = timeOfStart(electedAt, Milliseconds { 10000 });
    CHECK(time.has_value());
    CHECK(*time >= minLeaseWait);
}

// Guards against a start that a successor does not know of, because the record before it is not stored.
TEST(IdleTasksOfLeaders, StartWaitsUntilTheStoreHasItsRecord)
{
    succeedWithIdleTask();
    silent.clear();
    store.fault = FakeRecordStore::Fault::LosingReplies;
    addRoom();
    run(Milliseconds { 1000 });
    CHECK_EQUAL(0, starts());
    CHECK_FALSE(isStoredAsIdle("j"));
    store.fault = FakeRecordStore::Fault::None;
    run(Milliseconds { 2000 });
    CHECK_EQUAL(1, starts());
    CHECK_FALSE(isStoredAsIdle("j"));
}
