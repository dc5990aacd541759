#include "ClusterChecks.h"
#include <CppUTest/TestHarness.h>
#include <LibDecision/Timing.h>
#include <fmt/format.h>
#include <set>

using namespace Bergamot;
using namespace std::chrono_literals;

namespace {

int64_t countStarts(VirtualCluster& cluster, const JobId& job)
{
    auto records = cluster.records();
    return std::ranges::count_if(records.tasks, [&](const auto& task) { return task.task.job == job; });
}

}

TEST_GROUP(EntryNode)
{
    VirtualCluster cluster { {} };

    void setup() override
    {
        CHECK(cluster.runUntil(10s, [&] { return cluster.leader() && cluster.image().workers.size() == 6; }));
        cluster.publishConfig();
        CHECK(cluster.runUntil(5s, [&] { return cluster.leader() && cluster.leader()->config(); }));
        CHECK(cluster.runUntil(
            10s, [&] { return cluster.leader() && cluster.leader()->membership().voters().size() == 3; }));
    }

    void submitJobs(int count, int64_t runMs, const std::string& kind = "settlement")
    {
        for (int i = 0; i < count; ++i)
            cluster.submitJob(fmt::format("j{}", i), runMs, kind);
    }

    void checkAllJobsComplete(Milliseconds limit)
    {
        CHECK(cluster.runUntil(limit, [&] { return cluster.allJobsEnded(); }));
        for (const auto& [id, job] : cluster.image().jobs)
            if (!job.spec.isService)
                STRCMP_EQUAL_TEXT("completed", std::string(toString(job.phase)).c_str(), id.c_str());
        STRCMP_EQUAL("", findViolations(cluster).c_str());
    }
};

// Guards against a job that is not placed, started or recorded as completed when no fault occurs.
TEST(EntryNode, JobsRunToCompletion)
{
    submitJobs(20, 3000);
    checkAllJobsComplete(60s);
}

