#include "TaskSchedulerFixture.h"
#include <CppUTest/TestHarness.h>
#include <optional>
#include <vector>

using namespace Bergamot;

TEST_GROUP(PlacementRecords)
{
    static constexpr Milliseconds leaseWait { 5300 };

    const TaskRef task { .job = "j" };
    bool mayStartLate { false };
    TaskScheduler scheduler {
        { .epoch = 2, .recordsPlacements = true, .mayStartLate = [this](const TaskRef&) { return mayStartLate; } }
    };
    const Instant now { epochInstant + Milliseconds { 1000 } };

    void setup() override
    {
        scheduler.setQueues({ { "batch", { .service = "s", .maxAttempts = 3 } } });
        for (WorkerHandle handle : { 1, 2 }) {
            scheduler.updateWorker(
                handle, { .id = nameOf(handle), .service = "s", .zone = "z", .capacity = { 4000, 8192, 0 } });
            scheduler.setReachable(handle, true, now);
        }
    }

    static WorkerId nameOf(WorkerHandle handle) { return "w" + std::to_string(handle); }

    static JobSpec lastingJob()
    {
        return { .id = "j",
            .queue = "batch",
            .steps = { { .size = { 1000, 128, 0 }, .estimateMs = 1000, .longRunning = true } } };
    }

    std::vector<StartTask> planStarts()
    {
        std::vector<StartTask> starts;
        for (const auto& action : scheduler.plan(now, 1000)) {
            if (const auto* start = std::get_if<StartTask>(&action))
                starts.push_back(*start);
        }
        return starts;
    }

    void addNewJob() { scheduler.addJob(lastingJob(), {}, neverInstant, now); }

    void inherit(std::optional<JobProgress> stored, bool isReliable)
    {
        scheduler.addJob(lastingJob(), std::move(stored), now + leaseWait, now, { .placements = isReliable });
    }

    static JobProgress storedOn(const WorkerId& worker)
    {
        return {
            .id = "j", .state = JobStage::Running, .done = { "0" }, .epoch = 1, .placedTasks = { { .worker = worker } }
        };
    }

    std::vector<PlacedTask> storeProgress()
    {
        auto changed = scheduler.takeChangedJobs();
        if (changed.empty())
            return {};
        scheduler.progressStored(changed.front());
        return changed.front().placedTasks;
    }

    /// Lets tasks start that wait for none of these workers.
    void unblockBut(const std::set<WorkerId>& unsettled)
    {
        scheduler.unblockPlacedTasks([&](const WorkerId& id) { return unsettled.contains(id); });
    }
};

// Guards against a start that a new leader does not know of, because its record is not stored.
TEST(PlacementRecords, StartWaitsUntilItsRecordIsStored)
{
    addNewJob();
    CHECK_EQUAL(0, planStarts().size());
    auto placed = storeProgress();
    auto starts = planStarts();
    CHECK_EQUAL(1, starts.size());
    CHECK_EQUAL(1, placed.size());
    STRCMP_EQUAL(nameOf(starts.front().worker).c_str(), placed.front().worker.c_str());
}

// Guards against a start that a new leader does not know of, because its record was left out as too large.
TEST(PlacementRecords, StartWaitsForTheRecordAfterOneThatWasLeftOut)
{
    addNewJob();
    planStarts();
    CHECK_EQUAL(1, scheduler.takeChangedJobs().size());
    scheduler.progressOmitted("j");
    CHECK_EQUAL(0, planStarts().size());
    scheduler.cancelJob("j");
    auto end = scheduler.takeChangedJobs();
    CHECK_EQUAL(1, end.size());
    CHECK_TRUE(scheduler.progressStored(end.front()));
}

// Guards against a task that waits for workers on which it cannot run (issue 61).
TEST(PlacementRecords, TaskWaitsForItsRecordedWorkerOnly)
{
    inherit(storedOn("w1"), true);
    unblockBut({ "w1" });
    CHECK_EQUAL(0, planStarts().size());
    CHECK(scheduler.takeChangedJobs().empty());
    unblockBut({ "w2" });
    auto starts = planStarts().size();
    storeProgress();
    CHECK_EQUAL(1, starts + planStarts().size());
}

// Guards against a second run: a leader in between may have started the task without a record.
TEST(PlacementRecords, UnreliablePlacementIsWaitedForLikeAnyTask)
{
    inherit(storedOn("w1"), false);
    unblockBut({});
    CHECK_EQUAL(0, planStarts().size());
    CHECK(storeProgress().empty());
    scheduler.unblockTasks();
    planStarts();
    CHECK_EQUAL(1, storeProgress().size());
    CHECK_EQUAL(1, planStarts().size());
}

// Guards against a new job that waits for workers although no leader can have started it.
TEST(PlacementRecords, JobWithoutAnyRecordHasNotBeenStarted)
{
    inherit({}, true);
    planStarts();
    storeProgress();
    CHECK_EQUAL(1, planStarts().size());
}

// Guards against a second run: an earlier start of the task may be executed on another worker.
TEST(PlacementRecords, TaskThatMayStartLateElsewhereIsStoredWithoutAWorker)
{
    mayStartLate = true;
    addNewJob();
    CHECK_EQUAL(0, planStarts().size());
    auto changed = scheduler.takeChangedJobs();
    CHECK_EQUAL(1, changed.size());
    CHECK(changed.front().placedTasks.empty());
    scheduler.progressStored(changed.front());
    CHECK_EQUAL(1, planStarts().size());
}

// Guards against an append for each restart of a task on its worker.
TEST(PlacementRecords, RestartOnTheSameWorkerNeedsNoRecord)
{
    scheduler.setReachable(2, false, now);
    addNewJob();
    planStarts();
    storeProgress();
    auto start = planStarts().front();
    scheduler.commandAccepted(start.worker, start.task, start.run, now);
    scheduler.runEnded(
        start.worker, { .sequence = 1, .task = start.task, .run = start.run, .outcome = RunOutcome::Done }, now);
    CHECK_EQUAL(1, planStarts().size());
}

// Guards against tasks of earlier versions that wait for all workers under each later leader.
TEST(PlacementRecords, RunOfAnEarlierVersionIsRecordedOnceItCannotRunElsewhere)
{
    inherit(JobProgress { .id = "j", .state = JobStage::Running, .done = { "0" } }, false);
    scheduler.runsReported(1, { { .task = task, .run = 100001, .progressPercent = 5 } }, RunEndCoverage::All, now, now);
    CHECK(storeProgress().empty());
    scheduler.unblockTasks();
    auto placed = storeProgress();
    CHECK_EQUAL(1, placed.size());
    STRCMP_EQUAL("w1", placed.front().worker.c_str());
}

// Guards against a task whose later leaders wait for all workers for as long as its run lasts: a late start that could
// have run it elsewhere when it started is over.
TEST(PlacementRecords, RunIsRecordedOnceNoLateStartMayRunItElsewhere)
{
    mayStartLate = true;
    addNewJob();
    planStarts();
    storeProgress();
    auto start = planStarts().front();
    scheduler.commandAccepted(start.worker, start.task, start.run, now);
    mayStartLate = false;
    scheduler.runsReported(
        start.worker, { { .task = task, .run = start.run, .progressPercent = 5 } }, RunEndCoverage::All, now, now);
    planStarts();
    auto placed = storeProgress();
    CHECK_EQUAL(1, placed.size());
    STRCMP_EQUAL(nameOf(start.worker).c_str(), placed.front().worker.c_str());
}
