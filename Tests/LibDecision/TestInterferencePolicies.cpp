#include "SchedulerFixture.h"
#include <set>

using namespace Bergamot;

// Slowdown rate of the estimators in the current test; set by slowdown().
static double rate = 0;

static std::unique_ptr<SlowdownEstimator> slowdown(double value)
{
    rate = value;
    return std::make_unique<KnownSlowdown>(rate);
}

/// One host with a service and two batch tasks, one of which yields to the service.
static SchedulerFixture sharedHost(SchedulerOptions options = {})
{
    SchedulerFixture cluster { 1, options, slowdown(0.1) };
    cluster.submit(SchedulerFixture::job("s", "web", 2));
    cluster.submit(SchedulerFixture::job("settle", "settle", 2));
    cluster.submit(SchedulerFixture::job("report", "report", 2));
    cluster.tickAndPlace();
    UNSIGNED_LONGS_EQUAL(3, cluster.hosts.size());
    return cluster;
}

/// Reports the service's latency as `ratio` every 5 s for `seconds` and returns the decisions of all ticks.
static std::vector<Decision> reportLatencyAndTick(SchedulerFixture& cluster, double ratio, int64_t seconds)
{
    std::vector<Decision> all;
    for (int64_t n = 0; n < seconds; ++n) {
        if (n % 5 == 0)
            CHECK(cluster.scheduler->reportLatency("web", "w0", 0.6, ratio).ok());
        auto decisions = cluster.tickAndPlace();
        all.insert(all.end(), decisions.begin(), decisions.end());
    }
    return all;
}

TEST_GROUP(InterferencePolicies) {};

// Guards against placing a job where a service would exceed its latency budget, and against an explanation without
// this reason.
TEST(InterferencePolicies, InterferingJobIsNotPlacedBesideService)
{
    SchedulerFixture cluster { 1, {}, slowdown(2.0) };
    cluster.submit(SchedulerFixture::job("s", "web", 2));
    cluster.submit(SchedulerFixture::job("r", "report", 2));
    cluster.tickAndPlace();
    CHECK(cluster.waitsFor("s", WaitCause::Running));
    CHECK(cluster.waitsFor("r", WaitCause::Interference));
}

// Guards against starvation of a job that slows down services on every host.
TEST(InterferencePolicies, InterferingJobIsPlacedAfterLongWait)
{
    SchedulerFixture cluster { 1, {}, slowdown(2.0) };
    cluster.submit(SchedulerFixture::job("s", "web", 2));
    cluster.submit(SchedulerFixture::job("r", "report", 2));
    cluster.tickAndPlace();
    cluster.tickAndPlace(800);
    CHECK_FALSE(cluster.hosts.contains("r"));
    cluster.tickAndPlace(101);
    CHECK(cluster.hosts.contains("r"));
}

// Guards against throttling or eviction after a single noisy report.
TEST(InterferencePolicies, SingleHighLatencyReportIsIgnored)
{
    auto cluster = sharedHost();
    UNSIGNED_LONGS_EQUAL(0, reportLatencyAndTick(cluster, 1.5, 4).size());
}

// Guards against eviction before throttling, and against further steps before reports can show the effect of the
// first.
TEST(InterferencePolicies, ThrottlesBeforeEviction)
{
    auto cluster = sharedHost();
    rate = 2.0;
    auto decisions = reportLatencyAndTick(cluster, 1.5, 20);
    auto throttles = SchedulerFixture::only<ThrottleTask>(decisions);
    UNSIGNED_LONGS_EQUAL(1, throttles.size());
    STRCMP_EQUAL("report", throttles[0].job.c_str());
    CHECK(throttles[0].speedPercent < 100);
    CHECK(SchedulerFixture::only<EvictTask>(decisions).empty());
    auto evictions = SchedulerFixture::only<EvictTask>(reportLatencyAndTick(cluster, 1.5, 60));
    CHECK(!evictions.empty());
    CHECK((evictions[0] == EvictTask { "report", EvictReason::Interference, true }));
}

// Guards against throttling or eviction of tasks whose kind does not yield to the service.
TEST(InterferencePolicies, OnlyYieldingTasksAreThrottledOrEvicted)
{
    auto cluster = sharedHost();
    for (const auto& decision : reportLatencyAndTick(cluster, 2.0, 300)) {
        if (const auto* throttle = std::get_if<ThrottleTask>(&decision))
            STRCMP_EQUAL("report", throttle->job.c_str());
        if (const auto* eviction = std::get_if<EvictTask>(&decision))
            STRCMP_EQUAL("report", eviction->job.c_str());
    }
}

