#pragma once

#include "SyntheticCluster.h"
#include <LibEntry/Dispatcher.h>
#include <LibEntry/LogStream.h>
#include <LibEntry/LossDetector.h>
#include <LibEntry/Membership.h>
#include <LibPlatform/LogService.h>
#include <LibPlatform/WorkerService.h>
#include <vector>

namespace Bergamot {

/// Runs the dispatcher and the loss detector of one entry host on a synthetic region, in virtual time and without
/// sockets. Stub workers reply immediately and report all tasks that are committed to them as running.
class SimulatedEntryHost {
public:
    explicit SimulatedEntryHost(ClusterSize);

    const ClusterState& state() const { return m_region.state(); }

    /// Advances virtual time by one daemon tick and runs the component.
    void tickDispatcher();
    void tickLossDetector();

private:
    struct ManualClock : Clock {
        Instant time { Milliseconds { 1'000'000 } };
        Instant now() const override { return time; }
    };

    struct InMemoryLog : LogService {
        std::vector<LogEntry> entries;
        void append(const std::string&, std::string, Callback<LogPosition>) override { }
        void read(const std::string& stream, LogPosition from, Milliseconds, Callback<LogChunk>) override;
    };

    struct StubWorkers : WorkerService {
        const SimulatedEntryHost* host { nullptr };
        void start(const std::string&, const TaskStart&, Callback<StartReply>) override { }
        void renew(const std::string& address, const LeaseRenewal&, Callback<LeaseReport>) override;
        void stop(const std::string&, const TaskId&, bool, Callback<StopReply>) override { }
        void throttle(const std::string&, const TaskId&, int, std::function<void(absl::Status)>) override { }
    };

    void advance();

    ManualClock m_clock;
    InMemoryLog m_log;
    StubWorkers m_workers;
    std::map<std::string, LeaseReport> m_reports;
    size_t m_members;
    LogStream m_region;
    Membership m_membership;
    Dispatcher m_dispatcher;
    LossDetector m_lossDetector;
};

}
