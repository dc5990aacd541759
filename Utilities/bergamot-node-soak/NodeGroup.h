#pragma once

#include <LibCore/Time.h>
#include <PlatformStandIn/PlatformMessages.h>
#include <functional>
#include <string>
#include <sys/types.h>
#include <vector>

namespace Bergamot {

class EventLoop;

/// The node processes of a run. Starts them, sends them signals, and restarts them after they exit. Sends signals only
/// to processes that it started.
class NodeGroup {
public:
    struct Options {
        std::string program;

        /// Existing folder for the settings files, the logs, and the list of process ids.
        std::string folder;
        std::vector<NodeLocation> locations;
        std::vector<std::string> zones;

        /// Called when a node exits without a signal from this group, exits with an error, or cannot be restarted.
        std::function<void(const std::string& what)> onUnexpectedExit;
    };

    NodeGroup(EventLoop&, Options);
    ~NodeGroup();

    /// Returns false when a process cannot be started.
    bool startAll();

    /// Kill or terminate a node, and restart it `downtime` after it exits.
    void kill(size_t node, Milliseconds downtime);
    void terminate(size_t node, Milliseconds downtime);

    /// Pauses a node with SIGSTOP for `duration`.
    void freeze(size_t node, Milliseconds duration);

    size_t size() const { return m_nodes.size(); }
    bool allRunning() const;

    /// Process id of a node, or 0 while it does not run.
    pid_t pid(size_t node) const { return m_nodes[node].pid; }

private:
    struct NodeState {
        pid_t pid { 0 };
        bool isSignalled { false };
        bool isFrozen { false };
        Instant terminatedAt { neverInstant };
        Milliseconds downtime { 0 };
        Instant restartsAt { neverInstant };
    };

    bool start(size_t node);
    void tick();
    void handleExit(size_t node, int status);

    EventLoop& m_loop;
    Options m_options;
    std::vector<NodeState> m_nodes;
};

}
