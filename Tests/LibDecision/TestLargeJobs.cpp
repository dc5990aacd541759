#include "TaskSchedulerFixture.h"
#include <LibPlatform/RecordLimits.h>
#include <LibWire/ValueCodec.h>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <vector>

using namespace Bergamot;

/// Jobs with as many tasks as a job may have, and two workers that take 64 of them.
TEST_GROUP(LargeJobs)
{
    static constexpr uint32_t jobs { 24 };
    static constexpr uint32_t tasksPerStep { 10'000 };
    static constexpr size_t capacity { 64 };
    static constexpr size_t maxTasksInMemory { 2 * capacity };
    TaskSchedulerFixture fixture;

    static void addWorkers(TaskSchedulerFixture & to)
    {
        for (WorkerHandle handle = 1; handle <= 2; ++handle) {
            to.addWorker(handle);
            to.scheduler().setReachable(handle, true, to.now());
        }
    }

    /// Adds a reachable worker with an id and a start time as long as those of a platform.
    static void addPlatformWorker(TaskSchedulerFixture & to, WorkerHandle handle, int64_t cpuMillis)
    {
        TaskWorkerView view { .id = "i-" + std::to_string(handle + 10'000'000), .service = "token", .zone = "a" };
        view.startedAtMs = 1'796'000'000'000 + handle;
        view.capacity = { cpuMillis, cpuMillis, 0 };
        to.scheduler().updateWorker(handle, view);
        to.scheduler().setReachable(handle, true, to.now());
    }

    static void end(TaskSchedulerFixture & in, const std::vector<StartTask>& starts, RunOutcome outcome)
    {
        for (const auto& start : starts)
            in.endRun(start, outcome);
    }
};

// Guards against leaders that exceed their memory because jobs have many tasks that wait, or that are done (issue 70),
// under a new leader too.
TEST(LargeJobs, TasksThatWaitOrAreDoneAreNotHeldInMemory)
{
    TaskSchedulerFixture successor(2);
    std::map<JobId, JobProgress> records;
    for (auto* leader : { &fixture, &successor }) {
        addWorkers(*leader);
        for (uint32_t i = 0; i < jobs; ++i) {
            auto id = "j" + std::to_string(i);
            auto stored = records.contains(id) ? std::optional(records.at(id)) : std::nullopt;
            std::vector<StepSpec> steps(5, TaskSchedulerFixture::step(tasksPerStep));
            leader->scheduler().addJob(TaskSchedulerFixture::job(id, steps), stored, neverInstant);
        }
        for (int round = 0; round < 20; ++round) {
            auto starts = leader->planStarts();
            CHECK_EQUAL(capacity, starts.size());
            CHECK_COMPARE(leader->scheduler().tasksInMemory(), <=, maxTasksInMemory);
            end(*leader, starts, RunOutcome::Done);
            leader->advance(Milliseconds { 100 });
        }
        for (const auto& progress : leader->scheduler().takeChangedJobs())
            records.insert_or_assign(progress.id, progress);
    }
}

// Guards against the same with long-running tasks, the waiting ones of which are stored as idle.
TEST(LargeJobs, IdleTasksInMemoryAreBounded)
{
    constexpr size_t maxIdleTasksOfJob { 4000 };
    addWorkers(fixture);
    auto step = TaskSchedulerFixture::step(tasksPerStep);
    step.longRunning = true;
    fixture.scheduler().addJob(
        TaskSchedulerFixture::job("j", std::vector<StepSpec>(5, step)), std::nullopt, neverInstant);
    fixture.plan();
    fixture.advance(Milliseconds { 1000 });
    fixture.scheduler().recordIdleTasks(fixture.now(), [](const TaskRef&) { return false; });
    CHECK_COMPARE(fixture.scheduler().tasksInMemory(), <=, maxIdleTasksOfJob + maxTasksInMemory);
}

// Guards against tasks that are left out or run again because they have no state of their own: some fail, some are lost
// with their worker, and a new leader takes over.
TEST(LargeJobs, EachTaskIsDoneOnce)
{
    std::map<uint32_t, uint32_t> done;
    std::optional<JobProgress> stored;
    for (uint64_t epoch = 1; epoch <= 3; ++epoch) {
        TaskSchedulerFixture leader(epoch);
        addWorkers(leader);
        leader.scheduler().addJob(
            TaskSchedulerFixture::job("j", { TaskSchedulerFixture::step(1000) }), stored, neverInstant);
        std::set<uint32_t> failed;
        for (int round = 0; round < (epoch == 3 ? 100 : 6); ++round) {
            for (const auto& start : leader.planStarts()) {
                bool fails = start.task.index % 97 == 0 && failed.insert(start.task.index).second && epoch == 2;
                if (start.task.index % 89 == 0 && round == 3) {
                    leader.scheduler().startRefused(start.worker, start.task, start.run,
                        TaskScheduler::StartRefusal::InsufficientResources, leader.now());
                    continue;
                }
                leader.endRun(start, fails ? RunOutcome::Failed : RunOutcome::Done);
                if (!fails)
                    ++done[start.task.index];
            }
            leader.advance(Milliseconds { 1000 });
        }
        for (const auto& progress : leader.scheduler().takeChangedJobs())
            stored = progress;
    }
    CHECK_EQUAL(1000, done.size());
    for (const auto& [index, times] : done)
        CHECK_EQUAL(1, times);
    CHECK(stored->state == JobStage::Completed);
}

// Guards against a record of failed runs that the store refuses for good (review/7), and against one that leaves out
// those of the tasks that may start the fewest times.
TEST(LargeJobs, RecordOfManyFailedRunsStaysWithinTheLimit)
{
    constexpr uint32_t steps { 3 };
    constexpr uint32_t failedTwice { 20 };
    fixture.scheduler().setQueues({ { "quick", { .service = "token", .maxAttempts = 4, .stretch = 1.5 } } });
    fixture.addWorker(1, { 40'000'000, 40'000'000, 0 });
    fixture.scheduler().setReachable(1, true, fixture.now());
    fixture.scheduler().addJob(
        TaskSchedulerFixture::job("j", std::vector<StepSpec>(steps, TaskSchedulerFixture::step(tasksPerStep))),
        std::nullopt, neverInstant);
    auto starts = fixture.planStarts();
    CHECK_EQUAL(steps * tasksPerStep, starts.size());
    end(fixture, starts, RunOutcome::Failed);
    fixture.advance(Milliseconds { 10'000 });
    auto restarts = fixture.planStarts();
    restarts.resize(failedTwice);
    for (const auto& start : restarts)
        fixture.endRun(start, RunOutcome::Failed, 2);
    auto changed = fixture.scheduler().takeChangedJobs();
    CHECK_EQUAL(1, changed.size());
    CHECK_COMPARE(encodeValue(changed.front()).size(), <, defaultMaxRecordBytes);
    std::map<std::pair<uint32_t, uint32_t>, uint32_t> failures;
    for (const auto& failed : changed.front().failedRuns)
        ++failures[{ failed.step, failed.index }];
    for (const auto& start : restarts) {
        std::pair key { start.task.step, start.task.index };
        CHECK_EQUAL(2, failures[key]);
    }
}

// Guards against a record that the store refuses for good (review/7), because a new leader that has lost a worker
// records each first start of a large job, and against tasks that never start because of that.
TEST(LargeJobs, RecordOfStartsAfterALostWorkerStaysWithinTheLimit)
{
    TaskSchedulerFixture successor(2);
    auto& scheduler = successor.scheduler();
    addPlatformWorker(successor, 1, 40'000'000);
    scheduler.addJob(TaskSchedulerFixture::job("j", { TaskSchedulerFixture::step(tasksPerStep) }), std::nullopt,
        successor.now() + Milliseconds { 5000 });
    successor.plan();
    scheduler.inheritedWorkerLost();
    scheduler.unblockTasks();
    size_t done = 0;
    for (int round = 0; round < 100 && done < tasksPerStep; ++round) {
        successor.plan();
        for (const auto& progress : scheduler.takeChangedJobs()) {
            CHECK_COMPARE(encodeValue(progress).size(), <, defaultMaxRecordBytes);
            scheduler.progressStored(progress);
        }
        auto starts = successor.planStarts();
        end(successor, starts, RunOutcome::Done);
        done += starts.size();
        successor.advance(Milliseconds { 100 });
    }
    CHECK_EQUAL(tasksPerStep, done);
}

// Guards against the same because many workers that run tasks of one job refuse connections.
TEST(LargeJobs, RecordOfRunsOnManyCrashedWorkersStaysWithinTheLimit)
{
    constexpr WorkerHandle workers { 100 };
    for (WorkerHandle handle = 1; handle <= workers; ++handle)
        addPlatformWorker(fixture, handle, 100'000);
    fixture.scheduler().addJob(
        TaskSchedulerFixture::job("j", { TaskSchedulerFixture::step(tasksPerStep) }), std::nullopt, neverInstant);
    CHECK_EQUAL(tasksPerStep, fixture.planStarts().size());
    for (WorkerHandle handle = 1; handle <= workers; ++handle)
        fixture.scheduler().suspectCrash(handle, fixture.now());
    auto changed = fixture.scheduler().takeChangedJobs();
    CHECK_EQUAL(1, changed.size());
    CHECK(!changed.front().crashedRuns.empty());
    CHECK_COMPARE(encodeValue(changed.front()).size(), <, defaultMaxRecordBytes);
}
