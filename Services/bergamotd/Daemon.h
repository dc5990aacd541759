#pragma once

#include <LibConfig/NodeSettings.h>
#include <LibCore/Kernel.h>
#include <LibCore/Mailbox.h>
#include <LibCore/SteadyClock.h>
#include <LibEntry/CallerApi.h>
#include <LibEntry/EntryNode.h>
#include <LibEntry/JobApi.h>
#include <LibEntry/OperatorApi.h>
#include <LibHttp/HttpEngine.h>
#include <LibHttp/HttpServer.h>
#include <memory>
#include <string>
#include <vector>

namespace Bergamot {

/// The entry daemon. Connects the platform adapters, the entry node and the HTTP servers, and runs the control thread.
class Daemon {
public:
    struct Options {
        NodeSettings settings {};
        std::shared_ptr<const SiteConfig> initialConfig {};
        std::string adminToken {};
        Milliseconds snapshotInterval { 600'000 };
        uint64_t snapshotEntries { 20'000 };
        uint64_t seed { 1 };
    };

    /// Opens all sockets. Returns Unavailable when an address is in use.
    static absl::StatusOr<std::unique_ptr<Daemon>> create(Options);
    ~Daemon();

    /// Runs the control thread until SIGTERM or SIGINT arrives and the drain that follows is complete or times out.
    void run();

private:
    explicit Daemon(Options);
    absl::Status registerPlatform();
    absl::Status startNode();
    absl::Status startServers();
    /// Rejects new requests when the drain has lasted long enough. Returns true when the drain is complete or has timed
    /// out.
    bool updateDrain(Instant now);

    Options m_options;
    SteadyClock m_clock;
    std::shared_ptr<Mailbox> m_mailbox { std::make_shared<Mailbox>() };
    Kernel m_kernel;
    std::shared_ptr<HttpEngine> m_controlEngine;
    std::vector<std::shared_ptr<HttpEngine>> m_quickEngines;
    std::unique_ptr<EntryNode> m_node;
    std::unique_ptr<JobApi> m_jobApi;
    std::unique_ptr<CallerApi> m_callerApi;
    std::unique_ptr<OperatorApi> m_operatorApi;
    std::unique_ptr<HttpServer> m_callerServer;
    std::unique_ptr<HttpServer> m_adminServer;
    Instant m_drainStartedAt { neverInstant };
    Instant m_idleSince { neverInstant };
};

}
