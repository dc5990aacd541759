#include "NodeGroup.h"
#include <LibCore/Logger.h>
#include <LibHttp/EventLoop.h>
#include <csignal>
#include <cstring>
#include <fcntl.h>
#include <fmt/format.h>
#include <fstream>
#include <spawn.h>
#include <sys/wait.h>
#include <unistd.h>
#include <utility>

namespace Bergamot {

static constexpr Milliseconds tickInterval { 20 };

/// Time that the platform allows a node between SIGTERM and SIGKILL. Equals `graceS` in the settings files.
static constexpr Milliseconds gracePeriod { 6000 };

NodeGroup::NodeGroup(EventLoop& loop, Options options)
    : m_loop(loop)
    , m_options(std::move(options))
    , m_nodes(m_options.locations.size())
{
}

NodeGroup::~NodeGroup()
{
    for (const auto& node : m_nodes) {
        if (node.pid == 0)
            continue;
        ::kill(node.pid, SIGKILL);
        waitpid(node.pid, nullptr, 0);
    }
}

bool NodeGroup::startAll()
{
    for (size_t n = 0; n < m_nodes.size(); ++n) {
        std::ofstream(fmt::format("{}/node-{}.toml", m_options.folder, n))
            << settingsText(m_options.locations[n], m_options.zones);
        if (!start(n))
            return false;
    }
    tick();
    return true;
}

bool NodeGroup::start(size_t n)
{
    auto settings = fmt::format("BERGAMOTBAY_NODE_FILE={}/node-{}.toml", m_options.folder, n);
    auto log = fmt::format("{}/node-{}.log", m_options.folder, n);
    posix_spawn_file_actions_t actions;
    posix_spawn_file_actions_init(&actions);
    posix_spawn_file_actions_addopen(&actions, STDOUT_FILENO, log.c_str(), O_WRONLY | O_CREAT | O_APPEND, 0644);
    posix_spawn_file_actions_adddup2(&actions, STDOUT_FILENO, STDERR_FILENO);
    posix_spawnattr_t attributes;
    posix_spawnattr_init(&attributes);
    sigset_t none;
    sigemptyset(&none);
    posix_spawnattr_setsigmask(&attributes, &none);
    posix_spawnattr_setflags(&attributes, POSIX_SPAWN_SETSIGMASK);
    char* arguments[] = { m_options.program.data(), nullptr };
    char* environment[] = { settings.data(), nullptr };
    pid_t pid = 0;
    int ec = posix_spawn(&pid, m_options.program.c_str(), &actions, &attributes, arguments, environment);
    posix_spawnattr_destroy(&attributes);
    posix_spawn_file_actions_destroy(&actions);
    if (ec != 0) {
        logError("node_not_started", { { "program", m_options.program }, { "error", std::strerror(ec) } });
        return false;
    }
    std::ofstream(m_options.folder + "/pids", std::ios::app) << pid << '\n';
    m_nodes[n] = { .pid = pid };
    return true;
}

void NodeGroup::kill(size_t n, Milliseconds downtime)
{
    auto& node = m_nodes[n];
    if (node.pid == 0)
        return;
    node.isSignalled = true;
    node.downtime = downtime;
    ::kill(node.pid, SIGKILL);
}

void NodeGroup::terminate(size_t n, Milliseconds downtime)
{
    auto& node = m_nodes[n];
    if (node.pid == 0 || node.isSignalled)
        return;
    node.isSignalled = true;
    node.downtime = downtime;
    node.terminatedAt = m_loop.now();
    ::kill(node.pid, SIGTERM);
}

void NodeGroup::freeze(size_t n, Milliseconds duration)
{
    auto& node = m_nodes[n];
    if (node.pid == 0 || std::exchange(node.isFrozen, true))
        return;
    ::kill(node.pid, SIGSTOP);
    m_loop.callAfter(duration, [this, n, pid = node.pid] {
        if (m_nodes[n].pid != pid)
            return;
        m_nodes[n].isFrozen = false;
        ::kill(pid, SIGCONT);
    });
}

bool NodeGroup::allRunning() const
{
    for (const auto& node : m_nodes) {
        if (node.pid == 0 || node.isSignalled || node.isFrozen)
            return false;
    }
    return true;
}

void NodeGroup::tick()
{
    auto now = m_loop.now();
    for (size_t n = 0; n < m_nodes.size(); ++n) {
        auto& node = m_nodes[n];
        int status = 0;
        if (node.pid == 0) {
            if (now >= node.restartsAt && !start(n))
                m_options.onUnexpectedExit(fmt::format("node {} cannot be started", n));
            continue;
        }
        if (waitpid(node.pid, &status, WNOHANG) == node.pid)
            handleExit(n, status);
        else if (node.terminatedAt != neverInstant && now - node.terminatedAt > gracePeriod)
            ::kill(node.pid, SIGKILL);
    }
    m_loop.callAfter(tickInterval, [this] { tick(); });
}

void NodeGroup::handleExit(size_t n, int status)
{
    auto& node = m_nodes[n];
    bool exitedCleanly = WIFEXITED(status) && WEXITSTATUS(status) == 0;
    bool wasKilled = WIFSIGNALED(status) && WTERMSIG(status) == SIGKILL;
    if (!node.isSignalled || (!exitedCleanly && !wasKilled))
        m_options.onUnexpectedExit(fmt::format("node {} ended by itself, wait status {}", n, status));
    node = { .restartsAt = m_loop.now() + node.downtime };
}

}