// Guards against throttles that remain after the service has recovered.
TEST(InterferencePolicies, ThrottleIsLiftedAfterRecovery)
{
    auto cluster = sharedHost();
    reportLatencyAndTick(cluster, 1.5, 20);
    auto throttles = SchedulerFixture::only<ThrottleTask>(reportLatencyAndTick(cluster, 1.0, 120));
    CHECK(!throttles.empty());
    LONGS_EQUAL(100, throttles.back().speedPercent);
}

// Guards against repeated evictions of one task for the same reason.
TEST(InterferencePolicies, NoSecondEvictionForOneCause)
{
    auto cluster = sharedHost({ .throttlesFirst = false });
    auto evictions = SchedulerFixture::only<EvictTask>(reportLatencyAndTick(cluster, 1.5, 8));
    UNSIGNED_LONGS_EQUAL(1, evictions.size());
    cluster.end("report", AttemptOutcome::Evicted);
    cluster.hosts.erase("report");
    reportLatencyAndTick(cluster, 1.0, 60);
    for (int n = 0; n < 20 && !cluster.hosts.contains("report"); ++n)
        cluster.tickAndPlace(60);
    CHECK(cluster.hosts.contains("report"));
    CHECK(SchedulerFixture::only<EvictTask>(reportLatencyAndTick(cluster, 1.5, 300)).empty());
}

// Guards against unlimited evictions when the slowdown of a service has another cause.
TEST(InterferencePolicies, EvictionsHaveABudget)
{
    SchedulerFixture cluster { 1, { .evictionsPerWorkerHour = 0, .throttlesFirst = false }, slowdown(0.1) };
    cluster.submit(SchedulerFixture::job("s", "web", 1));
    for (int n = 0; n < 7; ++n)
        cluster.submit(SchedulerFixture::job("r" + std::to_string(n), "report", 1));
    cluster.tickAndPlace();
    // Unconfirmed evictions are repeated and count once. The budget is four and is not refilled.
    std::set<JobId> distinct;
    for (const auto& eviction : SchedulerFixture::only<EvictTask>(reportLatencyAndTick(cluster, 3.0, 300)))
        distinct.insert(eviction.job);
    UNSIGNED_LONGS_EQUAL(4, distinct.size());
}

// Guards against a shortage of processors on a host because a task uses more than it declared.
TEST(InterferencePolicies, TaskAboveItsDeclarationIsThrottled)
{
    auto cluster = sharedHost();
    std::vector<ThrottleTask> throttles;
    for (int n = 0; n < 5 && throttles.empty(); ++n) {
        CHECK(cluster.scheduler
                  ->reportUsage("w0",
                      { { "s", 1, { 2'000, 2'000 }, 0 }, { "report", 1, { 4'500, 2'000 }, 10 },
                          { "settle", 1, { 2'000, 2'000 }, 10 } })
                  .ok());
        throttles = SchedulerFixture::only<ThrottleTask>(cluster.tickAndPlace(5));
    }
    UNSIGNED_LONGS_EQUAL(1, throttles.size());
    CHECK((throttles[0] == ThrottleTask { "report", 44 }));
}

// Guards against accelerators that idle because jobs without accelerators occupy the processors of their host.
TEST(InterferencePolicies, CpuForAcceleratorsIsKeptFree)
{
    SchedulerFixture cluster { 0 };
    auto worker = SchedulerFixture::worker(0);
    worker.capacity.accelerators = 2;
    CHECK(cluster.scheduler->upsertWorker(worker).ok());
    for (int n = 0; n < 60; ++n) {
        auto job = SchedulerFixture::job("a" + std::to_string(n), "report", 2);
        job.size.accelerators = 1;
        cluster.submit(job);
        CHECK(cluster.scheduler->cancelJob(job.id).ok());
    }
    for (int n = 0; n < 8; ++n)
        cluster.submit(SchedulerFixture::job("c" + std::to_string(n), "report", 1));
    cluster.tickAndPlace();
    UNSIGNED_LONGS_EQUAL(4, cluster.hosts.size());
    auto job = SchedulerFixture::job("a", "report", 2);
    job.size.accelerators = 1;
    cluster.submit(job);
    cluster.tickAndPlace();
    CHECK(cluster.hosts.contains("a"));
}

// Guards against placing all tasks of a service kind in one zone.
TEST(InterferencePolicies, ServicesSpreadOverZones)
{
    SchedulerFixture cluster { 8, {}, slowdown(0) };
    for (int n = 0; n < 4; ++n)
        cluster.submit(SchedulerFixture::job("s" + std::to_string(n), "web", 1));
    cluster.tickAndPlace();
    std::map<std::string, int> perZone;
    for (const auto& [job, host] : cluster.hosts)
        ++perZone[(host.back() - '0') % 2 == 0 ? "z0" : "z1"];
    LONGS_EQUAL(2, perZone["z0"]);
}
