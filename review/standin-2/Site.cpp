#include "Site.h"
#include <fmt/format.h>
#include <nlohmann/json.hpp>
#include <unistd.h>

namespace Review {

using namespace Bergamot;
using nlohmann::json;

static constexpr int64_t maxRunMs = 115'000;
static const std::vector<std::string> zones { "zone-a", "zone-b", "zone-c" };

Site::Site(Options options)
    : m_options(std::move(options))
    , m_record(m_options.recordPath)
    , m_loop(EventLoop::create(m_clock))
{
}

Site::~Site() { endAll(); }

void Site::endAll()
{
    if (m_nodes)
        m_nodes->endAll();
    if (m_store && m_store->isListening())
        m_store->stop();
    for (auto& worker : m_workers) {
        if (worker->isListening())
            worker->stop();
    }
}

bool Site::start()
{
    auto pid = static_cast<unsigned>(getpid());
    auto address = [&](size_t host) { return fmt::format("127.{}.{}.{}", 64 + (pid >> 8) % 128, pid % 256, host); };
    constexpr size_t storeHost = 100;
    constexpr size_t firstWorkerHost = 120;
    constexpr uint16_t storePort = 8169;
    m_store = std::make_unique<Store>(*m_loop, m_record, address(storeHost), storePort);
    if (!m_store->isListening())
        return false;
    publishConfiguration();
    for (size_t i = 0; i < m_options.workers; ++i) {
        m_workers.push_back(std::make_unique<Worker>(*m_loop, *m_store, m_record,
            Worker::Options { .id = fmt::format("i-{:08x}", 0x7f3a91c2 + i),
                .service = service(),
                .zone = zones[i % zones.size()],
                .kind = m_options.kindOf(i),
                .rack = fmt::format("r{}-{}", 1 + i % zones.size(), 1 + i / 8),
                .ip = address(firstWorkerHost + i),
                .cpu = m_options.workerCpu },
            Worker::Events {
                .onStart = [this](Worker& w, const std::string& task, uint64_t run) { handleStart(w, task, run); },
                .onEnd = [this](Worker& w, const std::string& task, uint64_t run,
                             const std::string& how) { handleEnd(w, task, run, how); },
                .onNoted = [](Worker&, const std::string&, uint64_t, const std::string&) {} }));
        if (!m_workers.back()->isListening())
            return false;
    }
    std::vector<std::string> ips;
    for (size_t i = 0; i < m_options.nodes; ++i)
        ips.push_back(address(i + 1));
    m_engine = HttpEngine::create(*m_loop, {});
    m_nodes = std::make_unique<Nodes>(*m_loop, m_record,
        Nodes::Options { .command = m_options.command,
            .folder = m_options.folder,
            .ips = ips,
            .zones = zones,
            .storeAddress = fmt::format("{}:{}", address(storeHost), storePort) });
    return m_nodes->start();
}

void Site::run()
{
    m_loop->callAfter(Milliseconds { maxRunMs }, [this] { stop(); });
    m_loop->run();
}

void Site::publishConfiguration()
{
    json routes = json::array();
    auto add = [&](const char* name, int priority, int attempts) {
        routes.push_back({ { "name", std::string("r-") + name }, { "host", "nony24.example" },
            { "pathPrefix", fmt::format("/{}/", name) }, { "kind", "non_idempotent" }, { "timeoutMs", 3000 },
            { "targetLatencyMs", 1000 }, { "priority", priority }, { "service", service() },
            { "maxAttempts", attempts }, { "stretch", 2.0 } });
    };
    add("quick", 0, 3);
    add("batch", 2, 4);
    add("lasting", 0, 4);
    json serviceEntry { { "name", service() }, { "healthPath", "/healthz" }, { "maxConns", 64 }, { "protocol", "h1" },
        { "tls", false }, { "coldStartS", 0.0 }, { "coldPerS", 0.0 }, { "admissionCheck", true }, { "spare", false } };
    json limits { { "maxHeaderBytes", 16384 }, { "maxBodyBytes", 262144 }, { "headerTimeoutMs", 3000 },
        { "idleTimeoutMs", 15000 } };
    m_store->putOperatorRecord("config",
        json { { "version", 7 }, { "routes", routes }, { "services", { serviceEntry } }, { "limits", limits } }.dump());
}

void Site::whenReady(std::function<void()> then)
{
    constexpr int64_t maxWaitMs = 15'000;
    waitUntilReady(std::move(then), elapsedMs() + maxWaitMs);
}

void Site::waitUntilReady(std::function<void()> then, int64_t until)
{
    auto ready = std::make_shared<size_t>(0);
    auto answered = std::make_shared<size_t>(0);
    for (size_t i = 0; i < m_nodes->count(); ++i) {
        m_engine->submit({ .method = "GET",
                             .url = m_nodes->readyUrl(i),
                             .timeout = Milliseconds { 500 },
                             .sendLimit = SendLimit::once() },
            [this, ready, answered, then, until](absl::StatusOr<HttpReply> reply) {
                *ready += reply.ok() && reply->status == 200 ? 1 : 0;
                if (++*answered < m_nodes->count())
                    return;
                if (*ready == m_nodes->count()) {
                    m_wasReady = true;
                    m_record.add("all nodes are ready");
                    return then();
                }
                if (elapsedMs() > until)
                    return stop();
                after(200, [this, then, until] { waitUntilReady(then, until); });
            });
    }
}

void Site::call(const std::string& method, const std::string& path, const std::string& body, Reply reply)
{
    constexpr int64_t deadlineMs = 3000;
    auto node = m_nextNode++ % m_nodes->count();
    HttpHeaders headers { { "Host", "nony24.example" }, { "X-Bergamotbay-Deadline-Ms", std::to_string(deadlineMs) } };
    if (!body.empty())
        headers.push_back({ "Content-Type", "application/json" });
    m_engine->submit({ .method = method,
                         .url = m_nodes->frontUrl(node) + path,
                         .headers = std::move(headers),
                         .body = body,
                         .timeout = Milliseconds { deadlineMs },
                         .sendLimit = SendLimit::once() },
        [reply](absl::StatusOr<HttpReply> answer) {
            if (answer.ok())
                reply(answer->status, answer->body);
            else
                reply(0, std::string(answer.status().message()));
        });
}

std::string Site::submit(const std::string& queue, const std::string& body)
{
    auto id = fmt::format("{:016x}", 0x5c0e7a2100000000 + m_nextJob++);
    m_jobs[id] = { .path = fmt::format("/{}/{}", queue, id), .body = body };
    send(id);
    return id;
}

void Site::send(const std::string& id)
{
    constexpr int maxAttempts = 20;
    auto& job = m_jobs.at(id);
    ++job.attempts;
    m_record.add(
        fmt::format("POST {} {}", job.path, job.body.size() > 300 ? job.body.substr(0, 300) + "..." : job.body));
    call("POST", job.path, job.body, [this, id](int status, const std::string& body) {
        auto& answered = m_jobs.at(id);
        m_record.add(fmt::format("POST {} -> {} {}", answered.path, status, body));
        if (status / 100 == 2) {
            answered.isAccepted = true;
            answered.acceptedAt = elapsedMs();
        } else if (answered.attempts < maxAttempts) {
            after(400, [this, id] { send(id); });
        }
    });
}

void Site::submitShortJobs(int64_t gapMs, int64_t untilMs, const std::string& step)
{
    if (elapsedMs() >= untilMs)
        return;
    json behaviour { { "ms", 400 }, { "cpu", 1000 }, { "mem", 512 } };
    json single = step.empty() ? json { { "count", 3 }, { "cpu", 1000 }, { "memMb", 512 }, { "estRuntimeMs", 400 } }
                               : json::parse(step);
    submit("quick", json { { "spec", json::array({ behaviour }).dump() }, { "steps", { single } } }.dump());
    after(gapMs, [this, gapMs, untilMs, step] { submitShortJobs(gapMs, untilMs, step); });
}

void Site::askState(const std::string& id, std::function<void(int status)> then)
{
    call("GET", m_jobs.at(id).path, {}, [this, id, then](int status, const std::string& body) {
        auto& job = m_jobs.at(id);
        auto parsed = json::parse(body, nullptr, false);
        if (status == 200 && parsed.is_object()) {
            job.state = parsed.value("state", std::string {});
            job.stateAt = elapsedMs();
        }
        m_record.add(fmt::format("GET {} -> {} {}", job.path, status, body));
        if (then)
            then(status);
    });
}

void Site::cancel(const std::string& id, Reply reply)
{
    const auto& path = m_jobs.at(id).path;
    m_record.add("DELETE " + path);
    call("DELETE", path, {}, [this, path, reply](int status, const std::string& body) {
        m_record.add(fmt::format("DELETE {} -> {} {}", path, status, body));
        reply(status, body);
    });
}

static std::string jobOf(const std::string& task) { return task.substr(0, task.find('.')); }

void Site::handleStart(Worker& worker, const std::string& task, uint64_t run)
{
    m_record.add(fmt::format("start {} run {} on {}", task, run, worker.options().id));
    for (const auto& other : m_workers) {
        if (other.get() != &worker && other->runs(task))
            m_record.addViolation(fmt::format("TWICE: {} starts on {} (run {}) while it runs on {}", task,
                worker.options().id, run, other->options().id));
    }
    auto job = m_jobs.find(jobOf(task));
    if (job == m_jobs.end())
        m_record.addViolation(fmt::format("UNASKED: {} starts, and no client sent its job", task));
    else
        ++job->second.starts;
    if (onStart)
        onStart(worker, task, run);
}

void Site::handleEnd(Worker& worker, const std::string& task, uint64_t run, const std::string& how)
{
    m_record.add(fmt::format("end {} run {} on {}: {}", task, run, worker.options().id, how));
    if (auto job = m_jobs.find(jobOf(task)); job != m_jobs.end() && how == "done")
        ++job->second.runsDone;
}

}
