#pragma once

#include "Http.h"
#include "Record.h"
#include "Store.h"
#include <condition_variable>
#include <deque>
#include <functional>
#include <map>
#include <mutex>
#include <string>
#include <vector>

namespace Review {

/// One run of a task on a worker, as the worker saw it.
struct Run {
    std::string task;
    uint64_t number { 0 };
    std::string worker;
    uint64_t fencingToken { 0 };
    int64_t startedAt { 0 };

    /// 0 while the run is active.
    int64_t endedAt { 0 };

    /// How the run ended, in the platform's words; "gone" when its worker crashed.
    std::string how {};

    /// When a hold acknowledged the end; 0 before.
    int64_t notedAt { 0 };
};

/// All runs of all workers.
class Runs {
public:
    size_t add(Run run);
    void end(size_t index, const std::string& how, int64_t at);
    void note(size_t index, int64_t at);
    std::vector<Run> all() const;

private:
    mutable std::mutex m_mutex;
    std::vector<Run> m_runs;
};

/// A worker of the platform as PROTOCOL.md describes it. The first number in a task's spec is the time in milliseconds
/// that the task works.
class Worker {
public:
    struct Options {
        std::string id;
        std::string ip;
        uint16_t port { 9000 };
        std::string zone;
        std::string rack;
        int64_t cpu { 32000 };
        int64_t memMb { 128000 };
        int64_t heartbeatMs { 1500 };
        int64_t holdMaxMs { 6000 };
        int64_t stopMs { 400 };
    };

    Worker(Record&, Store&, Runs&, Options);
    ~Worker();

    bool start();
    void stop();

    /// The process ends without notice. Everything that runs is gone, and connections are refused.
    void crash();

    /// A new process begins at the same address, under the next id.
    void restart();

    /// The machines of the system get a reset in place of a connection; the worker runs on.
    void setCutOff(bool isCutOff);

    /// Leaves all calls unanswered and undone whose fencing token this function refuses. Each leader has one token, so
    /// it tells from which machine a call comes.
    void setReachedBy(std::function<bool(uint64_t fencingToken)> isReachedBy);

    /// Whether the worker can write its entry.
    void setStoreReached(bool isStoreReached) { m_isStoreReached = isStoreReached; }

    /// The highest fencing token that the worker has seen.
    uint64_t fencingToken() const;

    std::string id() const;
    size_t activeRuns() const;
    const Options& options() const { return m_options; }

private:
    struct Active {
        size_t index;
        uint64_t number;
        int64_t beganAt;
        int64_t endsAt;
        int64_t stopsAt;
        int64_t cpu;
    };
    struct Finished {
        uint64_t sequence;
        size_t index;
        std::string task;
        uint64_t number;
        std::string how;

        /// The lease lapsed after the end, so that its acknowledgement does not count.
        bool hasLapsed { false };
    };

    Response handle(const Request&);
    int64_t clockMs() const { return steadyMs() - m_bornSteady + 1000; }
    void extendLease(int64_t untilMs);
    void endRun(const std::string& task, const std::string& how);
    void tickLoop();
    void tick();
    void announce();
    std::string lists() const;

    Record& m_record;
    Store& m_store;
    Runs& m_runs;
    Options m_options;
    mutable std::mutex m_mutex;
    std::condition_variable m_changed;
    HttpServer m_server;
    std::thread m_ticker;
    std::atomic<bool> m_isStopping { false };
    bool m_isAlive { false };
    bool m_isCutOff { false };
    std::atomic<bool> m_isStoreReached { true };
    std::function<bool(uint64_t)> m_isReachedBy;
    uint64_t m_life { 0 };
    int64_t m_bornUnix { 0 };
    int64_t m_bornSteady { 0 };
    int64_t m_leaseUntil { 0 };
    uint64_t m_fencingToken { 0 };
    uint64_t m_nextSequence { 1 };
    uint64_t m_announcements { 0 };
    int64_t m_announcedAt { 0 };
    std::map<std::string, int64_t> m_entries;
    std::map<std::string, Active> m_active;
    std::map<std::string, uint64_t> m_closedRuns;
    std::deque<Finished> m_finished;
};

}
