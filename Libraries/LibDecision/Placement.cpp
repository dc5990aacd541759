#include <LibDecision/Placement.h>
#include <algorithm>
#include <cmath>
#include <numeric>

namespace Bergamot {

// Workers scored for one decision. More than this gained nothing in the benchmark and costs time.
static constexpr size_t maxCandidates = 24;
// Workers whose interference is predicted for one decision; it bounds the time when all of them are refused.
static constexpr size_t maxPredictions = 160;
// Expected use may fill a host that runs services to this share; above it, queueing for processors begins.
static constexpr double maxExpectedUse = 0.95;
// A job that was evicted for interference gets only half of the latency budget for a while, so that it isn't evicted
// again.
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
    // Neighbouring indexes are mostly of one zone and rack. A stride near the golden section, without a common divisor
    // with the count, visits all workers and takes candidates from everywhere.
    auto count = m_state.workers.size();
    m_stride = std::max<size_t>(1, count * 618 / 1000);
    while (count > 0 && std::gcd(m_stride, count) != 1)
        ++m_stride;
}

Rejection Placement::checkHolds(const PlacementQuery& query, const WorkerRecord& worker) const
{
    const auto& job = m_state.jobs[query.job];
    auto needed = job.view.size;
    for (const auto& hold : worker.holds) {
        if (hold.job == query.job)
            continue;
        // Urgent jobs may use reserved room; they would evict somebody else for it.
        bool endsBefore = !hold.firm && (job.view.urgent || query.now + query.estimatedRun <= hold.until);
        if (!endsBefore)
            needed = needed + hold.size;
    }
    return needed.fitsIn(worker.free()) ? Rejection::None : Rejection::Reserved;
}

static bool hasReplica(const JobRecord& job, const WorkerRecord& worker)
{
    auto it = std::ranges::find(worker.services, job.kind, &ServiceWatch::kind);
    return it != worker.services.end() && it->tasks > 0;
}

Rejection Placement::check(const PlacementQuery& query, WorkerIndex index) const
{
    const auto& worker = m_state.workers[index];
    const auto& job = m_state.jobs[query.job];
    if (!job.view.size.fitsIn(worker.view.capacity))
        return Rejection::TooSmall;
    if (m_state.zones[worker.zone].out)
        return Rejection::ZoneOut;
    if (worker.view.state != WorkerState::Live || worker.quarantined || worker.coolUntil > query.now)
        return Rejection::Unavailable;
    if (worker.probation && (worker.probationJob != noIndex || job.view.isService || job.view.urgent))
        return Rejection::Unavailable;
    if (std::ranges::find(job.failedOn, index) != job.failedOn.end())
        return Rejection::FailedThere;
    if (!job.view.size.fitsIn(worker.free()))
        return Rejection::NoRoom;
    if (m_options.oneReplicaPerWorker && job.view.isService && hasReplica(job, worker))
        return Rejection::NoRoom;
    if (!worker.holds.empty()) {
        if (auto rejection = checkHolds(query, worker); rejection != Rejection::None)
            return rejection;
    }
    if (takesAcceleratorRoom(job, worker))
        return Rejection::Reserved;
    if (worker.zone < m_workersPerZone.size()
        && !m_zonePolicy.mayPlace(worker.zone, m_workersPerZone[worker.zone], query.now))
        return Rejection::Pacing;
    if (!m_options.sharesHosts && !worker.tasks.empty()
        && (job.view.isService ? worker.services.empty() : !worker.services.empty()))
        return Rejection::Interference;
    if (m_options.learnsUse && !worker.services.empty() && !job.view.isService) {
        double use
            = worker.expectedCpu + static_cast<double>(job.view.size.cpuMillis) * m_state.kinds[job.kind].cpuUseRatio;
        if (use > maxExpectedUse * static_cast<double>(worker.view.capacity.cpuMillis))
            return Rejection::Busy;
    }
    return Rejection::None;
}

Placement::Interference Placement::riseOf(
    const PlacementQuery& query, const WorkerRecord& worker, const ServiceWatch& watch) const
{
    const auto& job = m_state.jobs[query.job];
    double capacity = static_cast<double>(std::max<int64_t>(1, worker.view.capacity.cpuMillis));
    double load = std::max(watch.load, watch.peakLoad);
    Neighbour added { .kind = job.kind,
        .share = static_cast<float>(
            static_cast<double>(job.view.size.cpuMillis) * m_state.kinds[job.kind].cpuUseRatio / capacity) };
    auto own = m_estimator.pair(watch.kind, added, load);
    double mean = own.mean;
    double variance = own.deviation * own.deviation;
    for (const auto& kind : worker.kinds) {
        // Room that throttling has made belongs to the throttled tasks, not to new ones.
        double cpu = kind.cpuMillis + kind.withheldMillis;
        auto other
            = m_estimator.pair(watch.kind, { .kind = kind.kind, .share = static_cast<float>(cpu / capacity) }, load);
        mean += other.mean;
        variance += other.deviation * other.deviation;
    }
    if (watch.reportsOver >= 2)
        mean = std::max(mean, watch.smoothedRatio - 1.0 + own.mean);
    double budget = m_options.latencyBudget;
    if (job.lastEvictReason == EvictReason::Interference && query.now - job.lastEvictAt < m_options.evictionRepeat)
        budget *= evictedBudgetShare;
    double doubt = query.caution == LatencyCaution::Full ? std::sqrt(variance) : 0;
    return { .acceptable = query.caution == LatencyCaution::None || mean + doubt <= budget,
        .rise = own.mean + 0.5 * own.deviation };
}

