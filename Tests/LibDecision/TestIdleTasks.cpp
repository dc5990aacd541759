#include "TaskSchedulerFixture.h"
#include <CppUTest/TestHarness.h>
#include <LibPlatform/RecordLimits.h>
#include <LibWire/ValueCodec.h>
#include <optional>
#include <vector>

using namespace Bergamot;

TEST_GROUP(IdleTasks)
{
    static constexpr Milliseconds leaseWait { 5300 };
    static constexpr Milliseconds waitUntilRecorded { 400 };

    /// A leader that has had predecessors.
    TaskSchedulerFixture fixture { 2 };
    const TaskRef task { .job = "j" };

    TaskScheduler& scheduler() { return fixture.scheduler(); }

    static StepSpec lasting()
    {
        auto step = TaskSchedulerFixture::step(1);
        step.longRunning = true;
        return step;
    }

    /// A job that an earlier leader has had, with its stored progress.
    void inherit(StepSpec step, std::optional<JobProgress> stored = {}, bool isReliable = false)
    {
        scheduler().addJob(TaskSchedulerFixture::job(task.job, { std::move(step) }, "batch"), std::move(stored),
            fixture.now() + leaseWait, fixture.now(), { .idleTasks = isReliable });
    }

    JobProgress storedAsIdle() const { return { .id = task.job, .done = { "0" }, .idleTasks = { {} }, .epoch = 1 }; }

    void recordIdleTasks()
    {
        scheduler().recordIdleTasks(fixture.now(), [](const TaskRef&) { return false; });
    }

    /// Has a new job of the leader wait without a worker, until its task counts as idle.
    void addWaitingJob()
    {
        scheduler().addJob(
            TaskSchedulerFixture::job(task.job, { lasting() }, "batch"), {}, neverInstant, fixture.now());
        CHECK_EQUAL(0, fixture.planStarts().size());
        fixture.advance(waitUntilRecorded);
    }

    std::vector<IdleTask> collectIdleTasks()
    {
        auto changed = scheduler().takeChangedJobs();
        CHECK_EQUAL(1, changed.size());
        return changed.empty() ? std::vector<IdleTask> {} : changed.front().idleTasks;
    }
};

// Guards against a task that is known to run nowhere and waits for unreached workers all the same (issue 58).
TEST(IdleTasks, TaskStoredAsIdleStartsOnceARecordWithoutItIsStored)
{
    inherit(lasting(), storedAsIdle(), true);
    fixture.addWorker(1);
    CHECK_EQUAL(0, fixture.planStarts().size());
    auto changed = scheduler().takeChangedJobs();
    CHECK_EQUAL(1, changed.size());
    CHECK(changed.front().idleTasks.empty());
    CHECK_EQUAL(2, changed.front().epoch);
    CHECK_EQUAL(0, fixture.planStarts().size());
    scheduler().progressStored(changed.front());
    CHECK_EQUAL(1, fixture.planStarts().size());
}

// Guards against a second run of a task that a leader in between may have started.
TEST(IdleTasks, UnreliableRecordIsRemovedBeforeTheTaskStarts)
{
    inherit(lasting(), storedAsIdle(), false);
    fixture.addWorker(1);
    CHECK_EQUAL(0, fixture.planStarts().size());
    CHECK(collectIdleTasks().empty());
    scheduler().unblockTasks();
    CHECK_EQUAL(0, fixture.planStarts().size());
    scheduler().progressStored(storedAsIdle());
    CHECK_EQUAL(1, fixture.planStarts().size());
}

TEST(IdleTasks, WaitingTaskIsRecordedUntilItStarts)
{
    addWaitingJob();
    recordIdleTasks();
    CHECK_EQUAL(1, collectIdleTasks().size());
    fixture.addWorker(1);
    CHECK_EQUAL(0, fixture.planStarts().size());
    CHECK(collectIdleTasks().empty());
}

// Guards against a start that is sent when only the record before the one without the task is stored.
TEST(IdleTasks, EarlierRecordInProgressDoesNotReleaseTheStart)
{
    addWaitingJob();
    recordIdleTasks();
    auto idle = scheduler().takeChangedJobs();
    fixture.addWorker(1);
    CHECK_EQUAL(0, fixture.planStarts().size());
    auto running = scheduler().takeChangedJobs();
    scheduler().progressStored(idle.front());
    CHECK_EQUAL(0, fixture.planStarts().size());
    scheduler().progressStored(running.front());
    CHECK_EQUAL(1, fixture.planStarts().size());
}

