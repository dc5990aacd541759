#include "TaskWorker.h"
#include "StoreStandIn.h"
#include <LibHttp/EventLoop.h>
#include <LibStandIn/JsonField.h>
#include <algorithm>
#include <charconv>
#include <chrono>
#include <fmt/format.h>
#include <utility>

namespace Bergamot {

using nlohmann::json;

static constexpr Milliseconds tickInterval { 10 };
static constexpr size_t maxListedFinishedRuns = 500;
static constexpr int64_t maxWaitMs = 2000;
static constexpr size_t maxRequestBytes = size_t { 64 } << 10;

/// Share of the calls that are executed late after a silent crash, and bounds of their delay.
static constexpr int latePercent = 40;
static constexpr int64_t minLateMs = 1000;
static constexpr int64_t maxLateMs = 10000;

/// Time in which a node that knows an incarnation reaches it, even if several calls on end are executed late.
static constexpr Milliseconds maxTimeToReach { 5000 };

/// Longer than any caller waits for a reply.
static constexpr Milliseconds unansweredTime { 5000 };

/// Heartbeat intervals without an announcement after which the platform removes a worker's entry.
static constexpr int maxMissedHeartbeats = 3;

/// Columns of a row of the job's spec. Each row describes the task behaviour of one step; see taskSpecText().
enum SpecColumn : uint8_t {
    DurationColumn,
    FailingRunsColumn,
    CpuColumn,
    MemoryColumn,
    CrashAfterColumn,
    SpecColumnCount
};

absl::StatusOr<std::unique_ptr<TaskWorker>> TaskWorker::create(
    EventLoop& loop, StoreStandIn& store, RunObserver& observer, TaskWorkerOptions options)
{
    std::unique_ptr<TaskWorker> worker(new TaskWorker(loop, store, observer, std::move(options)));
    const auto& o = worker->m_options;
    auto proxy = TcpProxy::create(loop, { o.ip, o.publicPort }, { o.ip, o.serverPort });
    if (!proxy.ok())
        return proxy.status();
    worker->m_proxy = std::move(*proxy);
    auto server = HttpServer::create({ .address = o.ip,
        .port = o.serverPort,
        .limits = { .maxRequestBytes = maxRequestBytes },
        .handler = [self = worker.get()](HttpRequest request, HttpResponder responder) {
            auto shared = std::make_shared<HttpResponder>(std::move(responder));
            self->m_loop.post([self, request = std::move(request), shared] { self->handle(request, shared); });
        } });
    if (!server.ok())
        return server.status();
    worker->m_server = std::move(*server);
    worker->startIncarnation();
    worker->tick();
    return worker;
}

TaskWorker::TaskWorker(EventLoop& loop, StoreStandIn& store, RunObserver& observer, TaskWorkerOptions options)
    : m_loop(loop)
    , m_store(store)
    , m_observer(observer)
    , m_options(std::move(options))
    , m_random(m_options.seed)
    , m_id(m_options.id)
    , m_capacity(m_options.capacity)
{
}

TaskWorker::~TaskWorker() = default;

void TaskWorker::startIncarnation()
{
    auto now = std::chrono::system_clock::now().time_since_epoch();
    m_startedAtMs = std::chrono::duration_cast<Milliseconds>(now).count();
    m_incarnationStart = m_loop.now();
    m_fenceToken = 0;
    m_leaseExpiresAtMs = 0;
    m_activeRuns.clear();
    for (const auto& [task, runNumber] : m_highestClosedRuns)
        m_runsClosedBefore[task] = std::max(m_runsClosedBefore[task], runNumber);
    m_highestClosedRuns.clear();
    m_reachedAt = neverInstant;
    m_finishedRuns.clear();
    m_nextFinishedSequence = 1;
    m_announcementSequence = 0;
    m_lastAnnouncedAt = neverInstant;
    m_isAlive = true;
    m_observer.capacityChanged(m_id, m_capacity);
}

/// Returns false if the worker was down already.
bool TaskWorker::endIncarnation(Milliseconds downtime, const std::string& crashingTask)
{
    m_restartsAt = std::max(m_restartsAt, m_loop.now() + downtime);
    if (!std::exchange(m_isAlive, false))
        return false;
    m_activeRuns.clear();
    m_observer.workerCrashed(m_id, crashingTask);
    return true;
}

void TaskWorker::crash(Milliseconds downtime, const std::string& crashingTask)
{
    if (!endIncarnation(downtime, crashingTask))
        return;
    m_proxy->setRefusingConnections(true);
    m_waitingRenewals.clear();
}

void TaskWorker::crashSilently(Milliseconds downtime, Milliseconds lateTime)
{
    if (!endIncarnation(downtime, {}))
        return;
    m_lateCallsUntil = m_loop.now() + downtime + lateTime;
    for (const auto& it : m_waitingRenewals)
        leaveUnanswered(it.responder);
    m_waitingRenewals.clear();
}

void TaskWorker::cutOff(Milliseconds duration)
{
    m_cutOffUntil = std::max(m_cutOffUntil, m_loop.now() + duration);
    m_proxy->stopListening();
}

/// The attempt is repeated at each tick until it succeeds.
void TaskWorker::reconnectIfDue()
{
    if (m_cutOffUntil == neverInstant || m_loop.now() < m_cutOffUntil)
        return;
    if (m_proxy->startListening().ok())
        m_cutOffUntil = neverInstant;
}

bool TaskWorker::crashIfTaskIsDue()
{
    auto it
        = std::ranges::find_if(m_activeRuns, [&](const auto& item) { return m_loop.now() >= item.second.crashesAt; });
    if (it == m_activeRuns.end())
        return false;
    auto task = it->first;
    crash(Milliseconds { m_random.between(m_options.minDowntime.count(), m_options.maxDowntime.count()) }, task);
    if (m_random.chance(m_options.newIdPercent))
        m_id = fmt::format("{}-{}", m_options.id, ++m_newIdCount);
    return true;
}

void TaskWorker::restartIfDue()
{
    if (m_isAlive || m_loop.now() < m_restartsAt)
        return;
    startIncarnation();
    m_proxy->setRefusingConnections(false);
}

int64_t TaskWorker::clockMs() const
{
    auto age = static_cast<double>((m_loop.now() - m_incarnationStart).count());
    return m_options.clockOffsetMs + static_cast<int64_t>(age * m_options.clockRate);
}

void TaskWorker::reply(const Responder& responder, int status, const char* reason) const
{
    if (!responder)
        return;
    json body { { "clockMs", clockMs() } };
    if (reason)
        body["reason"] = reason;
    responder->send({ .status = status, .body = body.dump() });
}

void TaskWorker::handle(const HttpRequest& request, const Responder& responder)
{
    if (m_loop.now() < m_lateCallsUntil) {
        bool isLate = m_random.chance(latePercent);
        if (isLate)
            m_loop.callAfter(
                Milliseconds { m_random.between(minLateMs, maxLateMs) }, [this, request, startedAtMs = m_startedAtMs] {
                    m_isCallMisdirected = m_startedAtMs != startedAtMs;
                    if (m_isAlive)
                        execute(request, nullptr);
                    m_isCallMisdirected = false;
                });
        if (isLate || !m_isAlive)
            return leaveUnanswered(responder);
    }
    if (m_isAlive)
        execute(request, responder);
}

void TaskWorker::leaveUnanswered(const Responder& responder)
{
    m_unansweredCalls.push_back({ m_loop.now() + unansweredTime, responder });
}

void TaskWorker::execute(const HttpRequest& request, const Responder& responder)
{
    if (headerValue(request.headers, "X-Bergamotbay-Expect-Instance") != m_id)
        return reply(responder, 421, nullptr);
    auto command = parseJson(request.body);
    if (!command.is_object())
        return reply(responder, 400, nullptr);
    endRunsIfLeaseExpired();
    auto fenceToken = static_cast<uint64_t>(jsonInteger(command, "fencingToken"));
    if (fenceToken < m_fenceToken)
        return reply(responder, 409, "fence");
    m_fenceToken = fenceToken;
    if (responder && m_reachedAt == neverInstant)
        m_reachedAt = m_loop.now();
    if (request.path == "/run-start")
        return start(command, responder);
    if (request.path == "/run-stop")
        return stop(command, responder);
    if (request.path == "/hold")
        return renewLease(command, responder);
    // This stand-in does not model the speed of tasks, so it accepts the command without any effect.
    if (request.path == "/pace")
        return reply(responder, 200, nullptr);
    reply(responder, 404, nullptr);
}

void TaskWorker::extendLease(const json& command)
{
    auto until = std::min(jsonInteger(command, "untilMs"), clockMs() + m_options.maxLeaseMs);
    m_leaseExpiresAtMs = std::max(m_leaseExpiresAtMs, until);
}

static json findSpecRow(const std::string& task, const std::string& spec)
{
    auto lastDot = task.rfind('.');
    auto stepDot = lastDot == std::string::npos ? lastDot : task.rfind('.', lastDot - 1);
    if (stepDot == std::string::npos)
        return {};
    size_t step = 0;
    std::from_chars(task.data() + stepDot + 1, task.data() + lastDot, step);
    auto rows = parseJson(spec);
    if (!rows.is_array() || step >= rows.size() || rows[step].size() != SpecColumnCount)
        return {};
    return rows[step];
}

WorkerLoad TaskWorker::loadWith(const ActiveRun& added) const
{
    WorkerLoad load { .used = added.used, .capacity = m_capacity, .guardsCapacity = m_options.guardsCapacity };
    for (const auto& [task, run] : m_activeRuns) {
        // The nodes may not know of such a run, so it is no fault of theirs if it leaves too little room.
        if (run.identity.isMisdirected && !load.guardsCapacity)
            continue;
        load.used.cpuMillis += run.used.cpuMillis;
        load.used.memoryMb += run.used.memoryMb;
    }
    return load;
}

void TaskWorker::setCapacity(const WorkerCapacity& capacity)
{
    if (capacity == m_capacity)
        return;
    m_capacity = capacity;
    m_observer.capacityChanged(m_id, m_capacity);
}

void TaskWorker::shrinkCapacity(int64_t percent, Milliseconds duration)
{
    m_shrunkUntil = std::max(m_shrunkUntil, m_loop.now() + duration);
    setCapacity(m_options.capacity.scaledTo(percent));
}

bool TaskWorker::isUnpreventable(const std::string& task, uint64_t runNumber) const
{
    auto it = m_runsClosedBefore.find(task);
    bool wasClosed = it != m_runsClosedBefore.end() && runNumber <= it->second;
    return wasClosed && (m_reachedAt == neverInstant || m_loop.now() - m_reachedAt <= maxTimeToReach);
}

void TaskWorker::start(const json& command, const Responder& responder)
{
    auto task = jsonText(command, "task");
    auto runNumber = static_cast<uint64_t>(jsonInteger(command, "runId"));
    auto spec = jsonText(command, "spec");
    auto row = findSpecRow(task, spec);
    if (runNumber == 0 || !row.is_array())
        return reply(responder, 400, nullptr);
    extendLease(command);
    if (!responder && isUnpreventable(task, runNumber))
        return;
    if (clockMs() >= m_leaseExpiresAtMs)
        return reply(responder, 409, "late");
    auto active = m_activeRuns.find(task);
    if (active != m_activeRuns.end() && active->second.identity.runNumber == runNumber)
        return reply(responder, 200, nullptr);
    if (auto it = m_highestClosedRuns.find(task); it != m_highestClosedRuns.end() && runNumber <= it->second)
        return reply(responder, 409, "old");
    if (active != m_activeRuns.end() && runNumber < active->second.identity.runNumber)
        return reply(responder, 409, "old");
    ActiveRun run { .identity = { .worker = m_id,
                        .task = task,
                        .runNumber = runNumber,
                        .fenceToken = m_fenceToken,
                        .isMisdirected = m_isCallMisdirected,
                        .isOfUnknownIncarnation = m_isCallMisdirected && m_reachedAt == neverInstant },
        .startedAt = m_loop.now(),
        .duration = Milliseconds { row[DurationColumn].get<int64_t>() },
        .failingRuns = row[FailingRunsColumn].get<uint32_t>(),
        .used = { row[CpuColumn].get<int64_t>(), row[MemoryColumn].get<int64_t>() } };
    if (auto crashAfterMs = row[CrashAfterColumn].get<int64_t>(); crashAfterMs > 0 && task.ends_with(".0"))
        run.crashesAt = m_loop.now() + Milliseconds { crashAfterMs };
    auto load = loadWith(run);
    if (load.guardsCapacity && !load.used.fitsInto(load.capacity))
        return reply(responder, 409, "room");
    m_observer.runStarted(run.identity, spec, load);
    m_activeRuns[task] = std::move(run);
    reply(responder, 200, nullptr);
}

void TaskWorker::stop(const json& command, const Responder& responder)
{
    auto task = jsonText(command, "task");
    auto runNumber = static_cast<uint64_t>(jsonInteger(command, "runId"));
    auto active = m_activeRuns.find(task);
    if (active != m_activeRuns.end() && active->second.identity.runNumber <= runNumber)
        active->second.stopsAt = std::min(active->second.stopsAt, m_loop.now() + m_options.stopDelay);
    auto& highest = m_highestClosedRuns[task];
    highest = std::max(highest, runNumber);
    reply(responder, 200, nullptr);
}

void TaskWorker::renewLease(const json& command, const Responder& responder)
{
    if (command.contains("untilMs"))
        extendLease(command);
    // No node can know of a run that an incarnation which it has not reached starts, ends and forgets by late calls.
    if (responder || m_reachedAt != neverInstant)
        acknowledge(static_cast<uint64_t>(jsonInteger(command, "ackedSeq")));
    if (!responder)
        return;
    auto waitMs = std::min(jsonInteger(command, "waitMs"), maxWaitMs);
    if (waitMs <= 0 || !m_finishedRuns.empty())
        return responder->send(statusReply());
    m_waitingRenewals.push_back({ m_loop.now() + Milliseconds { waitMs }, responder });
}

void TaskWorker::acknowledge(uint64_t sequence)
{
    while (!m_finishedRuns.empty() && m_finishedRuns.front().sequence <= sequence) {
        auto finishedRun = std::move(m_finishedRuns.front());
        m_finishedRuns.pop_front();
        if (!finishedRun.hasLeaseExpired)
            m_observer.endAcknowledged(finishedRun.identity, finishedRun.outcome);
    }
}

HttpResponse TaskWorker::statusReply() const
{
    auto running = json::array();
    for (const auto& [task, run] : m_activeRuns) {
        auto percent = 100 * (m_loop.now() - run.startedAt) / std::max(run.duration, Milliseconds { 1 });
        running.push_back({ task, run.identity.runNumber, "", std::min<int64_t>(percent, 100), run.used.cpuMillis });
    }
    auto finished = json::array();
    for (const auto& finishedRun : m_finishedRuns) {
        if (finished.size() < maxListedFinishedRuns)
            finished.push_back({ finishedRun.sequence, finishedRun.identity.task, finishedRun.identity.runNumber,
                finishedRun.outcome, "" });
    }
    json body { { "clockMs", clockMs() }, { "born", m_startedAtMs }, { "running", std::move(running) },
        { "finished", std::move(finished) } };
    return { .body = body.dump() };
}

void TaskWorker::endRun(const std::string& task, const std::string& outcome)
{
    auto it = m_activeRuns.find(task);
    if (it == m_activeRuns.end())
        return;
    auto identity = std::move(it->second.identity);
    m_activeRuns.erase(it);
    auto& highest = m_highestClosedRuns[task];
    highest = std::max(highest, identity.runNumber);
    m_observer.runEnded(identity, outcome);
    m_finishedRuns.push_back({ m_nextFinishedSequence++, std::move(identity), outcome });
}

void TaskWorker::endRunsIfLeaseExpired()
{
    if (clockMs() < m_leaseExpiresAtMs)
        return;
    for (auto& finishedRun : m_finishedRuns)
        finishedRun.hasLeaseExpired = true;
    while (!m_activeRuns.empty())
        endRun(std::string(m_activeRuns.begin()->first), "lapsed");
}

void TaskWorker::tick()
{
    m_loop.callAfter(tickInterval, [this] { tick(); });
    restartIfDue();
    reconnectIfDue();
    if (m_loop.now() >= m_shrunkUntil)
        setCapacity(m_options.capacity);
    announce();
    std::erase_if(m_unansweredCalls, [&](const UnansweredCall& it) { return m_loop.now() >= it.forgottenAt; });
    if (!m_isAlive)
        return;
    endRunsIfLeaseExpired();
    if (crashIfTaskIsDue())
        return;
    auto now = m_loop.now();
    std::vector<std::pair<std::string, std::string>> due;
    for (const auto& [task, run] : m_activeRuns) {
        if (now >= run.startedAt + run.duration)
            due.emplace_back(task, m_observer.failedRuns(task) < run.failingRuns ? "failed" : "done");
        else if (now >= run.stopsAt)
            due.emplace_back(task, "stopped");
    }
    for (const auto& [task, outcome] : due)
        endRun(task, outcome);
    std::erase_if(m_waitingRenewals, [&](const WaitingRenewal& renewal) {
        if (m_finishedRuns.empty() && now < renewal.expiresAt)
            return false;
        renewal.responder->send(statusReply());
        return true;
    });
}

void TaskWorker::announce()
{
    if (m_store.isDown())
        return;
    auto now = m_loop.now();
    bool isCutOff = m_cutOffUntil != neverInstant;
    std::erase_if(m_entries, [&](const auto& entry) {
        const auto& [id, announcedAt] = entry;
        bool isCurrent = m_isAlive && !isCutOff && id == m_id;
        if (isCurrent || now - announcedAt <= maxMissedHeartbeats * m_options.heartbeatInterval)
            return false;
        m_store.putWorkerRecord(id, {});
        return true;
    });
    if (!m_isAlive || isCutOff || now - m_lastAnnouncedAt < m_options.heartbeatInterval)
        return;
    json entry { { "service", m_options.service }, { "addr", fmt::format("{}:{}", m_options.ip, m_options.publicPort) },
        { "zone", m_options.zone }, { "version", "v1" }, { "slots", 8 }, { "state", "ready" }, { "coldLeftMs", 0 },
        { "capacity", { { "cpu", m_capacity.cpuMillis }, { "memMb", m_capacity.memoryMb }, { "gpu", 0 } } },
        { "labels", { "general", m_options.rack } }, { "clockMs", clockMs() }, { "born", m_startedAtMs },
        { "seq", ++m_announcementSequence } };
    m_store.putWorkerRecord(m_id, entry.dump());
    m_lastAnnouncedAt = now;
    m_entries[m_id] = now;
}

}
