#pragma once

#include <LibHttp/HttpRequest.h>
#include <LibHttp/HttpResponder.h>
#include <LibNode/JobAcceptor.h>
#include <LibNode/LeadershipMonitor.h>
#include <LibNode/NodeIngress.h>
#include <LibNode/NodeOptions.h>
#include <LibNode/QueryRouter.h>
#include <LibNode/StreamReader.h>
#include <LibNode/TaskLeader.h>
#include <LibPlatform/PlatformFormats.h>
#include <LibPlatform/RecordStore.h>
#include <LibPlatform/TaskExecutor.h>
#include <LibReport/NodeMetrics.h>
#include <atomic>
#include <memory>
#include <set>
#include <string>
#include <vector>

namespace Bergamot {

class EventLoop;
class PeerTransport;

/// One node of the cluster: serves callers' requests, follows the operators' configuration and the leadership stream,
/// and runs the scheduler when it is elected. Runs on one event loop.
class Node {
public:
    struct Services {
        EventLoop& loop;
        RecordStore& store;
        TaskExecutor& taskExecutor;
        PeerTransport& peers;
        const PlatformFormats& formats;
    };

    /// The services must outlive the node.
    Node(Services, NodeOptions);
    ~Node();

    void start();

    /// Must be called on the event loop's thread.
    void handle(const HttpRequest& request, HttpResponder responder)
    {
        m_ingress.handle(request, std::move(responder));
    }

    /// The current configuration, or null if none has been loaded. Must be called on the event loop's thread.
    std::shared_ptr<const RoutingTable> routing() const { return m_routing; }

    /// Result of the readiness probe: whether a load balancer should send requests to this node. May be called from any
    /// thread.
    bool isReady() const { return m_ready; }

    /// The metrics in the Prometheus text format. May be called from any thread.
    std::string metricsText() const { return m_metrics.text(); }

    struct ShutdownTimes {
        /// Requests without a result by then get a response that says so, and later ones are refused.
        Instant answerBy { Instant::max() };

        /// When the process ends at the latest.
        Instant endsBy { Instant::max() };
    };

    /// Must be called when the process has been asked to end. The node reports not ready, goes on serving requests, and
    /// hands its leadership over once another process can lead.
    void prepareShutdown(const ShutdownTimes&);

    /// Whether the process can end now without leaving its leadership or the record of its end behind.
    bool mayEnd() const { return m_leadership.mayEnd(); }

private:
    void applyOperatorRecord(const KeyedRecord&);
    void handleOperatorsCaughtUp();
    void updateLeader();
    void handleElected(uint64_t epoch, bool hasPredecessor);
    void handleDeposed();
    bool canStart();
    bool isConfigurationCurrent() const;

    /// False if another node may have been elected since this process was suspended.
    bool isConfirmedSinceSuspension();
    void detectSuspension(Instant now);
    void tick();

    Services m_services;
    NodeOptions m_options;
    NodeMetrics m_metrics;
    StreamReader m_operators;
    LeadershipMonitor m_leadership;
    JobAcceptor m_acceptor;
    QueryRouter m_queries;
    NodeIngress m_ingress;
    std::unique_ptr<TaskLeader> m_leader;

    /// Deposed leaders that are destroyed in the next turn of the event loop.
    std::vector<std::unique_ptr<TaskLeader>> m_formerLeaders;
    std::shared_ptr<const RoutingTable> m_routing;
    std::set<ZoneId> m_zonesOut;

    /// Zones that are out according to the records read so far; incomplete during a reload of the operators' stream.
    std::set<ZoneId> m_loadingZonesOut;

    /// The operators' stream has been read to its end. Without its records, a leader would not know the retry limits
    /// and priorities of the queues or which zones are out.
    bool m_hasReadOperators { false };
    bool m_isShuttingDown { false };
    std::atomic<bool> m_ready { false };
    Instant m_lastTickAt { neverInstant };

    /// The process was suspended, so its state may be out of date until the store confirms its leadership.
    bool m_wasSuspended { false };
    std::shared_ptr<bool> m_alive { std::make_shared<bool>(true) };
};

}
