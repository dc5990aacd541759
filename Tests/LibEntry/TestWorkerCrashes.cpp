#include "ClusterChecks.h"
#include <CppUTest/TestHarness.h>

using namespace Bergamot;
using namespace std::chrono_literals;

TEST_GROUP(WorkerCrashes)
{
    static constexpr Milliseconds downTime { 8000 };
    static constexpr int64_t maxStarts { 6 };
    VirtualCluster cluster { {} };

    void setup() override
    {
        CHECK(cluster.runUntil(10s, [&] { return cluster.leader() && cluster.image().workers.size() == 6; }));
        cluster.publishConfig();
        CHECK(cluster.runUntil(5s, [&] { return cluster.leader() && cluster.leader()->config(); }));
        CHECK(cluster.runUntil(
            10s, [&] { return cluster.leader() && cluster.leader()->membership().voters().size() == 3; }));
    }

    int64_t startsOf(const JobId& job)
    {
        auto records = cluster.records();
        return std::ranges::count_if(records.tasks, [&](const auto& task) { return task.task.job == job; });
    }

    const JobState& jobState(const JobId& id) { return cluster.image().jobs.at(id); }

    /// Calls `fault` with each worker on which the job has run for 1.5 s.
    void failWorkersOf(const JobId& job, const std::function<void(const WorkerId&)>& fault)
    {
        constexpr int64_t runMs = 1500;
        for (const auto& task : cluster.records().tasks) {
            if (task.task.job == job && !task.endMs
                && cluster.events.now().time_since_epoch().count() - task.startMs >= runMs)
                fault(task.worker);
        }
    }

    /// Crashes each worker on which the job runs. False when the job has not ended within `limit`.
    bool crashWorkersUntilEnd(const JobId& job, Milliseconds limit)
    {
        return cluster.runUntil(limit, [&] {
            failWorkersOf(job, [&](const WorkerId& worker) { cluster.crashWorker(worker, downTime); });
            auto it = cluster.image().jobs.find(job);
            return it != cluster.image().jobs.end() && it->second.hasEnded();
        });
    }
};

// Guards against a job that crashes one worker after the other without bound (BUDGET).
TEST(WorkerCrashes, DeadlyJobIsGivenUp)
{
    cluster.submitJob("deadly", 60'000);
    CHECK(crashWorkersUntilEnd("deadly", 600s));
    CHECK(jobState("deadly").phase == JobPhase::Failed);
    STRCMP_CONTAINS("crash", jobState("deadly").result.c_str());
    CHECK(startsOf("deadly") <= maxStarts);
}

// Guards against the same loop where the worker crashes before it has replied to the start.
TEST(WorkerCrashes, JobThatCrashesWorkersAtItsStartIsGivenUp)
{
    cluster.jobsCrashingAtStart = { "deadly" };
    cluster.submitJob("deadly", 60'000);
    CHECK(crashWorkersUntilEnd("deadly", 600s));
    CHECK(jobState("deadly").phase == JobPhase::Failed);
    CHECK(startsOf("deadly") <= maxStarts);
}

// Guards against crashes that are forgotten when the leader changes or all members restart.
TEST(WorkerCrashes, CrashesAreCountedAcrossRestarts)
{
    cluster.submitJob("deadly", 60'000);
    for (int i = 0; i < 40 && !cluster.image().jobs.contains("deadly"); ++i)
        cluster.run(100ms);
    for (uint32_t crashes = 1; crashes <= 2; ++crashes) {
        CHECK(cluster.runUntil(120s, [&] {
            failWorkersOf("deadly", [&](const WorkerId& worker) { cluster.crashWorker(worker, downTime); });
            return jobState("deadly").crashes == crashes;
        }));
        for (const char* member : { "e1", "e2", "e3" })
            cluster.kill(member);
        for (const char* member : { "e1", "e2", "e3" })
            cluster.start(member);
        CHECK(cluster.runUntil(60s, [&] { return cluster.leader() && cluster.image().jobs.contains("deadly"); }));
        LONGS_EQUAL(crashes, jobState("deadly").crashes);
    }
    CHECK(crashWorkersUntilEnd("deadly", 300s));
    CHECK(jobState("deadly").phase == JobPhase::Failed);
    CHECK(jobState("deadly").crashes <= 3);
    CHECK(startsOf("deadly") <= maxStarts);
}

// Guards against a job that is given up because its workers were cut off, or their leases lapsed, while it ran there.
TEST(WorkerCrashes, CutsAreNoCrashes)
{
    cluster.submitJob("j", 200'000);
    for (int cuts = 0; cuts < 4; ++cuts) {
        CHECK(cluster.runUntil(200s, [&] {
            failWorkersOf("j", [&](const WorkerId& worker) { cluster.unreachableWorkers = { worker }; });
            return !cluster.unreachableWorkers.empty();
        }));
        cluster.run(cuts % 2 == 0 ? 8s : 90s);
        cluster.unreachableWorkers = {};
        cluster.run(5s);
    }
    CHECK(cluster.runUntil(900s, [&] { return cluster.allJobsEnded(); }));
    CHECK(jobState("j").phase == JobPhase::Completed);
    LONGS_EQUAL(0, jobState("j").crashes);
    STRCMP_EQUAL("", findViolations(cluster).c_str());
}

// Guards against blaming a job for a loss without proof that the worker's process has ended: the worker was silent, and
// does not know its tasks any more.
TEST(WorkerCrashes, SilentLossesAreNoCrashes)
{
    cluster.submitJob("j", 20'000);
    for (int losses = 0; losses < 4; ++losses) {
        CHECK(cluster.runUntil(200s, [&] {
            failWorkersOf("j", [&](const WorkerId& worker) {
                cluster.unreachableWorkers = { worker };
                cluster.worker(worker).restart(cluster.events.now());
            });
            return !cluster.unreachableWorkers.empty();
        }));
        cluster.run(downTime);
        cluster.unreachableWorkers = {};
    }
    CHECK(cluster.runUntil(300s, [&] { return cluster.allJobsEnded(); }));
    CHECK(jobState("j").phase == JobPhase::Completed);
    LONGS_EQUAL(0, jobState("j").crashes);
}

// Guards against blaming a job for the refused connections of a worker that runs on, such as behind a full queue of
// connections.
TEST(WorkerCrashes, RefusedConnectionsOfARunningWorkerAreNoCrashes)
{
    cluster.submitJob("j", 60'000);
    bool refused = false;
    CHECK(cluster.runUntil(60s, [&] {
        failWorkersOf("j", [&](const WorkerId& worker) {
            cluster.refusingWorkers = { worker };
            refused = true;
        });
        return refused;
    }));
    cluster.run(4s);
    cluster.refusingWorkers = {};
    CHECK(cluster.runUntil(300s, [&] { return cluster.allJobsEnded(); }));
    CHECK(jobState("j").phase == JobPhase::Completed);
    LONGS_EQUAL(0, jobState("j").crashes);
    LONGS_EQUAL(1, startsOf("j"));
}
