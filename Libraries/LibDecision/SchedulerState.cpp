#include <LibCore/Verify.h>
#include <LibDecision/SchedulerState.h>
#include <algorithm>

namespace Bergamot {

// Number of snapshots kept per worker. Reports from before the oldest snapshot are not matched to one.
static constexpr size_t maxColocationSnapshots = 16;
static constexpr Milliseconds minSnapshotInterval { 1'000 };

void SchedulerState::recordAcceleratorJob(const Resources& size)
{
    if (size.accelerators == 0)
        return;
    constexpr double weight = 0.05;
    auto accelerators = static_cast<double>(size.accelerators);
    cpuPerAccelerator += weight * (static_cast<double>(size.cpuMillis) / accelerators - cpuPerAccelerator);
    memoryPerAccelerator += weight * (static_cast<double>(size.memoryMb) / accelerators - memoryPerAccelerator);
}

KindIndex SchedulerState::internKind(const std::string& name)
{
    auto index = kindIds.find(name);
    if (index == noIndex) {
        index = static_cast<uint32_t>(kinds.size());
        kindIds.insert(name, index);
        kinds.emplace_back().view.name = name;
    }
    return static_cast<KindIndex>(index);
}

ZoneIndex SchedulerState::internZone(const ZoneId& id)
{
    auto index = zoneIds.find(id);
    if (index == noIndex) {
        index = static_cast<uint32_t>(zones.size());
        zoneIds.insert(id, index);
        zones.push_back({ .id = id });
    }
    return static_cast<ZoneIndex>(index);
}

RackIndex SchedulerState::internRack(const ZoneId& zone, const std::string& rack)
{
    auto key = zone + '/' + rack;
    auto index = rackIds.find(key);
    if (index == noIndex) {
        index = static_cast<uint32_t>(rackIds.size());
        rackIds.insert(key, index);
    }
    return static_cast<RackIndex>(index);
}

JobIndex SchedulerState::addJob(JobRecord job)
{
    JobIndex index = 0;
    if (m_freeJobs.empty()) {
        index = static_cast<JobIndex>(jobs.size());
        jobs.emplace_back();
    } else {
        index = m_freeJobs.back();
        m_freeJobs.pop_back();
    }
    jobIds.insert(job.view.id, index);
    jobs[index] = std::move(job);
    return index;
}

void SchedulerState::removeJob(JobIndex index)
{
    VERIFY(!jobs[index].isCommitted());
    removeReservation(index);
    jobIds.erase(jobs[index].view.id);
    jobs[index] = {};
    m_freeJobs.push_back(index);
}

static void adjustCount(std::vector<uint32_t>& counts, size_t index, int32_t change)
{
    if (counts.size() <= index)
        counts.resize(index + 1);
    counts[index] += change;
}

void SchedulerState::adjustServiceCount(const JobRecord& job, SchedulerWorkerRecord& worker, int32_t change)
{
    auto& kind = kinds[job.kind];
    adjustCount(kind.tasksByZone, worker.zone, change);
    adjustCount(kind.tasksByRack, worker.rack, change);
    kind.tasks += change;
    auto it = std::ranges::find(worker.services, job.kind, &ServiceStats::kind);
    if (it == worker.services.end())
        it = worker.services.insert(it, { .kind = job.kind });
    it->tasks += change;
    if (it->tasks == 0)
        worker.services.erase(it);
}

void SchedulerState::commit(JobIndex index, WorkerIndex workerIndex, Instant now)
{
    auto& job = jobs[index];
    auto& worker = workers[workerIndex];
    removeReservation(index);
    VERIFY(job.worker == noIndex);
    VERIFY((worker.committed + job.view.size).fitsIn(worker.view.capacity));
    worker.committed = worker.committed + job.view.size;
    teams[job.team].committed = teams[job.team].committed + job.view.size;
    worker.tasks.push_back(index);
    job.worker = workerIndex;
    job.used = {};
    job.speedPercent = 100;
    job.throttledCpuMillis = 0;
    job.consecutiveOveruseReports = 0;
    auto it = std::ranges::find(worker.kinds, job.kind, &KindCpuUsage::kind);
    if (it == worker.kinds.end())
        it = worker.kinds.insert(it, { .kind = job.kind });
    ++it->tasks;
    job.expectedCpuMillis = 0;
    setExpectedCpu(job, static_cast<double>(job.view.size.cpuMillis) * kinds[job.kind].cpuUseRatio);
    if (job.view.isService)
        adjustServiceCount(job, worker, 1);
    recordColocation(worker, now);
}

void SchedulerState::release(JobIndex index, Instant now)
{
    auto& job = jobs[index];
    auto& worker = workers[job.worker];
    worker.committed = worker.committed - job.view.size;
    teams[job.team].committed = teams[job.team].committed - job.view.size;
    std::erase(worker.tasks, index);
    if (worker.probationJob == index)
        worker.probationJob = noIndex;
    auto it = std::ranges::find(worker.kinds, job.kind, &KindCpuUsage::kind);
    it->throttledCpuMillis -= job.throttledCpuMillis;
    setExpectedCpu(job, 0);
    if (--it->tasks == 0)
        worker.kinds.erase(it);
    if (job.view.isService)
        adjustServiceCount(job, worker, -1);
    job.worker = noIndex;
    job.pendingEviction.reset();
    recordColocation(worker, now);
}

void SchedulerState::removeReservation(JobIndex index)
{
    auto& job = jobs[index];
    if (job.reservedWorker == noIndex)
        return;
    std::erase_if(
        workers[job.reservedWorker].reservations, [&](const auto& reservation) { return reservation.job == index; });
    job.reservedWorker = noIndex;
}

void SchedulerState::addReservation(WorkerIndex worker, Reservation reservation)
{
    removeReservation(reservation.job);
    jobs[reservation.job].reservedWorker = worker;
    workers[worker].reservations.push_back(reservation);
}

bool SchedulerState::yieldsTo(KindIndex kind, KindIndex other) const
{
    return std::ranges::find(kinds[kind].yieldsTo, other) != kinds[kind].yieldsTo.end();
}

bool SchedulerState::isAvailable(const SchedulerWorkerRecord& worker) const
{
    return worker.isPresent && worker.view.state == WorkerState::Live && !worker.quarantined
        && !zones[worker.zone].isOut;
}

void SchedulerState::setThrottle(JobRecord& job, int32_t speedPercent, bool isForService)
{
    auto& kinds = workers[job.worker].kinds;
    auto it = std::ranges::find(kinds, job.kind, &KindCpuUsage::kind);
    double full = job.expectedCpuMillis * 100 / job.speedPercent;
    double throttled = isForService ? full * (100 - speedPercent) / 100 : 0;
    it->throttledCpuMillis += throttled - job.throttledCpuMillis;
    job.throttledCpuMillis = throttled;
    setExpectedCpu(job, job.expectedCpuMillis * speedPercent / job.speedPercent);
    job.speedPercent = speedPercent;
}

void SchedulerState::setExpectedCpu(JobRecord& job, double cpuMillis)
{
    auto& worker = workers[job.worker];
    auto it = std::ranges::find(worker.kinds, job.kind, &KindCpuUsage::kind);
    it->cpuMillis += cpuMillis - job.expectedCpuMillis;
    worker.expectedCpuMillis += cpuMillis - job.expectedCpuMillis;
    job.expectedCpuMillis = cpuMillis;
}

std::vector<Neighbour> SchedulerState::neighboursOf(const SchedulerWorkerRecord& worker)
{
    std::vector<Neighbour> neighbours;
    neighbours.reserve(worker.kinds.size());
    auto capacity = static_cast<double>(std::max<int64_t>(1, worker.view.capacity.cpuMillis));
    for (const auto& load : worker.kinds)
        neighbours.push_back({ .kind = load.kind, .share = static_cast<float>(load.cpuMillis / capacity) });
    return neighbours;
}

void SchedulerState::recordColocation(SchedulerWorkerRecord& worker, Instant now)
{
    auto& snapshots = worker.snapshots;
    if (!snapshots.empty() && now - snapshots.back().since < minSnapshotInterval) {
        snapshots.back().neighbours = neighboursOf(worker);
        return;
    }
    snapshots.push_back({ .since = now, .neighbours = neighboursOf(worker) });
    if (snapshots.size() > maxColocationSnapshots)
        snapshots.pop_front();
}

const std::vector<Neighbour>* SchedulerState::neighboursAt(const SchedulerWorkerRecord& worker, Instant time)
{
    for (auto it = worker.snapshots.rbegin(); it != worker.snapshots.rend(); ++it) {
        if (it->since <= time)
            return &it->neighbours;
    }
    return nullptr;
}

size_t SchedulerState::stateBytes() const
{
    // An IdTable entry takes a hash node with key, value, hash and next pointer, and a bucket.
    constexpr size_t idEntryBytes = 72;
    size_t bytes = jobs.size() * sizeof(JobRecord) + workers.capacity() * sizeof(SchedulerWorkerRecord)
        + (jobIds.size() + workerIds.size()) * idEntryBytes;
    for (const auto& job : jobs)
        bytes += job.view.id.capacity() + job.failureReason.capacity()
            + job.failedWorkers.capacity() * sizeof(WorkerIndex);
    for (const auto& worker : workers) {
        bytes += worker.tasks.capacity() * sizeof(JobIndex) + worker.kinds.capacity() * sizeof(KindCpuUsage)
            + worker.services.capacity() * sizeof(ServiceStats) + worker.reservations.capacity() * sizeof(Reservation)
            + 512;
        for (const auto& snapshot : worker.snapshots)
            bytes += sizeof(ColocationSnapshot) + snapshot.neighbours.capacity() * sizeof(Neighbour);
    }
    return bytes;
}

}
