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

/// One entry host's view of a synthetic region in virtual time: the parts of the control loop without sockets. Workers
/// answer at once that they run what is committed to them.
class RegionRig {
public:
    explicit RegionRig(ClusterSize);

    const ClusterState& state() const { return m_region.state(); }

    /// Advances virtual time by one tick of the daemon and runs the part.
    void tickDispatcher();
    void tickLossDetector();

private:
    struct ManualClock : Clock {
        Instant time { Milliseconds { 1'000'000 } };
        Instant now() const override { return time; }
    };

    struct MemoryLog : LogService {
        std::vector<LogEntry> entries;
        void append(const std::string&, std::string, Callback<LogPosition>) override { }
        void read(const std::string& stream, LogPosition from, Milliseconds, Callback<LogChunk>) override;
    };

    struct IdleWorkers : WorkerService {
        const RegionRig* rig { nullptr };
        void start(const std::string&, const TaskStart&, Callback<StartReply>) override { }
        void renew(const std::string& address, const LeaseRenewal&, Callback<LeaseReport>) override;
        void stop(const std::string&, const TaskId&, bool, Callback<StopReply>) override { }
        void throttle(const std::string&, const TaskId&, int, std::function<void(absl::Status)>) override { }
    };

    void advance();

    ManualClock m_clock;
    MemoryLog m_log;
    IdleWorkers m_workers;
    std::map<std::string, LeaseReport> m_reports;
    size_t m_members;
    LogStream m_region;
    Membership m_membership;
    Dispatcher m_dispatcher;
    LossDetector m_lossDetector;
};

}
