#include "TaskLeaderFixture.h"

using namespace Bergamot;

/// The stored assigned workers, for whose leases a new leader waits.
TEST_GROUP_BASE(AssignedWorkers, TaskLeaderFixture)
{
    /// The longest time until a leader that reaches all assigned workers starts the first task.
    static constexpr Milliseconds maxStartDelay { 500 };

    void setDraining(const std::string& worker, bool isDraining)
    {
        formats.announcements[worker].view.draining = isDraining;
        store.put(StreamName::Workers, worker, worker);
    }

    /// Lets the platform list the workers, which earlier leaders have stored, and has a leader reach them.
    void electWithAssigned(const std::vector<std::string>& workers)
    {
        for (const auto& worker : workers)
            announce(worker);
        putAssignedWorkers(workers);
        elect();
        run(Milliseconds { 1000 });
    }

    /// As above with w1 and w2, and lets w2 drain without a run for longer than a report takes.
    void electAndDrainIdleWorker()
    {
        electWithAssigned({ "w1", "w2" });
        setDraining("w2", true);
        run(Milliseconds { 3000 });
        CHECK_FALSE(isStoredAsAssigned("w2"));
    }

    /// Puts a job, elects a leader and returns the time until it starts the job.
    std::optional<Milliseconds> timeOfStartByNextLeader(const std::string& job)
    {
        putJob(job);
        elect();
        return timeOfStart(electedAt, maxLeaseWait);
    }
};

// Guards against a start on a worker that the next leader does not wait for: a worker was removed after its silence and
// listed again, and its absence from the stored assigned workers went unnoticed.
TEST(AssignedWorkers, ReturningWorkerIsStoredBeforeItsNextStart)
{
    putAssignedWorkers({ "reached", "w1" });
    silent = { "w1" };
    elect();
    run(maxLeaseWait);
    CHECK_FALSE(isStoredAsAssigned("w1"));
    silent.clear();
    putJob("j");
    announce("w1");
    for (int i = 0; i < 100 && starts() == 0; ++i)
        run(Milliseconds { 20 });
    CHECK_EQUAL(1, starts());
    CHECK(isStoredAsAssigned("w1"));
}

// Guards against a second run of a task after a takeover: the stored list of workers cannot be decoded, and the worker
// that runs the task is not listed by the platform, so the leader took the workers that it knew for all (issue 55).
TEST(AssignedWorkers, UnreadableListIsWaitedForAsLongAsALease)
{
    announce("w1");
    putJob("j");
    store.put(StreamName::Progress, assignedWorkersKey, "not a list of workers");
    elect();
    auto time = timeOfStart(electedAt, Milliseconds { 8000 });
    CHECK(time.has_value());
    CHECK(*time >= minLeaseWait);
}

// Guards against tasks that wait for the lease of a worker that has left after its runs had ended: its successor in
// office finds it neither listed nor reachable.
TEST(AssignedWorkers, LeaderDoesNotWaitForADrainedWorkerThatHasLeft)
{
    electAndDrainIdleWorker();
    CHECK(isStoredAsAssigned("w1"));
    store.put(StreamName::Workers, "w2", {});
    silent = { "w2" };
    auto time = timeOfStartByNextLeader("j");
    CHECK(time.has_value());
    CHECK(*time <= maxStartDelay);
}

// Guards against tasks that wait for a drained worker because a new leader, which finds it listed still, assigns it
// again.
TEST(AssignedWorkers, DrainedWorkerIsNotAssignedAgainByTheNextLeader)
{
    electAndDrainIdleWorker();
    silent = { "w2" };
    for (bool isListed : { true, false }) {
        if (!isListed)
            store.put(StreamName::Workers, "w2", {});
        auto time = timeOfStartByNextLeader(isListed ? "j1" : "j2");
        CHECK(time.has_value());
        CHECK(*time <= maxStartDelay);
        run(Milliseconds { 300 });
        CHECK_FALSE(isStoredAsAssigned("w2"));
    }
}

// Guards against a second run of a task: the worker drains, but a run is listed there, or the end of one is not stored.
TEST(AssignedWorkers, DrainingWorkerStaysAssignedWhileItMayHoldRunsOrEnds)
{
    TaskRef task { .job = "j", .occurrence = 0, .step = 0, .index = 0 };
    putJob("j");
    for (bool isEnded : { false, true }) {
        runs["w2"] = { { .task = task, .run = 1 } };
        electWithAssigned({ "w1", "w2" });
        if (isEnded) {
            store.fault = FakeRecordStore::Fault::LosingReplies;
            runs.clear();
            ends["w2"] = { { .sequence = 1, .task = task, .run = 1, .outcome = RunOutcome::Stopped } };
        }
        setDraining("w2", true);
        run(Milliseconds { 3000 });
        CHECK(isStoredAsAssigned("w2"));
        store.fault = FakeRecordStore::Fault::None;
        ends.clear();
        runs.clear();
    }
}

// Guards against a start on a worker that no successor waits for, because it no longer drains.
TEST(AssignedWorkers, WorkerThatNoLongerDrainsIsStoredBeforeItsNextStart)
{
    electWithAssigned({ "w2" });
    setDraining("w2", true);
    run(Milliseconds { 3000 });
    CHECK_FALSE(isStoredAsAssigned("w2"));
    store.fault = FakeRecordStore::Fault::LosingReplies;
    setDraining("w2", false);
    putJob("j");
    run(Milliseconds { 2000 });
    CHECK_EQUAL(0, starts());
    store.fault = FakeRecordStore::Fault::None;
    for (int i = 0; i < 100 && starts() == 0; ++i)
        run(Milliseconds { 20 });
    CHECK_EQUAL(1, starts());
    CHECK(isStoredAsAssigned("w2"));
}

// Guards against a second run of a task: the stored list of workers could not be decoded, and a leader took a worker
// that drains and runs a task for one that no leader has given anything.
TEST(AssignedWorkers, DrainingWorkerWithRunsIsStoredAfterAnUnreadableList)
{
    TaskRef task { .job = "j", .occurrence = 0, .step = 0, .index = 0 };
    announce("w1");
    announce("w2");
    setDraining("w2", true);
    putJob("j");
    runs["w2"] = { { .task = task, .run = 1 } };
    store.put(StreamName::Progress, assignedWorkersKey, "not a list of workers");
    elect();
    run(Milliseconds { 2000 });
    CHECK(grantsTo("w2", epoch) > 0);
    CHECK_EQUAL(0, starts());
    silent = { "w2" };
    elect();
    auto time = timeOfStart(electedAt, Milliseconds { 10000 });
    CHECK(time.has_value());
    CHECK(*time >= minLeaseWait);
}

// Guards against a successor that waits for a worker that was idle when it announced that it drains, and left at the
// end of its notice.
TEST(AssignedWorkers, IdleWorkerIsTakenOutWhenItAnnouncesItsDrain)
{
    electWithAssigned({ "w1", "w2" });
    // The worker answers an idle report after 2 s only.
    silent = { "w1", "w2" };
    run(Milliseconds { 100 });
    setDraining("w2", true);
    run(Milliseconds { 1500 });
    CHECK_FALSE(isStoredAsAssigned("w2"));
}
