#include "VirtualCluster.h"
#include <LibConfig/SiteConfigCodec.h>
#include <LibCore/Verify.h>
#include <LibHttp/ConnectionRefused.h>
#include <LibWire/Codec.h>
#include <algorithm>
#include <fmt/format.h>
#include <utility>

namespace Bergamot {

static constexpr Milliseconds tickInterval { 20 };
static constexpr Milliseconds workerDelay { 3 };
static constexpr Milliseconds peerDelay { 2 };
static constexpr Milliseconds callTimeout { 2000 };
static constexpr Milliseconds crashDownTime { 8000 };

struct VirtualCluster::Process {
    std::unique_ptr<LogService> log;
    std::unique_ptr<WorkerService> workers;
    std::unique_ptr<HostListService> hosts;
    std::unique_ptr<PeerTransport> peers;
    std::unique_ptr<EntryNode> node;
    std::deque<std::function<void()>> inbox;
    Instant pausedUntil { neverInstant };
    std::shared_ptr<bool> alive { std::make_shared<bool>(true) };
};

class VirtualCluster::FakeLog final : public LogService {
public:
    FakeLog(VirtualCluster& cluster, MemberId member)
        : m_cluster(cluster)
        , m_member(std::move(member))
    {
    }

    void append(const std::string& stream, std::string bytes, Callback<LogPosition> callback) override
    {
        for (auto reachedStep : m_cluster.findSteps(stream, bytes))
            m_cluster.notifyStep(reachedStep, m_member);
        m_cluster.events.scheduleAfter(
            m_cluster.logDelay, [&cluster = m_cluster, member = m_member, stream, bytes, callback] {
                if (cluster.membersWithDroppedCalls.contains(member))
                    return;
                if (isLogUnavailable(cluster, member)) {
                    cluster.events.scheduleAfter(
                        callTimeout, [callback] { callback(absl::DeadlineExceededError("log unavailable")); });
                    return;
                }
                auto result = cluster.m_log.append(stream, bytes, cluster.events.now());
                if (cluster.appendsToDuplicate > 0) {
                    --cluster.appendsToDuplicate;
                    result = cluster.m_log.append(stream, bytes, cluster.events.now());
                }
                bool isReplyLost = cluster.appendRepliesToDrop > 0 && cluster.appendRepliesToDrop-- > 0;
                auto reply
                    = isReplyLost ? absl::StatusOr<LogPosition>(absl::DeadlineExceededError("reply lost")) : result;
                cluster.events.scheduleAfter(
                    isReplyLost ? callTimeout : cluster.logDelay, [callback, reply] { callback(reply); });
            });
    }

    void read(const std::string& stream, LogPosition from, Milliseconds wait, Callback<LogChunk> callback) override
    {
        poll(m_cluster, m_member, stream, from, m_cluster.events.now() + wait, std::move(callback));
    }

private:
    static bool isLogUnavailable(VirtualCluster& cluster, const MemberId& member)
    {
        return cluster.events.now() < cluster.logUnavailableUntil || cluster.membersWithoutLog.contains(member);
    }

    static void poll(VirtualCluster& cluster, const MemberId& member, const std::string& stream, LogPosition from,
        Instant until, Callback<LogChunk> callback)
    {
        cluster.events.scheduleAfter(cluster.logDelay, [&cluster, member, stream, from, until, callback] {
            if (isLogUnavailable(cluster, member)) {
                cluster.events.scheduleAfter(
                    callTimeout, [callback] { callback(absl::DeadlineExceededError("log unavailable")); });
                return;
            }
            auto chunk = cluster.m_log.read(stream, from, size_t { 1 } << 20, cluster.events.now());
            if (chunk.ok() && chunk->entries.empty() && cluster.events.now() < until) {
                poll(cluster, member, stream, from, until, callback);
                return;
            }
            cluster.events.scheduleAfter(cluster.logDelay, [callback, chunk] { callback(chunk); });
        });
    }

