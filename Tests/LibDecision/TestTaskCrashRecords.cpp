#include "TaskSchedulerFixture.h"
#include <algorithm>

using namespace Bergamot;

// The record of a crash is neither lost nor unresolved for ever, whatever the leader learns first.

static constexpr Milliseconds leaseTime { 5300 };

TEST_GROUP(TaskCrashRecords)
{
    TaskSchedulerFixture fixture;
    TaskScheduler& scheduler { fixture.scheduler() };
    WorkerHandle lastWorker { 0 };

    static void addWorker(TaskScheduler & scheduler, WorkerHandle handle)
    {
        TaskWorkerView view { .id = "w" + std::to_string(handle),
            .startedAtMs = 1000 + static_cast<int64_t>(handle),
            .service = "token",
            .zone = "a" };
        view.capacity = { 32000, 125000, 0 };
        scheduler.updateWorker(handle, view);
    }

    static void storeProgress(TaskScheduler & scheduler)
    {
        for (const auto& progress : scheduler.takeChangedJobs())
            scheduler.progressStored(progress);
    }

    /// Returns the first starts of the next 3 s, which are all accepted.
    static std::vector<StartTask> awaitStarts(TaskSchedulerFixture & fixture, bool isStoreUp = true)
    {
        for (int i = 0; i < 30; ++i) {
            if (isStoreUp)
                storeProgress(fixture.scheduler());
            auto starts = fixture.planStarts();
            for (const auto& it : starts)
                fixture.scheduler().commandAccepted(it.worker, it.task, it.run, fixture.now());
            if (!starts.empty())
                return starts;
            fixture.advance(Milliseconds { 100 });
        }
        return {};
    }

    static void refuseConnections(TaskSchedulerFixture & fixture, WorkerHandle worker)
    {
        fixture.scheduler().setReachable(worker, false, fixture.now());
        fixture.scheduler().suspectCrash(worker, fixture.now());
    }
};

// Guards against a crash under a gang that is forgotten when the other members end, as its worker is back after its
// lease.
TEST(TaskCrashRecords, GangWhoseWorkerComesBackLateIsGivenUp)
{
    for (lastWorker = 1; lastWorker <= 6; ++lastWorker)
        addWorker(scheduler, lastWorker);
    auto step = fixture.step(3);
    step.gang = true;
    step.maxPerWorker = 1;
    scheduler.addJob(fixture.job("g", { step }), std::nullopt, neverInstant);
    size_t attempts = 0;
    for (; attempts < 12; ++attempts) {
        auto gang = awaitStarts(fixture);
        if (gang.empty())
            break;
        fixture.advance(Milliseconds { 300 });
        auto crashed = gang[2].worker;
        refuseConnections(fixture, crashed);
        storeProgress(scheduler);
        fixture.endRun(gang[0], RunOutcome::GangBroken);
        fixture.endRun(gang[1], RunOutcome::GangBroken);
        storeProgress(scheduler);
        fixture.advance(leaseTime);
        scheduler.markRunsLost(crashed, fixture.now());
        fixture.advance(Milliseconds { 2700 });
        scheduler.removeWorker(crashed, WorkerEnd::Crashed, fixture.now());
        addWorker(scheduler, lastWorker++);
    }
    storeProgress(scheduler);
    CHECK(scheduler.stateOf("g") == JobStage::Failed);
    CHECK_COMPARE(attempts, <=, 5);
}

// Guards against a start whose crash is lost with the leader, because the crash before it was noticed late and did not
// count as directly after its start.
TEST(TaskCrashRecords, StartAfterACrashOfASilentWorkerIsRecordedFirst)
{
    for (lastWorker = 1; lastWorker <= 6; ++lastWorker)
        addWorker(scheduler, lastWorker);
    scheduler.addJob(fixture.job("j", { fixture.step(1) }), std::nullopt, neverInstant);
    auto first = awaitStarts(fixture);
    CHECK_EQUAL(1, first.size());
    fixture.advance(Milliseconds { 2500 });
    refuseConnections(fixture, first[0].worker);
    storeProgress(scheduler);
    scheduler.removeWorker(first[0].worker, WorkerEnd::Crashed, fixture.now());
    CHECK(awaitStarts(fixture, false).empty());
    CHECK_EQUAL(1, awaitStarts(fixture).size());
    CHECK_EQUAL(2, scheduler.timelineOf("j")->crashedRuns.size());
}

