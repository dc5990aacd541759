#include "SchedulerFixture.h"
#include <cmath>

using namespace Bergamot;
using absl::StatusCode;

TEST_GROUP(BatchScheduler) {};

// Guards against crashes and unnoticed state changes on malformed or unknown input.
TEST(BatchScheduler, InvalidInputIsRejectedWithoutStateChange)
{
    SchedulerFixture cluster;
    auto& scheduler = *cluster.scheduler;
    auto bytes = scheduler.stateBytes();
    auto code = [](const absl::Status& status) { return status.code(); };
    CHECK(code(scheduler.tick(cluster.now - Milliseconds { 1 }).status()) == StatusCode::kInvalidArgument);
    CHECK(code(scheduler.submitJob({ .id = "x", .kind = "none", .team = "a", .size = { 1, 1 } }))
        == StatusCode::kNotFound);
    CHECK(code(scheduler.submitJob({ .id = "x", .kind = "report", .team = "none", .size = { 1, 1 } }))
        == StatusCode::kNotFound);
    for (auto size :
        { Resources { -1, 1, 1 }, Resources { INT64_MAX, 1, 1 }, Resources { 1, INT64_MIN, 0 }, Resources {} })
        CHECK(code(scheduler.submitJob({ .id = "x", .kind = "report", .team = "a", .size = size }))
            == StatusCode::kInvalidArgument);
    CHECK(code(scheduler.submitJob({ .id = "x", .kind = "report", .team = "a", .size = { 1, 1 }, .runMs = -1 }))
        == StatusCode::kInvalidArgument);
    CHECK(code(scheduler.submitJob({ .id = "x", .kind = "web", .team = "a", .size = { 1, 1 } }))
        == StatusCode::kInvalidArgument);
    CHECK(code(scheduler.upsertWorker({ .id = "w9", .zone = "z", .capacity = { 0, -1, 0 } }))
        == StatusCode::kInvalidArgument);
    CHECK(code(scheduler.removeWorker("w9")) == StatusCode::kNotFound);
    CHECK(code(scheduler.setZoneOut("z0", false)) == StatusCode::kFailedPrecondition);
    CHECK(code(scheduler.defineTeam({ .name = "b", .weight = 0 })) == StatusCode::kInvalidArgument);
    CHECK(code(scheduler.defineKind({ .name = "b", .maxAttempts = 0 })) == StatusCode::kInvalidArgument);
    CHECK(code(scheduler.cancelJob("x")) == StatusCode::kNotFound);
    CHECK(code(scheduler.taskPlaced("x", 1, "w0")) == StatusCode::kNotFound);
    CHECK(code(scheduler.placementDropped("x")) == StatusCode::kNotFound);
    CHECK(code(scheduler.reportUsage("w9", {})) == StatusCode::kNotFound);
    CHECK(code(scheduler.reportLatency("web", "w0", 0.5, 1.0)) == StatusCode::kFailedPrecondition);
    CHECK(code(scheduler.whyWaiting("x").status()) == StatusCode::kNotFound);
    UNSIGNED_LONGS_EQUAL(0, scheduler.pendingJobs());
    UNSIGNED_LONGS_EQUAL(bytes, scheduler.stateBytes());
}

// Guards against events that are applied twice or out of order.
TEST(BatchScheduler, RepeatedEventsAreRejected)
{
    SchedulerFixture cluster;
    auto& scheduler = *cluster.scheduler;
    cluster.submit(SchedulerFixture::job("j", "report", 2));
    CHECK(scheduler.submitJob(SchedulerFixture::job("j", "report", 2)).code() == StatusCode::kAlreadyExists);
    CHECK_FALSE(scheduler.placementDropped("j").ok());
    cluster.tickAndPlace();
    auto host = cluster.hosts["j"];
    CHECK_FALSE(scheduler.taskPlaced("j", 1, host).ok());
    CHECK_FALSE(scheduler.taskPlaced("j", 2, host).ok());
    CHECK_FALSE(scheduler.taskRevoking("j", 2).ok());
    CHECK(scheduler.taskRevoking("j", 1).ok());
    CHECK_FALSE(scheduler.taskRevoking("j", 1).ok());
    CHECK_FALSE(scheduler.taskEnded("j", 2, AttemptOutcome::Evicted, host).ok());
    CHECK_FALSE(scheduler.removeWorker(host).ok());
    CHECK(scheduler.taskEnded("j", 1, AttemptOutcome::Evicted, host).ok());
    CHECK_FALSE(scheduler.taskEnded("j", 1, AttemptOutcome::Evicted, host).ok());
    UNSIGNED_LONGS_EQUAL(1, scheduler.pendingJobs());
}

