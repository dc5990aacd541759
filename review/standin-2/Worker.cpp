#include "Worker.h"
#include <LibHttp/HttpHeaders.h>
#include <LibHttp/HttpRequest.h>
#include <LibHttp/HttpResponder.h>
#include <algorithm>
#include <fmt/format.h>

namespace Review {

using namespace Bergamot;
using nlohmann::json;

static constexpr Milliseconds tickInterval { 10 };
static constexpr int64_t startUpMs = 300;

Worker::Worker(EventLoop& loop, Store& store, Record& record, Options options, Events events)
    : m_loop(loop)
    , m_store(store)
    , m_record(record)
    , m_options(std::move(options))
    , m_events(std::move(events))
    , m_born(unixMs())
    , m_startedAt(loop.now())
{
    if (!listen())
        return;
    scheduleHeartbeat();
    tick();
}

bool Worker::listen()
{
    auto server = HttpServer::create({ .address = m_options.ip,
        .port = m_options.port,
        .limits = { .maxRequestBytes = size_t { 64 } << 10 },
        .handler = [this](HttpRequest request, HttpResponder responder) {
            auto shared = std::make_shared<HttpResponder>(std::move(responder));
            m_loop.post([this, request = std::move(request), shared] { handle(request, shared); });
        } });
    if (!server.ok())
        return false;
    m_server = std::move(*server);
    return true;
}

/// The clock starts anew with each process.
int64_t Worker::clockMs() const { return 1000 + (m_loop.now() - m_startedAt).count(); }

json Worker::entry()
{
    return { { "service", m_options.service }, { "addr", fmt::format("{}:{}", m_options.ip, m_options.port) },
        { "zone", m_options.zone }, { "version", "v1" }, { "slots", 8 },
        { "state", m_isDraining ? "draining" : "ready" }, { "coldLeftMs", 0 },
        { "capacity", { { "cpu", m_options.cpu }, { "memMb", m_options.memMb }, { "gpu", 0 } } },
        { "labels", { m_options.kind, m_options.rack } }, { "clockMs", clockMs() }, { "born", m_born },
        { "seq", ++m_heartbeats } };
}

void Worker::announce() { m_store.putWorkerRecord(m_options.id, entry().dump()); }

void Worker::scheduleHeartbeat()
{
    announce();
    m_loop.callAfter(Milliseconds { m_options.heartbeatMs }, [this] { scheduleHeartbeat(); });
}

void Worker::answer(const Responder& responder, int status, const char* reason)
{
    json body { { "clockMs", clockMs() } };
    if (reason)
        body["reason"] = reason;
    responder->send({ .status = status, .body = body.dump() });
}

void Worker::handle(const HttpRequest& request, const Responder& responder)
{
    if (m_isCutOff)
        return m_unanswered.push_back(responder);
    if (headerValue(request.headers, "X-Bergamotbay-Expect-Instance") != m_options.id)
        return answer(responder, 421);
    auto command = json::parse(request.body, nullptr, false);
    if (!command.is_object())
        return answer(responder, 400);
    lapseIfDue();
    auto token = command.value("fencingToken", uint64_t { 0 });
    if (token < m_token)
        return answer(responder, 409, "fence");
    m_token = token;
    if (request.path == "/hold")
        return hold(command, responder);
    if (request.path == "/run-start")
        return start(command, responder);
    auto task = command.value("task", std::string {});
    auto number = command.value("runId", uint64_t { 0 });
    if (request.path == "/run-stop") {
        if (auto it = m_runs.find(task); it != m_runs.end() && it->second.number <= number && it->second.stopsAt == 0)
            it->second.stopsAt = clockMs() + m_options.stopMs;
        m_closed[task] = std::max(m_closed[task], number);
        return answer(responder, 200);
    }
    if (request.path == "/pace") {
        if (auto it = m_runs.find(task); it != m_runs.end() && it->second.number == number)
            it->second.percent = command.value("percent", int64_t { 100 });
        return answer(responder, 200);
    }
    answer(responder, 404);
}

void Worker::extendLease(const json& command)
{
    if (command.contains("untilMs"))
        m_leaseUntil
            = std::max(m_leaseUntil, std::min(command["untilMs"].get<int64_t>(), clockMs() + m_options.holdMaxMs));
}

/// What the tasks of a step do, by the spec of their job.
static json behaviourOf(const std::string& task, const std::string& spec)
{
    auto lastDot = task.rfind('.');
    auto stepDot = task.rfind('.', lastDot - 1);
    auto steps = json::parse(spec, nullptr, false);
    auto step = static_cast<size_t>(std::stoul(task.substr(stepDot + 1, lastDot - stepDot - 1)));
    return steps.is_array() && step < steps.size() ? steps[step] : json {};
}

void Worker::start(const json& command, const Responder& responder)
{
    auto task = command.value("task", std::string {});
    auto number = command.value("runId", uint64_t { 0 });
    auto behaviour = behaviourOf(task, command.value("spec", std::string {}));
    if (!behaviour.is_object())
        return answer(responder, 400);
    extendLease(command);
    auto active = m_runs.find(task);
    if (active != m_runs.end() && active->second.number == number)
        return answer(responder, 200);
    if (number <= m_closed[task] || (active != m_runs.end() && number < active->second.number))
        return answer(responder, 409, "old");
    if (clockMs() >= m_leaseUntil)
        return answer(responder, 409, "late");
    int64_t cpu = behaviour.value("fills", false) ? 0 : behaviour.value("cpu", int64_t { 0 });
    int64_t mem = behaviour.value("mem", int64_t { 0 });
    for (const auto& [name, run] : m_runs) {
        cpu += run.behaviour.value("fills", false) ? 0 : run.behaviour.value("cpu", int64_t { 0 });
        mem += run.behaviour.value("mem", int64_t { 0 });
    }
    if (cpu > m_options.cpu || mem > m_options.memMb)
        return answer(responder, 409, "room");
    m_runs[task] = { .number = number, .startedAt = clockMs(), .behaviour = std::move(behaviour) };
    m_events.onStart(*this, task, number);
    answer(responder, 200);
}

void Worker::acknowledge(uint64_t sequence)
{
    while (!m_ends.empty() && m_ends.front().sequence <= sequence) {
        m_events.onNoted(*this, m_ends.front().task, m_ends.front().run, m_ends.front().how);
        m_ends.pop_front();
    }
}

void Worker::hold(const json& command, const Responder& responder)
{
    extendLease(command);
    acknowledge(command.value("ackedSeq", uint64_t { 0 }));
    auto wait = std::min<int64_t>(command.value("waitMs", int64_t { 0 }), 2000);
    if (wait == 0 || !m_ends.empty())
        return responder->send({ .body = lists() });
    m_waiting.push_back({ .responder = responder, .until = clockMs() + wait });
}

/// The tail of a task that serves: its own load and the tasks that fill beside it make it longer.
double Worker::tailOf(const Run& serving) const
{
    constexpr double maxUtilisation = 0.95;
    double utilisation = serving.behaviour.value("load", 0.0);
    for (const auto& [task, run] : m_runs) {
        auto share = static_cast<double>(run.behaviour.value("cpu", int64_t { 0 }) * run.percent) / 100.0
            / static_cast<double>(m_options.cpu);
        utilisation += run.behaviour.value("fills", false) ? run.behaviour.value("presses", 0.0) * share : 0;
    }
    return serving.behaviour.value("tail", 0.0) / (1 - std::min(utilisation, maxUtilisation));
}

std::string Worker::lists()
{
    json running = json::array();
    for (const auto& [task, run] : m_runs) {
        bool lasts = run.behaviour.value("lasts", false);
        auto worked = lasts ? static_cast<double>(clockMs() - run.startedAt) : run.workedMs;
        auto length
            = static_cast<double>(std::max<int64_t>(1, lasts ? startUpMs : run.behaviour.value("ms", int64_t { 1 })));
        auto percent = std::min<int64_t>(100, static_cast<int64_t>(100 * worked / length));
        auto figure
            = lasts ? static_cast<int64_t>(tailOf(run)) : run.behaviour.value("cpu", int64_t { 0 }) * run.percent / 100;
        running.push_back({ task, run.number, "", percent, figure });
    }
    constexpr size_t maxEnds = 500;
    json finished = json::array();
    for (const auto& it : m_ends) {
        if (finished.size() < maxEnds)
            finished.push_back({ it.sequence, it.task, it.run, it.how, "" });
    }
    return json {
        { "clockMs", clockMs() }, { "born", m_born }, { "running", running }, { "finished", finished }
    }.dump();
}

int64_t Worker::cpuInUse() const
{
    int64_t cpu = 0;
    for (const auto& [task, run] : m_runs)
        cpu += run.behaviour.value("cpu", int64_t { 0 });
    return cpu;
}

void Worker::end(const std::string& task, const std::string& how)
{
    auto it = m_runs.find(task);
    auto number = it->second.number;
    m_runs.erase(it);
    m_closed[task] = std::max(m_closed[task], number);
    m_ends.push_back({ m_nextEnd++, task, number, how });
    m_events.onEnd(*this, task, number, how);
}

void Worker::lapseIfDue()
{
    while (clockMs() >= m_leaseUntil && !m_runs.empty())
        end(std::string(m_runs.begin()->first), "lapsed");
}

void Worker::tick()
{
    m_loop.callAfter(tickInterval, [this] { tick(); });
    lapseIfDue();
    auto now = clockMs();
    for (auto& [task, run] : m_runs)
        run.workedMs
            += static_cast<double>(std::max<int64_t>(0, now - std::max(m_workedUntil, run.startedAt)) * run.percent)
            / 100.0;
    m_workedUntil = now;
    std::vector<std::pair<std::string, std::string>> due;
    for (const auto& [task, run] : m_runs) {
        bool lasts = run.behaviour.value("lasts", false);
        if (run.stopsAt > 0 && now >= run.stopsAt)
            due.emplace_back(task, "stopped");
        else if (!lasts && run.workedMs >= static_cast<double>(run.behaviour.value("ms", int64_t { 1 })))
            due.emplace_back(task, run.behaviour.value("fails", false) ? "failed" : "done");
    }
    for (const auto& [task, how] : due)
        end(task, how);
    std::erase_if(m_waiting, [&](const WaitingHold& it) {
        if (m_ends.empty() && now < it.until)
            return false;
        if (m_isCutOff)
            m_unanswered.push_back(it.responder);
        else
            it.responder->send({ .body = lists() });
        return true;
    });
}

}
