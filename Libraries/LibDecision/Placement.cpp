#include <LibDecision/Placement.h>
#include <algorithm>
#include <cmath>
#include <numeric>

namespace Bergamot {

// Workers scored for one decision. A larger number did not improve the benchmark results and costs time.
static constexpr size_t maxCandidates = 24;
// Workers for which interference is predicted for one decision. Bounds the time of a decision that rejects all of
// them.
static constexpr size_t maxPredictions = 160;
// Maximum expected processor utilisation of a host that runs services. Above it, tasks begin to queue for processors.
static constexpr double maxExpectedUse = 0.95;
// A job that was evicted for interference gets only half of the latency budget within
// SchedulerOptions::minReevictionInterval, so that it isn't evicted again.
static constexpr double evictedBudgetShare = 0.5;

Placement::Placement(const SchedulerState& state, const SlowdownEstimator& estimator, const ZonePolicy& zonePolicy,
    const SchedulerOptions& options)
    : m_state(state)
    , m_estimator(estimator)
    , m_zonePolicy(zonePolicy)
    , m_options(options)
{
}

void Placement::setWorkersPerZone(std::vector<size_t> counts)
{
    m_workersPerZone = std::move(counts);
    // Adjacent indexes mostly belong to one zone and rack. A stride near the golden section of the count and coprime
    // to it visits all workers and takes the first candidates from all zones and racks.
    auto count = m_state.workers.size();
    m_stride = std::max<size_t>(1, count * 618 / 1000);
    while (count > 0 && std::gcd(m_stride, count) != 1)
        ++m_stride;
}

Rejection Placement::checkReservations(const PlacementQuery& query, const SchedulerWorkerRecord& worker) const
{
    const auto& job = m_state.jobs[query.job];
    auto needed = job.view.size;
    for (const auto& reservation : worker.reservations) {
        if (reservation.job == query.job)
            continue;
        // Urgent jobs may use reserved resources, because they would evict another task otherwise.
        bool endsBefore = !reservation.isExclusive
            && (job.view.urgent || query.now + query.estimatedRun <= reservation.expectedStart);
        if (!endsBefore)
            needed = needed + reservation.size;
    }
    return needed.fitsIn(worker.free()) ? Rejection::None : Rejection::Reserved;
}

static bool hasReplica(const JobRecord& job, const SchedulerWorkerRecord& worker)
{
    auto it = std::ranges::find(worker.services, job.kind, &ServiceStats::kind);
    return it != worker.services.end() && it->tasks > 0;
}

Rejection Placement::check(const PlacementQuery& query, WorkerIndex index) const
{
    const auto& worker = m_state.workers[index];
    const auto& job = m_state.jobs[query.job];
    if (!job.view.size.fitsIn(worker.view.capacity))
        return Rejection::WorkerTooSmall;
    if (m_state.zones[worker.zone].isOut)
        return Rejection::ZoneOut;
    if (worker.view.state != WorkerState::Live || worker.quarantined || worker.backoffUntil > query.now)
        return Rejection::Unavailable;
    if (worker.isOnProbation && (worker.probationJob != noIndex || job.view.isService || job.view.urgent))
        return Rejection::Unavailable;
    if (std::ranges::find(job.failedWorkers, index) != job.failedWorkers.end())
        return Rejection::FailedBefore;
    if (!job.view.size.fitsIn(worker.free()))
        return Rejection::InsufficientResources;
    if (m_options.oneReplicaPerWorker && job.view.isService && hasReplica(job, worker))
        return Rejection::InsufficientResources;
    if (!worker.reservations.empty()) {
        if (auto rejection = checkReservations(query, worker); rejection != Rejection::None)
            return rejection;
    }
    if (strandsAccelerators(job, worker))
        return Rejection::Reserved;
    if (worker.zone < m_workersPerZone.size()
        && !m_zonePolicy.canPlace(worker.zone, m_workersPerZone[worker.zone], query.now))
        return Rejection::RateLimited;
    if (!m_options.sharesHosts && !worker.tasks.empty()
        && (job.view.isService ? worker.services.empty() : !worker.services.empty()))
        return Rejection::Interference;
    if (m_options.learnsUse && !worker.services.empty() && !job.view.isService) {
        double use = worker.expectedCpuMillis
            + static_cast<double>(job.view.size.cpuMillis) * m_state.kinds[job.kind].cpuUseRatio;
        if (use > maxExpectedUse * static_cast<double>(worker.view.capacity.cpuMillis))
            return Rejection::CpuSaturated;
    }
    return Rejection::None;
}

Placement::InterferencePrediction Placement::predictLatencyIncrease(
    const PlacementQuery& query, const SchedulerWorkerRecord& worker, const ServiceStats& stats) const
{
    const auto& job = m_state.jobs[query.job];
    double capacity = static_cast<double>(std::max<int64_t>(1, worker.view.capacity.cpuMillis));
    double load = std::max(stats.load, stats.peakLoad);
    Neighbour added { .kind = job.kind,
        .share = static_cast<float>(
            static_cast<double>(job.view.size.cpuMillis) * m_state.kinds[job.kind].cpuUseRatio / capacity) };
    auto own = m_estimator.estimatePair(stats.kind, added, load);
    double mean = own.mean;
    double variance = own.deviation * own.deviation;
    for (const auto& kind : worker.kinds) {
        // Processors that throttling has freed belong to the throttled tasks and are not available to new ones.
        double cpu = kind.cpuMillis + kind.throttledCpuMillis;
        auto other = m_estimator.estimatePair(
            stats.kind, { .kind = kind.kind, .share = static_cast<float>(cpu / capacity) }, load);
        mean += other.mean;
        variance += other.deviation * other.deviation;
    }
    if (stats.reportsOverLimit >= 2)
        mean = std::max(mean, stats.smoothedRatio - 1.0 + own.mean);
    double budget = m_options.latencyBudget;
    if (job.lastEvictReason == EvictReason::Interference
        && query.now - job.lastEvictAt < m_options.minReevictionInterval)
        budget *= evictedBudgetShare;
    double uncertainty = query.interferenceCheck == InterferenceCheck::WithUncertainty ? std::sqrt(variance) : 0;
    return { .isAcceptable = query.interferenceCheck == InterferenceCheck::Disabled || mean + uncertainty <= budget,
        .latencyIncrease = own.mean + 0.5 * own.deviation };
}

Placement::InterferencePrediction Placement::predictInterference(
    const PlacementQuery& query, const SchedulerWorkerRecord& worker) const
{
    const auto& job = m_state.jobs[query.job];
    InterferencePrediction total;
    for (const auto& stats : worker.services) {
        auto prediction = predictLatencyIncrease(query, worker, stats);
        total.latencyIncrease += prediction.latencyIncrease;
        total.isAcceptable = total.isAcceptable && prediction.isAcceptable;
    }
    if (job.view.isService) {
        // A service is placed even where it is slowed down; the score prefers the workers with the least slowdown.
        total.isAcceptable = true;
        double capacity = static_cast<double>(std::max<int64_t>(1, worker.view.capacity.cpuMillis));
        for (const auto& kind : worker.kinds)
            total.latencyIncrease
                += m_estimator
                       .estimatePair(
                           job.kind, { .kind = kind.kind, .share = static_cast<float>(kind.cpuMillis / capacity) }, 0.6)
                       .mean;
    }
    return total;
}

bool Placement::isWithinLatencyBudget(const PlacementQuery& query, WorkerIndex index) const
{
    const auto& job = m_state.jobs[query.job];
    const auto& worker = m_state.workers[index];
    if (!m_options.avoidsInterference || job.view.isService)
        return true;
    double capacity = static_cast<double>(std::max<int64_t>(1, worker.view.capacity.cpuMillis));
    Neighbour added { .kind = job.kind,
        .share = static_cast<float>(
            static_cast<double>(job.view.size.cpuMillis) * m_state.kinds[job.kind].cpuUseRatio / capacity) };
    return std::ranges::all_of(worker.services, [&](const ServiceStats& stats) {
        auto estimate = m_estimator.estimatePair(stats.kind, added, std::max(stats.load, stats.peakLoad));
        return estimate.mean + estimate.deviation <= m_options.latencyBudget;
    });
}

bool Placement::strandsAccelerators(const JobRecord& job, const SchedulerWorkerRecord& worker) const
{
    auto free = worker.free();
    // Services and urgent jobs take precedence over accelerators that later jobs might request.
    if (!m_options.keepsAccelerators || job.view.size.accelerators > 0 || free.accelerators <= 0 || job.view.isService
        || job.view.urgent)
        return false;
    auto reserved = [&](double perAccelerator) {
        return static_cast<int64_t>(perAccelerator * static_cast<double>(free.accelerators));
    };
    return job.view.size.cpuMillis + reserved(m_state.cpuPerAccelerator) > free.cpuMillis
        || job.view.size.memoryMb + reserved(m_state.memoryPerAccelerator) > free.memoryMb;
}

double Placement::spreadScore(const JobRecord& job, const SchedulerWorkerRecord& worker) const
{
    const auto& kind = m_state.kinds[job.kind];
    if (kind.tasks == 0)
        return 0;
    auto countAt = [](const std::vector<uint32_t>& counts, size_t index) {
        return index < counts.size() ? static_cast<double>(counts[index]) : 0.0;
    };
    auto it = std::ranges::find(worker.services, job.kind, &ServiceStats::kind);
    double onHost = it == worker.services.end() ? 0 : it->tasks;
    double tasks = kind.tasks;
    return (2 * countAt(kind.tasksByZone, worker.zone) + countAt(kind.tasksByRack, worker.rack) + onHost) / tasks;
}

double Placement::score(const JobRecord& job, const SchedulerWorkerRecord& worker, double latencyIncrease) const
{
    constexpr double latencyIncreaseWeight = 10.0;
    constexpr double acceleratorWeight = 3.0;
    constexpr double newServiceHostWeight = 1.0;
    double value = latencyIncreaseWeight * latencyIncrease;
    auto left = worker.free() - job.view.size;
    // Prefers hosts with few free resources (best fit), so that other hosts have enough for large jobs.
    value += static_cast<double>(left.cpuMillis)
        / static_cast<double>(std::max<int64_t>(1, worker.view.capacity.cpuMillis));
    if (m_options.keepsAccelerators && job.view.size.accelerators == 0 && worker.view.capacity.accelerators > 0)
        value += acceleratorWeight;
    // Concentrates services on few hosts, because hosts without services run batch work without a latency budget.
    if (job.view.isService && worker.services.empty())
        value += newServiceHostWeight;
    if (m_options.spreadsServices && job.view.isService)
        value += spreadScore(job, worker);
    return value;
}

std::optional<WorkerIndex> Placement::choose(const PlacementQuery& query, uint64_t random) const
{
    const auto& job = m_state.jobs[query.job];
    auto count = m_state.workers.size();
    size_t candidates = 0;
    size_t predictions = 0;
    std::optional<WorkerIndex> best;
    double bestScore = 0;
    for (size_t n = 0; n < count; ++n) {
        auto index = static_cast<WorkerIndex>(m_options.firstFit ? n : (random + n * m_stride) % count);
        const auto& worker = m_state.workers[index];
        if (!worker.isPresent || check(query, index) != Rejection::None)
            continue;
        if (m_options.firstFit)
            return index;
        InterferencePrediction interference;
        if (m_options.avoidsInterference && (!worker.services.empty() || job.view.isService)) {
            if (++predictions > maxPredictions)
                break;
            interference = predictInterference(query, worker);
            if (!interference.isAcceptable && !job.view.urgent)
                continue;
        }
        double value = score(job, worker, interference.latencyIncrease);
        if (!best || value < bestScore) {
            best = index;
            bestScore = value;
        }
        if (++candidates >= maxCandidates)
            break;
    }
    return best;
}

std::array<size_t, static_cast<size_t>(Rejection::Count)> Placement::countRejections(const PlacementQuery& query) const
{
    std::array<size_t, static_cast<size_t>(Rejection::Count)> counts {};
    for (WorkerIndex index = 0; index < m_state.workers.size(); ++index) {
        if (!m_state.workers[index].isPresent)
            continue;
        auto rejection = check(query, index);
        if (rejection == Rejection::None && m_options.avoidsInterference
            && !predictInterference(query, m_state.workers[index]).isAcceptable)
            rejection = Rejection::Interference;
        ++counts[static_cast<size_t>(rejection)];
    }
    return counts;
}

}
