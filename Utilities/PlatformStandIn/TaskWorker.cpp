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
static constexpr size_t listedEnds = 500;
static constexpr int64_t longestWaitMs = 2000;
static constexpr size_t maxRequestBytes = size_t { 64 } << 10;

/// The platform removes an entry after this many heartbeats of silence.
static constexpr int silentHeartbeats = 3;

/// Positions in the row of the job's text that tells how the tasks of one step behave.
enum SpecColumn : uint8_t { DurationColumn, FailuresColumn, CpuColumn, MemoryColumn, SpecColumns };

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
    worker->beginLife();
    worker->tick();
    return worker;
}

TaskWorker::TaskWorker(EventLoop& loop, StoreStandIn& store, RunObserver& observer, TaskWorkerOptions options)
    : m_loop(loop)
    , m_store(store)
    , m_observer(observer)
    , m_options(std::move(options))
{
}

TaskWorker::~TaskWorker() = default;

void TaskWorker::beginLife()
{
    auto now = std::chrono::system_clock::now().time_since_epoch();
    m_startedAtMs = std::chrono::duration_cast<Milliseconds>(now).count();
    m_bornAt = m_loop.now();
    m_epoch = 0;
    m_leaseUntilMs = 0;
    m_runs.clear();
    m_highestClosed.clear();
    m_ends.clear();
    m_nextEnd = 1;
    m_announcements = 0;
    m_announcedAt = neverInstant;
    m_alive = true;
}

void TaskWorker::crash()
{
    if (!std::exchange(m_alive, false))
        return;
    m_proxy->setRefusing(true);
    m_runs.clear();
    m_waiters.clear();
    m_observer.workerCrashed(m_options.id);
}

void TaskWorker::revive()
{
    if (m_alive)
        return;
    beginLife();
    m_proxy->setRefusing(false);
}

int64_t TaskWorker::clockMs() const
{
    auto age = static_cast<double>((m_loop.now() - m_bornAt).count());
    return m_options.clockOffsetMs + static_cast<int64_t>(age * m_options.clockRate);
}

void TaskWorker::answer(const Responder& responder, int status, const char* reason) const
{
    json body { { "clockMs", clockMs() }, { "born", m_startedAtMs } };
    if (reason)
        body["reason"] = reason;
    responder->send({ .status = status, .body = body.dump() });
}

void TaskWorker::handle(const HttpRequest& request, const Responder& responder)
{
    if (!m_alive)
        return;
    if (headerValue(request.headers, "X-Bergamotbay-Expect-Instance") != m_options.id)
        return answer(responder, 421, nullptr);
    auto order = parseJson(request.body);
    if (!order.is_object())
        return answer(responder, 400, nullptr);
    checkLease();
    auto epoch = static_cast<uint64_t>(jsonInteger(order, "fencingToken"));
    if (epoch < m_epoch)
        return answer(responder, 409, "fence");
    m_epoch = epoch;
    if (request.path == "/run-start")
        return start(order, responder);
    if (request.path == "/run-stop")
        return stop(order, responder);
    if (request.path == "/hold")
        return hold(order, responder);
    // The speed of tasks is not part of this stand-in, so a pace is only accepted.
    if (request.path == "/pace")
        return answer(responder, 200, nullptr);
    answer(responder, 404, nullptr);
}

void TaskWorker::extendLease(const json& order)
{
    auto until = std::min(jsonInteger(order, "untilMs"), clockMs() + m_options.longestLeaseMs);
    m_leaseUntilMs = std::max(m_leaseUntilMs, until);
}

static json specRow(const std::string& task, const std::string& spec)
{
    auto lastDot = task.rfind('.');
    auto stepDot = lastDot == std::string::npos ? lastDot : task.rfind('.', lastDot - 1);
    if (stepDot == std::string::npos)
        return {};
    size_t step = 0;
    std::from_chars(task.data() + stepDot + 1, task.data() + lastDot, step);
    auto rows = parseJson(spec);
    if (!rows.is_array() || step >= rows.size() || rows[step].size() != SpecColumns)
        return {};
    return rows[step];
}

bool TaskWorker::hasRoom(const ActiveRun& added) const
{
    auto cpu = added.cpuMillis;
    auto memory = added.memoryMb;
    for (const auto& [task, run] : m_runs) {
        cpu += run.cpuMillis;
        memory += run.memoryMb;
    }
    return cpu <= m_options.cpuMillis && memory <= m_options.memoryMb;
}

void TaskWorker::start(const json& order, const Responder& responder)
{
    auto task = jsonText(order, "task");
    auto number = static_cast<uint64_t>(jsonInteger(order, "runId"));
    auto spec = jsonText(order, "spec");
    auto row = specRow(task, spec);
    if (number == 0 || !row.is_array())
        return answer(responder, 400, nullptr);
    extendLease(order);
    if (clockMs() >= m_leaseUntilMs)
        return answer(responder, 409, "late");
    auto active = m_runs.find(task);
    if (active != m_runs.end() && active->second.identity.run == number)
        return answer(responder, 200, nullptr);
    if (auto it = m_highestClosed.find(task); it != m_highestClosed.end() && number <= it->second)
        return answer(responder, 409, "old");
    if (active != m_runs.end() && number < active->second.identity.run)
        return answer(responder, 409, "old");
    ActiveRun run { .identity = { .worker = m_options.id, .task = task, .run = number, .epoch = m_epoch },
        .startedAt = m_loop.now(),
        .duration = Milliseconds { row[DurationColumn].get<int64_t>() },
        .failures = row[FailuresColumn].get<uint32_t>(),
        .cpuMillis = row[CpuColumn].get<int64_t>(),
        .memoryMb = row[MemoryColumn].get<int64_t>() };
    if (!hasRoom(run))
        return answer(responder, 409, "room");
    m_observer.runStarted(run.identity, spec);
    m_runs[task] = std::move(run);
    answer(responder, 200, nullptr);
}

