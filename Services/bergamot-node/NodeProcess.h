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

/// The node as a process: its event loop, its servers and the reaction to signals.
class NodeProcess {
public:
    /// Unavailable when an address is in use.
    static absl::StatusOr<std::unique_ptr<NodeProcess>> create(const Platform::PlatformSettings&, uint16_t metricsPort);
    ~NodeProcess();

    /// Serves until SIGTERM or SIGINT has been followed by a graceful shutdown.
    void run();

private:
    explicit NodeProcess(const Platform::PlatformSettings&);
    absl::Status startServers();
    absl::Status startMetrics(uint16_t port);
    absl::Status watchSignals();
    void applyLimits();
    void signalReceived();
    void drain();

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
    int m_signals { -1 };
    uint64_t m_limitsVersion { 0 };
    Instant m_drainingSince { neverInstant };
};

}