// Guards against a first start under a new leader whose crash is lost with it, after an earlier crash that was lost
// with the leader before.
TEST(TaskCrashRecords, FirstStartAfterAnInheritedLossIsRecordedFirst)
{
    for (lastWorker = 1; lastWorker <= 6; ++lastWorker)
        addWorker(scheduler, lastWorker);
    scheduler.addJob(fixture.job("inherited", { fixture.step(1) }), std::nullopt, fixture.now() + Milliseconds { 50 });
    fixture.plan();
    scheduler.inheritedWorkerLost();
    fixture.plan();
    scheduler.addJob(fixture.job("new", { fixture.step(1) }), std::nullopt, neverInstant);
    fixture.advance(Milliseconds { 100 });
    auto starts = awaitStarts(fixture, false);
    CHECK_EQUAL(1, starts.size());
    STRCMP_EQUAL("new", starts[0].task.job.c_str());
    starts = awaitStarts(fixture);
    CHECK_EQUAL(1, starts.size());
    STRCMP_EQUAL("inherited", starts[0].task.job.c_str());
}

// Guards against the same when the tasks may start before the session of the lost worker takes its lease for expired.
TEST(TaskCrashRecords, FirstStartAfterTheWaitForEarlierLeasesIsRecordedFirst)
{
    for (lastWorker = 1; lastWorker <= 6; ++lastWorker)
        addWorker(scheduler, lastWorker);
    scheduler.addJob(fixture.job("inherited", { fixture.step(1) }), std::nullopt, fixture.now() + Milliseconds { 50 });
    fixture.plan();
    fixture.advance(Milliseconds { 100 });
    CHECK(awaitStarts(fixture, false).empty());
    CHECK_EQUAL(1, awaitStarts(fixture).size());
}

// Guards against an innocent task that is given up for a start that a silent worker never received: when its lease
// expires, the record made before the start would say that the worker crashed at once.
TEST(TaskCrashRecords, UnansweredStartOfASuspectIsKnownAsSuchAfterTheLease)
{
    for (lastWorker = 1; lastWorker <= 6; ++lastWorker)
        addWorker(scheduler, lastWorker);
    JobProgress stored { .id = "j", .state = JobStage::Running, .done = { "0" } };
    stored.crashedRuns = { { .run = 1, .worker = "w7", .workerStartedAtMs = 7, .confirmed = true } };
    scheduler.addJob(fixture.job("j", { fixture.step(1) }), stored, neverInstant);
    fixture.plan();
    storeProgress(scheduler);
    auto starts = fixture.planStarts();
    CHECK_EQUAL(1, starts.size());
    auto worker = starts[0].worker;
    constexpr Milliseconds timeUntilNoticed { 1800 };
    fixture.advance(timeUntilNoticed);
    scheduler.setReachable(worker, false, fixture.now());
    fixture.advance(leaseTime);
    scheduler.suspectCrash(worker, fixture.now());
    scheduler.markRunsLost(worker, fixture.now());
    scheduler.removeWorker(worker, WorkerEnd::Crashed, fixture.now());
    auto timeline = scheduler.timelineOf("j");
    CHECK(timeline.has_value());
    CHECK(timeline->crashedRuns.size() == 2);
    CHECK(timeline->crashedRuns[1].unanswered);
    CHECK(Milliseconds { timeline->crashedRuns[1].runTimeMs } == timeUntilNoticed);
}

// Guards against an end that is stored again for each crash that is confirmed after it (issue 45).
TEST(TaskCrashRecords, EndedJobIsNotStoredAgain)
{
    for (lastWorker = 1; lastWorker <= 6; ++lastWorker)
        addWorker(scheduler, lastWorker);
    scheduler.addJob(fixture.job("j", { fixture.step(1) }), std::nullopt, neverInstant);
    auto runs = awaitStarts(fixture);
    CHECK_EQUAL(1, runs.size());
    fixture.advance(Milliseconds { 100 });
    refuseConnections(fixture, runs[0].worker);
    storeProgress(scheduler);
    scheduler.cancelJob("j");
    auto ends = scheduler.takeChangedJobs();
    CHECK_EQUAL(1, ends.size());
    scheduler.removeWorker(runs[0].worker, WorkerEnd::Crashed, fixture.now());
    fixture.advance(Milliseconds { 2000 });
    fixture.plan();
    CHECK(scheduler.takeChangedJobs().empty());
    scheduler.progressStored(ends[0]);
    CHECK(scheduler.stateOf("j") == JobStage::Cancelled);
}

// Guards against an end that is logged without its cause, because a run that is being stopped clears its task.
TEST(TaskCrashRecords, CrashesOfAnEndedJobAreKeptForItsLog)
{
    for (lastWorker = 1; lastWorker <= 6; ++lastWorker)
        addWorker(scheduler, lastWorker);
    JobProgress stored { .id = "j", .state = JobStage::Running, .done = { "0" } };
    stored.crashedRuns = { { .run = 1, .worker = "w7", .workerStartedAtMs = 7, .confirmed = true } };
    scheduler.addJob(fixture.job("j", { fixture.step(1) }), stored, neverInstant);
    auto runs = awaitStarts(fixture);
    CHECK_EQUAL(1, runs.size());
    scheduler.cancelJob("j");
    fixture.advance(Milliseconds { 5000 });
    scheduler.runsReported(runs[0].worker, { { .task = runs[0].task, .run = runs[0].run } }, RunEndCoverage::All,
        fixture.now(), fixture.now());
    auto timeline = scheduler.timelineOf("j");
    CHECK(timeline.has_value());
    CHECK(timeline->crashedRuns.size() == 2);
}

