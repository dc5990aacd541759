#include "../CheckProperty.h"
#include "LeaderChain.h"
#include <cstdint>
#include <utility>
#include <vector>

using namespace Bergamot;

namespace {

constexpr Milliseconds warmUp { 5000 };
constexpr Milliseconds searchLimit { 20000 };

/// A long-running task waits this long to leave headroom for short tasks, and then goes before them.
constexpr Milliseconds headroomWait { 2500 };

/// Time in which a piece of room becomes free for a task that goes before others.
constexpr Milliseconds timeForRoom { 700 };

constexpr int64_t cpuMillis { 1000 };
const TaskRef lasting { .job = "lasting" };

/// The times for which leaders lead; the last one stays.
std::vector<Milliseconds> randomLeaders(int64_t minMs, int64_t maxMs)
{
    constexpr int maxLeaders { 12 };
    auto count = *rc::gen::inRange(1, maxLeaders + 1);
    std::vector<Milliseconds> leaders;
    for (int i = 0; i < count; ++i)
        leaders.emplace_back(*rc::gen::inRange(minMs, maxMs));
    leaders.push_back(searchLimit);
    return leaders;
}

}

TEST_GROUP(WaitsAcrossLeaders)
{
    /// More short tasks wait than have room at once, also when all workers answer a new leader.
    LeaderChain chain { { .backlog = 60 } };

    /// Adds the task that lasts, and passes until a worker runs it.
    static WorkerHandle startLasting(LeaderChain & service)
    {
        service.passFor(warmUp);
        service.addJob(lasting.job, { LeaderChain::longRunning(cpuMillis) });
        service.timeUntilRunning(lasting, searchLimit);
        return service.workerOf(lasting);
    }
};

// Guards against a task that has to run again and waits for headroom anew under each leader (LOST, issue 58).
TEST(WaitsAcrossLeaders, LostTaskStartsSoonHoweverManyLeadersFollow)
{
    constexpr int64_t minLeaderMs { 1200 };
    constexpr int64_t maxLeaderMs { 2400 };
    checkProperty("a lost task starts under the first leader that may start it", [&] {
        LeaderChain service({ .seed = *rc::gen::noShrink(rc::gen::arbitrary<uint32_t>()) });
        auto worker = startLasting(service);
        RC_ASSERT(worker != 0);
        service.loseWorker(worker);
        auto time = service.timeUntilRunning(lasting, randomLeaders(minLeaderMs, maxLeaderMs));
        RC_LOG() << "started after " << time.value_or(Milliseconds::max()).count() << " ms\n";
        RC_ASSERT(time.value_or(Milliseconds::max()) <= LeaderChain::settleTime + timeForRoom);
    });
}

// Guards against a large short task that waits as long as leaders change, because each one reserves a worker for it
// only after a wait of its own (issue 58).
TEST(WaitsAcrossLeaders, LargeShortTaskStartsHoweverManyLeadersFollow)
{
    constexpr int64_t largeMillis { 6000 };
    constexpr Milliseconds runTime { 1000 };
    constexpr Milliseconds waitBefore { 9500 };

    /// A new leader looks for room for a second; the worker that it reserves then is empty 1.5 s later.
    constexpr Milliseconds maxWait { 3000 };
    constexpr int64_t minLeaderMs { 3000 };
    constexpr int64_t maxLeaderMs { 4500 };
    checkProperty("a large short task starts under the first leader that may start it", [&] {
        const TaskRef large { .job = "large" };
        LeaderChain service({ .seed = *rc::gen::noShrink(rc::gen::arbitrary<uint32_t>()) });
        service.passFor(warmUp);
        service.addJob(large.job, { { .size = { largeMillis, 500, 0 }, .estimateMs = 1000 } }, runTime);
        service.passFor(waitBefore);
        RC_PRE(service.workerOf(large) == 0);
        auto time = service.timeUntilRunning(large, randomLeaders(minLeaderMs, maxLeaderMs));
        RC_LOG() << "started after " << time.value_or(Milliseconds::max()).count() << " ms\n";
        RC_ASSERT(time.value_or(Milliseconds::max()) <= maxWait);
    });
}

// Guards against short tasks that lose their headroom to the tasks of a new job because the leader changes.
TEST(WaitsAcrossLeaders, TasksOfANewJobLeaveHeadroomUnderANewLeader)
{
    constexpr Milliseconds waitBefore { 500 };
    constexpr uint32_t tasks { 12 };
    chain.passFor(warmUp);
    chain.addJob(lasting.job, { LeaderChain::longRunning(cpuMillis, tasks) });
    chain.passFor(waitBefore);
    chain.elect();
    auto time = waitBefore + chain.timeUntilRunning(lasting, searchLimit);
    CHECK_COMPARE(time.count(), >=, headroomWait.count());
    CHECK_COMPARE(time.count(), <=, (headroomWait + timeForRoom).count());
}