// Guards against malformed measurements that corrupt the estimates.
TEST(BatchScheduler, MalformedReportsAreRejected)
{
    SchedulerFixture cluster;
    cluster.submit(SchedulerFixture::job("s", "web", 2));
    cluster.tickAndPlace();
    auto host = cluster.hosts["s"];
    CHECK(cluster.scheduler->reportLatency("web", host, 0.5, 1.1).ok());
    CHECK_FALSE(cluster.scheduler->reportLatency("web", host, 0.5, std::nan("")).ok());
    CHECK_FALSE(cluster.scheduler->reportLatency("web", host, -0.1, 1.0).ok());
    CHECK_FALSE(cluster.scheduler->reportLatency("report", host, 0.5, 1.0).ok());
    CHECK_FALSE(cluster.scheduler->reportUsage(host, { { "s", 1, { -1, 0, 0 }, 0 } }).ok());
    CHECK_FALSE(cluster.scheduler->reportUsage(host, { { "s", 1, { 1, 0, 0 }, 1001 } }).ok());
    CHECK(cluster.scheduler->reportUsage(host, { { "old", 1, { 1, 0, 0 }, 10 } }).ok());
}

// Guards against an urgent job that waits for running tasks, and against another job that takes the resources freed
// for it.
TEST(BatchScheduler, UrgentJobPreemptsRunningTask)
{
    SchedulerFixture cluster { 1 };
    cluster.submit(SchedulerFixture::job("settle", "settle", 4));
    cluster.submit(SchedulerFixture::job("report", "report", 4));
    cluster.submit(SchedulerFixture::job("next", "report", 4));
    cluster.tickAndPlace();
    cluster.submit(SchedulerFixture::job("now", "urgent", 3));
    auto evictions = SchedulerFixture::only<EvictTask>(cluster.tickAndPlace());
    UNSIGNED_LONGS_EQUAL(1, evictions.size());
    CHECK((evictions[0] == EvictTask { "report", EvictReason::Urgent, true }));
    CHECK(cluster.scheduler->taskRevoking("report", 1).ok());
    // A slow checkpoint is aborted, so that the urgent job starts within 7.1 s.
    auto stops = SchedulerFixture::only<EvictTask>(cluster.tickAndPlace(4));
    CHECK((stops == std::vector<EvictTask> { { "report", EvictReason::Urgent, false } }));
    cluster.end("report", AttemptOutcome::Stopped);
    auto placed = SchedulerFixture::only<PlaceTask>(cluster.tickAndPlace());
    CHECK((placed == std::vector<PlaceTask> { { "now", "w0" } }));
}

// Guards against starts in a zone that is out of service, and against tasks that remain in it.
TEST(BatchScheduler, ZoneOutMigratesTasks)
{
    SchedulerFixture cluster { 2 };
    cluster.submit(SchedulerFixture::job("s", "web", 2));
    cluster.submit(SchedulerFixture::job("r", "report", 2));
    cluster.tickAndPlace();
    auto zone = cluster.hosts["r"] == "w0" ? "z0" : "z1";
    CHECK(cluster.scheduler->setZoneOut(zone, true).ok());
    auto evictions = SchedulerFixture::only<EvictTask>(cluster.tickAndPlace());
    CHECK(std::ranges::find(evictions, EvictTask { "r", EvictReason::ZoneOut, true }) != evictions.end());
    for (const auto& eviction : evictions)
        cluster.end(eviction.job, AttemptOutcome::Evicted);
    // The effect of the batch kind on the service is unknown, so the job is placed beside the service only after a
    // wait.
    auto placed = SchedulerFixture::only<PlaceTask>(cluster.tickAndPlace(61));
    UNSIGNED_LONGS_EQUAL(evictions.size(), placed.size());
    for (const auto& place : placed)
        CHECK(place.worker != (std::string(zone) == "z0" ? "w0" : "w1"));
}

// Guards against a service that is stopped before resources for it are available elsewhere.
TEST(BatchScheduler, ServiceIsNotEvictedBeforeReplacementIsReserved)
{
    SchedulerFixture cluster { 2 };
    cluster.submit(SchedulerFixture::job("s", "web", 5));
    cluster.submit(SchedulerFixture::job("b", "settle", 5));
    cluster.tickAndPlace();
    CHECK(cluster.hosts["s"] != cluster.hosts["b"]);
    CHECK(cluster.scheduler->setZoneOut(cluster.hosts["s"] == "w0" ? "z0" : "z1", true).ok());
    CHECK(SchedulerFixture::only<EvictTask>(cluster.tickAndPlace()).empty());
    cluster.end("b", AttemptOutcome::Completed);
    UNSIGNED_LONGS_EQUAL(1, SchedulerFixture::only<EvictTask>(cluster.tickAndPlace()).size());
}