    VirtualCluster& m_cluster;
    MemberId m_member;
};

class VirtualCluster::FakeWorkers final : public WorkerService {
public:
    FakeWorkers(VirtualCluster& cluster, MemberId member)
        : m_cluster(cluster)
        , m_member(std::move(member))
    {
    }

    void start(const std::string& address, const TaskStart& start, Callback<StartReply> callback) override
    {
        m_cluster.notifyStep(Step::StartTask, m_member);
        call<StartReply>(address, callback, [&cluster = m_cluster, address, start](WorkerModel& worker, Instant now) {
            auto reply = worker.start(start, now);
            if (cluster.jobsCrashingAtStart.contains(start.task.job))
                cluster.crashWorker(address, crashDownTime);
            return reply;
        });
    }

    void renew(const std::string& address, const LeaseRenewal& renewal, Callback<LeaseReport> callback) override
    {
        if (!renewal.tasks.empty())
            m_cluster.notifyStep(Step::RenewLease, m_member);
        call<LeaseReport>(
            address, callback, [renewal](WorkerModel& worker, Instant now) { return worker.renew(renewal, now); });
    }

    void stop(const std::string& address, const TaskId& task, bool checkpoint, Callback<StopReply> callback) override
    {
        m_cluster.notifyStep(Step::StopTask, m_member);
        call<StopReply>(address, callback,
            [task, checkpoint](WorkerModel& worker, Instant now) { return worker.stop(task, checkpoint, now); });
    }

    void throttle(const std::string& address, const TaskId& task, int cpuPercent,
        std::function<void(absl::Status)> callback) override
    {
        call<int>(
            address, [callback](const absl::StatusOr<int>& reply) { callback(reply.status()); },
            [task, cpuPercent](WorkerModel& worker, Instant now) {
                worker.throttle(task, cpuPercent, now).IgnoreError();
                return 0;
            });
    }

private:
    template <typename Reply, typename Effect>
    void call(const std::string& address, Callback<Reply> callback, Effect effect)
    {
        m_cluster.events.scheduleAfter(
            workerDelay, [&cluster = m_cluster, member = m_member, address, callback, effect] {
                if (cluster.membersWithDroppedCalls.contains(member))
                    return;
                auto failCall = [&] {
                    cluster.events.scheduleAfter(
                        callTimeout, [callback] { callback(absl::DeadlineExceededError("no reply")); });
                };
                if (cluster.unreachableWorkers.contains(address)) {
                    failCall();
                    return;
                }
                auto failRefused = [&] {
                    cluster.events.scheduleAfter(
                        workerDelay, [callback] { callback(connectionRefusedError("no process listens")); });
                };
                if (cluster.refusingWorkers.contains(address))
                    return failRefused();
                Reply reply = effect(cluster.worker(address), cluster.events.now());
                if (cluster.refusingWorkers.contains(address))
                    return failCall();
                if (cluster.workerRepliesToDrop > 0) {
                    --cluster.workerRepliesToDrop;
                    failCall();
                    return;
                }
                cluster.events.scheduleAfter(workerDelay, [callback, reply] { callback(reply); });
            });
    }

    VirtualCluster& m_cluster;
    MemberId m_member;
};

class VirtualCluster::FakeHosts final : public HostListService {
public:
    explicit FakeHosts(VirtualCluster& cluster)
        : m_cluster(cluster)
    {
    }

    void list(Callback callback) override
    {
        m_cluster.events.scheduleAfter(workerDelay, [&cluster = m_cluster, callback] {
            if (cluster.events.now() < cluster.hostListUnavailableUntil) {
                callback(absl::UnavailableError("host list unavailable"));
                return;
            }
            std::vector<HostEntry> hosts;
            for (const auto& [id, worker] : cluster.m_workers) {
                if (cluster.goneWorkers.contains(id))
                    continue;

                hosts.push_back({ .id = id,
                    .address = id,
                    .zone = worker->options().zone,
                    .rack = "r",
                    .capacity = worker->options().capacity,
                    .leaving = cluster.leavingWorkers.contains(id) });
            }
            callback(std::move(hosts));
        });
    }

private:
    VirtualCluster& m_cluster;
};

class VirtualCluster::FakePeers final : public PeerTransport {
public:
    FakePeers(VirtualCluster& cluster, MemberId member)
        : m_cluster(cluster)
        , m_member(std::move(member))
    {
    }