// Guards against short tasks that lose their headroom to a task that was lost under the present leader.
TEST(WaitsAcrossLeaders, TaskThatIsLostUnderANewLeaderLeavesHeadroom)
{
    constexpr Milliseconds timeUntilLoss { 1000 };
    auto worker = startLasting(chain);
    chain.elect();
    chain.passFor(timeUntilLoss);
    CHECK_EQUAL(worker, chain.workerOf(lasting));
    chain.removeWorker(worker);
    auto time = chain.timeUntilRunning(lasting, searchLimit);
    CHECK_COMPARE(time.count(), >=, headroomWait.count());
    CHECK_COMPARE(time.count(), <=, (headroomWait + timeForRoom).count());
}

// Guards against short tasks that lose their headroom to a step that becomes ready under the present leader.
TEST(WaitsAcrossLeaders, StepThatBecomesReadyUnderANewLeaderLeavesHeadroom)
{
    constexpr Milliseconds runTime { 8000 };
    const TaskRef first { .job = lasting.job };
    const TaskRef second { .job = lasting.job, .step = 1 };
    auto lastingStep = LeaderChain::longRunning(cpuMillis);
    lastingStep.dependsOn = { 0 };
    chain.passFor(warmUp);
    chain.addJob(lasting.job, { { .size = { 1000, 500, 0 }, .estimateMs = 8000 }, lastingStep }, runTime);
    chain.timeUntilRunning(first, searchLimit);
    chain.passFor(runTime / 2);
    chain.elect();
    while (chain.workerOf(first) != 0)
        chain.pass();
    auto time = chain.timeUntilRunning(second, searchLimit);
    CHECK_COMPARE(time.count(), >=, headroomWait.count());
}

// Guards against short tasks that lose their headroom to an occurrence that becomes due under the present leader.
TEST(WaitsAcrossLeaders, OccurrenceThatBecomesDueUnderANewLeaderLeavesHeadroom)
{
    constexpr Milliseconds timeUntilDue { 5000 };
    auto job = TaskSchedulerFixture::job(lasting.job, { LeaderChain::longRunning(cpuMillis) });
    job.repeats = 1;
    job.intervalMs = 1000;
    chain.passFor(warmUp);
    auto dueAt = chain.now() + timeUntilDue;
    job.firstDueMs = dueAt.time_since_epoch().count();
    chain.addJob(std::move(job));
    chain.passFor(timeUntilDue / 2);
    chain.elect();
    chain.timeUntilRunning(lasting, searchLimit);
    CHECK_COMPARE((chain.now() - dueAt).count(), >=, headroomWait.count());
    CHECK_COMPARE((chain.now() - dueAt).count(), <=, (headroomWait + timeForRoom).count());
}

// Guards against a task with crashes that starts in a wave of crashes, because a new leader takes its back-off for
// over.
TEST(WaitsAcrossLeaders, NewLeaderDoesNotShortenABackoff)
{
    constexpr Milliseconds step { 50 };

    /// Losses in this time count when a crash is judged.
    constexpr Milliseconds lossWindow { 3750 };
    constexpr uint64_t crashes { 3 };
    TaskSchedulerFixture fixture;
    auto& scheduler = fixture.scheduler();
    fixture.advance(Milliseconds { 600000 });
    JobProgress stored { .id = "j", .state = JobStage::Running, .done = { "0" } };
    for (uint64_t run = 1; run <= crashes; ++run)
        stored.crashedRuns.push_back({ .run = run, .confirmed = true, .otherCrashRate = 0.1, .expectedCrashes = 0.15 });
    scheduler.addJob(fixture.job("j", { fixture.step(1) }), stored, fixture.now() + LeaderChain::leaseTime);
    for (WorkerHandle i = 1; i <= 4; ++i)
        fixture.addWorker(i);
    scheduler.unblockTasks();
    auto startedAt = neverInstant;
    auto electedAt = fixture.now();
    while (startedAt == neverInstant && fixture.now() - electedAt < searchLimit) {
        for (const auto& progress : scheduler.takeChangedJobs())
            scheduler.progressStored(progress);
        if (!fixture.planStarts().empty())
            startedAt = fixture.now();
        fixture.advance(step);
    }
    CHECK_COMPARE((startedAt - electedAt).count(), >=, lossWindow.count());
    CHECK_COMPARE((startedAt - electedAt).count(), <=, (lossWindow + 3 * step).count());
}
