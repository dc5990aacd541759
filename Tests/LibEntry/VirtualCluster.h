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

/// Several entry nodes with fakes of the platform in virtual time. Faults are plain members that tests set.
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
    /// Runs until the condition holds; false when `limit` passed first.
    bool runUntil(Milliseconds limit, const std::function<bool()>&);

    EntryNode* node(const MemberId&);
    /// A running node that reads the log, or nullptr.
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

    /// The log drops the region's records below `before`.
    void expireLog(LogPosition before) { m_log.expireBefore("region-main", before); }

    /// What was executed, for the checks of LibStandIn.
    RunRecords records();

    /// True when every submitted job has ended, with the outcome that it has to have.
    bool allJobsEnded();

    EventQueue events;

    /// Called before a step takes effect, with the acting member.
    std::function<void(Step, const MemberId&)> onStep;

    Instant logDownUntil { neverInstant };
    Instant hostListFrozenUntil { neverInstant };
    Milliseconds logDelay { 5 };
    int loseAppendAnswers { 0 };
    int duplicateAppends { 0 };
    int loseWorkerAnswers { 0 };
    std::set<MemberId> cutFromLog;
    std::set<MemberId> cutFromPeers;

    /// Calls of these members vanish before they take effect, as when a process dies in the middle of sending.
    std::set<MemberId> dropCallsOf;
    std::set<WorkerId> cutWorkers;
    std::set<WorkerId> leavingWorkers;
    std::set<WorkerId> goneWorkers;

private:
    void noteUnansweredReturn();
    struct Process;
    class FakeLog;
    class FakeWorkers;
    class FakeHosts;
    class FakePeers;

    void step();
    void createWorkers();
    std::vector<Step> stepsOf(const std::string& stream, const std::string& bytes) const;
    void reach(Step, const MemberId&);

    Options m_options;
    LogStore m_log;
    std::map<WorkerId, std::unique_ptr<WorkerModel>> m_workers;
    std::map<MemberId, std::unique_ptr<Process>> m_processes;
    std::vector<ZoneEvent> m_zoneEvents;

    /// The first request for the return of a zone that has not been seen in the log.
    struct ZoneReturn {
        ZoneId zone;
        int64_t askedAtMs { 0 };
        LogPosition position { 0 };
    };
    std::optional<ZoneReturn> m_zoneReturn;
    std::set<JobId> m_submitted;
    uint64_t m_nextIncarnation { 1 };
};

SiteConfig testConfig();

}
