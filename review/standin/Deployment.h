#pragma once

#include "Record.h"
#include "Store.h"
#include "Worker.h"
#include <memory>
#include <string>
#include <sys/types.h>
#include <vector>

namespace Review {

/// A small deployment: processes of the system, started as the deploy file says, and stand-ins of the store and of the
/// workers, all on loopback addresses.
class Deployment {
public:
    struct Options {
        /// The root of the repository.
        std::string root;
        /// An empty folder for settings files and logs.
        std::string folder;
        std::string recordPath;
        int nodes { 3 };
        int workers { 8 };
        int64_t stopMs { 400 };

        /// With two regions, the second half of the nodes is in region-2 and reaches the store at an address of its
        /// own, and the workers are started by startWorkers().
        bool hasTwoRegions { false };
    };

    explicit Deployment(Options);
    ~Deployment();

    /// Starts everything and waits until all nodes report ready. Returns false if they don't.
    bool start();

    /// Starts the workers, with the first `inFirst` of them in region-1 and the others in region-2.
    bool startWorkers(int inFirst);
    int regionOf(int node) const { return m_options.hasTwoRegions && 2 * node >= m_options.nodes ? 2 : 1; }

    Record& record() { return m_record; }
    Store& store() { return *m_store; }
    Runs& runs() { return m_runs; }
    std::vector<std::unique_ptr<Worker>>& workers() { return m_workers; }
    int nodes() const { return m_options.nodes; }
    std::string nodeIp(int node) const;

    /// Sends a signal to a node's process.
    void signalNode(int node, int signal);

    /// Starts the process of a node that has ended.
    bool startNode(int node);

    /// Waits for the end of a node's process.
    void reapNode(int node);

    /// Bytes of memory that a node's process uses; 0 if it has ended.
    size_t memoryBytes(int node) const;

    /// Whether a node's process has ended by itself.
    bool hasEnded(int node);

    /// One call of a client to a node; recorded.
    Answer callNode(int node, const std::string& method, const std::string& path, const std::string& body = {},
        int timeoutMs = 3000);

private:
    void writeSettings(int node);
    std::string configuration() const;

    Options m_options;
    std::string m_base;
    Record m_record;
    std::unique_ptr<Store> m_store;
    Runs m_runs;
    std::vector<std::unique_ptr<Worker>> m_workers;
    std::vector<pid_t> m_pids;
};

}