// Guards against crashes some time after the start that are lost with the leader, because it went on without the store.
TEST(TaskCrashRecords, CrashesDuringAStoreOutageOutliveTheLeader)
{
    TaskSchedulerFixture successor { 2 };
    size_t starts = 0;
    for (auto* leader : { &fixture, &successor }) {
        for (lastWorker = 1; lastWorker <= 6; ++lastWorker)
            addWorker(leader->scheduler(), lastWorker);
        leader->scheduler().addJob(fixture.job("j", { fixture.step(1) }), std::nullopt, neverInstant);
        for (int i = 0; i < 8; ++i) {
            auto runs = awaitStarts(*leader, leader == &successor);
            if (runs.empty())
                break;
            ++starts;
            leader->advance(Milliseconds { 700 });
            refuseConnections(*leader, runs[0].worker);
            leader->scheduler().removeWorker(runs[0].worker, WorkerEnd::Crashed, leader->now());
        }
    }
    storeProgress(successor.scheduler());
    CHECK(successor.scheduler().stateOf("j") == JobStage::Failed);
    CHECK_COMPARE(starts, <=, 5);
}

// Guards against a task that never starts again because workers that refuse connections stay listed.
TEST(TaskCrashRecords, TaskDoesNotWaitForEverForWorkersThatRefuseConnections)
{
    for (lastWorker = 1; lastWorker <= 6; ++lastWorker)
        addWorker(scheduler, lastWorker);
    scheduler.addJob(fixture.job("j", { fixture.step(1) }), std::nullopt, neverInstant);
    for (int i = 0; i < 4; ++i) {
        auto runs = awaitStarts(fixture);
        CHECK_EQUAL(1, runs.size());
        fixture.advance(Milliseconds { 1000 });
        refuseConnections(fixture, runs[0].worker);
        fixture.advance(leaseTime);
        scheduler.markRunsLost(runs[0].worker, fixture.now());
    }
    size_t starts = 0;
    for (int i = 0; i < 20 && starts == 0; ++i)
        starts = awaitStarts(fixture).size();
    CHECK_EQUAL(1, starts);
}

// Guards against a small service that starts nothing while isolated starts wait for the store.
TEST(TaskCrashRecords, IsolatedStartsThatWaitForTheStoreHoldNotAllWorkers)
{
    addWorker(scheduler, 1);
    addWorker(scheduler, 2);
    for (const auto* id : { "j", "k" }) {
        JobProgress stored { .id = id, .state = JobStage::Running, .done = { "0" } };
        stored.crashedRuns = { { .run = 1, .worker = "w7", .workerStartedAtMs = 7, .confirmed = true },
            { .run = 2, .worker = "w8", .workerStartedAtMs = 8, .confirmed = true } };
        scheduler.addJob(fixture.job(id, { fixture.step(1) }), stored, neverInstant);
    }
    fixture.plan();
    scheduler.addJob(fixture.job("other", { fixture.step(1) }), std::nullopt, neverInstant);
    CHECK_EQUAL(1, awaitStarts(fixture, false).size());
}

// Guards against a suspected gang that starves on busy workers, because one worker is held for all of its members.
TEST(TaskCrashRecords, SuspectedGangRunsOnBusyWorkers)
{
    for (lastWorker = 1; lastWorker <= 4; ++lastWorker)
        addWorker(scheduler, lastWorker);
    auto step = fixture.step(3);
    step.gang = true;
    step.maxPerWorker = 1;
    JobProgress stored { .id = "g", .state = JobStage::Running, .done = { "000" } };
    stored.crashedRuns = { { .run = 1, .worker = "w7", .workerStartedAtMs = 7, .confirmed = true },
        { .run = 2, .worker = "w8", .workerStartedAtMs = 8, .confirmed = true } };
    scheduler.addJob(fixture.job("g", { step }), stored, neverInstant);
    std::vector<StartTask> others;
    size_t members = 0;
    for (int i = 0; i < 300 && members < 3; ++i) {
        scheduler.addJob(fixture.job("k" + std::to_string(i), { fixture.step(4) }), std::nullopt, neverInstant);
        storeProgress(scheduler);
        for (const auto& start : fixture.planStarts()) {
            scheduler.commandAccepted(start.worker, start.task, start.run, fixture.now());
            if (start.task.job == "g")
                ++members;
            else
                others.push_back(start);
        }
        for (; others.size() > 40; others.erase(others.begin()))
            fixture.endRun(others.front(), RunOutcome::Done);
        fixture.advance(Milliseconds { 100 });
    }
    CHECK_EQUAL(3, members);
}
