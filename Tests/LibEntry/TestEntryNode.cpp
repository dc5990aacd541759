#include "ClusterChecks.h"
#include <CppUTest/TestHarness.h>
#include <LibDecision/Timing.h>
#include <fmt/format.h>
#include <set>

using namespace Bergamot;
using namespace std::chrono_literals;

namespace {

int64_t startsOf(VirtualCluster& cluster, const JobId& job)
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

    void submitMany(int count, int64_t runMs, const std::string& kind = "settlement")
    {
        for (int i = 0; i < count; ++i)
            cluster.submitJob(fmt::format("j{}", i), runMs, kind);
    }

    void checkAllCompleted(Milliseconds limit)
    {
        CHECK(cluster.runUntil(limit, [&] { return cluster.allJobsEnded(); }));
        for (const auto& [id, job] : cluster.image().jobs)
            if (!job.spec.isService)
                STRCMP_EQUAL_TEXT("completed", std::string(toString(job.phase)).c_str(), id.c_str());
        STRCMP_EQUAL("", findViolations(cluster).c_str());
    }
};

// Guards against a path from submission to completion that is broken anywhere.
TEST(EntryNode, JobsRunToCompletion)
{
    submitMany(20, 3000);
    checkAllCompleted(60s);
}

// Guards against a takeover that takes longer than 5 s or loses or repeats work.
TEST(EntryNode, TakeoverAfterTheLeaderDies)
{
    submitMany(10, 20'000);
    cluster.run(3s);
    auto old = cluster.image().leader;
    cluster.kill(old.member);
    CHECK(cluster.runUntil(5s, [&] { return cluster.image().leader.epoch > old.epoch; }));
    checkAllCompleted(120s);
    for (int i = 0; i < 10; ++i)
        LONGS_EQUAL(1, startsOf(cluster, fmt::format("j{}", i)));
}

// Guards against a paused leader that goes on deciding when it returns.
TEST(EntryNode, PausedLeaderIsFenced)
{
    submitMany(10, 20'000);
    cluster.run(1s);
    auto old = cluster.image().leader.member;
    cluster.pause(old, 45s);
    cluster.run(20s);
    submitMany(20, 5000);
    checkAllCompleted(180s);
}

// Guards against leases that lapse while the log is down, also those that a dead member renewed.
TEST(EntryNode, LeasesSurviveALongLogOutage)
{
    submitMany(10, 150'000);
    cluster.run(5s);
    cluster.logDownUntil = cluster.events.now() + 120s;
    cluster.run(5s);
    cluster.kill("e2");
    checkAllCompleted(300s);
    for (int i = 0; i < 10; ++i)
        LONGS_EQUAL(1, startsOf(cluster, fmt::format("j{}", i)));
}

// Guards against a second run of a job whose worker is cut off but still executes.
TEST(EntryNode, CutOffWorkerKeepsItsJobUntilTheLeaseLapses)
{
    submitMany(6, 60'000);
    cluster.run(5s);
    cluster.cutWorkers = { "w1" };
    cluster.run(90s);
    cluster.cutWorkers = {};
    checkAllCompleted(300s);
}

// Guards against records that are lost or applied twice when answers of the log are lost or appends are repeated.
TEST(EntryNode, LostAndRepeatedAppends)
{
    cluster.loseAppendAnswers = 20;
    cluster.duplicateAppends = 20;
    cluster.loseWorkerAnswers = 10;
    submitMany(20, 5000);
    checkAllCompleted(300s);
    for (int i = 0; i < 20; ++i)
        LONGS_EQUAL(1, startsOf(cluster, fmt::format("j{}", i)));
}

// Guards against starts in a zone that was taken out, by a member that can read neither the log nor its peers.
TEST(EntryNode, NoStartInAZoneThatIsOut)
{
    submitMany(12, 8000);
    cluster.run(1s);
    cluster.cutFromLog = { "e1" };
    cluster.cutFromPeers = { "e1" };
    cluster.setZoneOut("b", true);
    submitMany(30, 8000);
    cluster.run(20s);
    STRCMP_EQUAL("", findViolations(cluster).c_str());
    cluster.setZoneOut("b", false);
    cluster.cutFromLog = {};
    cluster.cutFromPeers = {};
    checkAllCompleted(200s);
}

// Guards against state that is lost when all entry hosts are replaced, one after another and all at once.
TEST(EntryNode, EntryHostsAreReplaced)
{
    submitMany(10, 60'000);
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
    checkAllCompleted(200s);
    LONGS_EQUAL(1, cluster.anyNode()->configStream().state().image().config.version);
}

// Guards against a process that starts after old records have expired and misses what they said.
TEST(EntryNode, StartsFromASnapshotAfterRecordsExpired)
{
    submitMany(40, 2000);
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

// Guards against a dead worker whose loss only its responsible member knows of, while another member leads.
TEST(EntryNode, LossIsReportedToTheLeader)
{
    submitMany(18, 40'000);
    cluster.run(5s);
    cluster.cutWorkers = { "w1", "w2", "w3", "w4", "w5" };
    CHECK(cluster.runUntil(20s, [&] {
        return std::ranges::none_of(cluster.image().jobs, [&](const auto& it) {
            return it.second.phase == JobPhase::Placed && cluster.cutWorkers.contains(it.second.worker);
        });
    }));
    cluster.run(60s);
    cluster.cutWorkers = {};
    checkAllCompleted(300s);
}

// Guards against a member that is cut off from the log and keeps an old configuration although its peers have a newer
// one.
TEST(EntryNode, ConfigReachesAMemberThatIsCutOffFromTheLog)
{
    cluster.cutFromLog = { "e2" };
    cluster.run(500ms);
    cluster.publishConfig(2);
    CHECK(cluster.runUntil(5s, [&] { return cluster.node("e2")->configInForce().version == 2; }));
    cluster.cutFromLog = {};
    cluster.run(10s);
    LONGS_EQUAL(2, cluster.node("e2")->configInForce().version);
}

// Guards against tasks that stay placed on a worker whose responsible member is reachable but cannot read the log.
TEST(EntryNode, WorkersOfAMemberWithoutTheLogAreServedByOthers)
{
    cluster.cutFromLog = { "e2" };
    cluster.run(8s);
    submitMany(18, 3000);
    checkAllCompleted(60s);
}

// Guards against jobs that wait for ever on a dead worker that another member than the leader serves. The jobs outlast
// their leases, since a completion that a lost worker never reports cannot be known. The kind is exempt from
// single_run; other kinds wait until the host list drops the worker.
TEST(EntryNode, JobsOfWorkersThatNeverReturnRunElsewhere)
{
    submitMany(12, 60'000, "scan");
    cluster.run(5s);
    cluster.cutWorkers = { "w1", "w2", "w3", "w4" };
    checkAllCompleted(600s);
}

// Guards against a settlement that runs again although a cut-off worker has completed it unheard, and against one that
// waits for ever after the platform has dropped the host.
TEST(EntryNode, SettlementsOfACutOffWorkerWaitForItOrItsRemoval)
{
    submitMany(12, 20'000);
    cluster.run(2s);
    cluster.cutWorkers = { "w1", "w2", "w3" };
    cluster.run(120s);
    CHECK(!cluster.allJobsEnded());
    STRCMP_EQUAL("", findViolations(cluster).c_str());
    cluster.cutWorkers = { "w3" };
    cluster.worker("w3").loseEverything(cluster.events.now());
    cluster.goneWorkers = { "w3" };
    CHECK(cluster.runUntil(120s, [&] { return cluster.allJobsEnded(); }));
}

// Guards against jobs that are started for ever on a worker that lost them and answers that they have ended.
TEST(EntryNode, TasksLostByAWorkerThatAnswersRunAgain)
{
    submitMany(12, 20'000);
    cluster.run(5s);
    for (const char* worker : { "w1", "w2", "w3", "w4", "w5", "w6" })
        cluster.worker(worker).loseEverything(cluster.events.now());
    checkAllCompleted(300s);
}

// Guards against replicas that gather on a few workers, where their request slots do not add up.
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
