#include "DayModel.h"
#include <algorithm>
#include <chrono>
#include <cmath>
#include <ctime>
#include <fmt/format.h>
#include <utility>
#include <variant>

namespace Bergamot {

static constexpr int64_t stepMs = 10;
static constexpr int64_t reportIntervalMs = 500;

/// Virtual time at the start of the day. It is positive so that `neverInstant` lies in the past.
static constexpr int64_t startMs = 1000;

/// Jobs accepted after this share of the day are not counted, because the day may end before they complete.
static constexpr double countedShare = 0.7;
static constexpr double meanServingLoad = 0.42;
static constexpr double servingLoadSwing = 0.5;
static constexpr double servingPeriodMs = 10000;
static constexpr double maxUtilisation = 0.98;
static constexpr double tailSmoothingMs = 500;

struct DayModel::Run {
    TaskRef task {};
    uint64_t run { 0 };
    const StepSpec* spec { nullptr };
    uint32_t imageIndex { 0 };
    double remainingWorkMs { 0 };
    double workMs { 0 };
    uint32_t speedPercent { 100 };
    double cpuInUse { 0 };
    double tailLatencyMs { 0 };
    double phase { 0 };
    bool longRunning { false };
    bool bestEffort { false };
};

struct DayModel::Worker {
    WorkerHandle handle { 0 };
    std::vector<Run> runs {};
    std::vector<RunEnd> ends {};
    int64_t reportedAtMs { 0 };

    /// Current speed as a share of the usual speed; 0 while its tasks make no progress.
    double speed { 1 };
};

struct DayModel::Job {
    uint32_t kind { 0 };
    JobSpec spec {};
    int64_t acceptedAtMs { 0 };

