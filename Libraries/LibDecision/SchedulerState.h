#pragma once

#include <LibCore/Ids.h>
#include <LibDecision/IdTable.h>
#include <LibDecision/JobRecord.h>
#include <LibDecision/KindView.h>
#include <LibDecision/SchedulerWorkerRecord.h>
#include <LibDecision/TeamView.h>
#include <deque>
#include <string>
#include <vector>

namespace Bergamot {

struct KindRecord {
    KindView view {};
    bool isDefined { false };
    std::vector<KindIndex> yieldsTo {};
    /// Ratio of measured to declared processor usage, smoothed.
    double cpuUseRatio { 1.0 };
    /// Running tasks of a service kind, by zone and by rack.
    std::vector<uint32_t> tasksByZone {};
    std::vector<uint32_t> tasksByRack {};
    uint32_t tasks { 0 };
};

struct ZoneRecord {
    ZoneId id {};
    bool isOut { false };
    Instant changedAt {};
};

struct TeamRecord {
    TeamView view {};
    Resources committed {};
};

/// Workers, jobs, kinds, teams and zones, with the resources that jobs have committed on workers. The policies read
/// the state; the batch scheduler changes it.
class SchedulerState {
public:
    std::vector<SchedulerWorkerRecord> workers;
    /// A deque grows without moving its elements and without spare capacity. Slots of removed jobs are reused.
    std::deque<JobRecord> jobs;
    std::vector<KindRecord> kinds;
    std::vector<TeamRecord> teams;
    std::vector<ZoneRecord> zones;
    IdTable workerIds;
    IdTable jobIds;
    IdTable kindIds;
    IdTable teamIds;
    IdTable zoneIds;
    IdTable rackIds;
    /// Total capacity of the present workers.
    Resources totalCapacity {};
    /// Processors (in thousandths of a core) and memory (in MB) that jobs request per accelerator, smoothed; 0 until
    /// a job requests accelerators.
    double cpuPerAccelerator { 0 };
    double memoryPerAccelerator { 0 };

    void recordAcceleratorJob(const Resources& size);
    KindIndex internKind(const std::string& name);
    ZoneIndex internZone(const ZoneId&);
    RackIndex internRack(const ZoneId&, const std::string& rack);
    JobIndex addJob(JobRecord);
    void removeJob(JobIndex);

    /// Commits the job's resources on the worker. The caller has checked that they fit.
    void commit(JobIndex, WorkerIndex, Instant now);
    void release(JobIndex, Instant now);
    void removeReservation(JobIndex);
    void addReservation(WorkerIndex, Reservation);

    /// True if tasks of `kind` may be throttled or evicted in favour of tasks of `other`.
    bool yieldsTo(KindIndex kind, KindIndex other) const;
    bool isAvailable(const SchedulerWorkerRecord&) const;
    /// If `isForService` is set, the processors that the throttle withholds still count for the task, because it gets
    /// them back later.
    void setThrottle(JobRecord&, int32_t speedPercent, bool isForService);
    /// Sets the expected processor usage of a committed job, in thousandths of a core.
    void setExpectedCpu(JobRecord&, double cpuMillis);
    static std::vector<Neighbour> neighboursOf(const SchedulerWorkerRecord&);
    static void recordColocation(SchedulerWorkerRecord&, Instant now);
    /// The kinds that ran on the worker at `time`; nullptr if all snapshots are newer.
    static const std::vector<Neighbour>* neighboursAt(const SchedulerWorkerRecord&, Instant time);
    size_t stateBytes() const;

private:
    void adjustServiceCount(const JobRecord&, SchedulerWorkerRecord&, int32_t change);

    std::vector<JobIndex> m_freeJobs;
};

}