// Guards against a takeover that takes longer than 5 s or loses or repeats work.
TEST(EntryNode, TakeoverAfterTheLeaderDies)
{
    submitJobs(10, 20'000);
    cluster.run(3s);
    auto old = cluster.image().leader;
    cluster.kill(old.member);
    CHECK(cluster.runUntil(5s, [&] { return cluster.image().leader.epoch > old.epoch; }));
    checkAllJobsComplete(120s);
    for (int i = 0; i < 10; ++i)
        LONGS_EQUAL(1, countStarts(cluster, fmt::format("j{}", i)));
}

// Guards against decisions of a paused leader that take effect after it resumes, when another member leads.
TEST(EntryNode, PausedLeaderIsFenced)
{
    submitJobs(10, 20'000);
    cluster.run(1s);
    auto old = cluster.image().leader.member;
    cluster.pause(old, 45s);
    cluster.run(20s);
    submitJobs(20, 5000);
    checkAllJobsComplete(180s);
}

// Guards against leases that expire while the log is unavailable, including leases that a dead member renewed.
TEST(EntryNode, LeasesSurviveALongLogOutage)
{
    submitJobs(10, 150'000);
    cluster.run(5s);
    cluster.logUnavailableUntil = cluster.events.now() + 120s;
    cluster.run(5s);
    cluster.kill("e2");
    checkAllJobsComplete(300s);
    for (int i = 0; i < 10; ++i)
        LONGS_EQUAL(1, countStarts(cluster, fmt::format("j{}", i)));
}

// Guards against a second attempt of a job while its unreachable worker still executes the first.
TEST(EntryNode, UnreachableWorkerKeepsItsJobUntilTheLeaseExpires)
{
    submitJobs(6, 60'000);
    cluster.run(5s);
    cluster.unreachableWorkers = { "w1" };
    cluster.run(90s);
    cluster.unreachableWorkers = {};
    checkAllJobsComplete(300s);
}

// Guards against records that are lost or applied twice when replies of the log are lost or appends are duplicated.
TEST(EntryNode, LostAndRepeatedAppends)
{
    cluster.appendRepliesToDrop = 20;
    cluster.appendsToDuplicate = 20;
    cluster.workerRepliesToDrop = 10;
    submitJobs(20, 5000);
    checkAllJobsComplete(300s);
    for (int i = 0; i < 20; ++i)
        LONGS_EQUAL(1, countStarts(cluster, fmt::format("j{}", i)));
}

// Guards against starts in a zone that is out of service, by a member that can reach neither the log nor its peers.
TEST(EntryNode, NoStartInAZoneThatIsOut)
{
    submitJobs(12, 8000);
    cluster.run(1s);
    cluster.membersWithoutLog = { "e1" };
    cluster.membersWithoutPeers = { "e1" };
    cluster.setZoneOut("b", true);
    submitJobs(30, 8000);
    cluster.run(20s);
    STRCMP_EQUAL("", findViolations(cluster).c_str());
    cluster.setZoneOut("b", false);
    cluster.membersWithoutLog = {};
    cluster.membersWithoutPeers = {};
    checkAllJobsComplete(200s);
}

// Guards against state that is lost when all entry hosts restart, one after another or at the same time.
TEST(EntryNode, EntryHostsAreReplaced)
{
    submitJobs(10, 60'000);
    cluster.run(3s);
    for (const char* member : { "e1", "e2", "e3" }) {
        cluster.kill(member);
        cluster.start(member);
        cluster.run(4s);
    }
    for (const char* member : { "e1", "e2", "e3" })
        cluster.kill(member);
    for (const char* member : { "e1", "e2", "e3" })
        cluster.start(member);
    checkAllJobsComplete(200s);
    LONGS_EQUAL(1, cluster.anyNode()->configStream().state().image().config.version);
}

// Guards against a process that starts after old records have expired and lacks the state from these records.
TEST(EntryNode, StartsFromASnapshotAfterRecordsExpired)
{
    submitJobs(40, 2000);
    CHECK(cluster.runUntil(200s, [&] { return cluster.allJobsEnded(); }));
    CHECK(cluster.runUntil(200s, [&] { return cluster.leader()->region().entriesSinceSnapshot() < 100; }));
    auto before = cluster.image().position;
    cluster.expireLog(before > 150 ? before - 150 : 0);
    cluster.kill("e1");
    cluster.start("e1");
    CHECK(cluster.runUntil(20s, [&] { return cluster.node("e1")->region().hasCaughtUp(); }));
    const auto& jobs = cluster.node("e1")->region().state().image().jobs;
    LONGS_EQUAL(40, std::ranges::count_if(jobs, [](const auto& it) { return !it.second.spec.isService; }));
}

// Guards against a dead worker that only its responsible member detects as unreachable, while another member leads and
// does not revoke its tasks.
TEST(EntryNode, LossIsReportedToTheLeader)
{
    submitJobs(18, 40'000);
    cluster.run(5s);
    cluster.unreachableWorkers = { "w1", "w2", "w3", "w4", "w5" };
    CHECK(cluster.runUntil(20s, [&] {
        return std::ranges::none_of(cluster.image().jobs, [&](const auto& it) {
            return it.second.phase == JobPhase::Placed && cluster.unreachableWorkers.contains(it.second.worker);
        });
    }));
    cluster.run(60s);
    cluster.unreachableWorkers = {};
    checkAllJobsComplete(300s);
}

// Guards against a member that cannot read the log and keeps an old configuration although its peers have a newer one.
TEST(EntryNode, ConfigReachesAMemberThatCannotReadTheLog)
{
    cluster.membersWithoutLog = { "e2" };
    cluster.run(500ms);
    cluster.publishConfig(2);
    CHECK(cluster.runUntil(5s, [&] { return cluster.node("e2")->activeConfig().version == 2; }));
    cluster.membersWithoutLog = {};
    cluster.run(10s);
    LONGS_EQUAL(2, cluster.node("e2")->activeConfig().version);
}

// Guards against tasks that stay placed on a worker whose responsible member is reachable but cannot read the log.
TEST(EntryNode, WorkersOfAMemberWithoutTheLogAreServedByOthers)
{
    cluster.membersWithoutLog = { "e2" };
    cluster.run(8s);
    submitJobs(18, 3000);
    checkAllJobsComplete(60s);
}

// Guards against jobs that remain indefinitely on a dead worker that a member other than the leader serves. The jobs
// run longer than their leases, because the cluster cannot know of a completion that a lost worker never reports. The
// kind is exempt from single_run; jobs of other kinds wait until the worker is no longer in the host list.
TEST(EntryNode, JobsOfWorkersThatNeverReturnRunElsewhere)
{
    submitJobs(12, 60'000, "scan");
    cluster.run(5s);
    cluster.unreachableWorkers = { "w1", "w2", "w3", "w4" };
    checkAllJobsComplete(600s);
}

// Guards against a settlement that runs again although an unreachable worker has completed it without reporting it, and
// against one that waits indefinitely after the host list no longer contains the worker.
TEST(EntryNode, SettlementsOfAnUnreachableWorkerWaitForItOrItsRemoval)
{
    submitJobs(12, 20'000);
    cluster.run(2s);
    cluster.unreachableWorkers = { "w1", "w2", "w3" };
    cluster.run(120s);
    CHECK(!cluster.allJobsEnded());
    STRCMP_EQUAL("", findViolations(cluster).c_str());
    cluster.unreachableWorkers = { "w3" };
    cluster.worker("w3").loseEverything(cluster.events.now());
    cluster.goneWorkers = { "w3" };
    CHECK(cluster.runUntil(120s, [&] { return cluster.allJobsEnded(); }));
}

// Guards against jobs that are started over and over on a worker that lost them and replies that they have ended.
TEST(EntryNode, TasksLostByAReachableWorkerRunAgain)
{
    submitJobs(12, 20'000);
    cluster.run(5s);
    for (const char* worker : { "w1", "w2", "w3", "w4", "w5", "w6" })
        cluster.worker(worker).loseEverything(cluster.events.now());
    checkAllJobsComplete(300s);
}

// Guards against several replicas of a service on one worker, where their request slots do not add up.
TEST(EntryNode, ReplicasOfAServiceRunOnDistinctWorkers)
{
    std::set<WorkerId> workers;
    CHECK(cluster.runUntil(30s, [&] {
        workers.clear();
        int placed = 0;
        for (const auto& [id, job] : cluster.image().jobs) {
            placed += job.spec.isService && job.phase == JobPhase::Placed ? 1 : 0;
            workers.insert(job.worker);
        }
        return placed == 3;
    }));
    LONGS_EQUAL(3, workers.size());
}
