#pragma once

#include "Nodes.h"
#include "Record.h"
#include "Store.h"
#include "Worker.h"
#include <LibCore/SteadyClock.h>
#include <LibHttp/EventLoop.h>
#include <LibHttp/HttpEngine.h>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <vector>

namespace Review {

/// A small deployment on loopback: store, workers, node processes and clients. Notes what it sees of the rules that
/// hold at any time.
class Site {
public:
    struct Options {
        std::vector<std::string> command;

        /// An existing folder for settings and logs.
        std::string folder;
        std::string recordPath;
        size_t nodes { 3 };
        size_t workers { 12 };
        int64_t workerCpu { 32000 };

        /// The kind of each worker by number.
        std::function<std::string(size_t)> kindOf { [](size_t) { return "a"; } };
    };

    struct Job {
        std::string path;
        std::string body;
        bool isAccepted { false };
        int attempts { 0 };
        int64_t acceptedAt { 0 };
        std::string state;
        int64_t stateAt { 0 };
        int starts { 0 };
        int runsDone { 0 };
    };

    using Reply = std::function<void(int status, const std::string& body)>;

    explicit Site(Options);
    ~Site();

    /// Starts all; false if something cannot be started.
    bool start();

    /// Runs until stop(), for 115 s at most.
    void run();
    void stop() { m_loop->stop(); }
    void endAll();

    /// Calls `then` once all nodes are ready; stops the site if that takes longer than 15 s.
    void whenReady(std::function<void()> then);
    bool wasReady() const { return m_wasReady; }
    void after(int64_t ms, std::function<void()> task)
    {
        m_loop->callAfter(Bergamot::Milliseconds { ms }, std::move(task));
    }

    /// Hands a job in, again at another node while the answer leaves open whether it was accepted.
    std::string submit(const std::string& queue, const std::string& body);

    /// Submits jobs of short tasks, one each `gapMs`, until the time.
    void submitShortJobs(int64_t gapMs, int64_t untilMs, const std::string& step = {});
    void askState(const std::string& id, std::function<void(int status)> then = {});
    void cancel(const std::string& id, Reply);

    Record& record() { return m_record; }
    Store& store() { return *m_store; }
    Nodes& nodes() { return *m_nodes; }
    std::vector<std::unique_ptr<Worker>>& workers() { return m_workers; }
    std::map<std::string, Job>& jobs() { return m_jobs; }
    int64_t elapsedMs() const { return m_record.elapsedMs(); }

    /// Called for each start beside the checks of this class.
    std::function<void(Worker&, const std::string& task, uint64_t run)> onStart {};

    static std::string service() { return "tasks"; }

private:
    void publishConfiguration();
    void call(const std::string& method, const std::string& path, const std::string& body, Reply);
    void send(const std::string& id);
    void handleStart(Worker&, const std::string& task, uint64_t run);
    void handleEnd(Worker&, const std::string& task, uint64_t run, const std::string& how);
    void waitUntilReady(std::function<void()> then, int64_t until);

    Options m_options;
    Record m_record;
    Bergamot::SteadyClock m_clock;
    std::unique_ptr<Bergamot::EventLoop> m_loop;
    std::unique_ptr<Store> m_store;
    std::vector<std::unique_ptr<Worker>> m_workers;
    std::unique_ptr<Nodes> m_nodes;
    std::unique_ptr<Bergamot::HttpEngine> m_engine;
    std::map<std::string, Job> m_jobs;
    size_t m_nextNode { 0 };
    uint64_t m_nextJob { 1 };
    bool m_wasReady { false };
};

}