    void setReceiver(Receiver) override { }

    void send(const std::string& address, std::string_view bytes) override
    {
        if (m_cluster.membersWithoutPeers.contains(m_member) || m_cluster.membersWithoutPeers.contains(address))
            return;
        m_cluster.events.scheduleAfter(peerDelay, [&cluster = m_cluster, address, message = std::string(bytes)] {
            auto it = cluster.m_processes.find(address);
            if (it == cluster.m_processes.end())
                return;
            it->second->inbox.push_back(
                [node = it->second->node.get(), message] { node->peerMessageReceived(message); });
        });
    }

private:
    VirtualCluster& m_cluster;
    MemberId m_member;
};

SiteConfig makeTestConfig()
{
    SiteConfig config;
    config.regions = { { .name = "main", .zones = { "a", "b", "c" } } };
    config.kinds = {
        { .name = "report",
            .size = { .cpuMillis = 1000, .memoryMb = 1000 },
            .run = Milliseconds { 5000 },
            .maxAttempts = 3,
            .yieldsTo = { "settlement" } },
        { .name = "settlement",
            .size = { .cpuMillis = 2000, .memoryMb = 1000 },
            .run = Milliseconds { 5000 },
            .maxAttempts = 3,
            .singleRun = true },
        { .name = "scan",
            .size = { .cpuMillis = 1000, .memoryMb = 1000 },
            .run = Milliseconds { 5000 },
            .maxAttempts = 3,
            .singleRun = false },
    };
    config.services = { { .name = "token", .replica = { .cpuMillis = 500, .memoryMb = 500 }, .replicas = 3 } };
    config.teams = { { .name = "team", .quota = { .cpuMillis = 100'000, .memoryMb = 100'000, .accelerators = 10 } } };
    config.clients
        = { { .name = "shop", .terms = { .requestsPerSecond = 100, .concurrency = 2 }, .services = { "token" } } };
    return config;
}

VirtualCluster::VirtualCluster(Options options)
    : m_options(options)
    , m_log({ .appendsPerSecond = 300 })
{
    createWorkers();
    for (int i = 1; i <= options.nodes; ++i)
        start(fmt::format("e{}", i));
}

VirtualCluster::~VirtualCluster() = default;

void VirtualCluster::createWorkers()
{
    int number = 0;
    for (const char* zone : { "a", "b", "c" }) {
        for (int i = 0; i < m_options.workersPerZone; ++i) {
            auto id = fmt::format("w{}", ++number);
            m_workers[id] = std::make_unique<WorkerModel>(WorkerModelOptions { .id = id,
                .zone = zone,
                .capacity = { .cpuMillis = 8000, .memoryMb = 16'000, .accelerators = 1 },
                .seed = m_options.seed + static_cast<uint64_t>(number),
                .clockOffsetMs = 5'000'000 * number });
        }
    }
}

void VirtualCluster::start(const MemberId& member)
{
    auto process = std::make_unique<Process>();
    process->log = std::make_unique<FakeLog>(*this, member);
    process->workers = std::make_unique<FakeWorkers>(*this, member);
    process->hosts = std::make_unique<FakeHosts>(*this);
    process->peers = std::make_unique<FakePeers>(*this, member);
    Executor executor = [raw = process.get(), alive = std::weak_ptr(process->alive)](std::function<void()> task) {
        if (!alive.expired())
            raw->inbox.push_back(std::move(task));
    };
    NodeSettings settings { .member = member,
        .zone = std::string(1, static_cast<char>('a' + (member.back() - '1') % 3)),
        .region = "main",
        .peerListen = member };
    for (int i = 1; i <= m_options.nodes; ++i)
        settings.peers.push_back(fmt::format("e{}", i));
    auto node = EntryNode::create({ .settings = settings,
        .incarnation = ++m_nextIncarnation,
        .seed = m_options.seed,
        .platform = { .log = process->log.get(),
            .workers = process->workers.get(),
            .hosts = process->hosts.get(),
            .peers = process->peers.get(),
            .clock = &events,
            .executor = executor },
        .snapshotInterval = Milliseconds { 60'000 },
        .snapshotEntries = m_options.snapshotEntries });
    VERIFY(node.ok());
    process->node = std::move(*node);
    m_processes[member] = std::move(process);
}

void VirtualCluster::crashWorker(const WorkerId& id, Milliseconds downTime)
{
    worker(id).restart(events.now());
    refusingWorkers.insert(id);
    events.scheduleAfter(downTime, [this, id] { refusingWorkers.erase(id); });
}

void VirtualCluster::kill(const MemberId& member) { m_processes.erase(member); }

void VirtualCluster::pause(const MemberId& member, Milliseconds length)
{
    if (auto it = m_processes.find(member); it != m_processes.end())
        it->second->pausedUntil = events.now() + length;
}

void VirtualCluster::step()
{
    events.advanceTo(events.now() + tickInterval);
    std::vector<MemberId> members;
    for (const auto& [id, process] : m_processes)
        members.push_back(id);
    for (const auto& id : members) {
        // A fault injected during a task can kill the process, so the process is looked up again before each task.
        while (true) {
            auto it = m_processes.find(id);
            if (it == m_processes.end() || it->second->pausedUntil > events.now() || it->second->inbox.empty())
                break;
            auto task = std::move(it->second->inbox.front());
            it->second->inbox.pop_front();
            task();
        }
        auto it = m_processes.find(id);
        if (it != m_processes.end() && it->second->pausedUntil <= events.now())
            it->second->node->tick(events.now());
    }
}

void VirtualCluster::run(Milliseconds length)
{
    for (auto end = events.now() + length; events.now() < end;)
        step();
}

bool VirtualCluster::runUntil(Milliseconds limit, const std::function<bool()>& condition)
{
    for (auto end = events.now() + limit; events.now() < end;) {
        step();
        if (condition())
            return true;
    }
    return false;
}

EntryNode* VirtualCluster::node(const MemberId& member)
{
    auto it = m_processes.find(member);
    return it == m_processes.end() ? nullptr : it->second->node.get();
}

EntryNode* VirtualCluster::anyNode()
{
    for (const auto& [id, process] : m_processes) {
        if (process->pausedUntil <= events.now()
            && process->node->membership().renewalAuthority().hasFreshLog(events.now()))
            return process->node.get();
    }
    return nullptr;
}

EntryNode* VirtualCluster::leader()
{
    auto* any = anyNode();
    return any ? node(any->region().state().image().leader.member) : nullptr;
}

const StateImage& VirtualCluster::image()
{
    auto* newest = m_processes.begin()->second->node.get();
    for (const auto& [id, process] : m_processes) {
        if (process->node->region().state().position() > newest->region().state().position())
            newest = process->node.get();
    }
    return newest->region().state().image();
}

void VirtualCluster::publishConfig(uint64_t version)
{
    anyNode()->configStream().appends().submit(ConfigPublished {
        .version = version, .basedOn = version - 1, .author = "test", .body = encodeSiteConfig(makeTestConfig()) });
}

void VirtualCluster::submitJob(const JobId& id, int64_t runMs, const std::string& kind)
{
    m_submitted.insert(id);
    const auto config = makeTestConfig();
    anyNode()->region().appends().submit(JobSubmitted { .job = id,
        .kind = kind,
        .team = "team",
        .client = "shop",
        .size = config.findKind(kind)->size,
        .runMs = runMs,
        .requestKey = "shop/" + id });
}

void VirtualCluster::setZoneOut(const ZoneId& zone, bool out)
{
    if (out)
        m_requestedZoneReturn.reset();
    else if (!m_requestedZoneReturn) {
        m_requestedZoneReturn = ZoneReturn { .zone = zone,
            .requestedAtMs = events.now().time_since_epoch().count(),
            .position = anyNode()->region().state().position() };
    }
    anyNode()->region().appends().submit(
        ZoneChanged { .zone = zone, .out = out }, [this, zone, out](const auto& status) {
            if (status.ok())
                m_zoneEvents.push_back({ .zone = zone, .isOut = out, .atMs = events.now().time_since_epoch().count() });
        });
}

// All members may die after the append of a zone's return and before its reply. The zone is then in service again
// without a confirmation to the operator, which the state of a member that has read past the request shows.
void VirtualCluster::recordUnconfirmedZoneReturn()
{
    if (!m_requestedZoneReturn)
        return;
    for (const char* id : { "e1", "e2", "e3" }) {
        auto* member = node(id);
        if (!member || member->region().state().position() <= m_requestedZoneReturn->position
            || member->region().state().image().zonesOut.contains(m_requestedZoneReturn->zone))
            continue;
        m_zoneEvents.push_back(
            { .zone = m_requestedZoneReturn->zone, .isOut = false, .atMs = m_requestedZoneReturn->requestedAtMs });
        m_requestedZoneReturn.reset();
        return;
    }
}

RunRecords VirtualCluster::records()
{
    RunRecords records;
    recordUnconfirmedZoneReturn();
    for (auto& [id, worker] : m_workers) {
        worker->advance(events.now());
        for (const auto& task : worker->taskRecords())
            records.tasks.push_back(task);
        records.workers.push_back(worker->record());
    }
    records.zones = m_zoneEvents;
    return records;
}

bool VirtualCluster::allJobsEnded()
{
    const auto& jobs = image().jobs;
    return std::ranges::all_of(m_submitted, [&](const auto& id) {
        auto it = jobs.find(id);
        return it != jobs.end() && it->second.hasEnded();
    });
}

void VirtualCluster::notifyStep(Step reachedStep, const MemberId& member)
{
    if (onStep)
        onStep(reachedStep, member);
}

namespace {

    struct RecordToStep {
        template <typename Other> std::optional<Step> operator()(const Other&) const { return std::nullopt; }
        std::optional<Step> operator()(const MemberJoined&) const { return Step::Join; }
        std::optional<Step> operator()(const LeaderClaimed&) const { return Step::TakeOverLeadership; }
        std::optional<Step> operator()(const ConfigPublished&) const { return Step::PublishConfig; }
        std::optional<Step> operator()(const WorkerListed&) const { return Step::ListWorker; }
        std::optional<Step> operator()(const JobSubmitted&) const { return Step::RecordJob; }
        std::optional<Step> operator()(const TaskIntent&) const { return Step::ClaimWorker; }
        std::optional<Step> operator()(const TaskRevoked&) const { return Step::EvictTask; }
        std::optional<Step> operator()(const TaskEnded&) const { return Step::CompleteTask; }
        std::optional<Step> operator()(const JobCancelled&) const { return Step::CancelJob; }
        std::optional<Step> operator()(const RequestClaimed&) const { return Step::ClaimRequest; }
        std::optional<Step> operator()(const RequestFinished&) const { return Step::FinishRequest; }
        std::optional<Step> operator()(const TermsRenewed&) const { return Step::RenewTerms; }
        std::optional<Step> operator()(const ZoneChanged& record) const
        {
            return record.out ? Step::ZoneOut : Step::ZoneIn;
        }
        std::optional<Step> operator()(const SnapshotBegin&) const { return Step::Snapshot; }
    };

}

std::vector<Step> VirtualCluster::findSteps(const std::string&, const std::string& bytes) const
{
    std::vector<Step> steps;
    auto batch = decodeBatch(bytes);
    if (!batch.ok())
        return steps;
    for (const auto& record : batch->records) {
        if (auto reachedStep = std::visit(RecordToStep {}, record))
            steps.push_back(*reachedStep);
    }
    return steps;
}

}
