#include "Worker.h"
#include <algorithm>
#include <cstdlib>
#include <limits>
#include <nlohmann/json.hpp>

namespace Review {

using nlohmann::json;

static constexpr int64_t tickMs = 5;
static constexpr size_t maxListedEnds = 500;
static constexpr int64_t heartbeatsUntilRemoval = 3;

size_t Runs::add(Run run)
{
    std::scoped_lock lock(m_mutex);
    m_runs.push_back(std::move(run));
    return m_runs.size() - 1;
}

void Runs::end(size_t index, const std::string& how, int64_t at)
{
    std::scoped_lock lock(m_mutex);
    m_runs[index].endedAt = at;
    m_runs[index].how = how;
}

void Runs::note(size_t index, int64_t at)
{
    std::scoped_lock lock(m_mutex);
    m_runs[index].notedAt = at;
}

std::vector<Run> Runs::all() const
{
    std::scoped_lock lock(m_mutex);
    return m_runs;
}

Worker::Worker(Record& record, Store& store, Runs& runs, Options options)
    : m_record(record)
    , m_store(store)
    , m_runs(runs)
    , m_options(std::move(options))
    , m_server(m_options.ip, m_options.port, [this](const Request& request) { return handle(request); })
{
}

Worker::~Worker() { stop(); }

std::string Worker::id() const { return m_options.id + "-" + std::to_string(m_life); }

void Worker::setReachedBy(std::function<bool(uint64_t fencingToken)> isReachedBy)
{
    std::scoped_lock lock(m_mutex);
    m_isReachedBy = std::move(isReachedBy);
}

uint64_t Worker::fencingToken() const
{
    std::scoped_lock lock(m_mutex);
    return m_fencingToken;
}

size_t Worker::activeRuns() const
{
    std::scoped_lock lock(m_mutex);
    return m_active.size();
}

bool Worker::start()
{
    restart();
    m_ticker = std::thread([this] { tickLoop(); });
    return m_isAlive;
}

void Worker::stop()
{
    if (m_isStopping.exchange(true))
        return;
    m_changed.notify_all();
    m_server.close();
    if (m_ticker.joinable())
        m_ticker.join();
}

void Worker::restart()
{
    bool isOpen = m_server.open();
    std::scoped_lock lock(m_mutex);
    ++m_life;
    m_bornUnix = unixMs();
    m_bornSteady = steadyMs();
    m_leaseUntil = 0;
    m_fencingToken = 0;
    m_nextSequence = 1;
    m_announcements = 0;
    m_announcedAt = 0;
    m_active.clear();
    m_closedRuns.clear();
    m_finished.clear();
    m_isAlive = isOpen;
    m_record.add("worker " + id() + " begins");
}

void Worker::crash()
{
    {
        std::scoped_lock lock(m_mutex);
        m_isAlive = false;
        m_record.add("worker " + id() + " crashes with " + std::to_string(m_active.size()) + " runs");
        for (const auto& [task, run] : m_active)
            m_runs.end(run.index, "gone", m_record.now());
        m_active.clear();
    }
    m_changed.notify_all();
    m_server.close();
}

void Worker::setCutOff(bool isCutOff)
{
    {
        std::scoped_lock lock(m_mutex);
        m_isCutOff = isCutOff;
        m_record.add("worker " + id() + (isCutOff ? " is cut off by resets and runs on" : " is reached again"));
    }
    m_changed.notify_all();
    if (isCutOff)
        m_server.close();
    else
        m_server.open();
}

void Worker::extendLease(int64_t untilMs)
{
    m_leaseUntil = std::max(m_leaseUntil, std::min(untilMs, clockMs() + m_options.holdMaxMs));
}

void Worker::endRun(const std::string& task, const std::string& how)
{
    auto it = m_active.find(task);
    auto run = it->second;
    m_active.erase(it);
    auto& closed = m_closedRuns[task];
    closed = std::max(closed, run.number);
    m_finished.push_back(
        { .sequence = m_nextSequence++, .index = run.index, .task = task, .number = run.number, .how = how });
    m_runs.end(run.index, how, m_record.now());
    m_record.add("worker " + id() + ": run " + std::to_string(run.number) + " of " + task + " ends " + how);
    m_changed.notify_all();
}

void Worker::tickLoop()
{
    while (!m_isStopping) {
        sleepMs(tickMs);
        std::scoped_lock lock(m_mutex);
        tick();
        announce();
    }
}

void Worker::tick()
{
    if (!m_isAlive)
        return;
    std::vector<std::pair<std::string, std::string>> due;
    auto now = steadyMs();
    for (const auto& [task, run] : m_active) {
        if (clockMs() >= m_leaseUntil)
            due.emplace_back(task, "lapsed");
        else if (now >= run.endsAt)
            due.emplace_back(task, "done");
        else if (now >= run.stopsAt)
            due.emplace_back(task, "stopped");
    }
    if (clockMs() >= m_leaseUntil) {
        for (auto& end : m_finished)
            end.hasLapsed = true;
    }
    for (const auto& [task, how] : due)
        endRun(task, how);
}

/// Writes the entry at each heartbeat, and lets the platform drop entries after three intervals of silence.
void Worker::announce()
{
    auto now = steadyMs();
    bool isDue = m_isAlive && now - m_announcedAt >= m_options.heartbeatMs;
    if (m_store.isDown()) {
        // The attempt fails; the next one follows an interval later.
        if (isDue)
            m_announcedAt = now;
        return;
    }
    std::erase_if(m_entries, [&](const auto& entry) {
        bool isCurrent = m_isAlive && m_isStoreReached && entry.first == id();
        if (isCurrent || now - entry.second <= heartbeatsUntilRemoval * m_options.heartbeatMs)
            return false;
        m_store.put("keyed.servers", entry.first, "");
        return true;
    });
    if (!isDue || !m_isStoreReached)
        return;
    m_announcedAt = now;
    m_entries[id()] = now;
    json entry { { "service", "tasks" }, { "addr", m_options.ip + ":" + std::to_string(m_options.port) },
        { "zone", m_options.zone }, { "version", "v1" }, { "slots", 8 }, { "state", "ready" }, { "coldLeftMs", 0 },
        { "capacity", { { "cpu", m_options.cpu }, { "memMb", m_options.memMb }, { "gpu", 0 } } },
        { "labels", { "a", m_options.rack } }, { "clockMs", clockMs() }, { "born", m_bornUnix },
        { "seq", ++m_announcements } };
    m_store.put("keyed.servers", id(), entry.dump());
}

std::string Worker::lists() const
{
    auto running = json::array();
    for (const auto& [task, run] : m_active) {
        auto worked = steadyMs() - run.beganAt;
        auto percent = 100 * worked / std::max<int64_t>(1, run.endsAt - run.beganAt);
        running.push_back({ task, run.number, "", std::min<int64_t>(100, percent), run.cpu });
    }
    auto finished = json::array();
    for (const auto& end : m_finished) {
        if (finished.size() < maxListedEnds)
            finished.push_back({ end.sequence, end.task, end.number, end.how, "" });
    }
    return json {
        { "clockMs", clockMs() }, { "born", m_bornUnix }, { "running", running }, { "finished", finished }
    }.dump();
}

Response Worker::handle(const Request& request)
{
    std::unique_lock lock(m_mutex);
    auto life = m_life;
    auto isGone = [&] { return !m_isAlive || m_isCutOff || m_life != life || m_isStopping; };
    auto reply = [&](int status, const char* reason = nullptr) -> Response {
        json body { { "clockMs", clockMs() }, { "born", m_bornUnix } };
        if (reason)
            body["reason"] = reason;
        return { .status = status, .body = body.dump() };
    };
    if (isGone())
        return { .delivery = Response::Delivery::Reset };
    if (auto it = request.headers.find("x-bergamotbay-expect-instance");
        it != request.headers.end() && it->second != id())
        return reply(421);
    auto command = json::parse(request.body, nullptr, false);
    if (!command.is_object())
        return reply(400);
    auto token = command.value("fencingToken", uint64_t { 0 });
    if (m_isReachedBy && !m_isReachedBy(token))
        return { .delivery = Response::Delivery::Never };
    tick();
    if (token < m_fencingToken)
        return reply(409, "fence");
    m_fencingToken = token;
    auto task = command.value("task", std::string());
    auto number = command.value("runId", uint64_t { 0 });
    if (request.path == "/pace")
        return reply(200);
    if (request.path == "/run-start") {
        extendLease(command.value("untilMs", int64_t { 0 }));
        auto active = m_active.find(task);
        if (active != m_active.end() && active->second.number == number)
            return reply(200);
        auto closed = m_closedRuns.find(task);
        if ((closed != m_closedRuns.end() && number <= closed->second)
            || (active != m_active.end() && number < active->second.number))
            return reply(409, "old");
        if (clockMs() >= m_leaseUntil)
            return reply(409, "late");
        if (active != m_active.end())
            endRun(task, "stopped");
        auto workMs = std::strtoll(command.value("spec", std::string()).c_str(), nullptr, 10);
        auto index = m_runs.add(
            { .task = task, .number = number, .worker = id(), .fencingToken = token, .startedAt = m_record.now() });
        m_active[task] = { .index = index,
            .number = number,
            .beganAt = steadyMs(),
            .endsAt = steadyMs() + workMs,
            .stopsAt = std::numeric_limits<int64_t>::max(),
            .cpu = 1000 };
        m_record.add("worker " + id() + ": starts run " + std::to_string(number) + " of " + task);
        return reply(200);
    }
    if (request.path == "/run-stop") {
        if (auto active = m_active.find(task); active != m_active.end() && active->second.number <= number)
            active->second.stopsAt = std::min(active->second.stopsAt, steadyMs() + m_options.stopMs / 2);
        else
            m_closedRuns[task] = std::max(m_closedRuns[task], number);
        return reply(200);
    }
    if (request.path != "/hold")
        return reply(404);
    if (command.contains("untilMs"))
        extendLease(command["untilMs"].get<int64_t>());
    auto noted = command.value("ackedSeq", uint64_t { 0 });
    while (!m_finished.empty() && m_finished.front().sequence <= noted) {
        if (!m_finished.front().hasLapsed)
            m_runs.note(m_finished.front().index, m_record.now());
        m_finished.pop_front();
    }
    auto waitMs = std::min<int64_t>(command.value("waitMs", int64_t { 0 }), 2000);
    m_changed.wait_for(lock, std::chrono::milliseconds(waitMs), [&] { return isGone() || !m_finished.empty(); });
    if (isGone())
        return { .delivery = Response::Delivery::Reset };
    if (m_isReachedBy && !m_isReachedBy(token))
        return { .delivery = Response::Delivery::Never };
    return { .body = lists() };
}

}