// Guards against many cancellations that exceed the evictions of one tick.
TEST(BatchScheduler, CancellationsAreBoundedPerTick)
{
    SchedulerFixture cluster { 4, { .maxEvictionsPerTick = 3 } };
    for (int n = 0; n < 8; ++n)
        cluster.submit(SchedulerFixture::job("j" + std::to_string(n), "report", 1));
    cluster.tickAndPlace();
    for (int n = 0; n < 8; ++n)
        CHECK(cluster.scheduler->cancelJob("j" + std::to_string(n)).ok());
    size_t total = 0;
    for (int n = 0; n < 3; ++n) {
        auto evictions = SchedulerFixture::only<EvictTask>(cluster.tickAndPlace());
        CHECK(evictions.size() <= 3);
        for (const auto& eviction : evictions) {
            CHECK(eviction.reason == EvictReason::Cancelled);
            cluster.end(eviction.job, AttemptOutcome::Stopped);
            CHECK(cluster.scheduler->whyWaiting(eviction.job).status().code() == StatusCode::kNotFound);
        }
        total += evictions.size();
    }
    UNSIGNED_LONGS_EQUAL(8, total);
}

// Guards against a job that always fails and is retried without limit or given up without a reason.
TEST(BatchScheduler, JobThatAlwaysFailsEndsWithReason)
{
    SchedulerFixture cluster;
    cluster.submit(SchedulerFixture::job("bad", "report", 1));
    std::vector<FailJob> failed;
    for (int n = 0; n < 30 && failed.empty(); ++n) {
        auto decisions = cluster.tickAndPlace(5);
        failed = SchedulerFixture::only<FailJob>(decisions);
        if (!SchedulerFixture::only<PlaceTask>(decisions).empty())
            cluster.end("bad", AttemptOutcome::Failed);
    }
    UNSIGNED_LONGS_EQUAL(1, failed.size());
    CHECK(failed[0].reason.find("3 distinct workers") != std::string::npos);
    CHECK(cluster.waitsFor("bad", WaitCause::Failed));
    CHECK(cluster.scheduler->jobEnded("bad").ok());
}

// Guards against a job that is started without bound after crashes of its workers, and against one that is given up
// after fewer crashes, after losses of other kinds, or although it is a service.
TEST(BatchScheduler, JobIsGivenUpAfterItsCrashes)
{
    struct Case {
        std::vector<AttemptOutcome> outcomes;
        size_t failures;
        std::string kind { "report" };
    };
    using enum AttemptOutcome;
    for (const auto& it : { Case { { Crashed, Crashed }, 1 }, Case { { Crashed }, 0 },
             Case { { CrashedInCompany, CrashedInCompany, CrashedInCompany }, 1 },
             Case { { CrashedInCompany, CrashedInCompany }, 0 }, Case { { Crashed, CrashedInCompany }, 0 },
             Case { { Lost, Lost, Lost, Evicted, Stopped, Refused, Lost }, 0 },
             Case { { Crashed, Crashed, Crashed, Crashed }, 0, "web" } }) {
        SchedulerFixture cluster;
        cluster.submit(SchedulerFixture::job("j", it.kind, 1));
        for (auto outcome : it.outcomes) {
            for (int n = 0; n < 60 && SchedulerFixture::only<PlaceTask>(cluster.tickAndPlace(5)).empty(); ++n) { }
            cluster.end("j", outcome);
        }
        auto failed = SchedulerFixture::only<FailJob>(cluster.tick());
        UNSIGNED_LONGS_EQUAL(it.failures, failed.size());
        for (const auto& decision : failed)
            STRCMP_CONTAINS("workers crashed", decision.reason.c_str());
    }
}

// Guards against a job that gets its crashes anew with each leader.
TEST(BatchScheduler, EarlierCrashesOfASubmittedJobCount)
{
    SchedulerFixture cluster;
    auto view = SchedulerFixture::job("j", "report", 1);
    view.crashes = 2;
    cluster.submit(view);
    UNSIGNED_LONGS_EQUAL(1, SchedulerFixture::only<PlaceTask>(cluster.tickAndPlace()).size());
    cluster.end("j", AttemptOutcome::CrashedInCompany);
    UNSIGNED_LONGS_EQUAL(1, SchedulerFixture::only<FailJob>(cluster.tick()).size());
    view.id = "k";
    view.crashes = 3;
    cluster.submit(view);
    auto decisions = cluster.tick();
    UNSIGNED_LONGS_EQUAL(1, SchedulerFixture::only<FailJob>(decisions).size());
    CHECK(SchedulerFixture::only<PlaceTask>(decisions).empty());
}

