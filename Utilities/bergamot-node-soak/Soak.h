#pragma once

#include "Fault.h"
#include "JobBook.h"
#include "JobTraffic.h"
#include "NodeGroup.h"
#include <LibCore/SteadyClock.h>
#include <PlatformStandIn/StoreStandIn.h>
#include <PlatformStandIn/TaskWorker.h>
#include <PlatformStandIn/TcpProxy.h>
#include <absl/status/status.h>
#include <memory>
#include <string>
#include <vector>

namespace Bergamot {

/// One run: stand-ins, node processes, callers, and the faults of a schedule.
class Soak {
public:
    struct Options {
        uint64_t seed { 1 };
        Milliseconds duration { 30000 };
        std::string program {};
        std::string folder {};
        size_t nodes { 4 };
        size_t workers { 12 };
        double jobsPerSecond { 6 };
        std::vector<Fault> faults {};
    };

    explicit Soak(Options);
    ~Soak();

    /// Unavailable when a part cannot be started.
    absl::Status start();

    /// Returns when all checks have been made; true without a violation.
    bool run();

private:
    std::string ipOf(size_t number) const;
    absl::Status startStandIns();
    absl::Status watchStopSignals();
    void publishConfiguration();
    void inject(const Fault&);
    void injectNodeFault(const Fault&);
    void injectStoreFault(const Fault&);
    void injectLinkFault(const Fault&);
    void injectWorkerFault(const Fault&);
    void injectOperatorChange(const Fault&);
    void killAll(const Fault&);
    void settle();
    void checkSettled();

    Options m_options;
    SteadyClock m_clock;
    std::unique_ptr<EventLoop> m_loop;
    JobBook m_book;
    std::unique_ptr<StoreStandIn> m_store;
    std::vector<std::unique_ptr<TcpProxy>> m_storeLinks;
    std::vector<std::unique_ptr<TaskWorker>> m_workers;
    std::unique_ptr<NodeGroup> m_nodes;
    std::unique_ptr<JobTraffic> m_traffic;
    uint64_t m_version { 0 };
    Instant m_settledBy { neverInstant };
    bool m_interrupted { false };
    int m_signals { -1 };
};

}
