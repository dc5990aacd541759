#pragma once

#include "RunObserver.h"
#include "TaskWorkerOptions.h"
#include "TcpProxy.h"
#include <LibHttp/HttpRequest.h>
#include <LibHttp/HttpResponder.h>
#include <LibHttp/HttpServer.h>
#include <absl/status/statusor.h>
#include <deque>
#include <map>
#include <memory>
#include <nlohmann/json_fwd.hpp>
#include <string>
#include <vector>

namespace Bergamot {

class EventLoop;
class StoreStandIn;

/// Stand-in of a worker of the platform: it runs tasks under a lease on its own clock, compares fencing tokens, keeps
/// its ends until they are acknowledged, and announces itself in the store. It can crash and come back.
class TaskWorker {
public:
    static absl::StatusOr<std::unique_ptr<TaskWorker>> create(
        EventLoop&, StoreStandIn&, RunObserver&, TaskWorkerOptions);
    ~TaskWorker();

    /// Everything that runs is lost, and connections are reset until revive().
    void crash();

    /// A new life under the same id.
    void revive();

    TcpProxy& proxy() { return *m_proxy; }
    const TaskWorkerOptions& options() const { return m_options; }
    void stopServing() { m_server->shutdown(); }

private:
    using Responder = std::shared_ptr<HttpResponder>;

    struct ActiveRun {
        RunObserver::Run identity;
        Instant startedAt;
        Milliseconds duration { 0 };
        uint32_t failures { 0 };
        int64_t cpuMillis { 0 };
        int64_t memoryMb { 0 };
        Instant stopsAt { Instant::max() };
    };

    struct End {
        uint64_t sequence { 0 };
        RunObserver::Run identity;
        std::string outcome;

        /// An end does not count as noted when the lease lapsed before its acknowledgement.
        bool leaseLapsed { false };
    };

    struct Waiter {
        Instant until;
        Responder responder;
    };

    TaskWorker(EventLoop&, StoreStandIn&, RunObserver&, TaskWorkerOptions);
    int64_t clockMs() const;
    void beginLife();
    void handle(const HttpRequest&, const Responder&);
    void start(const nlohmann::json& order, const Responder&);
    void stop(const nlohmann::json& order, const Responder&);
    void hold(const nlohmann::json& order, const Responder&);
    void extendLease(const nlohmann::json& order);
    void acknowledge(uint64_t sequence);
    void endRun(const std::string& task, const std::string& outcome);
    void tick();
    void checkLease();
    void announce();
    bool hasRoom(const ActiveRun&) const;
    void answer(const Responder&, int status, const char* reason) const;
    HttpResponse lists() const;

    EventLoop& m_loop;
    StoreStandIn& m_store;
    RunObserver& m_observer;
    TaskWorkerOptions m_options;
    bool m_alive { false };
    Instant m_bornAt { neverInstant };
    int64_t m_startedAtMs { 0 };
    uint64_t m_epoch { 0 };
    int64_t m_leaseUntilMs { 0 };
    std::map<std::string, ActiveRun> m_runs;
    std::map<std::string, uint64_t> m_highestClosed;
    std::deque<End> m_ends;
    uint64_t m_nextEnd { 1 };
    uint64_t m_announcements { 0 };
    Instant m_announcedAt { neverInstant };
    bool m_listed { false };
    std::vector<Waiter> m_waiters;
    std::unique_ptr<TcpProxy> m_proxy;
    std::unique_ptr<HttpServer> m_server;
};

}