void TaskWorker::stop(const json& order, const Responder& responder)
{
    auto task = jsonText(order, "task");
    auto number = static_cast<uint64_t>(jsonInteger(order, "runId"));
    auto active = m_runs.find(task);
    if (active != m_runs.end() && active->second.identity.run <= number)
        active->second.stopsAt = std::min(active->second.stopsAt, m_loop.now() + m_options.stopTime);
    auto& highest = m_highestClosed[task];
    highest = std::max(highest, number);
    answer(responder, 200, nullptr);
}

void TaskWorker::hold(const json& order, const Responder& responder)
{
    if (order.contains("untilMs"))
        extendLease(order);
    acknowledge(static_cast<uint64_t>(jsonInteger(order, "ackedSeq")));
    auto wait = std::min(jsonInteger(order, "waitMs"), longestWaitMs);
    if (wait <= 0 || !m_ends.empty())
        return responder->send(lists());
    m_waiters.push_back({ m_loop.now() + Milliseconds { wait }, responder });
}

void TaskWorker::acknowledge(uint64_t sequence)
{
    while (!m_ends.empty() && m_ends.front().sequence <= sequence) {
        auto end = std::move(m_ends.front());
        m_ends.pop_front();
        if (!end.leaseLapsed)
            m_observer.endAcknowledged(end.identity, end.outcome);
    }
}

HttpResponse TaskWorker::lists() const
{
    auto running = json::array();
    for (const auto& [task, run] : m_runs) {
        auto percent = 100 * (m_loop.now() - run.startedAt) / std::max(run.duration, Milliseconds { 1 });
        running.push_back({ task, run.identity.run, "", std::min<int64_t>(percent, 100), run.cpuMillis });
    }
    auto finished = json::array();
    for (const auto& end : m_ends) {
        if (finished.size() < listedEnds)
            finished.push_back({ end.sequence, end.identity.task, end.identity.run, end.outcome, "" });
    }
    json body { { "clockMs", clockMs() }, { "born", m_startedAtMs }, { "running", std::move(running) },
        { "finished", std::move(finished) } };
    return { .body = body.dump() };
}

void TaskWorker::endRun(const std::string& task, const std::string& outcome)
{
    auto it = m_runs.find(task);
    if (it == m_runs.end())
        return;
    auto identity = std::move(it->second.identity);
    m_runs.erase(it);
    auto& highest = m_highestClosed[task];
    highest = std::max(highest, identity.run);
    m_observer.runEnded(identity, outcome);
    m_ends.push_back({ m_nextEnd++, std::move(identity), outcome });
}

void TaskWorker::checkLease()
{
    if (clockMs() < m_leaseUntilMs)
        return;
    for (auto& end : m_ends)
        end.leaseLapsed = true;
    while (!m_runs.empty())
        endRun(std::string(m_runs.begin()->first), "lapsed");
}

void TaskWorker::tick()
{
    m_loop.callAfter(tickInterval, [this] { tick(); });
    announce();
    if (!m_alive)
        return;
    checkLease();
    auto now = m_loop.now();
    std::vector<std::pair<std::string, std::string>> due;
    for (const auto& [task, run] : m_runs) {
        if (now >= run.startedAt + run.duration)
            due.emplace_back(task, m_observer.failedRuns(task) < run.failures ? "failed" : "done");
        else if (now >= run.stopsAt)
            due.emplace_back(task, "stopped");
    }
    for (const auto& [task, outcome] : due)
        endRun(task, outcome);
    std::erase_if(m_waiters, [&](const Waiter& waiter) {
        if (m_ends.empty() && now < waiter.until)
            return false;
        waiter.responder->send(lists());
        return true;
    });
}

void TaskWorker::announce()
{
    if (m_store.isDown())
        return;
    auto now = m_loop.now();
    if (!m_alive) {
        if (m_listed && now - m_announcedAt > silentHeartbeats * m_options.heartbeat) {
            m_store.putWorkerRecord(m_options.id, {});
            m_listed = false;
        }
        return;
    }
    if (now - m_announcedAt < m_options.heartbeat)
        return;
    json entry { { "service", m_options.service }, { "addr", fmt::format("{}:{}", m_options.ip, m_options.publicPort) },
        { "zone", m_options.zone }, { "version", "v1" }, { "slots", 8 }, { "state", "ready" }, { "coldLeftMs", 0 },
        { "capacity", { { "cpu", m_options.cpuMillis }, { "memMb", m_options.memoryMb }, { "gpu", 0 } } },
        { "labels", { "general", m_options.rack } }, { "clockMs", clockMs() }, { "born", m_startedAtMs },
        { "seq", ++m_announcements } };
    m_store.putWorkerRecord(m_options.id, entry.dump());
    m_announcedAt = now;
    m_listed = true;
}

}