// Guards against a record that names a task which an earlier leader may run.
TEST(IdleTasks, TaskThatWaitsForUnreachedWorkersIsNotRecorded)
{
    inherit(lasting());
    fixture.plan();
    fixture.advance(waitUntilRecorded);
    recordIdleTasks();
    CHECK(scheduler().takeChangedJobs().empty());
}

// Guards against a record that names a task of which a start may be executed late.
TEST(IdleTasks, TaskWithAStartWithoutAReplyIsNotRecorded)
{
    addWaitingJob();
    scheduler().recordIdleTasks(fixture.now(), [&](const TaskRef& it) { return it == task; });
    CHECK(scheduler().takeChangedJobs().empty());
}

// Guards against a start on a worker that was lost while the start waited for the record.
TEST(IdleTasks, WaitingStartIsTakenBackWithItsWorker)
{
    inherit(lasting(), storedAsIdle(), true);
    fixture.addWorker(1);
    CHECK_EQUAL(0, fixture.planStarts().size());
    scheduler().removeWorker(1, WorkerEnd::Crashed, fixture.now());
    auto changed = scheduler().takeChangedJobs();
    CHECK_EQUAL(1, changed.size());
    CHECK(changed.front().crashedRuns.empty());
    scheduler().progressStored(changed.front());
    CHECK_EQUAL(0, fixture.planStarts().size());
    fixture.addWorker(2);
    CHECK_EQUAL(1, fixture.planStarts().size());
}

// Guards against a crash under a task whose start was never sent: the lease ended while the start waited to be sent.
TEST(IdleTasks, StartThatWasNotSentIsNoCrashAfterTheLeaseOfItsWorker)
{
    inherit(lasting(), storedAsIdle(), true);
    fixture.addWorker(1);
    CHECK_EQUAL(0, fixture.planStarts().size());
    scheduler().setReachable(1, false, fixture.now());
    fixture.advance(leaseWait);
    scheduler().suspectCrash(1, fixture.now());
    scheduler().markRunsLost(1, fixture.now());
    scheduler().removeWorker(1, WorkerEnd::Crashed, fixture.now());
    auto changed = scheduler().takeChangedJobs();
    CHECK_EQUAL(1, changed.size());
    CHECK_EQUAL(0, changed.front().crashedRuns.size());
}

// Guards against a crash that is counted under a task that ran nowhere when the worker was lost.
TEST(IdleTasks, TaskStoredAsIdleHasNoUnrecordedCrash)
{
    inherit(lasting(), storedAsIdle(), true);
    scheduler().inheritedWorkerLost();
    fixture.addWorker(1);
    CHECK_EQUAL(0, fixture.planStarts().size());
    auto changed = scheduler().takeChangedJobs();
    CHECK_EQUAL(1, changed.size());
    for (const auto& it : changed.front().crashedRuns)
        CHECK_FALSE(it.mayFollowUnrecordedCrash);
}

// Guards against a record of a large job that the store refuses, and against a start of a task that it does not name
// before a record without the task.
TEST(IdleTasks, RecordOfALargeJobStaysWithinTheLimit)
{
    constexpr uint32_t tasks { 10000 };
    std::vector<StepSpec> steps(5, lasting());
    for (auto& step : steps)
        step.count = tasks;
    scheduler().addJob(TaskSchedulerFixture::job(task.job, steps, "batch"), {}, neverInstant, fixture.now());
    CHECK_EQUAL(0, fixture.planStarts().size());
    fixture.advance(waitUntilRecorded);
    recordIdleTasks();
    auto changed = scheduler().takeChangedJobs();
    CHECK_EQUAL(1, changed.size());
    CHECK(!changed.front().idleTasks.empty());
    CHECK(encodeValue(changed.front()).size() < defaultMaxRecordBytes);
    scheduler().progressStored(changed.front());
    fixture.addWorker(1);
    CHECK_EQUAL(0, fixture.planStarts().size());
    changed = scheduler().takeChangedJobs();
    CHECK_EQUAL(1, changed.size());
    scheduler().progressStored(changed.front());
    CHECK(!fixture.planStarts().empty());
}
