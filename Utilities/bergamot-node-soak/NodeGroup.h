#pragma once

#include <LibCore/Time.h>
#include <PlatformStandIn/PlatformTexts.h>
#include <functional>
#include <string>
#include <sys/types.h>
#include <vector>

namespace Bergamot {

class EventLoop;

/// The node processes: starts them, sends them signals, and starts them again after their end. Only processes that it
/// started receive signals.
class NodeGroup {
public:
    struct Options {
        std::string program;

        /// Settings files, logs, and the list of process ids.
        std::string folder;
        std::vector<NodePlace> places;
        std::vector<std::string> zones;

        /// A node that ended although nobody had told it to.
        std::function<void(const std::string& what)> onUnexpectedEnd;
    };

    NodeGroup(EventLoop&, Options);
    ~NodeGroup();

    /// False when a process cannot be started.
    bool startAll();

    /// The node starts again `downtime` after its end.
    void kill(size_t node, Milliseconds downtime);
    void terminate(size_t node, Milliseconds downtime);
    void freeze(size_t node, Milliseconds duration);

    size_t size() const { return m_nodes.size(); }
    bool allRunning() const;

private:
    struct NodeState {
        pid_t pid { 0 };
        bool signalled { false };
        bool frozen { false };
        Instant terminatedAt { neverInstant };
        Milliseconds downtime { 0 };
        Instant startsAt { neverInstant };
    };

    bool start(size_t node);
    void tick();
    void ended(size_t node, int status);

    EventLoop& m_loop;
    Options m_options;
    std::vector<NodeState> m_nodes;
};

}
