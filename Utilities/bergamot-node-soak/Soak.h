#pragma once

#include "Fault.h"
#include "JobChecker.h"
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

/// One soak run. Starts the stand-ins, the node processes and the job traffic, and injects the scheduled faults.
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

    /// Returns Unavailable when a stand-in or a node cannot be started.
    absl::Status start();

    /// Runs to the end, including the final checks. Returns true if there was no violation.
    bool run();

private:
    std::string hostAddress(size_t number) const;
    absl::Status startStandIns();
    absl::Status watchStopSignals();
    void publishConfiguration();
    void inject(const Fault&);
    void injectNodeFault(const Fault&);
    void injectStoreFault(const Fault&);
    void injectStoreResets(const Fault&);
    void injectLinkFault(const Fault&);
    void injectWorkerFault(const Fault&);
    void injectLateCalls(TaskWorker&, const Fault&);
    void injectOperatorChange(const Fault&);
    void killAll(const Fault&);
    void settle();
    void checkSettled();

    Options m_options;
    SteadyClock m_clock;
    std::unique_ptr<EventLoop> m_loop;
    JobChecker m_checker;
    std::unique_ptr<StoreStandIn> m_store;
    std::vector<std::unique_ptr<TcpProxy>> m_storeLinks;
    std::vector<std::unique_ptr<TaskWorker>> m_workers;
    std::unique_ptr<NodeGroup> m_nodes;
    std::unique_ptr<JobTraffic> m_traffic;
    uint64_t m_configurationVersion { 0 };
    Instant m_settleDeadline { neverInstant };
    bool m_interrupted { false };
    int m_signalDescriptor { -1 };
};

}
