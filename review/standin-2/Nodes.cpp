#include "Nodes.h"
#include <algorithm>
#include <csignal>
#include <cstdlib>
#include <cstring>
#include <fcntl.h>
#include <fmt/format.h>
#include <sys/prctl.h>
#include <sys/wait.h>
#include <unistd.h>

namespace Review {

using namespace Bergamot;

static constexpr Milliseconds tickInterval { 50 };
static constexpr Milliseconds restartDelay { 500 };

Nodes::Nodes(EventLoop& loop, Record& record, Options options)
    : m_loop(loop)
    , m_record(record)
    , m_options(std::move(options))
    , m_nodes(m_options.ips.size())
{
}

Nodes::~Nodes() { endAll(); }

void Nodes::endAll()
{
    for (auto& node : m_nodes) {
        if (node.pid <= 0)
            continue;
        kill(node.pid, SIGKILL);
        waitpid(node.pid, nullptr, 0);
        node.pid = -1;
    }
}

std::string Nodes::frontUrl(size_t node) const { return fmt::format("http://{}:8161", m_options.ips[node]); }

std::string Nodes::readyUrl(size_t node) const { return fmt::format("http://{}:8167/ready", m_options.ips[node]); }

std::vector<int> Nodes::endsByThemselves() const
{
    std::vector<int> ends;
    for (const auto& node : m_nodes)
        ends.push_back(node.ends);
    return ends;
}

std::string Nodes::settingsOf(size_t node) const
{
    const auto& ip = m_options.ips[node];
    std::string zones;
    for (const auto& zone : m_options.zones)
        zones += fmt::format("{} = \"main\"\n", zone);
    return fmt::format(R"(node = "front-{0}"
role = "node"
machineClass = "front"
serves = ["front"]
ip = "{1}"
zone = "{2}"
region = "main"
portRange = [7720,7735]
seeds = []
bootstrap = true
inTolerance = false
discovery = "platform"
entry = "vip"
heartbeatMs = {5}
contracts = ["base","drain","config","cost","recover","sched","places","platform","sharing"]
commands = "rpc"
[zones]
{3}[listen]
front = "{1}:8161"
ready = "{1}:8167"
[limits]
cpuShare = 1.0
cores = 1
memoryMb = 260
maxFds = 4100
linkMbps = 1000.0
diskMb = 0
[faultTolerance]
machines = 2
zones = 1
regions = 0
[bounds]
seedLagS = 3
contactMs = 3000
ackMs = 4000
drainMs = 2000
graceS = 6
configApplyMs = 2000
evacuateMs = 5000
recoveryS = 12
holdMaxMs = 6000
stopMs = 900
gangTimeoutMs = 3000
cancel_ms = 3000
visible_ms = 3000
early_ms = 250
finish_s = 14
status_s = 120
remoteFactor = 1.5
checkpointS = 1
restoreMs = 600
noticeMs = 4500
leaseMs = 3000
paceMs = 100
harmMs = 4000
[platform]
addr = "{4}"
form = "log"
writesPerS = 800
readsPerS = 2000
parts = 12
appendMs = 2.0
partMbPerS = 20.0
readMbPerS = 80.0
recordBytes = 262144
callBytes = 2097152
keep_s = 300
partMb = 200
ttlMinMs = 1000
)",
        node, ip, m_options.zones[node % m_options.zones.size()], zones, m_options.storeAddress, m_options.heartbeatMs);
}

bool Nodes::start()
{
    for (size_t i = 0; i < m_nodes.size(); ++i) {
        std::ofstream(fmt::format("{}/node-{}.toml", m_options.folder, i)) << settingsOf(i);
        if (!startNode(i))
            return false;
    }
    m_loop.callAfter(tickInterval, [this] { tick(); });
    return true;
}

bool Nodes::startNode(size_t n)
{
    auto settings = fmt::format("{}/node-{}.toml", m_options.folder, n);
    auto log = fmt::format("{}/node-{}.log", m_options.folder, n);
    std::vector<char*> arguments;
    for (auto& it : m_options.command)
        arguments.push_back(it.data());
    arguments.push_back(nullptr);
    // The environment is made before the fork: the child of a process with threads must not allocate.
    std::vector<std::string> variables { "BERGAMOTBAY_NODE_FILE=" + settings };
    for (const auto* name : { "PATH", "HOME", "LANG" }) {
        if (const char* value = std::getenv(name))
            variables.push_back(std::string(name) + "=" + value);
    }
    std::vector<char*> environment;
    for (auto& it : variables)
        environment.push_back(it.data());
    environment.push_back(nullptr);
    auto parent = getpid();
    auto pid = fork();
    if (pid < 0)
        return false;
    if (pid == 0) {
        // No node outlives this script.
        prctl(PR_SET_PDEATHSIG, SIGKILL);
        if (getppid() != parent)
            _exit(127);
        int out = open(log.c_str(), O_WRONLY | O_CREAT | O_APPEND, 0644);
        dup2(out, STDOUT_FILENO);
        dup2(out, STDERR_FILENO);
        execve(arguments.front(), arguments.data(), environment.data());
        _exit(127);
    }
    m_nodes[n].pid = pid;
    return true;
}

/// Resident memory of the process, in megabytes.
static int64_t residentMb(pid_t pid)
{
    std::ifstream file(fmt::format("/proc/{}/statm", pid));
    int64_t total = 0;
    int64_t resident = 0;
    file >> total >> resident;
    return resident * sysconf(_SC_PAGESIZE) >> 20;
}

/// A process that exceeds `memoryMb` is killed by the platform; for the rules, it has ended by itself.
void Nodes::killAboveMemoryLimit()
{
    for (size_t i = 0; i < m_nodes.size(); ++i) {
        auto& node = m_nodes[i];
        if (node.pid <= 0)
            continue;
        auto mb = residentMb(node.pid);
        node.peakMb = std::max(node.peakMb, mb);
        if (mb <= memoryMb)
            continue;
        m_record.add(fmt::format("node {} uses {} MB, and memoryMb is {}: it is killed", i, mb, memoryMb));
        kill(node.pid, SIGKILL);
    }
}

int64_t Nodes::peakMb() const
{
    int64_t peak = 0;
    for (const auto& node : m_nodes)
        peak = std::max(peak, node.peakMb);
    return peak;
}

void Nodes::tick()
{
    killAboveMemoryLimit();
    for (size_t i = 0; i < m_nodes.size(); ++i) {
        auto& node = m_nodes[i];
        int status = 0;
        if (node.pid <= 0 || waitpid(node.pid, &status, WNOHANG) != node.pid)
            continue;
        node.pid = 0;
        ++node.ends;
        m_record.add(WIFSIGNALED(status)
                ? fmt::format(
                    "node {} has ended by itself, signal {} ({})", i, WTERMSIG(status), strsignal(WTERMSIG(status)))
                : fmt::format("node {} has ended by itself, status {}", i, WEXITSTATUS(status)));
        m_loop.callAfter(restartDelay, [this, i] {
            if (m_nodes[i].pid == 0)
                startNode(i);
        });
    }
    m_loop.callAfter(tickInterval, [this] { tick(); });
}

}
