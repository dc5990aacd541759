#include "TaskLeaderFixture.h"

using namespace Bergamot;

TEST_GROUP_BASE(IdleTasksOfLeaders, TaskLeaderFixture)
{
    /// Both workers have room for 4,000 millis.
    static constexpr int64_t largeMillis { 5000 };
    static constexpr Milliseconds maxCallDelay { 12'000 };
    static constexpr Milliseconds longestLease { 10'000 };

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

    /// Like run(), with calls to silent workers that time out.
    void runWithTimeouts(Milliseconds time)
    {
        constexpr Milliseconds step { 100 };
        for (Milliseconds passed { 0 }; passed < time; passed += step) {
            run(step);
            for (auto left = taskExecutor.renewLeaseCalls.size(); left > 0; --left) {
                auto call = taskExecutor.takeRenewLeaseCall();
                if (silent.contains(call.address))
                    call.reply(absl::DeadlineExceededError("silent"));
                else
                    taskExecutor.renewLeaseCalls.push_back(std::move(call));
            }
            for (auto left = taskExecutor.commands.size(); left > 0; --left) {
                auto command = taskExecutor.takeCommand();
                if (silent.contains(command.address))
                    command.reply(absl::DeadlineExceededError("silent"));
                else
                    taskExecutor.commands.push_back(std::move(command));
            }
        }
    }

    /// Lets a leader send a start to w1, which never replies and is announced as started again once its lease has
    /// expired. No other worker has room. Returns when the start was sent.
    Instant sendStartToWorkerThatStartsAgain()
    {
        maxLease = longestLease;
        for (const char* worker : { "w1", "w2", "w3" })
            announce(worker);
        for (const char* worker : { "w2", "w3" }) {
            formats.announcements[worker].view.capacity = { 500, 8192, 0 };
            store.put(StreamName::Workers, worker, worker);
        }
        elect();
        run(Milliseconds { 20'000 });
        putLastingJob("j");
        CHECK(timeOfStart(clock.now(), Milliseconds { 2000 }).has_value());
        auto sentAt = clock.now();
        silent = { "w1" };
        runWithTimeouts(Milliseconds { 7000 });
        restartedAtMs["w1"] = 60;
        announce("w1");
        runWithTimeouts(Milliseconds { 2500 });
        CHECK_EQUAL(0, starts());
        return sentAt;
    }

    /// Checks that the task, for which w2 gets room now, starts only once no run of the start can be active: w1 may
    /// have executed it at the last moment, under the longest lease.
    void checkNextStartIsHeldBackSince(Instant sentAt)
    {
        formats.announcements["w2"].view.capacity = { 4000, 8192, 0 };
        store.put(StreamName::Workers, "w2", "w2");
        auto wait = timeOfStart(sentAt, Milliseconds { 40'000 });
        CHECK(wait.has_value());
        CHECK_COMPARE(wait->count(), >=, (maxCallDelay + longestLease).count());
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

// Guards against a second run: a later incarnation, which no leader reaches, may run a task that its leader takes for
// idle as soon as a start of it can no longer be executed.
TEST(IdleTasksOfLeaders, TaskThatALaterIncarnationMayRunIsNotStoredAsIdle)
{
    auto sentAt = sendStartToWorkerThatStartsAgain();
    runWithTimeouts(Milliseconds { 4000 });
    elect();
    checkNextStartIsHeldBackSince(sentAt);
}

// Guards against the same under one leader.
TEST(IdleTasksOfLeaders, TaskThatAnAnnouncedIncarnationMayRunIsHeldBack)
{
    checkNextStartIsHeldBackSince(sendStartToWorkerThatStartsAgain());
}