// Guards against placements on a quarantined worker, and against jobs that are given up because of its failures.
TEST(BatchScheduler, WorkerThatFailsEverythingIsQuarantined)
{
    SchedulerFixture cluster { 1 };
    CHECK(cluster.scheduler->upsertWorker(SchedulerFixture::worker(1)).ok());
    for (int n = 0; n < 12; ++n)
        cluster.submit(SchedulerFixture::job("j" + std::to_string(n), "report", 2));
    std::vector<QuarantineWorker> quarantined;
    for (int n = 0; n < 10; ++n) {
        auto decisions = cluster.tickAndPlace(2);
        for (const auto& decision : SchedulerFixture::only<QuarantineWorker>(decisions))
            quarantined.push_back(decision);
        for (const auto& place : SchedulerFixture::only<PlaceTask>(decisions))
            cluster.end(place.job, place.worker == "w0" ? AttemptOutcome::Failed : AttemptOutcome::Completed);
        CHECK(SchedulerFixture::only<FailJob>(decisions).empty());
    }
    CHECK((quarantined == std::vector<QuarantineWorker> { { "w0", true } }));
    UNSIGNED_LONGS_EQUAL(0, cluster.scheduler->pendingJobs());
}

// Guards against a large job that starves behind a stream of small ones.
TEST(BatchScheduler, ReservationLetsALargeJobStart)
{
    SchedulerFixture cluster { 2, { .reserves = true } };
    int next = 0;
    std::map<JobId, Instant> ends;
    auto submitSmall = [&] { cluster.submit(SchedulerFixture::job("s" + std::to_string(next++), "settle", 2)); };
    for (int n = 0; n < 8; ++n)
        submitSmall();
    cluster.tickAndPlace();
    cluster.submit(SchedulerFixture::job("large", "settle", 8));
    for (int n = 0; n < 300 && !cluster.hosts.contains("large"); ++n) {
        for (const auto& place : SchedulerFixture::only<PlaceTask>(cluster.tickAndPlace()))
            ends[place.job] = cluster.now + Milliseconds { 60'000 };
        if (n == 0) {
            for (int job = 0; job < 8; ++job)
                ends["s" + std::to_string(job)] = cluster.now + Milliseconds { 5'000 * (job + 1) };
        }
        for (auto it = ends.begin(); it != ends.end();) {
            if (it->second > cluster.now) {
                ++it;
                continue;
            }
            cluster.end(it->first, AttemptOutcome::Completed);
            it = ends.erase(it);
            submitSmall();
        }
    }
    CHECK(cluster.hosts.contains("large"));
}

// Guards against a missing or wrong reason in the explanation why a job waits.
TEST(BatchScheduler, WhyWaitingNamesTheCause)
{
    SchedulerFixture cluster { 2 };
    CHECK(cluster.scheduler->defineTeam({ .name = "b", .quota = { 1'000, 1'000, 0 } }).ok());
    auto limited = SchedulerFixture::job("quota", "report", 2);
    limited.team = "b";
    cluster.submit(limited);
    cluster.submit(SchedulerFixture::job("huge", "report", 9));
    cluster.submit(SchedulerFixture::job("r1", "report", 8));
    cluster.submit(SchedulerFixture::job("r2", "report", 8));
    cluster.submit(SchedulerFixture::job("r3", "report", 8));
    cluster.tickAndPlace();
    CHECK(cluster.waitsFor("quota", WaitCause::Quota));
    CHECK(cluster.waitsFor("huge", WaitCause::NoFittingWorker));
    CHECK(cluster.waitsFor("r1", WaitCause::Running));
    CHECK(cluster.waitsFor("r3", WaitCause::InsufficientResources));
    CHECK(cluster.scheduler->setZoneOut("z0", true).ok());
    CHECK(cluster.waitsFor("r3", WaitCause::ZoneOut));
}

// Guards against a job that is given up at its first failure because the other workers have not been added yet.
TEST(BatchScheduler, FirstFailureDoesNotEndAJobWhileOneWorkerIsListed)
{
    SchedulerFixture cluster(1);
    cluster.submit(SchedulerFixture::job("bad", "report", 1));
    auto places = SchedulerFixture::only<PlaceTask>(cluster.tickAndPlace(5));
    CHECK_EQUAL(1, places.size());
    cluster.end("bad", AttemptOutcome::Failed);
    CHECK(cluster.scheduler->upsertWorker(SchedulerFixture::worker(1)).ok());
    std::vector<FailJob> failed;
    for (int n = 0; n < 3 && failed.empty(); ++n)
        failed = SchedulerFixture::only<FailJob>(cluster.tickAndPlace(5));
    CHECK(failed.empty());
}
