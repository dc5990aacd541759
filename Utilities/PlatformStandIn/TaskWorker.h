#pragma once

#include "Random.h"
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

/// Stand-in for a worker of the platform. It runs tasks under a lease that expires by its own clock, rejects outdated
/// fencing tokens, reports finished runs until they are acknowledged, and announces itself in the store. Its process
/// can crash, by a fault or by a task, and comes back as a new incarnation at the same address.
class TaskWorker {
public:
    static absl::StatusOr<std::unique_ptr<TaskWorker>> create(
        EventLoop&, StoreStandIn&, RunObserver&, TaskWorkerOptions);
    ~TaskWorker();

    /// Loses all active runs and unacknowledged finished runs, and resets connections for `downtime`. A new incarnation
    /// under the same worker id follows.
    void crash(Milliseconds downtime) { crash(downtime, {}); }

    /// Like crash(), but connections stay open. For `downtime`, calls get no reply; then, for `lateTime`, some of them.
    /// A share of these is executed seconds later, by the incarnation that is up then.
    void crashSilently(Milliseconds downtime, Milliseconds lateTime);

    /// For `duration`, the worker runs on, but its announcements do not reach the store, and connections to it are
    /// refused as if its process had ended.
    void cutOff(Milliseconds duration);

    /// Reduces the capacity to a percentage of its full size for `duration`, also below what runs there.
    void shrinkCapacity(int64_t percent, Milliseconds duration);

    TcpProxy& proxy() { return *m_proxy; }
    const TaskWorkerOptions& options() const { return m_options; }
    void stopServing() { m_server->shutdown(); }

private:
    using Responder = std::shared_ptr<HttpResponder>;

    struct ActiveRun {
        RunObserver::Run identity;
        Instant startedAt;
        Milliseconds duration { 0 };
        uint32_t failingRuns { 0 };
        WorkerCapacity used {};
        Instant stopsAt { Instant::max() };
        Instant crashesAt { Instant::max() };
    };

    struct FinishedRun {
        uint64_t sequence { 0 };
        RunObserver::Run identity;
        std::string outcome;

        /// Whether the lease expired before the acknowledgement. The observer is not told of such an acknowledgement.
        bool hasLeaseExpired { false };
    };

    struct WaitingRenewal {
        Instant expiresAt;
        Responder responder;
    };

    struct UnansweredCall {
        Instant forgottenAt;
        Responder responder;
    };

    TaskWorker(EventLoop&, StoreStandIn&, RunObserver&, TaskWorkerOptions);
    int64_t clockMs() const;
    void startIncarnation();
    void crash(Milliseconds downtime, const std::string& crashingTask);
    bool endIncarnation(Milliseconds downtime, const std::string& crashingTask);
    bool crashIfTaskIsDue();
    void restartIfDue();
    void reconnectIfDue();
    void handle(const HttpRequest&, const Responder&);
    void leaveUnanswered(const Responder&);

    /// Whether a late start comes before calls of a node that knows the incarnation can have told it of a newer fencing
    /// token, although its run has ended or been stopped on an earlier one. No node can prevent that, so it is left
    /// out.
    bool isUnpreventable(const std::string& task, uint64_t runNumber) const;

    /// The responder is null if the call is executed late.
    void execute(const HttpRequest&, const Responder&);
    void start(const nlohmann::json& command, const Responder&);
    void stop(const nlohmann::json& command, const Responder&);
    void renewLease(const nlohmann::json& command, const Responder&);
    void extendLease(const nlohmann::json& command);
    void acknowledge(uint64_t sequence);
    void endRun(const std::string& task, const std::string& outcome);
    void tick();
    void endRunsIfLeaseExpired();
    void announce();
    void setCapacity(const WorkerCapacity&);

    /// The load with the added run.
    WorkerLoad loadWith(const ActiveRun& added) const;
    void reply(const Responder&, int status, const char* reason) const;

    /// Reply that lists the active runs and the unacknowledged finished runs.
    HttpResponse statusReply() const;

    EventLoop& m_loop;
    StoreStandIn& m_store;
    RunObserver& m_observer;
    TaskWorkerOptions m_options;
    Random m_random;

    /// Id of this incarnation.
    std::string m_id;
    uint32_t m_newIdCount { 0 };
    bool m_isAlive { false };
    Instant m_restartsAt { neverInstant };
    Instant m_cutOffUntil { neverInstant };
    Instant m_lateCallsUntil { neverInstant };
    WorkerCapacity m_capacity;
    Instant m_shrunkUntil { neverInstant };
    Instant m_incarnationStart { neverInstant };

    /// Start of this incarnation in milliseconds of Unix time.
    int64_t m_startedAtMs { 0 };
    uint64_t m_fenceToken { 0 };

    /// Expiry of the lease on the worker's clock.
    int64_t m_leaseExpiresAtMs { 0 };
    std::map<std::string, ActiveRun> m_activeRuns;

    /// The highest run number of each task that has ended or been stopped. Runs up to it must not start.
    std::map<std::string, uint64_t> m_highestClosedRuns;

    /// The same of earlier incarnations.
    std::map<std::string, uint64_t> m_runsClosedBefore;

    /// The call that is executed was meant for a former incarnation.
    bool m_isCallMisdirected { false };

    /// When a call in time first reached this incarnation.
    Instant m_reachedAt { neverInstant };
    std::deque<FinishedRun> m_finishedRuns;
    uint64_t m_nextFinishedSequence { 1 };
    uint64_t m_announcementSequence { 0 };
    Instant m_lastAnnouncedAt { neverInstant };

    /// Ids of this and earlier incarnations with an entry in the store, with the time of their last announcement.
    std::map<std::string, Instant> m_entries;
    std::vector<WaitingRenewal> m_waitingRenewals;
    std::unique_ptr<TcpProxy> m_proxy;
    std::unique_ptr<HttpServer> m_server;

    /// Calls that get no reply. A responder replies when it is destroyed, so it is kept until the caller has given up.
    std::vector<UnansweredCall> m_unansweredCalls;
};

}
