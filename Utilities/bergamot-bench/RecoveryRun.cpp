#include "RecoveryRun.h"
#include <LibHttp/EventLoop.h>
#include <LibHttp/HttpEngine.h>
#include <LibNode/JobAcceptor.h>
#include <PlatformStandIn/PlatformMessages.h>
#include <PlatformStandIn/StoreStandIn.h>
#include <PlatformStandIn/TaskWorker.h>
#include <algorithm>
#include <bergamot-node-soak/NodeGroup.h>
#include <filesystem>
#include <fmt/format.h>
#include <fstream>
#include <platform/PlatformStore.h>
#include <unistd.h>
#include <utility>

namespace Bergamot {

static constexpr uint16_t storePort = 8169;
static constexpr uint16_t workerPort = 9000;
static constexpr uint16_t workerServerPort = 9001;
static constexpr size_t storeHostNumber = 100;
static constexpr size_t firstWorkerHostNumber = 150;
static constexpr const char* zone = "zone-a";

/// The workers have room for all live jobs at once.
static constexpr size_t workerCount = 20;

/// Jobs whose records share an append. The live jobs take several, so that they lie in all partitions.
static constexpr uint64_t jobsPerAppend = 250;
static constexpr Milliseconds appendTimeout { 10'000 };
static constexpr Milliseconds checkInterval { 20 };
static constexpr Milliseconds maxFillTime { 300'000 };
static constexpr Milliseconds maxRecoveryTime { 600'000 };

/// Time in which tasks are started again whose leases expired during the recovery.
static constexpr Milliseconds observationTime { 2000 };

/// A killed node is not started again during the run.
static constexpr Milliseconds nodeDowntime { 24 * 3'600'000 };

/// Longer than the reads and reports that a killed node leaves waiting, whose replies need the stand-ins' servers.
static constexpr Milliseconds closingTime { 3000 };

RecoveryRun::RecoveryRun(Options options)
    : m_options(std::move(options))
    , m_records(m_options.seed)
    , m_loop(EventLoop::create(m_clock))
    , m_engine(HttpEngine::create(*m_loop, {}))
    , m_result({ .endedJobs = m_options.endedJobs, .liveJobs = m_options.liveJobs })
{
}

RecoveryRun::~RecoveryRun()
{
    m_nodes.clear();
    for (auto& worker : m_workers)
        worker->stopServing();
    if (m_store)
        m_store->stopServing();
}

/// Derives loopback addresses from the process id, so that concurrent runs do not compete for ports.
std::string RecoveryRun::hostAddress(size_t number) const
{
    auto pid = static_cast<unsigned>(getpid());
    return fmt::format("127.{}.{}.{}", 64 + (pid >> 8) % 128, pid % 256, number);
}

absl::StatusOr<RecoveryResult> RecoveryRun::run()
{
    if (auto status = startStandIns(); !status.ok())
        return status;
    m_store->putOperatorRecord(
        configurationKey, configurationText(1, { { .name = "batch", .pathPrefix = "/batch/" } }));
    enter(Stage::Filling, maxFillTime);
    fill(0, m_options.endedJobs + jobsOfFirstLeader(), [this] { startFirstLeader(); });
    checkStage();
    m_loop->run();
    if (!m_status.ok())
        return m_status;
    return m_result;
}

absl::Status RecoveryRun::startStandIns()
{
    auto store = StoreStandIn::create(*m_loop, { .address = hostAddress(storeHostNumber), .port = storePort });
    if (!store.ok())
        return store.status();
    m_store = std::move(*store);
    m_storeClient = std::make_unique<Platform::PlatformStore>(*m_engine,
        Platform::PlatformStore::Options { .address = fmt::format("{}:{}", hostAddress(storeHostNumber), storePort) });
    for (size_t n = 0; n < workerCount; ++n) {
        auto worker = TaskWorker::create(*m_loop, *m_store, m_starts,
            { .id = fmt::format("w-{:02}", n),
                .service = taskService,
                .zone = zone,
                .rack = fmt::format("rack-{}", n % 4),
                .ip = hostAddress(firstWorkerHostNumber + n),
                .publicPort = workerPort,
                .serverPort = workerServerPort,
                .seed = m_options.seed + n });
        if (!worker.ok())
            return worker.status();
        m_workers.push_back(std::move(*worker));
    }
    return absl::OkStatus();
}

void RecoveryRun::startNode(const std::string& name)
{
    auto folder = fmt::format("{}/{}-{}", m_options.folder, m_options.endedJobs, name);
    std::filesystem::create_directories(folder);
    m_log = NodeLog(folder + "/node-0.log");
    m_nodes.push_back(std::make_unique<NodeGroup>(*m_loop,
        NodeGroup::Options { .program = m_options.program,
            .folder = folder,
            .locations = { { .name = name,
                .zone = zone,
                .ip = hostAddress(m_nodes.size() + 1),
                .storeAddress = fmt::format("{}:{}", hostAddress(storeHostNumber), storePort) } },
            .zones = { zone },
            .onUnexpectedExit = [this](const std::string& what) { fail(absl::UnavailableError(what)); } }));
    if (!m_nodes.back()->startAll())
        fail(absl::UnavailableError("the node cannot be started"));
}

void RecoveryRun::enter(Stage stage, Milliseconds maxTime)
{
    m_stage = stage;
    m_stageEndsAt = m_loop->now() + maxTime;
}

void RecoveryRun::checkStage()
{
    bool hasTimedOut = m_loop->now() >= m_stageEndsAt;
    if (m_stage == Stage::Closing && hasTimedOut)
        return m_loop->stop();
    if (m_stage == Stage::FirstLeader && hasSettled(jobsOfFirstLeader()))
        killFirstLeader();
    else if (m_stage == Stage::Recovery && (hasSettled(m_options.liveJobs) || hasTimedOut))
        enter(Stage::Observing, observationTime);
    else if (m_stage == Stage::Observing && hasTimedOut)
        measure();
    else if (hasTimedOut)
        fail(absl::DeadlineExceededError("the run does not reach its recovery"));
    m_loop->callAfter(checkInterval, [this] { checkStage(); });
}

/// Stores the records of these jobs, those of the ended jobs first. Each group of jobs goes to one partition, as if one
/// node had accepted it.
void RecoveryRun::fill(uint64_t firstJob, uint64_t endJob, std::function<void()> onDone)
{
    if (firstJob >= endJob)
        return onDone();
    auto end = std::min(firstJob + jobsPerAppend, endJob);
    std::vector<KeyedRecord> accepted;
    std::vector<KeyedRecord> ends;
    for (auto n = firstJob; n < end; ++n) {
        bool hasEnded = n < m_options.endedJobs;
        accepted.push_back(hasEnded ? m_records.endedJob(n) : m_records.liveJob(n));
        if (hasEnded)
            ends.push_back(m_records.end(n));
    }
    auto partition = static_cast<uint32_t>(firstJob / jobsPerAppend % jobPartitions);
    auto continueFilling = [this, end, endJob, onDone = std::move(onDone)] { fill(end, endJob, onDone); };
    append(
        StreamName::Progress, 0, std::move(ends), [this, partition, accepted = std::move(accepted), continueFilling] {
            append(StreamName::Jobs, partition, accepted, continueFilling);
        });
}

void RecoveryRun::append(
    StreamName stream, uint32_t partition, std::vector<KeyedRecord> records, std::function<void()> onDone)
{
    if (records.empty())
        return onDone();
    m_storeClient->append({ .stream = stream, .partition = partition, .records = std::move(records) }, appendTimeout,
        [this, onDone = std::move(onDone)](const absl::StatusOr<AppendReply>& reply) {
            if (!reply.ok())
                return fail(reply.status());
            onDone();
        });
}

/// The others are waiting when the second leader takes over.
uint64_t RecoveryRun::jobsOfFirstLeader() const { return m_options.liveJobs - m_options.liveJobs / 10; }

void RecoveryRun::startFirstLeader()
{
    enter(Stage::FirstLeader, maxRecoveryTime);
    startNode("first");
}

void RecoveryRun::killFirstLeader()
{
    m_nodes.back()->kill(0, nodeDowntime);
    m_starts.forgetTimes();
    enter(Stage::Recovery, maxRecoveryTime);
    auto jobs = m_options.endedJobs + m_options.liveJobs;
    fill(m_options.endedJobs + jobsOfFirstLeader(), jobs, [this] {
        m_trafficBefore = m_store->traffic();
        startNode("second");
    });
}

/// Whether the current node has settled, and this many live jobs have been started.
bool RecoveryRun::hasSettled(uint64_t startedJobs) const
{
    return m_starts.startedTasks() >= startedJobs && !m_log.timesOf("leader_settled").empty();
}

/// Returns the largest resident size of a process so far, from the kernel's line "VmHWM: N kB".
static uint64_t peakResidentBytes(pid_t pid)
{
    std::ifstream status(fmt::format("/proc/{}/status", pid));
    for (std::string word; status >> word;) {
        uint64_t kibibytes = 0;
        if (word == "VmHWM:" && status >> kibibytes)
            return kibibytes * 1024;
    }
    return 0;
}

void RecoveryRun::measure()
{
    auto traffic = m_store->traffic() - m_trafficBefore;
    m_result.peakBytes = peakResidentBytes(m_nodes.back()->pid(0));
    m_result.storeCalls = traffic.calls;
    m_result.readBytes = traffic.replyBytes;
    m_result.storedBytes = m_store->newestBytes();
    auto elections = m_log.timesOf("leadership_begins");
    m_result.elections = elections.size();
    if (elections.empty())
        return fail(absl::DeadlineExceededError("the node is not elected"));
    close();
    if (auto loaded = m_log.timesOf("progress_loaded"); !loaded.empty())
        m_result.progressLoaded = loaded.front() - elections.front();
    if (auto settled = m_log.timesOf("leader_settled"); !settled.empty())
        m_result.settled = settled.front() - elections.front();
    if (auto start = m_starts.firstStartAt())
        m_result.firstStart = *start - elections.front();
    if (m_starts.startedTasks() >= m_options.liveJobs)
        m_result.allStarted = *m_starts.lastStartAt() - elections.front();
    m_result.restartedTasks = m_starts.repeatedStarts();
}

void RecoveryRun::fail(absl::Status status)
{
    m_status = std::move(status);
    close();
}

/// Kills the node, and ends the run once its calls have been answered.
void RecoveryRun::close()
{
    if (!m_nodes.empty())
        m_nodes.back()->kill(0, nodeDowntime);
    enter(Stage::Closing, closingTime);
}

}
