#pragma once

#include "EventQueue.h"
#include "Step.h"
#include <LibEntry/EntryNode.h>
#include <LibEntry/JobApi.h>
#include <LibStandIn/LogStore.h>
#include <LibStandIn/RunRecords.h>
#include <LibStandIn/WorkerModel.h>
#include <deque>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <vector>

namespace Bergamot {

/// Runs several entry nodes with fake platform services in virtual time. Tests inject faults by setting public members.
class VirtualCluster {
public:
    struct Options {
        int nodes { 3 };
        int workersPerZone { 2 };
        uint64_t seed { 1 };
        uint64_t snapshotEntries { 200 };
    };

    explicit VirtualCluster(Options);
    ~VirtualCluster();

    void run(Milliseconds);
    /// Runs until the condition holds. False when `limit` passes first.
    bool runUntil(Milliseconds limit, const std::function<bool()>&);

    EntryNode* node(const MemberId&);
    /// Any node that is running, not paused and able to read the log. Null when there is none.
    EntryNode* anyNode();
    EntryNode* leader();
    const StateImage& image();

    void kill(const MemberId&);
    void start(const MemberId&);
    void pause(const MemberId&, Milliseconds);

    void publishConfig(uint64_t version = 1);
    void submitJob(const JobId&, int64_t runMs, const std::string& kind = "settlement");
    void setZoneOut(const ZoneId&, bool out);
    WorkerModel& worker(const WorkerId& id) { return *m_workers.at(id); }

    /// Ends the worker's process. Its address refuses connections until a new process, which knows nothing, has
    /// started.
    void crashWorker(const WorkerId&, Milliseconds downTime);

    /// Expires the region's log entries below position `before`.
    void expireLog(LogPosition before) { m_log.expireBefore("region-main", before); }

    /// Execution records of all workers and zone events, for the checks of LibStandIn.
    RunRecords records();

    /// True when every submitted job has ended, with any outcome.
    bool allJobsEnded();

    EventQueue events;

    /// Called with the acting member before a step takes effect.
    std::function<void(Step, const MemberId&)> onStep;

    Instant logUnavailableUntil { neverInstant };
    Instant hostListUnavailableUntil { neverInstant };
    Milliseconds logDelay { 5 };
    int appendRepliesToDrop { 0 };
    int appendsToDuplicate { 0 };
    int workerRepliesToDrop { 0 };
    std::set<MemberId> membersWithoutLog;
    std::set<MemberId> membersWithoutPeers;

    /// Calls of these members are dropped before they take effect, as when a process dies while sending.
    std::set<MemberId> membersWithDroppedCalls;
    std::set<WorkerId> unreachableWorkers;
    std::set<WorkerId> refusingWorkers;
    std::set<WorkerId> leavingWorkers;

    /// Jobs that crash their worker before it replies to the start.
    std::set<JobId> jobsCrashingAtStart;
    std::set<WorkerId> goneWorkers;

private:
    void recordUnconfirmedZoneReturn();
    struct Process;
    class FakeLog;
    class FakeWorkers;
    class FakeHosts;
    class FakePeers;

    void step();
    void createWorkers();
    std::vector<Step> findSteps(const std::string& stream, const std::string& bytes) const;
    void notifyStep(Step, const MemberId&);

    Options m_options;
    LogStore m_log;
    std::map<WorkerId, std::unique_ptr<WorkerModel>> m_workers;
    std::map<MemberId, std::unique_ptr<Process>> m_processes;
    std::vector<ZoneEvent> m_zoneEvents;

    /// The first request to bring a zone back into service. Kept until the state of a member shows its effect or the
    /// zone is taken out again.
    struct ZoneReturn {
        ZoneId zone;
        int64_t requestedAtMs { 0 };
        LogPosition position { 0 };
    };
    std::optional<ZoneReturn> m_requestedZoneReturn;
    std::set<JobId> m_submitted;
    uint64_t m_nextIncarnation { 1 };
};

SiteConfig makeTestConfig();

}
