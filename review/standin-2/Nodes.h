#pragma once

#include "Record.h"
#include <LibHttp/EventLoop.h>
#include <functional>
#include <string>
#include <sys/types.h>
#include <vector>

namespace Review {

/// The node processes, started with the command of the deploy file. One that ends is started again after a short delay.
class Nodes {
public:
    struct Options {
        std::vector<std::string> command;

        /// Folder of the settings files and logs.
        std::string folder;
        std::vector<std::string> ips;
        std::vector<std::string> zones;
        std::string storeAddress;
        std::string heartbeatMs { "1500" };
    };

    Nodes(Bergamot::EventLoop&, Record&, Options);
    ~Nodes();

    bool start();
    void endAll();
    size_t count() const { return m_nodes.size(); }
    std::string frontUrl(size_t node) const;
    std::string readyUrl(size_t node) const;

    /// How often a process of each node has ended by itself.
    std::vector<int> endsByThemselves() const;

    /// The most memory that a node has used.
    int64_t peakMb() const;

    static constexpr int64_t memoryMb = 260;

private:
    struct Node {
        pid_t pid { 0 };
        int ends { 0 };
        int64_t peakMb { 0 };
    };

    bool startNode(size_t);
    std::string settingsOf(size_t) const;
    void killAboveMemoryLimit();
    void tick();

    Bergamot::EventLoop& m_loop;
    Record& m_record;
    Options m_options;
    std::vector<Node> m_nodes;
};

}
