#pragma once

#include <LibCore/SteadyClock.h>
#include <LibHttp/EventLoop.h>
#include <LibHttp/HttpEngine.h>
#include <LibHttp/HttpServer.h>
#include <LibNode/Node.h>
#include <LibPlatform/NngPeerTransport.h>
#include <absl/status/statusor.h>
#include <memory>
#include <platform/PlatformJson.h>
#include <platform/PlatformSettings.h>
#include <platform/PlatformStore.h>
#include <platform/PlatformWorkers.h>

namespace Bergamot {

/// Runs a node with its event loop and servers, and handles the signals of the process.
class NodeProcess {
public:
    /// Keeps the signals that the process handles pending until run(), so that none of them ends the process by its
    /// default action. Must be called first in main(), before any thread starts.
    static void blockSignals();

    /// Opens all sockets. Returns Unavailable when an address is in use.
    static absl::StatusOr<std::unique_ptr<NodeProcess>> create(const Platform::PlatformSettings&, uint16_t metricsPort);
    ~NodeProcess();

    /// Runs the event loop until SIGTERM or SIGINT arrives and the drain that follows is complete or times out.
    void run();

private:
    explicit NodeProcess(const Platform::PlatformSettings&);
    absl::Status startServers();
    absl::Status startMetrics(uint16_t port);
    absl::Status watchSignals();
    void updateLimits();
    void handleSignals();
    void checkDrain();

    Platform::PlatformSettings m_settings;
    SteadyClock m_clock;
    std::unique_ptr<EventLoop> m_loop;
    std::unique_ptr<HttpEngine> m_engine;
    std::unique_ptr<Platform::PlatformStore> m_store;
    std::unique_ptr<Platform::PlatformWorkers> m_workers;
    Platform::PlatformJson m_formats;
    std::unique_ptr<NngPeerTransport> m_peers;
    std::unique_ptr<Node> m_node;
    std::unique_ptr<HttpServer> m_front;
    std::unique_ptr<HttpServer> m_readiness;
    std::unique_ptr<HttpServer> m_metrics;
    int m_signalFd { -1 };
    uint64_t m_limitsVersion { 0 };
    Instant m_drainStartedAt { neverInstant };

    /// When every request has a response, at the latest. Set by the start of the drain.
    Instant m_answerBy { neverInstant };

    /// When the first drain check at or after m_answerBy ran, which is late if the process was suspended.
    Instant m_answeredAt { neverInstant };
    bool m_isReadingStopped { false };
};

}
