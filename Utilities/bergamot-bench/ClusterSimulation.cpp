#include "ClusterSimulation.h"
#include <LibCore/Verify.h>
#include <algorithm>
#include <chrono>
#include <cmath>

namespace Bergamot {

static constexpr int64_t stepMs = 500;
static constexpr int64_t reportIntervalMs = 5'000;
static constexpr int64_t reportDelayMs = 10'000;
static constexpr int64_t leaseMs = 34'000;
static constexpr int64_t hostRepairMs = 300'000;
// Hosts of a zone that is taken out of service shut down after this time.
static constexpr int64_t zoneShutdownDelayMs = 15'000;
static constexpr double latencyTarget = 1.10;
// Latency ratio that each recent start adds: loading images and data slows the services of the host for a few seconds.
static constexpr double startLatencyPenalty = 0.02;
static constexpr double coreHour = 1000.0 * 3'600'000.0;
// Times of the faults, as shares of the duration.
static constexpr double faultyWorkersAt = 0.15;
static constexpr double noisePeriodAt = 0.25;
static constexpr double singleKindBurstAt = 0.30;
static constexpr double rackLossAt = 0.40;
static constexpr double zoneOutAt = 0.60;
static constexpr double zoneBackAt = 0.75;
static constexpr double bulkCancelAt = 0.85;

static double uniform(std::mt19937_64& random, double low, double high)
{
    return std::uniform_real_distribution<double> { low, high }(random);
}

ClusterSimulation::ClusterSimulation(const Workload& workload, uint64_t seed, RunSettings settings)
    : m_workload(workload)
    , m_settings(std::move(settings))
    , m_random(seed * 7919 + 1)
    , m_arrivals(seed * 104729 + 2)
{
}

void ClusterSimulation::countIfRejected(const absl::Status& status) { m_result.rejectedInputs += status.ok() ? 0 : 1; }

bool ClusterSimulation::isAtShare(double share) const
{
    auto at = static_cast<int64_t>(share * static_cast<double>(m_workload.size().durationMs)) / stepMs * stepMs;
    return m_nowMs == at;
}

bool ClusterSimulation::isZoneOutPeriod() const
{
    auto share = static_cast<double>(m_nowMs) / static_cast<double>(m_workload.size().durationMs);
    return share >= zoneOutAt && share < zoneBackAt;
}

void ClusterSimulation::setUp()
{
    const auto& size = m_workload.size();
    auto estimator = m_settings.estimator ? m_settings.estimator(m_workload, m_nowMs) : nullptr;
    auto scheduler = BatchScheduler::create(m_settings.options, std::move(estimator));
    VERIFY(scheduler.ok());
    m_scheduler = std::move(*scheduler);
    std::vector<std::string> services;
    for (const auto& kind : m_workload.kinds()) {
        if (kind.isService)
            services.push_back(kind.name);
    }
    for (size_t n = 0; n < m_workload.kinds().size(); ++n) {
        const auto& kind = m_workload.kinds()[n];
        KindView view { .name = kind.name, .isService = kind.isService };
        countIfRejected(m_scheduler->defineKind(view));
        VERIFY(m_scheduler->kindIndex(kind.name).value() == n);
    }
    for (const auto& kind : m_workload.kinds()) {
        KindView view { .name = kind.name, .isService = kind.isService };
        if (!kind.isService && kind.yieldsToServices) {
            view.yieldsTo = services;
            view.yieldsTo.emplace_back("urgent");
        }
        countIfRejected(m_scheduler->defineKind(view));
    }
    size_t accelerators = size.accelerators;
    for (size_t n = 0; n < size.workers; ++n) {
        auto zone = n * size.zones / size.workers;
        WorkerView view { .id = "w" + std::to_string(n),
            .zone = "z" + std::to_string(zone),
            .rack = "r" + std::to_string(n / 8),
            .capacity = size.worker };
        if (n % 3 == 0 && accelerators > 0) {
            view.capacity.accelerators = static_cast<int64_t>(std::min<size_t>(4, accelerators));
            accelerators -= static_cast<size_t>(view.capacity.accelerators);
        }
        countIfRejected(m_scheduler->upsertWorker(view));
        m_workerIndex[view.id] = n;
        m_workers.push_back({ .view = view, .usageByKind = std::vector<double>(m_workload.kinds().size()) });
    }
    Resources total { size.worker.cpuMillis * static_cast<int64_t>(size.workers),
        size.worker.memoryMb * static_cast<int64_t>(size.workers), static_cast<int64_t>(size.accelerators) };
    countIfRejected(m_scheduler->defineTeam({ .name = "services", .quota = total, .mayBorrow = true }));
    auto part = [&](int64_t whole) {
        return static_cast<int64_t>(1.2 * static_cast<double>(whole) / static_cast<double>(size.teams));
    };
    for (size_t n = 0; n < size.teams; ++n) {
        m_teamWeight.push_back(n % 3 == 0 ? 2.0 : 1.0);
        countIfRejected(m_scheduler->defineTeam({ .name = "t" + std::to_string(n),
            .weight = m_teamWeight[n],
            .quota = { part(total.cpuMillis), part(total.memoryMb), total.accelerators },
            .mayBorrow = n % 2 == 0 }));
    }
    m_teamCoreHours.assign(size.teams, 0);
    if (m_settings.zoneOutFromStart) {
        m_isZoneOut = true;
        countIfRejected(m_scheduler->setZoneOut("z0", true));
    }
    placeServices();
}

void ClusterSimulation::placeServices()
{
    // The services run from the start: spread over all hosts, or packed on dedicated hosts when hosts are not shared.
    const auto& size = m_workload.size();
    size_t skipped = m_isZoneOut ? size.workers / size.zones : 0;
    auto perHost = static_cast<size_t>(size.worker.cpuMillis / size.serviceTask.cpuMillis);
    for (size_t n = 0; n < size.serviceTasks; ++n) {
        Job job { .kind = n % size.serviceKinds };
        job.view = { .size = size.serviceTask, .isService = true };
        submit(std::move(job));
        auto packed = n % (size.serviceTasks / perHost + 1) * (size.workers - 1) / (size.serviceTasks / perHost + 1);
        auto spread = skipped + n % (size.workers - skipped);
        // With shared hosts, the scheduler places half of the service tasks, so that the run measures how it spreads
        // them.
        if (!m_settings.options.sharesHosts || n % 2 == 0)
            startAttempt(m_jobs.size() - 1, m_settings.options.sharesHosts ? spread : packed);
    }
}

void ClusterSimulation::submit(Job job)
{
    const auto& kind = m_workload.kinds()[job.kind];
    job.view.id = "j" + std::to_string(m_jobs.size());
    job.view.kind = kind.name;
    job.view.team = kind.isService ? "services" : "t" + std::to_string(job.team);
    job.submittedAtMs = m_nowMs;
    countIfRejected(m_scheduler->submitJob(job.view));
    m_jobIndex[job.view.id] = m_jobs.size();
    m_jobs.push_back(std::move(job));
}

void ClusterSimulation::submitBatch(size_t kind, bool urgent)
{
    const auto& size = m_workload.size();
    Job job { .kind = kind };
    job.team = static_cast<size_t>(uniform(m_arrivals, 0, static_cast<double>(size.teams)));
    auto cores = std::clamp(std::exponential_distribution<double> { 1.0 / size.meanCores }(m_arrivals), 0.5, 8.0);
    // Some jobs need half a host, and others need accelerators.
    auto draw = uniform(m_arrivals, 0, 1);
    if (!urgent && draw < 0.01)
        cores = static_cast<double>(size.worker.cpuMillis) / 2000.0;
    job.view.size
        = { static_cast<int64_t>(cores * 1000), static_cast<int64_t>(cores * uniform(m_arrivals, 1500, 3500)) };
    if (size.accelerators > 0 && draw > 0.98)
        job.view.size.accelerators = 1 + static_cast<int64_t>(uniform(m_arrivals, 0, 2));
    auto log = std::normal_distribution<double> { 0, 0.5 };
    job.runMs = std::clamp(size.meanRunSeconds * 1000 * 0.88 * std::exp(log(m_arrivals)), 5'000.0, 1'800'000.0);
    job.view.runMs
        = static_cast<int64_t>(job.runMs * m_workload.kinds()[kind].runTimeBias * std::exp(0.6 * log(m_arrivals)));
    job.view.urgent = urgent;
    job.alwaysFails = uniform(m_arrivals, 0, 1) < 0.01 && size.faults && !urgent;
    if (uniform(m_arrivals, 0, 1) < 0.05)
        job.view.deadline = Instant { Milliseconds { m_nowMs + static_cast<int64_t>(job.runMs * 2.5) } };
    submit(std::move(job));
}

void ClusterSimulation::submitArrivals()
{
    const auto& size = m_workload.size();
    // An initial burst fills the cluster. After it, jobs arrive at the constant peak rate.
    double mean
        = size.jobsPerSecond * stepMs / 1000.0 + (m_nowMs == stepMs ? size.jobsPerSecond * size.meanRunSeconds : 0);
    auto count = std::poisson_distribution<int> { mean }(m_arrivals);
    auto share = static_cast<double>(m_nowMs) / static_cast<double>(size.durationMs);
    for (int n = 0; n < count; ++n) {
        auto kind
            = size.serviceKinds + static_cast<size_t>(uniform(m_arrivals, 0, static_cast<double>(size.batchKinds)));
        // Half of the jobs are of one kind during the burst.
        if (size.faults && share > singleKindBurstAt && share < singleKindBurstAt + 0.05 && n % 2 == 0)
            kind = size.serviceKinds + 1;
        submitBatch(kind, false);
    }
    if (m_nowMs > 60'000 && m_nowMs % 6'000 == 0)
        submitBatch(m_workload.urgentKind(), true);
}

void ClusterSimulation::killWorker(size_t index)
{
    auto& worker = m_workers[index];
    if (worker.isDead)
        return;
    worker.isDead = true;
    worker.leaseExpiresAtMs = m_nowMs + leaseMs;
    worker.returnsAtMs = m_nowMs + hostRepairMs;
}

void ClusterSimulation::cancelJobsInBulk()
{
    for (size_t n = 0; n < m_jobs.size(); ++n) {
        auto& job = m_jobs[n];
        if (job.isOver || job.view.isService || uniform(m_random, 0, 1) > 0.1)
            continue;
        countIfRejected(m_scheduler->cancelJob(job.view.id));
        job.isOver = job.worker == SIZE_MAX;
    }
}

void ClusterSimulation::injectFaults()
{
    const auto& size = m_workload.size();
    if (m_settings.zoneOutFromStart ? isAtShare(zoneBackAt) : isAtShare(zoneBackAt) || isAtShare(zoneOutAt)) {
        m_isZoneOut = isAtShare(zoneOutAt);
        countIfRejected(m_scheduler->setZoneOut("z0", m_isZoneOut));
    }
    auto outAt = static_cast<int64_t>(zoneOutAt * static_cast<double>(size.durationMs)) / stepMs * stepMs;
    if (m_isZoneOut && !m_settings.zoneOutFromStart && m_nowMs == outAt + zoneShutdownDelayMs) {
        auto backAt = static_cast<int64_t>(zoneBackAt * static_cast<double>(size.durationMs)) / stepMs * stepMs;
        for (size_t n = 0; n < size.workers / size.zones; ++n) {
            killWorker(n);
            m_workers[n].returnsAtMs = backAt - stepMs;
        }
    }
    if (!size.faults)
        return;
    if (isAtShare(faultyWorkersAt) || isAtShare(faultyWorkersAt + 0.2)) {
        for (size_t n = 0; n < std::max<size_t>(1, size.workers / 24); ++n)
            m_workers[size.workers - 1 - n * 9].failsAllTasks = isAtShare(faultyWorkersAt);
    }
    if (isAtShare(rackLossAt)) {
        for (size_t n = 0; n < 8; ++n)
            killWorker(size.workers / 2 + n);
    }
    if (isAtShare(bulkCancelAt))
        cancelJobsInBulk();
}

void ClusterSimulation::updateWorkerStates()
{
    for (auto& worker : m_workers) {
        if (worker.leaseExpiresAtMs == m_nowMs) {
            while (!worker.tasks.empty())
                endAttempt(worker.tasks.back(), AttemptOutcome::Lost);
            worker.view.state = WorkerState::Leaving;
            countIfRejected(m_scheduler->upsertWorker(worker.view));
        }
        if (worker.returnsAtMs == m_nowMs) {
            worker.isDead = false;
            worker.view.state = WorkerState::Live;
            countIfRejected(m_scheduler->upsertWorker(worker.view));
        }
    }
}

void ClusterSimulation::endAttempt(size_t index, AttemptOutcome outcome)
{
    auto& job = m_jobs[index];
    auto& worker = m_workers[job.worker];
    double size = static_cast<double>(job.view.size.cpuMillis);
    if (outcome == AttemptOutcome::Evicted || outcome == AttemptOutcome::Completed) {
        job.savedProgress = job.progress;
    } else if (!job.view.isService) {
        double lost = (job.progress - job.savedProgress) * job.runMs * size / coreHour;
        m_result.lostCoreHours += lost;
        m_result.batchCoreHours -= lost;
        if (isZoneOutPeriod())
            m_result.zoneOutCoreHours -= lost;
        job.progress = job.savedProgress;
    }
    if (outcome == AttemptOutcome::Completed) {
        job.isOver = true;
        ++m_result.completed;
        if (job.view.deadline)
            m_deadlinesMet += m_nowMs <= job.view.deadline->time_since_epoch().count() ? 1 : 0;
        m_deadlines += job.view.deadline ? 1 : 0;
    }
    m_result.failedAttempts += outcome == AttemptOutcome::Failed ? 1 : 0;
    worker.committed = worker.committed - job.view.size;
    std::erase(worker.tasks, index);
    countIfRejected(m_scheduler->taskEnded(job.view.id, job.attempt, outcome, worker.view.id));
    job.worker = SIZE_MAX;
    job.stopsAtMs = -1;
}

void ClusterSimulation::advanceWorker(size_t index)
{
    auto& worker = m_workers[index];
    worker.recentStarts *= 0.85;
    std::ranges::fill(worker.usageByKind, 0.0);
    double capacity = static_cast<double>(worker.view.capacity.cpuMillis);
    double used = 0;
    for (auto task : worker.tasks) {
        const auto& job = m_jobs[task];
        const auto& kind = m_workload.kinds()[job.kind];
        double ratio = kind.isService ? m_workload.load(job.kind, m_nowMs) : kind.usageRatio * job.throttle;
        worker.usageByKind[job.kind] += static_cast<double>(job.view.size.cpuMillis) * ratio / capacity;
    }
    for (auto use : worker.usageByKind)
        used += use;
    if (worker.isDead)
        return;
    double speed = used > 1 ? 1 / used : 1;
    auto tasks = worker.tasks;
    for (auto task : tasks) {
        auto& job = m_jobs[task];
        if (job.stopsAtMs >= 0 && m_nowMs >= job.stopsAtMs) {
            bool wasCancelled = !job.stopsWithCheckpoint;
            endAttempt(task, job.stopsWithCheckpoint ? AttemptOutcome::Evicted : AttemptOutcome::Stopped);
            job.isOver = job.isOver
                || (wasCancelled
                    && m_scheduler->whyWaiting(job.view.id).status().code() == absl::StatusCode::kNotFound);
            continue;
        }
        if (job.view.isService || job.stopsAtMs >= 0)
            continue;
        double ran = static_cast<double>(stepMs) * speed * job.throttle;
        double progress = std::min(ran / job.runMs, 1 - job.progress);
        job.progress += progress;
        double work = progress * job.runMs * static_cast<double>(job.view.size.cpuMillis) / coreHour;
        m_result.batchCoreHours += work;
        if (isZoneOutPeriod())
            m_result.zoneOutCoreHours += work;
        else if (m_nowMs > zoneBackAt * static_cast<double>(m_workload.size().durationMs))
            m_result.afterReturnCoreHours += work;
        m_teamCoreHours[job.team] += static_cast<double>(job.view.size.cpuMillis) * stepMs / coreHour;
        if ((job.alwaysFails && m_nowMs - job.placedAtMs > 6'000)
            || (worker.failsAllTasks && m_nowMs - job.placedAtMs > 2'000))
            endAttempt(task, AttemptOutcome::Failed);
        else if (job.progress >= 1 - 1e-9)
            endAttempt(task, AttemptOutcome::Completed);
    }
}

void ClusterSimulation::advanceTasks()
{
    for (size_t n = 0; n < m_workers.size(); ++n)
        advanceWorker(n);
}

double ClusterSimulation::latencyRatioOf(const Worker& worker, size_t service) const
{
    double load = m_workload.load(service, m_nowMs);
    double ratio = 1;
    double used = 0;
    for (size_t kind = 0; kind < worker.usageByKind.size(); ++kind) {
        used += worker.usageByKind[kind];
        if (worker.usageByKind[kind] > 0)
            ratio += worker.usageByKind[kind] * m_workload.slowdown(service, kind, load, m_nowMs);
    }
    // Services wait for processors when more than 95 % of the processors of the host are in use.
    ratio += 3 * std::max(0.0, used - 0.95) + startLatencyPenalty * worker.recentStarts;
    return ratio;
}

void ClusterSimulation::sampleLatency(double ratio)
{
    auto log = std::normal_distribution<double> { 0, 0.35 };
    for (int n = 0; n < 4; ++n) {
        auto alone = std::exp(log(m_random));
        m_isolatedLatencies.push_back(static_cast<float>(alone));
        m_latencies.push_back(static_cast<float>(alone * ratio));
    }
    ++m_samples;
    m_samplesWithinTarget += ratio <= latencyTarget ? 1 : 0;
}

void ClusterSimulation::reportMeasurements()
{
    auto share = static_cast<double>(m_nowMs) / static_cast<double>(m_workload.size().durationMs);
    bool isNoisePeriod = share > noisePeriodAt && share < noisePeriodAt + 0.03 && m_workload.size().faults;
    for (size_t index = 0; index < m_workers.size(); ++index) {
        auto& worker = m_workers[index];
        // Hosts report at staggered times, once in each report interval.
        if (worker.isDead || (m_nowMs / stepMs + static_cast<int64_t>(index)) % (reportIntervalMs / stepMs) != 0)
            continue;
        for (size_t service = 0; service < m_workload.size().serviceKinds; ++service) {
            if (worker.usageByKind[service] <= 0)
                continue;
            double ratio = latencyRatioOf(worker, service);
            // The first tenth of the run warms up the cluster and is not measured.
            if (share > 0.1)
                sampleLatency(ratio);
            double noise = std::exp(std::normal_distribution<double> { 0, isNoisePeriod ? 0.2 : 0.04 }(m_random));
            m_reports.push_back(
                { m_nowMs + reportDelayMs, index, service, m_workload.load(service, m_nowMs), ratio * noise });
        }
        std::vector<UsageSample> samples;
        for (auto task : worker.tasks) {
            const auto& job = m_jobs[task];
            const auto& kind = m_workload.kinds()[job.kind];
            double ratio = kind.isService ? m_workload.load(job.kind, m_nowMs) : kind.usageRatio * job.throttle;
            ratio *= std::exp(std::normal_distribution<double> { 0, 0.05 }(m_random));
            samples.push_back({ job.view.id, job.attempt,
                { static_cast<int64_t>(ratio * static_cast<double>(job.view.size.cpuMillis)), job.view.size.memoryMb },
                static_cast<int64_t>(1000 * job.progress) });
        }
        countIfRejected(m_scheduler->reportUsage(worker.view.id, samples));
    }
    while (!m_reports.empty() && m_reports.front().arrivesAtMs <= m_nowMs) {
        const auto& report = m_reports.front();
        // The scheduler rejects the report if the service has left the host since the measurement. This is expected.
        (void)m_scheduler->reportLatency(m_workload.kinds()[report.service].name, m_workers[report.worker].view.id,
            report.load, report.latencyRatio);
        m_reports.pop_front();
    }
}

void ClusterSimulation::apply(const PlaceTask& place)
{
    startAttempt(m_jobIndex.at(place.job), m_workerIndex.at(place.worker));
}

void ClusterSimulation::startAttempt(size_t index, size_t workerIndex)
{
    auto& job = m_jobs[index];
    auto& worker = m_workers[workerIndex];
    m_result.duplicateRuns += job.worker != SIZE_MAX ? 1 : 0;
    m_result.zoneOutStarts += m_isZoneOut && worker.view.zone == "z0" ? 1 : 0;
    worker.committed = worker.committed + job.view.size;
    m_result.overCommitments += worker.committed.fitsIn(worker.view.capacity) ? 0 : 1;
    worker.tasks.push_back(index);
    worker.recentStarts += 1;
    job.worker = workerIndex;
    job.placedAtMs = m_nowMs;
    job.throttle = 1;
    ++m_result.starts;
    countIfRejected(m_scheduler->taskPlaced(job.view.id, ++job.attempt, worker.view.id));
    if (job.firstStartedAtMs >= 0)
        return;
    job.firstStartedAtMs = m_nowMs;
    double waited = static_cast<double>(m_nowMs - job.submittedAtMs) / 1000.0;
    if (job.view.urgent)
        m_urgentWaits.push_back(waited);
    else if (job.view.size.accelerators > 0)
        m_acceleratorWaits.push_back(waited);
    else if (job.view.size.cpuMillis > 8'000)
        m_largeWaits.push_back(waited);
}

void ClusterSimulation::apply(const EvictTask& eviction)
{
    static const char* const names[] = { "interference", "under_declared", "urgent", "reservation", "zone_out",
        "draining", "capacity", "cancelled" };
    auto& job = m_jobs[m_jobIndex.at(eviction.job)];
    if (job.worker == SIZE_MAX || (job.stopsAtMs >= 0 && (eviction.checkpoint || !job.stopsWithCheckpoint)))
        return;
    job.stopsWithCheckpoint = eviction.checkpoint;
    if (job.stopsAtMs < 0) {
        countIfRejected(m_scheduler->taskRevoking(eviction.job, job.attempt));
        ++m_result.evictionsByReason[names[static_cast<size_t>(eviction.reason)]];
        m_evictions += eviction.reason <= EvictReason::Reservation ? 1 : 0;
    }
    // A checkpoint takes 1 to 4 s, and one in ten takes five times as long.
    double delay = uniform(m_random, 1'000, 4'000) * (uniform(m_random, 0, 1) < 0.1 ? 5 : 1);
    job.stopsAtMs = m_nowMs + (eviction.checkpoint ? static_cast<int64_t>(delay) : 500);
}

void ClusterSimulation::apply(const ThrottleTask& throttle)
{
    m_jobs[m_jobIndex.at(throttle.job)].throttle = throttle.speedPercent / 100.0;
}

void ClusterSimulation::apply(const FailJob& fail)
{
    auto& job = m_jobs[m_jobIndex.at(fail.job)];
    ++m_result.permanentlyFailed;
    m_result.wronglyFailed += job.alwaysFails ? 0 : 1;
    job.isOver = true;
    countIfRejected(m_scheduler->jobEnded(fail.job));
}

void ClusterSimulation::runScheduler()
{
    auto from = std::chrono::steady_clock::now();
    auto decisions = m_scheduler->tick(Instant { Milliseconds { m_nowMs } });
    double micros = std::chrono::duration<double, std::micro>(std::chrono::steady_clock::now() - from).count();
    VERIFY(decisions.ok());
    for (const auto& decision : *decisions)
        std::visit([this](const auto& value) { apply(value); }, decision);
    m_decisionMicros += micros;
    m_result.maxTickMicros = std::max(m_result.maxTickMicros, micros);
}

static double quantile(std::vector<float>& values, double share)
{
    if (values.empty())
        return 0;
    auto n = static_cast<size_t>(share * static_cast<double>(values.size() - 1));
    std::nth_element(values.begin(), values.begin() + static_cast<ptrdiff_t>(n), values.end());
    return values[n];
}

static double quantile(const std::vector<double>& values, double share)
{
    std::vector<float> copy(values.begin(), values.end());
    return quantile(copy, share);
}

void ClusterSimulation::summarise()
{
    const auto& size = m_workload.size();
    double hours = static_cast<double>(size.durationMs) / 3'600'000.0;
    m_result.serviceP50 = quantile(m_latencies, 0.5) / quantile(m_isolatedLatencies, 0.5);
    m_result.serviceP99 = quantile(m_latencies, 0.99) / quantile(m_isolatedLatencies, 0.99);
    m_result.serviceP999 = quantile(m_latencies, 0.999) / quantile(m_isolatedLatencies, 0.999);
    m_result.shareWithinTarget
        = static_cast<double>(m_samplesWithinTarget) / static_cast<double>(std::max<uint64_t>(1, m_samples));
    m_result.evictionsPerHour = static_cast<double>(m_evictions) / hours;
    m_result.serviceDowntime
        = static_cast<double>(m_serviceDownSteps) / static_cast<double>(std::max<uint64_t>(1, m_serviceSteps));
    m_result.urgentStartP99 = quantile(m_urgentWaits, 0.99);
    m_result.urgentStartMax = quantile(m_urgentWaits, 1.0);
    m_result.urgentStarts = m_urgentWaits.size();
    m_result.largeWaitP90 = quantile(m_largeWaits, 0.9);
    m_result.acceleratorWaitP90 = quantile(m_acceleratorWaits, 0.9);
    m_result.deadlinesMet
        = static_cast<double>(m_deadlinesMet) / static_cast<double>(std::max<uint64_t>(1, m_deadlines));
    double sum = 0;
    double squares = 0;
    for (size_t n = 0; n < m_teamCoreHours.size(); ++n) {
        double share = m_teamCoreHours[n] / m_teamWeight[n];
        sum += share;
        squares += share * share;
    }
    m_result.fairness = sum * sum / (squares * static_cast<double>(m_teamCoreHours.size()));
    m_result.microsPerDecision = m_decisionMicros / static_cast<double>(std::max<uint64_t>(1, m_result.starts));
    m_result.coreShare = m_decisionMicros / (static_cast<double>(size.durationMs) * 1000.0);
    m_result.stateBytes = m_scheduler->stateBytes();
    m_result.pending = m_scheduler->pendingJobs();
}

void ClusterSimulation::countUnavailableServices()
{
    const auto& size = m_workload.size();
    m_serviceSteps += size.serviceTasks;
    std::vector<size_t> down(size.serviceKinds);
    for (size_t n = 0; n < size.serviceTasks; ++n) {
        if (m_jobs[n].worker != SIZE_MAX && !m_workers[m_jobs[n].worker].isDead)
            continue;
        ++m_serviceDownSteps;
        ++down[m_jobs[n].kind];
    }
    double perKind = static_cast<double>(size.serviceTasks) / static_cast<double>(size.serviceKinds);
    m_result.maxKindDownShare
        = std::max(m_result.maxKindDownShare, static_cast<double>(*std::ranges::max_element(down)) / perKind);
}

RunResult ClusterSimulation::run()
{
    setUp();
    for (; m_nowMs < m_workload.size().durationMs; m_nowMs += stepMs) {
        injectFaults();
        submitArrivals();
        updateWorkerStates();
        advanceTasks();
        reportMeasurements();
        runScheduler();
        if (m_nowMs < 60'000)
            continue;
        countUnavailableServices();
    }
    summarise();
    return m_result;
}

}
