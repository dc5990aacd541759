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
    /// Measured use as a ratio to the declared size, smoothed.
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

/// Workers, jobs, kinds, teams and zones, with the commitments that tie them together. The policies read it; the batch
/// scheduler changes it.
class SchedulerState {
public:
    std::vector<SchedulerWorkerRecord> workers;
    /// Grows without moving or spare capacity; slots are used again.
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
    /// Capacity of the workers present.
    Resources totalCapacity {};
    /// Processors and memory that jobs ask for with each accelerator, smoothed; 0 until such a job is seen.
    double cpuPerAccelerator { 0 };
    double memoryPerAccelerator { 0 };

    void recordAcceleratorJob(const Resources& size);
    KindIndex internKind(const std::string& name);
    ZoneIndex internZone(const ZoneId&);
    RackIndex internRack(const ZoneId&, const std::string& rack);
    JobIndex addJob(JobRecord);
    void removeJob(JobIndex);

    /// Holds the job's size on the worker. The caller has checked that it fits.
    void commit(JobIndex, WorkerIndex, Instant now);
    void release(JobIndex, Instant now);
    void removeReservation(JobIndex);
    void addReservation(WorkerIndex, Reservation);

    /// True when tasks of `kind` may be throttled or evicted for tasks of `other`.
    bool yieldsTo(KindIndex kind, KindIndex other) const;
    bool isAvailable(const SchedulerWorkerRecord&) const;
    /// With `forService` the processors withheld still count for the task, and it gets them back later.
    void setThrottle(JobRecord&, int32_t speedPercent, bool isForService);
    /// Sets the processors that a committed job is expected to use, in thousandths of a core.
    void setExpectedCpu(JobRecord&, double cpuMillis);
    static std::vector<Neighbour> neighboursOf(const SchedulerWorkerRecord&);
    static void recordColocation(SchedulerWorkerRecord&, Instant now);
    /// The tasks that ran on the worker at `time`.
    static const std::vector<Neighbour>* neighboursAt(const SchedulerWorkerRecord&, Instant time);
    size_t stateBytes() const;

private:
    void adjustServiceCount(const JobRecord&, SchedulerWorkerRecord&, int32_t change);

    std::vector<JobIndex> m_freeJobs;
};

}
