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

namespace Bergamot {

class EventLoop;
class PeerTransport;

/// One node: takes callers' requests, follows the operators' configuration and the leadership, and leads when it is
/// elected. Runs on one event loop.
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

    /// On the loop's thread.
    void handle(const HttpRequest& request, HttpResponder responder)
    {
        m_ingress.handle(request, std::move(responder));
    }

    /// The configuration in force; null while there is none. On the loop's thread.
    std::shared_ptr<const RoutingTable> routing() const { return m_routing; }

    /// Whether new connections are welcome. May be called from any thread.
    bool isReady() const { return m_ready; }

    /// The metrics in the Prometheus text format. May be called from any thread.
    std::string metricsText() const { return m_metrics.text(); }

    /// Gives up leadership and reports not ready. Requests are still answered.
    void retire();

private:
    void applyOperatorRecord(const KeyedRecord&);
    void configurationRead();
    void updateLeader();
    void elected(uint64_t epoch, bool earlierLeader);
    void deposed();
    bool mayStart();

    /// False while another node may have led since this process stood still.
    bool isConfirmedSinceSuspension();
    void noteSuspension(Instant now);
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
    std::shared_ptr<const RoutingTable> m_routing;
    std::set<ZoneId> m_zonesOut;

    /// Incomplete while the operators' records are being loaded again.
    std::set<ZoneId> m_zonesBeingRead;

    /// The operators' records have been read to their end. A leader without them would not know how often a task may
    /// fail, which zones are out, or what comes first.
    bool m_operatorsRead { false };
    bool m_retired { false };
    std::atomic<bool> m_ready { false };
    Instant m_lastTick { neverInstant };

    /// The process stood still; what it believes may be out of date until the store has confirmed its leadership.
    bool m_wasSuspended { false };
    std::shared_ptr<bool> m_alive { std::make_shared<bool>(true) };
};

}