    /// Time at which the caller cancels a long-running job; 0 for other jobs.
    int64_t cancelAtMs { 0 };
    bool isCancelled { false };
    double objectiveMs { 0 };
    bool isCounted { false };
    std::vector<double> workMs {};
    uint32_t imageIndex { 0 };
    double servedMs { 0 };
    double belowTargetMs { 0 };
    double requiredMs { 0 };
};

DayModel::DayModel(DaySize size, uint64_t seed)
    : m_size(std::move(size))
    , m_random(seed)
    , m_runRandom(seed + 1)
    , m_scheduler({ .epoch = 1 })
    , m_nowMs(startMs)
{
    std::map<std::string, QueuePolicy> queues;
    for (const auto& kind : m_size.kinds) {
        queues[kind.queue] = { .service = "service",
            .priority = kind.priority,
            .maxAttempts = 3,
            .stretch = kind.stretch,
            .targetLatencyMs = kind.targetLatencyMs };
        m_result.queues.push_back({ .queue = kind.queue });
    }
    m_scheduler.setQueues(std::move(queues));
    addWorkers();
    drawInterference();
}

DayModel::~DayModel() = default;

void DayModel::cancelDueJobs()
{
    for (auto& [id, job] : m_jobs) {
        if (job.cancelAtMs == 0 || job.isCancelled || job.cancelAtMs > m_nowMs)
            continue;
        job.isCancelled = true;
        m_scheduler.cancelJob(id);
        m_eventsSincePlan = true;
    }
}

/// Slows down one worker in six after a third of the day, and stalls the tasks of one worker in ten after two thirds.
void DayModel::applyFaults()
{
    constexpr int64_t slowDurationMs = 7000;
    constexpr int64_t stallDurationMs = 5500;
    constexpr double slowSpeed = 1.0 / 6.5;
    auto slowAt = startMs + m_size.durationMs / 3;
    auto stallAt = startMs + 2 * m_size.durationMs / 3;
    bool isSlowPeriod = m_nowMs >= slowAt && m_nowMs < slowAt + slowDurationMs;
    bool isStallPeriod = m_nowMs >= stallAt && m_nowMs < stallAt + stallDurationMs;
    for (auto& worker : m_workers) {
        worker.speed = 1;
        if (isSlowPeriod && worker.handle % 6 == 1)
            worker.speed = slowSpeed;
        if (isStallPeriod && worker.handle % 10 == 2)
            worker.speed = 0;
    }
}

/// Draws from a gamma distribution with the given mean and coefficient of variation (`variation`), limited to the range
/// from 0.1 to `maxFactor` times the mean.
double DayModel::draw(std::mt19937_64& random, double mean, double variation, double maxFactor)
{
    if (variation <= 0)
        return mean;
    double shape = 1 / (variation * variation);
    std::gamma_distribution<double> distribution(shape, mean / shape);
    return std::clamp(distribution(random), mean * 0.1, mean * maxFactor);
}

void DayModel::addWorkers()
{
    for (uint32_t i = 1; i <= m_size.workers; ++i) {
        TaskWorkerView view { .id = fmt::format("w{}", i), .service = "service" };
        view.zone = fmt::format("z{}", i % m_size.zones);
        view.capacity = { m_size.workerCpuMillis, m_size.workerMemoryMb, 0 };
        m_scheduler.updateWorker(i, view);
        m_workers.push_back({ .handle = i, .reportedAtMs = startMs - static_cast<int64_t>(i % 50) * stepMs });
    }
}

void DayModel::drawInterference()
{
    uint32_t serving = 0;
    uint32_t bestEffort = 0;
    for (const auto& kind : m_size.kinds) {
        serving = kind.longRunning ? kind.images : serving;
        bestEffort = kind.bestEffort ? kind.images : bestEffort;
    }
    std::uniform_real_distribution<double> unit(0, 1);
    m_interference.assign(bestEffort, std::vector<double>(serving, 0));
    for (auto& row : m_interference) {
        bool interferes = unit(m_random) < m_size.interferingShare;
        for (auto& it : row)
            it = interferes && unit(m_random) < 0.5 ? m_size.maxInterference * unit(m_random) : 0.05 * unit(m_random);
    }
}

void DayModel::submit(uint32_t kindIndex)
{
    const auto& kind = m_size.kinds[kindIndex];
    Job job { .kind = kindIndex, .acceptedAtMs = m_nowMs };
    job.spec.id = fmt::format("{:016x}", ++m_lastJob);
    job.spec.queue = kind.queue;
    job.spec.acceptedAtMs = m_nowMs;
    auto steps = static_cast<uint32_t>(std::lround(draw(m_random, kind.meanSteps, kind.longRunning ? 0 : 0.4, 2.5)));
    std::uniform_real_distribution<double> error(1 - kind.maxEstimateError, 1 + kind.maxEstimateError);
    if (kind.images > 0)
        job.imageIndex = static_cast<uint32_t>(m_random() % kind.images);
    double chainMs = 0;
    for (uint32_t i = 0; i < std::max(1U, steps); ++i) {
        double workMs = draw(m_random, kind.meanWorkMs, 0.5, 2.5);
        StepSpec step { .count = static_cast<uint32_t>(std::max(1.0, draw(m_random, kind.meanTasks, 0.6, 4))),
            .size = { static_cast<int64_t>(draw(m_random, kind.meanCpuMillis, kind.cpuVariation, 3)),
                static_cast<int64_t>(draw(m_random, kind.meanMemoryMb, 0.3, 2)), 0 },
            .estimateMs = static_cast<uint32_t>(workMs * error(m_random)),
            .speculative = m_random() % 10 < static_cast<uint64_t>(10 * kind.speculativeShare) };
        if (i > 0)
            step.dependsOn = { i - 1 };
        if (kind.images > 0)
            step.image = fmt::format("{}-{}", kind.queue, job.imageIndex);
        step.checkpointing = kind.bestEffort;
        step.bestEffort = kind.bestEffort;
        step.longRunning = kind.longRunning;
        if (kind.longRunning)
            step.targetLatencyMs = static_cast<uint32_t>(m_size.baseTailLatencyMs * m_size.targetLatencyFactor);
        job.workMs.push_back(workMs);
        chainMs += workMs;
        job.spec.steps.push_back(std::move(step));
    }
    job.objectiveMs = kind.stretch * chainMs + kind.targetLatencyMs;
    auto isCounted = static_cast<double>(m_nowMs - startMs) < countedShare * static_cast<double>(m_size.durationMs);
    job.isCounted = isCounted;
    if (kind.longRunning) {
        double lifetimeMs = draw(m_random, m_size.meanLifetimeMs, 0.5, 3);
        // Jobs that exist at the start of the day have used a random part of their lifetime.
        if (m_nowMs == startMs)
            lifetimeMs *= std::uniform_real_distribution<double>(0, 1)(m_random);
        job.cancelAtMs = m_nowMs + static_cast<int64_t>(lifetimeMs);
    }
    auto spec = job.spec;
    m_jobs.emplace(spec.id, std::move(job));
    m_scheduler.addJob(std::move(spec), std::nullopt, neverInstant);
    m_eventsSincePlan = true;
}

void DayModel::startRun(const StartTask& start)
{
    ++m_result.starts;
    auto& job = m_jobs.at(start.task.job);
    const auto& spec = job.spec.steps[start.task.step];
    std::uniform_real_distribution<double> phase(0, 2 * M_PI);
    Run run { .task = start.task, .run = start.run, .spec = &spec, .imageIndex = job.imageIndex };
    run.workMs = draw(m_runRandom, job.workMs[start.task.step], 0.15, 2);
    run.remainingWorkMs = run.workMs;
    run.phase = phase(m_runRandom);
    run.tailLatencyMs = m_size.baseTailLatencyMs;
    run.longRunning = spec.longRunning;
    run.bestEffort = spec.bestEffort;
    if (!start.checkpoint.empty())
        run.remainingWorkMs = std::min(run.remainingWorkMs, std::strtod(start.checkpoint.c_str(), nullptr));
    m_workers[start.worker - 1].runs.push_back(run);
    m_scheduler.commandAccepted(start.worker, start.task, start.run, now());
}

DayModel::Run* DayModel::findRun(WorkerHandle handle, const TaskRef& task, uint64_t run)
{
    for (auto& it : m_workers[handle - 1].runs) {
        if (it.run == run && it.task == task)
            return &it;
    }
    return nullptr;
}

void DayModel::applyActions(std::vector<TaskAction> actions)
{
    for (const auto& action : actions) {
        if (const auto* start = std::get_if<StartTask>(&action)) {
            startRun(*start);
        } else if (const auto* throttle = std::get_if<ThrottleRun>(&action)) {
            ++m_result.throttleCommands;
            if (auto* run = findRun(throttle->worker, throttle->task, throttle->run))
                run->speedPercent = throttle->speedPercent;
        } else if (const auto* stop = std::get_if<StopTask>(&action)) {
            ++m_result.stopCommands;
            auto& worker = m_workers[stop->worker - 1];
            auto* run = findRun(stop->worker, stop->task, stop->run);
            if (!run)
                continue;
            worker.ends.push_back({ .sequence = ++m_lastSequence,
                .task = stop->task,
                .run = stop->run,
                .outcome = RunOutcome::Stopped,
                .checkpoint = std::to_string(run->remainingWorkMs) });
            worker.runs.erase(worker.runs.begin() + (run - worker.runs.data()));
        }
    }
}

double DayModel::tailLatencyOf(const Worker& worker, const Run& run) const
{
    double swing = std::sin(2 * M_PI * static_cast<double>(m_nowMs) / servingPeriodMs + run.phase);
    double utilisation = meanServingLoad * (1 + servingLoadSwing * swing);
    for (const auto& other : worker.runs) {
        if (other.bestEffort)
            utilisation += m_interference[other.imageIndex][run.imageIndex] * other.cpuInUse
                / static_cast<double>(m_size.workerCpuMillis);
    }
    return m_size.baseTailLatencyMs * (1 - meanServingLoad) / (1 - std::min(maxUtilisation, utilisation));
}

void DayModel::advance(Worker& worker)
{
    double reserved = 0;
    double bestEffortDemand = 0;
    for (const auto& run : worker.runs) {
        auto cpu = static_cast<double>(run.spec->size.cpuMillis);
        if (run.bestEffort)
            bestEffortDemand += cpu * run.speedPercent / 100;
        else
            reserved += run.longRunning ? cpu * meanServingLoad : cpu;
    }
    double idle = std::max(0.0, static_cast<double>(m_size.workerCpuMillis) - reserved);
    double bestEffortShare = bestEffortDemand > idle ? idle / bestEffortDemand : 1;
    for (auto& run : worker.runs) {
        double share = run.bestEffort ? bestEffortShare * run.speedPercent / 100 : 1;
        run.cpuInUse = share * static_cast<double>(run.spec->size.cpuMillis);
        run.remainingWorkMs -= share * worker.speed * stepMs;
        if (run.longRunning)
            run.tailLatencyMs += (tailLatencyOf(worker, run) - run.tailLatencyMs) * stepMs / tailSmoothingMs;
    }
    for (size_t i = 0; i < worker.runs.size();) {
        auto& run = worker.runs[i];
        if (run.longRunning || run.remainingWorkMs > 0) {
            ++i;
            continue;
        }
        worker.ends.push_back(
            { .sequence = ++m_lastSequence, .task = run.task, .run = run.run, .outcome = RunOutcome::Done });
        worker.runs.erase(worker.runs.begin() + static_cast<std::ptrdiff_t>(i));
    }
}

static double threadMicros()
{
    timespec time {};
    clock_gettime(CLOCK_THREAD_CPUTIME_ID, &time);
    return static_cast<double>(time.tv_sec) * 1e6 + static_cast<double>(time.tv_nsec) / 1e3;
}

void DayModel::report(Worker& worker)
{
    if (worker.ends.empty() && m_nowMs - worker.reportedAtMs < reportIntervalMs)
        return;
    worker.reportedAtMs = m_nowMs;
    std::vector<RunReport> running;
    for (const auto& run : worker.runs) {
        double done = run.longRunning ? (run.remainingWorkMs <= 0 ? 1 : 0) : 1 - run.remainingWorkMs / run.workMs;
        running.push_back({ .task = run.task,
            .run = run.run,
            .progressPercent = static_cast<uint32_t>(100 * std::clamp(done, 0.0, 1.0)),
            .recentMeasurement = static_cast<int64_t>(run.longRunning ? run.tailLatencyMs : run.cpuInUse) });
    }
    auto ends = std::exchange(worker.ends, {});
    auto startedAt = threadMicros();
    for (const auto& end : ends)
        m_scheduler.runEnded(worker.handle, end, now());
    m_scheduler.runsReported(worker.handle, running, RunEndCoverage::All, now(), now());
    m_result.decisionMicros += threadMicros() - startedAt;
    m_eventsSincePlan = true;
}

void DayModel::plan()
{
    auto startedAt = threadMicros();
    auto actions = m_scheduler.plan(now(), m_nowMs);
    auto elapsed = threadMicros() - startedAt;
    m_result.decisionMicros += elapsed;
    m_result.longestPlanMicros = std::max(m_result.longestPlanMicros, elapsed);
    ++m_result.plans;
    applyActions(std::move(actions));
    for (const auto& progress : m_scheduler.takeChangedJobs())
        m_scheduler.progressStored(progress);
    m_eventsSincePlan = false;
}

void DayModel::recordServingTime()
{
    for (auto& [id, job] : m_jobs) {
        if (m_size.kinds[job.kind].longRunning && !job.isCancelled)
            job.requiredMs += stepMs * job.spec.steps[0].count;
    }
    for (const auto& worker : m_workers) {
        for (const auto& run : worker.runs) {
            if (!run.longRunning || run.remainingWorkMs > 0)
                continue;
            auto& job = m_jobs.at(run.task.job);
            if (job.isCancelled)
                continue;
            job.servedMs += stepMs;
            if (run.tailLatencyMs < run.spec->targetLatencyMs)
                job.belowTargetMs += stepMs;
        }
    }
}

void DayModel::checkCompletions()
{
    for (auto it = m_jobs.begin(); it != m_jobs.end();) {
        auto& [id, job] = *it;
        if (m_scheduler.stateOf(id) != JobStage::Completed) {
            ++it;
            continue;
        }
        auto& result = m_result.queues[job.kind];
        auto elapsed = static_cast<double>(m_nowMs - job.acceptedAtMs);
        if (job.isCounted) {
            ++result.jobs;
            result.onTime += elapsed <= job.objectiveMs ? 1 : 0;
            result.late += elapsed > job.objectiveMs && elapsed <= 3 * job.objectiveMs ? 1 : 0;
        }
        it = m_jobs.erase(it);
    }
}

DayResult DayModel::run()
{
    std::vector<std::exponential_distribution<double>> gaps;
    ArrivalQueue arrivals;
    for (uint32_t i = 0; i < m_size.kinds.size(); ++i) {
        for (uint32_t n = 0; n < m_size.kinds[i].initialJobs; ++n)
            submit(i);
        gaps.emplace_back(m_size.kinds[i].jobsPerSecond / 1000);
        arrivals.emplace(m_nowMs + static_cast<int64_t>(gaps[i](m_random)), i);
    }
    while (m_nowMs < startMs + m_size.durationMs) {
        while (arrivals.top().first <= m_nowMs) {
            auto kind = arrivals.top().second;
            arrivals.pop();
            submit(kind);
            arrivals.emplace(m_nowMs + 1 + static_cast<int64_t>(gaps[kind](m_random)), kind);
        }
        if (m_size.faults)
            applyFaults();
        cancelDueJobs();
        for (auto& worker : m_workers) {
            advance(worker);
            report(worker);
        }
        if (m_eventsSincePlan)
            plan();
        recordServingTime();
        checkCompletions();
        m_nowMs += stepMs;
    }
    std::vector<double> requiredMs(m_size.kinds.size(), 0);
    for (const auto& [id, job] : m_jobs) {
        auto& result = m_result.queues[job.kind];
        result.jobs += job.isCounted ? 1 : 0;
        requiredMs[job.kind] += job.requiredMs;
        result.shareServing += job.servedMs;
        result.shareBelowTarget += job.belowTargetMs;
    }
    for (size_t i = 0; i < requiredMs.size(); ++i) {
        if (requiredMs[i] <= 0)
            continue;
        m_result.queues[i].shareServing /= requiredMs[i];
        m_result.queues[i].shareBelowTarget /= requiredMs[i];
    }
    return m_result;
}

}
