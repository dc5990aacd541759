#include "TaskLeaderFixture.h"

using namespace Bergamot;

TEST_GROUP_BASE(AssignedWorkers, TaskLeaderFixture) {};

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
