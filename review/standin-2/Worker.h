#pragma once

#include "Record.h"
#include "Store.h"
#include <LibHttp/EventLoop.h>
#include <LibHttp/HttpServer.h>
#include <deque>
#include <functional>
#include <map>
#include <memory>
#include <nlohmann/json.hpp>
#include <string>
#include <vector>

namespace Review {

/// A worker as PROTOCOL.md tells it: leases by its own clock, fencing tokens, run numbers, ends that are listed until
/// they are acknowledged, entries in the store. The spec of a job says what its tasks do: for each step `ms` (how long
/// a task takes), `fails`, `lasts`, `tail` and `load` (of a task that serves), `fills`, `presses`, `cpu` and `mem`.
class Worker {
public:
    struct Options {
        std::string id {};
        std::string service {};
        std::string zone {};
        std::string kind {};
        std::string rack {};
        std::string ip {};
        uint16_t port { 9000 };
        int64_t cpu { 32000 };
        int64_t memMb { 128000 };
        int64_t holdMaxMs { 6000 };
        int64_t stopMs { 300 };
        int64_t heartbeatMs { 1500 };
    };

    /// What is seen at the worker.
    struct Events {
        std::function<void(Worker&, const std::string& task, uint64_t run)> onStart {};
        std::function<void(Worker&, const std::string& task, uint64_t run, const std::string& how)> onEnd {};

        /// An end is taken note of.
        std::function<void(Worker&, const std::string& task, uint64_t run, const std::string& how)> onNoted {};
    };

    Worker(Bergamot::EventLoop&, Store&, Record&, Options, Events);

    bool isListening() const { return m_server != nullptr; }
    void stop() { m_server->shutdown(); }

    /// While it is cut off, no call arrives and no answer leaves. The worker runs on and reaches the store.
    void setCutOff(bool cutOff) { m_isCutOff = cutOff; }

    /// The entry that the worker writes.
    nlohmann::json entry();
    void announce();

    const Options& options() const { return m_options; }
    bool runs(const std::string& task) const { return m_runs.contains(task); }
    size_t runCount() const { return m_runs.size(); }

    /// Processors of all runs at full speed, in thousandths of a core.
    int64_t cpuInUse() const;
    size_t unacknowledgedEnds() const { return m_ends.size(); }
    int64_t born() const { return m_born; }
    void setDraining(bool draining) { m_isDraining = draining; }

private:
    using Responder = std::shared_ptr<Bergamot::HttpResponder>;
    struct Run {
        uint64_t number { 0 };
        int64_t startedAt { 0 };
        int64_t stopsAt { 0 };
        nlohmann::json behaviour;

        /// The share at which the task works, in percent, and the work done so far, in milliseconds at full speed.
        int64_t percent { 100 };
        double workedMs { 0 };
    };
    struct End {
        uint64_t sequence { 0 };
        std::string task;
        uint64_t run { 0 };
        std::string how;
    };
    struct WaitingHold {
        Responder responder;
        int64_t until { 0 };
    };

    bool listen();
    void tick();
    void scheduleHeartbeat();
    void handle(const Bergamot::HttpRequest&, const Responder&);
    void start(const nlohmann::json&, const Responder&);
    void hold(const nlohmann::json&, const Responder&);
    void extendLease(const nlohmann::json&);
    void acknowledge(uint64_t sequence);
    void end(const std::string& task, const std::string& how);
    void lapseIfDue();
    void answer(const Responder&, int status, const char* reason = nullptr);
    std::string lists();
    double tailOf(const Run&) const;
    int64_t clockMs() const;

    Bergamot::EventLoop& m_loop;
    Store& m_store;
    Record& m_record;
    Options m_options;
    Events m_events;
    bool m_isCutOff { false };
    bool m_isDraining { false };
    int64_t m_born { 0 };
    int64_t m_workedUntil { 0 };
    Bergamot::Instant m_startedAt {};
    uint64_t m_token { 0 };
    int64_t m_leaseUntil { 0 };
    uint64_t m_nextEnd { 1 };
    uint64_t m_heartbeats { 0 };
    std::map<std::string, Run> m_runs;
    std::map<std::string, uint64_t> m_closed;
    std::deque<End> m_ends;
    std::vector<WaitingHold> m_waiting;

    /// Calls that get no answer; a responder that is destroyed would send one.
    std::vector<Responder> m_unanswered;
    std::unique_ptr<Bergamot::HttpServer> m_server;
};

}
