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

/// One entry daemon: connects the platform adapters, the entry node and the HTTP servers, and runs the control thread.
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

    /// Runs the control thread until a signal ends it and all requests in progress are answered.
    void run();

private:
    explicit Daemon(Options);
    absl::Status registerPlatform();
    absl::Status startNode();
    absl::Status startServers();
    bool drainFinished(Instant now);

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
    Instant m_drainBegan { neverInstant };
    Instant m_idleSince { neverInstant };
};

}
