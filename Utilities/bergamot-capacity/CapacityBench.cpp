#include "CapacityBench.h"
#include "AllocationCounter.h"
#include "SimulatedEntryHost.h"
#include <LibConfig/SiteConfigCodec.h>
#include <LibCore/Verify.h>
#include <LibDecision/ClientLimiter.h>
#include <LibEntry/ServiceUpstreams.h>
#include <LibPlatform/HttpHostListService.h>
#include <LibPlatform/WorkerJson.h>
#include <LibStandIn/ProtocolJson.h>
#include <LibWire/Codec.h>
#include <algorithm>
#include <ctime>
#include <fmt/format.h>
#include <limits>
#include <nlohmann/json.hpp>
#include <utility>

namespace Bergamot {

static constexpr int repetitions = 5;
static const std::vector<double> smallSizes { 1, 8, 32, 128 };
static const std::vector<double> taskCounts { 4, 8, 16, 32 };
// The design size of 720 workers divided by 8, 4, 2 and 1.
static const std::vector<double> workerCounts { 90, 180, 360, 720 };
static const std::vector<double> stateSizes { 2'500, 5'000, 10'000, 20'000 };

static double threadMicroseconds()
{
    timespec time {};
    clock_gettime(CLOCK_THREAD_CPUTIME_ID, &time);
    return static_cast<double>(time.tv_sec) * 1e6 + static_cast<double>(time.tv_nsec) / 1e3;
}

static double measureMicroseconds(const std::function<void()>& work)
{
    auto start = threadMicroseconds();
    work();
    return threadMicroseconds() - start;
}

static double minMicroseconds(const std::function<void()>& work)
{
    auto minimum = measureMicroseconds(work);
    for (int round = 1; round < repetitions; ++round)
        minimum = std::min(minimum, measureMicroseconds(work));
    return minimum;
}

static size_t designDivisor(size_t workers) { return 720 / workers; }

CapacityBench::CapacityBench(uint64_t seed)
    : m_seed(seed)
{
}

const std::vector<Measurement>& CapacityBench::run()
{
    m_measurements.clear();
    measureRecordBytes();
    measurePeerMessages();
    measureWorkerCalls();
    measureRecordProcessing();
    measureMemory();
    measureSnapshot();
    measureScheduler();
    measureControlLoop();
    measureConfig();
    return m_measurements;
}

void CapacityBench::addSeries(std::string name, std::string unit, std::string per, const std::vector<double>& sizes,
    const std::function<double(size_t)>& measure)
{
    Measurement measurement { std::move(name), std::move(unit), std::move(per), {} };
    for (auto size : sizes)
        measurement.points.push_back({ size, measure(static_cast<size_t>(size)) });
    m_measurements.push_back(std::move(measurement));
}

void CapacityBench::addRecordSeries(std::string name, const std::function<Record(size_t)>& make)
{
    addSeries("bytes." + name, "B", "record", smallSizes, [&](size_t count) {
        RecordBatch batch { SyntheticCluster::memberId(1), SyntheticCluster::incarnation, 100'000, {} };
        for (size_t n = 0; n < count; ++n)
            batch.records.push_back(make(n));
        return static_cast<double>(encodeBatch(batch).size());
    });
}

void CapacityBench::measureRecordBytes()
{
    using Cluster = SyntheticCluster;
    addRecordSeries("JobSubmitted", [](size_t n) { return Cluster::job(n, false); });
    addRecordSeries("TaskIntent", [](size_t n) {
        return TaskIntent { .epoch = 40, .job = Cluster::jobId(n), .attempt = 1, .worker = Cluster::workerId(n) };
    });
    addRecordSeries("TaskEnded", [](size_t n) {
        return TaskEnded { .epoch = 40, .job = Cluster::jobId(n), .attempt = 1, .result = std::string(16, 'r') };
    });
    addRecordSeries(
        "TaskRevoked", [](size_t n) { return TaskRevoked { .epoch = 40, .job = Cluster::jobId(n), .attempt = 1 }; });
    addRecordSeries("WorkerListed", [](size_t n) { return Cluster::worker(n); });
    addRecordSeries("RequestClaimed", [](size_t n) { return Cluster::claim(n); });
    addRecordSeries("RequestFinished", [](size_t n) {
        return RequestFinished { .key = Cluster::claim(n).key, .status = 200, .body = std::string(64, 'r') };
    });
    addRecordSeries("LeaderKeepalive", [](size_t) { return LeaderKeepalive { .epoch = 40 }; });
    addRecordSeries("ZoneChanged", [](size_t n) { return ZoneChanged { .zone = fmt::format("zone-{}", n % 6) }; });
    addSeries("bytes.log_read_entry", "B", "entry", smallSizes, [](size_t count) {
        LogChunk chunk { .earliest = 100'000, .head = 200'000, .entries = {} };
        for (size_t n = 0; n < count; ++n)
            chunk.entries.push_back({ 200'000 - n, SyntheticCluster::logTimeMs, std::string(64, 'x') });
        return static_cast<double>(encodeLogChunk(chunk).size()) - 64.0 * static_cast<double>(count);
    });
    addSeries("bytes.host_list", "B", "worker", workerCounts, [](size_t count) {
        auto list = nlohmann::json::array();
        for (size_t n = 0; n < count; ++n) {
            auto worker = SyntheticCluster::worker(n);
            list.push_back(toJson(HostEntry { .id = worker.worker,
                .address = worker.address,
                .zone = worker.zone,
                .rack = worker.rack,
                .capacity = worker.capacity }));
        }
        return static_cast<double>(list.dump().size());
    });
    addSeries("cpu.host_list_decode", "us", "worker", workerCounts, [](size_t count) {
        auto list = nlohmann::json::array();
        for (size_t n = 0; n < count; ++n)
            list.push_back(toJson(HostEntry { .id = SyntheticCluster::workerId(n), .address = "10.20.1.30:8080" }));
        auto text = list.dump();
        return minMicroseconds([&] { VERIFY(decodeHostList(text).ok()); });
    });
}

static Heartbeat heartbeat(size_t unreachable)
{
    Heartbeat message { .member = SyntheticCluster::memberId(1),
        .incarnation = SyntheticCluster::incarnation,
        .position = 20'000'000,
        .logAgeMs = 120,
        .freeSlots = 300,
        .unreachableWorkers = {},
        .configVersion = 40'000,
        .sentAtMs = 900'000'000,
        .echoMs = 900'000'000 };
    for (size_t n = 0; n < unreachable; ++n)
        message.unreachableWorkers.push_back(SyntheticCluster::workerId(n));
    return message;
}

static ShareReportMessage shareReport(size_t clients)
{
    ShareReportMessage message { SyntheticCluster::memberId(1), SyntheticCluster::incarnation, 3'000'000, {} };
    for (size_t n = 0; n < clients; ++n)
        message.clients.push_back({ fmt::format("client-{}", n), 200'000, 40, 20, 90'000 });
    return message;
}

static ShareGrantMessage shareGrant(size_t clients)
{
    ShareGrantMessage message { SyntheticCluster::memberId(2), SyntheticCluster::incarnation,
        SyntheticCluster::incarnation, 3'000'000, 2'000, {} };
    for (size_t n = 0; n < clients; ++n)
        message.shares.push_back({ fmt::format("client-{}", n), 90'000, 200'000, 40 });
    return message;
}

static double encodedBytes(const PeerMessage& message)
{
    return static_cast<double>(encodePeerMessage(message).size());
}

void CapacityBench::measurePeerMessages()
{
    const std::vector<double> counts { 1, 4, 16, 64 };
    addSeries(
        "bytes.Heartbeat", "B", "unreachable worker", counts, [](size_t n) { return encodedBytes(heartbeat(n)); });
    addSeries("bytes.ShareReport", "B", "client", counts, [](size_t n) { return encodedBytes(shareReport(n)); });
    addSeries("bytes.ShareGrant", "B", "client", counts, [](size_t n) { return encodedBytes(shareGrant(n)); });
    addSeries("bytes.SlotLoan", "B", "slot", counts, [](size_t count) {
        SlotLoan loan { SyntheticCluster::memberId(2), 70'000, 70'000, {}, 2'000, "service-1" };
        for (size_t n = 0; n < count; ++n)
            loan.workers.push_back(SyntheticCluster::workerId(n));
        return encodedBytes(loan);
    });
    addSeries("cpu.heartbeat", "us", "message encoded and decoded", { 500, 1'000, 2'000, 4'000 }, [](size_t count) {
        auto message = heartbeat(0);
        return minMicroseconds([&] {
            for (size_t n = 0; n < count; ++n)
                VERIFY(decodePeerMessage(encodePeerMessage(message)).ok());
        });
    });
    addSeries("memory.limiter", "B", "client", { 50, 100, 200, 400 }, [](size_t clients) {
        auto before = allocatedBytes();
        auto limiter = ClientLimiter::create({ .self = SyntheticCluster::memberId(1) });
        VERIFY(limiter.ok());
        std::vector<ClientLimiter::Member> members;
        for (size_t n = 1; n <= 9; ++n)
            members.push_back({ SyntheticCluster::memberId(n), 1 });
        VERIFY(limiter->setMembers(members, Instant { Milliseconds { 1'000 } }).ok());
        for (size_t n = 0; n < clients; ++n)
            VERIFY(limiter->setLimit({ fmt::format("client-{}", n), 100'000, 20 }, Instant { Milliseconds { 1'000 } })
                       .ok());
        return static_cast<double>(allocatedBytes() - before);
    });
}

static LeaseRenewal renewal(size_t tasks)
{
    LeaseRenewal result { .leaseUntilMs = SyntheticCluster::logTimeMs };
    for (size_t n = 0; n < tasks; ++n)
        result.tasks.push_back({ SyntheticCluster::jobId(n), 1 });
    return result;
}

static LeaseReport report(size_t tasks)
{
    LeaseReport result { .workerClockMs = SyntheticCluster::logTimeMs };
    for (size_t n = 0; n < tasks; ++n)
        result.running.push_back({ { SyntheticCluster::jobId(n), 1 }, { 900, 1'800, 0 }, 500 });
    return result;
}

void CapacityBench::measureWorkerCalls()
{
    addSeries("bytes.renewal_request", "B", "task", taskCounts,
        [](size_t n) { return static_cast<double>(encodeLeaseRenewal(renewal(n)).size()); });
    addSeries("bytes.renewal_reply", "B", "task", taskCounts,
        [](size_t n) { return static_cast<double>(toJson(report(n)).dump().size()); });
    TaskStart start { .task = { SyntheticCluster::jobId(1), 1 },
        .kind = "batch-kind-1",
        .size = { 1'000, 2'000, 0 },
        .runMs = 200'000,
        .leaseUntilMs = SyntheticCluster::logTimeMs };
    StartReply reply { StartResult::Started, SyntheticCluster::logTimeMs, "" };
    auto replyText = toJson(reply).dump();
    addSeries("bytes.start_call", "B", "call, request and reply", smallSizes,
        [&](size_t n) { return static_cast<double>(n * (encodeTaskStart(start).size() + replyText.size())); });
    addSeries("cpu.renewal_call", "us", "task", taskCounts, [](size_t tasks) {
        auto request = renewal(tasks);
        auto text = toJson(report(tasks)).dump();
        constexpr int calls = 200;
        return minMicroseconds([&] {
            for (int n = 0; n < calls; ++n) {
                VERIFY(!encodeLeaseRenewal(request).empty());
                VERIFY(decodeLeaseReport(text).ok());
            }
        }) / calls;
    });
    addSeries("cpu.start_call", "us", "call encoded and decoded", { 250, 500, 1'000, 2'000 }, [&](size_t calls) {
        return minMicroseconds([&] {
            for (size_t n = 0; n < calls; ++n) {
                VERIFY(!encodeTaskStart(start).empty());
                VERIFY(decodeStartReply(replyText).ok());
            }
        });
    });
}

// Builds the leader's batches that start and end `count` jobs. Each batch holds the eight records of four jobs.
static std::vector<RecordBatch> jobCycleBatches(SyntheticCluster& cluster, size_t count, size_t firstJob)
{
    std::vector<RecordBatch> batches;
    for (size_t n = 0; n < count; n += 4) {
        std::vector<Record> records;
        for (size_t i = n; i < n + 4; ++i) {
            records.emplace_back(
                TaskIntent { 1, SyntheticCluster::jobId(firstJob + i), 1, SyntheticCluster::workerId(i % 720) });
            records.emplace_back(TaskEnded { .epoch = 1, .job = SyntheticCluster::jobId(firstJob + i), .attempt = 1 });
        }
        batches.push_back(cluster.leaderBatch(std::move(records)));
    }
    return batches;
}

void CapacityBench::measureRecordProcessing()
{
    auto size = ClusterSize::scaledDesign(1);
    size.pendingJobs = 8'000;
    SyntheticCluster cluster(size);
    const auto full = cluster.state();
    const std::vector<double> recordCounts { 2'000, 4'000, 8'000, 16'000 };
    addSeries("cpu.record_applied", "us", "record", recordCounts, [&](size_t count) {
        auto copyOf = cluster;
        auto batches = jobCycleBatches(copyOf, count / 2, size.tasks());
        double minimum = 1e18;
        for (int round = 0; round < repetitions; ++round) {
            auto state = full;
            minimum = std::min(minimum, measureMicroseconds([&] {
                for (const auto& batch : batches)
                    VERIFY(state.apply(batch, state.position(), SyntheticCluster::logTimeMs).statuses[0].ok());
            }));
        }
        return minimum;
    });
    addSeries("cpu.record_decoded", "us", "record", recordCounts, [&](size_t count) {
        auto copyOf = cluster;
        std::vector<std::string> encoded;
        for (const auto& batch : jobCycleBatches(copyOf, count / 2, size.tasks()))
            encoded.push_back(encodeBatch(batch));
        return minMicroseconds([&] {
            for (const auto& bytes : encoded)
                VERIFY(decodeBatch(bytes).ok());
        });
    });
}

static double stateMemory(const ClusterSize& size)
{
    const SyntheticCluster cluster(size);
    auto before = allocatedBytes();
    auto state = cluster.state();
    return static_cast<double>(allocatedBytes() - before);
}

void CapacityBench::measureMemory()
{
    auto emptySize = ClusterSize { .serviceTasks = 0, .batchTasks = 0 };
    addSeries("memory.fold_running", "B", "running task", stateSizes, [&](size_t n) {
        auto size = emptySize;
        size.batchTasks = n;
        return stateMemory(size);
    });
    addSeries("memory.fold_ended", "B", "ended job", stateSizes, [&](size_t n) {
        auto size = emptySize;
        size.endedJobs = n;
        return stateMemory(size);
    });
    addSeries("memory.fold_worker", "B", "worker", workerCounts, [&](size_t n) {
        auto size = emptySize;
        size.workers = n;
        return stateMemory(size);
    });
    addSeries("memory.fold_claim", "B", "claim", stateSizes, [&](size_t n) {
        auto size = emptySize;
        size.claims = n;
        return stateMemory(size);
    });
}

void CapacityBench::measureSnapshot()
{
    std::vector<std::pair<size_t, std::string>> snapshots;
    auto stateOf = [](size_t tasks) {
        return SyntheticCluster({ .serviceTasks = tasks / 4, .batchTasks = tasks - tasks / 4 }).state();
    };
    addSeries("bytes.snapshot", "B", "running task", stateSizes,
        [&](size_t n) { return static_cast<double>(stateOf(n).encodeSnapshot().size()); });
    addSeries("cpu.snapshot_encode", "us", "running task", stateSizes, [&](size_t n) {
        auto state = stateOf(n);
        return minMicroseconds([&] { VERIFY(!state.encodeSnapshot().empty()); });
    });
    addSeries("cpu.snapshot_decode", "us", "running task, indexes rebuilt", stateSizes, [&](size_t n) {
        auto bytes = stateOf(n).encodeSnapshot();
        return minMicroseconds([&] { VERIFY(ClusterState::decodeSnapshot(bytes).ok()); });
    });
}

// Builds a scheduler from the cluster state, as SchedulerDriver does after a leader takeover.
std::unique_ptr<BatchScheduler> CapacityBench::createScheduler(const ClusterState& state) const
{
    auto created = BatchScheduler::create({ .seed = m_seed });
    VERIFY(created.ok());
    auto& scheduler = **created;
    VERIFY(scheduler.tick(Instant { Milliseconds { 1'000 } }).ok());
    Resources all { int64_t { 1 } << 30, int64_t { 1 } << 30, 10'000 };
    VERIFY(scheduler.defineTeam({ .name = "services", .quota = all, .mayBorrow = true }).ok());
    for (size_t n = 0; n < SyntheticCluster::teams; ++n)
        VERIFY(scheduler.defineTeam({ .name = fmt::format("team-{}", n), .quota = all, .mayBorrow = true }).ok());
    std::vector<std::string> services;
    for (size_t n = 0; n < SyntheticCluster::services; ++n) {
        services.push_back(fmt::format("service-{}", n));
        VERIFY(scheduler.defineKind({ .name = services.back(), .isService = true }).ok());
    }
    for (size_t n = 0; n < SyntheticCluster::batchKinds; ++n)
        VERIFY(scheduler.defineKind({ .name = fmt::format("batch-kind-{}", n), .yieldsTo = services }).ok());
    for (const auto& [id, worker] : state.image().workers) {
        VERIFY(
            scheduler
                .upsertWorker(
                    { .id = id, .zone = worker.spec.zone, .rack = worker.spec.rack, .capacity = worker.spec.capacity })
                .ok());
    }
    for (const auto& [id, job] : state.image().jobs) {
        if (job.hasEnded())
            continue;
        VERIFY(scheduler
                   .submitJob({ .id = id,
                       .kind = job.spec.kind,
                       .team = job.spec.team,
                       .size = job.spec.size,
                       .runMs = job.spec.runMs,
                       .isService = job.spec.isService })
                   .ok());
        if (job.holdsCommitment())
            VERIFY(scheduler.taskPlaced(id, job.attempt, job.worker).ok());
    }
    return std::move(*created);
}

static size_t placementsIn(const std::vector<Decision>& decisions)
{
    return static_cast<size_t>(std::ranges::count_if(
        decisions, [](const auto& decision) { return std::holds_alternative<PlaceTask>(decision); }));
}

void CapacityBench::measureScheduler()
{
    auto stateOf
        = [](size_t workers) { return SyntheticCluster(ClusterSize::scaledDesign(designDivisor(workers))).state(); };
    addSeries("cpu.takeover_rebuild", "us", "worker and its 27 tasks", workerCounts, [&](size_t workers) {
        auto state = stateOf(workers);
        return minMicroseconds([&] { VERIFY(createScheduler(state)->stateBytes() > 0); });
    });
    addSeries("memory.scheduler_counted", "B", "worker and its 27 tasks", workerCounts, [&](size_t workers) {
        auto state = stateOf(workers);
        auto before = allocatedBytes();
        auto built = createScheduler(state);
        return static_cast<double>(allocatedBytes() - before);
    });
    addSeries("memory.scheduler_stateBytes", "B", "worker and its 27 tasks", workerCounts,
        [&](size_t workers) { return static_cast<double>(createScheduler(stateOf(workers))->stateBytes()); });
    // One tick in ten examines the services, so ten ticks of 100 ms represent one second of an idle leader.
    addSeries("cpu.scheduler_second", "us", "worker and its 27 tasks", workerCounts, [&](size_t workers) {
        auto built = createScheduler(stateOf(workers));
        int64_t now = 2'000;
        return minMicroseconds([&] {
            for (int n = 0; n < 10; ++n, now += 100)
                VERIFY(built->tick(Instant { Milliseconds { now } }).ok());
        });
    });
    Measurement placement { "cpu.placement", "us", "placement", {} };
    // The scheduler places no batch job beside a service without measured latency, so this state has batch tasks only.
    auto full = SyntheticCluster({ .serviceTasks = 0, .batchTasks = 19'700 }).state();
    for (size_t count : { 8, 16, 32, 64 })
        placement.points.push_back(placementTime(full, count));
    m_measurements.push_back(std::move(placement));
}

// A tick may place fewer jobs than are pending, so the size of the point is the number of placements.
SizedValue CapacityBench::placementTime(const ClusterState& state, size_t jobs) const
{
    SizedValue minimum { 0, std::numeric_limits<double>::max() };
    for (int round = 0; round < repetitions; ++round) {
        auto built = createScheduler(state);
        for (size_t n = 0; n < jobs; ++n) {
            auto job = SyntheticCluster::job(50'000 + n, false);
            VERIFY(built
                       ->submitJob(
                           { .id = job.job, .kind = job.kind, .team = job.team, .size = job.size, .runMs = job.runMs })
                       .ok());
        }
        double placed = 0;
        auto time = measureMicroseconds([&] {
            auto decisions = built->tick(Instant { Milliseconds { 400'000 } });
            VERIFY(decisions.ok());
            placed = static_cast<double>(placementsIn(*decisions));
        });
        if (time < minimum.value)
            minimum = { placed, time };
    }
    return minimum;
}

void CapacityBench::measureControlLoop()
{
    constexpr int ticks = 50;
    auto sizeOf = [](size_t workers) { return ClusterSize::scaledDesign(designDivisor(workers)); };
    addSeries("cpu.dispatcher_second", "us", "worker and its 27 tasks", workerCounts, [&](size_t workers) {
        SimulatedEntryHost host(sizeOf(workers));
        return minMicroseconds([&] {
            for (int n = 0; n < ticks; ++n)
                host.tickDispatcher();
        });
    });
    addSeries("cpu.loss_watch_second", "us", "worker and its 27 tasks", workerCounts, [&](size_t workers) {
        SimulatedEntryHost host(sizeOf(workers));
        return minMicroseconds([&] {
            for (int n = 0; n < ticks; ++n)
                host.tickLossDetector();
        });
    });
    addSeries("cpu.routing_scan", "us", "worker and its 27 tasks, 12 services", workerCounts, [&](size_t workers) {
        auto state = SyntheticCluster(sizeOf(workers)).state();
        return minMicroseconds([&] { VERIFY(upstreamsByService(state).size() == SyntheticCluster::services); });
    });
}

static SiteConfig siteConfig(size_t teams)
{
    SiteConfig config;
    config.regions = { { .name = "main", .zones = { "zone-0", "zone-1", "zone-2" } } };
    config.services = { { .name = "service-0", .replica = { 1'000, 2'000, 0 } } };
    for (size_t n = 0; n < teams; ++n) {
        auto name = fmt::format("team-{:03}", n);
        config.teams.push_back({ .name = name, .quota = { 1'000'000, 2'000'000, 8 } });
        config.kinds.push_back(
            { .name = fmt::format("kind-{:03}", n), .size = { 1'000, 2'000, 0 }, .run = Milliseconds { 200'000 } });
        config.clients.push_back(
            { .name = fmt::format("client-{:03}", n), .terms = { 10, 2 }, .services = { "service-0" } });
    }
    return config;
}

void CapacityBench::measureConfig()
{
    const std::vector<double> teamCounts { 5, 10, 20, 40 };
    addSeries("bytes.config", "B", "team with one kind and one client", teamCounts,
        [](size_t n) { return static_cast<double>(encodeSiteConfig(siteConfig(n)).size()); });
    addSeries("cpu.config_decode", "us", "team with one kind and one client", teamCounts, [](size_t n) {
        auto text = encodeSiteConfig(siteConfig(n));
        VERIFY(std::holds_alternative<SiteConfig>(decodeSiteConfig(text)));
        return minMicroseconds([&] { VERIFY(decodeSiteConfig(text).index() == 0 || !text.empty()); });
    });
}

}