Placement::Interference Placement::interferenceOf(const PlacementQuery& query, const WorkerRecord& worker) const
{
    const auto& job = m_state.jobs[query.job];
    Interference total;
    for (const auto& watch : worker.services) {
        auto rise = riseOf(query, worker, watch);
        total.rise += rise.rise;
        total.acceptable = total.acceptable && rise.acceptable;
    }
    if (job.view.isService) {
        // A service is placed even where it is slowed down; the score sends it where that is least.
        total.acceptable = true;
        double capacity = static_cast<double>(std::max<int64_t>(1, worker.view.capacity.cpuMillis));
        for (const auto& kind : worker.kinds)
            total.rise += m_estimator
                              .pair(job.kind,
                                  { .kind = kind.kind, .share = static_cast<float>(kind.cpuMillis / capacity) }, 0.6)
                              .mean;
    }
    return total;
}

bool Placement::isBearable(const PlacementQuery& query, WorkerIndex index) const
{
    const auto& job = m_state.jobs[query.job];
    const auto& worker = m_state.workers[index];
    if (!m_options.avoidsInterference || job.view.isService)
        return true;
    double capacity = static_cast<double>(std::max<int64_t>(1, worker.view.capacity.cpuMillis));
    Neighbour added { .kind = job.kind,
        .share = static_cast<float>(
            static_cast<double>(job.view.size.cpuMillis) * m_state.kinds[job.kind].cpuUseRatio / capacity) };
    return std::ranges::all_of(worker.services, [&](const ServiceWatch& watch) {
        auto rise = m_estimator.pair(watch.kind, added, std::max(watch.load, watch.peakLoad));
        return rise.mean + rise.deviation <= m_options.latencyBudget;
    });
}

bool Placement::takesAcceleratorRoom(const JobRecord& job, const WorkerRecord& worker) const
{
    auto free = worker.free();
    // Services and urgent jobs take precedence over accelerators that might be asked for.
    if (!m_options.keepsAccelerators || job.view.size.accelerators > 0 || free.accelerators <= 0 || job.view.isService
        || job.view.urgent)
        return false;
    auto kept = [&](double perAccelerator) {
        return static_cast<int64_t>(perAccelerator * static_cast<double>(free.accelerators));
    };
    return job.view.size.cpuMillis + kept(m_state.cpuPerAccelerator) > free.cpuMillis
        || job.view.size.memoryMb + kept(m_state.memoryPerAccelerator) > free.memoryMb;
}

double Placement::spreadScore(const JobRecord& job, const WorkerRecord& worker) const
{
    const auto& kind = m_state.kinds[job.kind];
    if (kind.tasks == 0)
        return 0;
    auto countAt = [](const std::vector<uint32_t>& counts, size_t index) {
        return index < counts.size() ? static_cast<double>(counts[index]) : 0.0;
    };
    auto it = std::ranges::find(worker.services, job.kind, &ServiceWatch::kind);
    double onHost = it == worker.services.end() ? 0 : it->tasks;
    double tasks = kind.tasks;
    return (2 * countAt(kind.tasksByZone, worker.zone) + countAt(kind.tasksByRack, worker.rack) + onHost) / tasks;
}

double Placement::score(const JobRecord& job, const WorkerRecord& worker, double rise) const
{
    constexpr double riseWeight = 10.0;
    constexpr double acceleratorWeight = 3.0;
    constexpr double newServiceHostWeight = 1.0;
    double value = riseWeight * rise;
    auto left = worker.free() - job.view.size;
    // Full hosts first, so that room for large jobs remains elsewhere.
    value += static_cast<double>(left.cpuMillis)
        / static_cast<double>(std::max<int64_t>(1, worker.view.capacity.cpuMillis));
    if (m_options.keepsAccelerators && job.view.size.accelerators == 0 && worker.view.capacity.accelerators > 0)
        value += acceleratorWeight;
    // A host without services takes batch work without a latency budget, so services gather on fewer hosts.
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
        if (!worker.present || check(query, index) != Rejection::None)
            continue;
        if (m_options.firstFit)
            return index;
        Interference interference;
        if (m_options.avoidsInterference && (!worker.services.empty() || job.view.isService)) {
            if (++predictions > maxPredictions)
                break;
            interference = interferenceOf(query, worker);
            if (!interference.acceptable && !job.view.urgent)
                continue;
        }
        double value = score(job, worker, interference.rise);
        if (!best || value < bestScore) {
            best = index;
            bestScore = value;
        }
        if (++candidates >= maxCandidates)
            break;
    }
    return best;
}

std::array<size_t, static_cast<size_t>(Rejection::Count)> Placement::explain(const PlacementQuery& query) const
{
    std::array<size_t, static_cast<size_t>(Rejection::Count)> counts {};
    for (WorkerIndex index = 0; index < m_state.workers.size(); ++index) {
        if (!m_state.workers[index].present)
            continue;
        auto rejection = check(query, index);
        if (rejection == Rejection::None && m_options.avoidsInterference
            && !interferenceOf(query, m_state.workers[index]).acceptable)
            rejection = Rejection::Interference;
        ++counts[static_cast<size_t>(rejection)];
    }
    return counts;
}

}
