#include "Deployment.h"
#include <csignal>
#include <cstdlib>
#include <fcntl.h>
#include <fstream>
#include <nlohmann/json.hpp>
#include <sstream>
#include <sys/prctl.h>
#include <sys/wait.h>
#include <unistd.h>

namespace Review {

using nlohmann::json;

static constexpr uint16_t storePort = 8169;
static constexpr uint16_t frontPort = 8161;
static constexpr uint16_t readyPort = 8167;
static constexpr int64_t readyTimeoutMs = 20'000;

Deployment::Deployment(Options options)
    : m_options(std::move(options))
    , m_base("127." + std::to_string(20 + getpid() % 200) + ".")
    , m_record(m_options.recordPath)
{
    m_store = std::make_unique<Store>(m_record, m_base + "11.1", storePort);
    m_pids.resize(static_cast<size_t>(m_options.nodes), 0);
    if (m_options.hasTwoRegions)
        return;
    for (int i = 0; i < m_options.workers; ++i) {
        auto zone = std::to_string(i % 3 + 1);
        m_workers.push_back(std::make_unique<Worker>(m_record, *m_store, m_runs,
            Worker::Options { .id = "w" + std::to_string(i + 1),
                .ip = m_base + "12." + std::to_string(i + 1),
                .zone = "zone-" + zone,
                .rack = "r" + zone,
                .stopMs = m_options.stopMs }));
    }
}

bool Deployment::startWorkers(int inFirst)
{
    for (int i = 0; i < m_options.workers; ++i) {
        auto zone = std::string(i < inFirst ? "1" : "3");
        m_workers.push_back(std::make_unique<Worker>(m_record, *m_store, m_runs,
            Worker::Options { .id = "w" + std::to_string(i + 1),
                .ip = m_base + "12." + std::to_string(i + 1),
                .zone = "zone-" + zone,
                .rack = "r" + zone,
                .stopMs = m_options.stopMs }));
        if (!m_workers.back()->start())
            return false;
    }
    return true;
}

Deployment::~Deployment()
{
    for (auto pid : m_pids) {
        if (pid == 0)
            continue;
        kill(pid, SIGKILL);
        waitpid(pid, nullptr, 0);
    }
    for (auto& worker : m_workers)
        worker->stop();
    m_store->close();
}

std::string Deployment::nodeIp(int node) const { return m_base + "10." + std::to_string(node + 1); }

std::string Deployment::configuration() const
{
    json route { { "name", "queue" }, { "host", "queue.example" }, { "pathPrefix", "/queue/" },
        { "kind", "non_idempotent" }, { "timeoutMs", 3000 }, { "targetLatencyMs", 1000 }, { "priority", 1 },
        { "service", "tasks" }, { "maxAttempts", 3 }, { "stretch", 2.0 } };
    json service { { "name", "tasks" }, { "healthPath", "/healthz" }, { "maxConns", 64 }, { "protocol", "h1" },
        { "tls", false }, { "coldStartS", 0.0 }, { "coldPerS", 0.0 }, { "admissionCheck", true }, { "spare", false } };
    json limits { { "maxHeaderBytes", 16384 }, { "maxBodyBytes", 262144 }, { "headerTimeoutMs", 3000 },
        { "idleTimeoutMs", 15000 } };
    return json {
        { "version", 1 }, { "routes", json::array({ route }) }, { "services", json::array({ service }) },
        { "limits", limits }
    }.dump();
}

void Deployment::writeSettings(int node)
{
    auto ip = nodeIp(node);
    auto zone = "zone-" + std::to_string(node % 3 + 1);
    if (m_options.hasTwoRegions)
        zone = regionOf(node) == 1 ? "zone-1" : "zone-3";
    auto region = m_options.hasTwoRegions ? "region-" + std::to_string(regionOf(node)) : std::string("main");
    std::string lastRegion = m_options.hasTwoRegions ? "region-2" : "main";
    std::string firstRegion = m_options.hasTwoRegions ? "region-1" : "main";
    auto storeIp = m_base + "11." + std::to_string(regionOf(node));
    std::ofstream(m_options.folder + "/node-" + std::to_string(node) + ".toml")
        << "node = \"front-" << node + 1
        << "\"\nrole = \"node\"\nmachineClass = \"front\"\nserves = [\"front\"]\nip = \"" << ip << "\"\nzone = \""
        << zone << "\"\nregion = \"" << region << "\"\nportRange = [7720,7735]\nseeds = []\n"
        << "bootstrap = true\ninTolerance = false\ndiscovery = \"platform\"\nentry = \"vip\"\nheartbeatMs = 1500\n"
        << "commands = \"rpc\"\n[zones]\nzone-1 = \"" << firstRegion << "\"\nzone-2 = \"" << firstRegion
        << "\"\nzone-3 = \"" << lastRegion << "\"\n"
        << "[listen]\nfront = \"" << ip << ":" << frontPort << "\"\nready = \"" << ip << ":" << readyPort << "\"\n"
        << "[limits]\ncpuShare = 0.25\ncores = 1\nmemoryMb = 260\nmaxFds = 4100\nlinkMbps = 1000.0\ndiskMb = 0\n"
        << "[faultTolerance]\nmachines = 2\nzones = 1\nregions = " << (m_options.hasTwoRegions ? 1 : 0) << "\n"
        << "[bounds]\ncontactMs = 3000\nackMs = 4000\ndrainMs = 2000\ngraceS = 6\nholdMaxMs = 6000\nstopMs = "
        << m_options.stopMs << "\ngangTimeoutMs = 3000\ncancel_ms = 3000\nvisible_ms = 3000\nfinish_s = 14\n"
        << "status_s = 120\nenforceFencing = true\nleaseMs = 3000\n"
        << "[platform]\naddr = \"" << storeIp << ":" << storePort
        << "\"\nform = \"log\"\nwritesPerS = 800\nreadsPerS = 2000\nparts = 12\nappendMs = 2.0\npartMbPerS = 20.0\n"
        << "readMbPerS = 80.0\nrecordBytes = 262144\ncallBytes = 2097152\nkeep_s = 300\npartMb = 200\nttlMinMs = "
           "1000\n";
}

/// The words of the line `run` of the deploy file.
static std::vector<std::string> runCommand(const std::string& root)
{
    std::ifstream file(root + "/deploy/system.toml");
    std::vector<std::string> words;
    for (std::string line; std::getline(file, line);) {
        if (!line.starts_with("run = \""))
            continue;
        auto begin = line.find('"') + 1;
        std::istringstream text(line.substr(begin, line.rfind('"') - begin));
        for (std::string word; text >> word;)
            words.push_back(word);
    }
    return words;
}

bool Deployment::startNode(int node)
{
    auto words = runCommand(m_options.root);
    if (words.empty())
        return false;
    auto settings = "BERGAMOTBAY_NODE_FILE=" + m_options.folder + "/node-" + std::to_string(node) + ".toml";
    auto log = m_options.folder + "/node-" + std::to_string(node) + ".log";
    auto parent = getpid();
    auto pid = fork();
    if (pid == 0) {
        // The node must not outlive this program.
        prctl(PR_SET_PDEATHSIG, SIGKILL);
        if (getppid() != parent || chdir(m_options.root.c_str()) != 0)
            _exit(127);
        int out = open(log.c_str(), O_WRONLY | O_CREAT | O_APPEND, 0644);
        dup2(out, STDOUT_FILENO);
        dup2(out, STDERR_FILENO);
        std::vector<char*> arguments;
        for (auto& word : words)
            arguments.push_back(word.data());
        arguments.push_back(nullptr);
        char path[] = "PATH=/usr/bin:/bin";
        char* environment[] = { settings.data(), path, nullptr };
        execve(arguments[0], arguments.data(), environment);
        _exit(127);
    }
    m_pids[static_cast<size_t>(node)] = pid;
    m_record.add("node " + std::to_string(node + 1) + " starts");
    return pid > 0;
}

void Deployment::signalNode(int node, int signal)
{
    m_record.add("node " + std::to_string(node + 1) + " gets signal " + std::to_string(signal));
    kill(m_pids[static_cast<size_t>(node)], signal);
}

void Deployment::reapNode(int node)
{
    auto& pid = m_pids[static_cast<size_t>(node)];
    waitpid(pid, nullptr, 0);
    pid = 0;
}

size_t Deployment::memoryBytes(int node) const
{
    auto pid = m_pids[static_cast<size_t>(node)];
    std::ifstream file("/proc/" + std::to_string(pid) + "/statm");
    size_t total = 0;
    size_t resident = 0;
    file >> total >> resident;
    return pid == 0 ? 0 : resident * static_cast<size_t>(sysconf(_SC_PAGESIZE));
}

bool Deployment::hasEnded(int node)
{
    auto& pid = m_pids[static_cast<size_t>(node)];
    if (pid == 0 || waitpid(pid, nullptr, WNOHANG) != pid)
        return false;
    m_record.add("node " + std::to_string(node + 1) + " has ended by itself");
    pid = 0;
    return true;
}

bool Deployment::start()
{
    if (!m_store->open() || (m_options.hasTwoRegions && !m_store->openSecond(m_base + "11.2", storePort)))
        return false;
    m_store->put("keyed.op", "config", configuration());
    for (auto& worker : m_workers) {
        if (!worker->start())
            return false;
    }
    for (int i = 0; i < m_options.nodes; ++i) {
        writeSettings(i);
        if (!startNode(i))
            return false;
    }
    auto deadline = steadyMs() + readyTimeoutMs;
    for (int i = 0; i < m_options.nodes;) {
        if (steadyMs() > deadline)
            return false;
        if (call(nodeIp(i), readyPort, "GET", "/ready", "ready", {}, 500).status == 200)
            ++i;
        else
            sleepMs(100);
    }
    m_record.add("all nodes are ready");
    return true;
}

Answer Deployment::callNode(
    int node, const std::string& method, const std::string& path, const std::string& body, int timeoutMs)
{
    auto answer = call(nodeIp(node), frontPort, method, path, "queue.example", body, timeoutMs);
    m_record.add("client: " + method + " " + path + " at node " + std::to_string(node + 1) + ": "
        + (answer.status == 0 ? "no answer" : std::to_string(answer.status)) + " " + answer.body);
    return answer;
}

}
