#include <LibDecision/TaskScheduler.h>
#include <LibDecision/TaskWorkerEntry.h>
#include <algorithm>
#include <cstdint>
#include <limits>

namespace Bergamot {

static constexpr uint64_t runsPerEpoch = 100000;

/// A run without progress for this long is started again elsewhere.
static constexpr Milliseconds stallLimit { 3000 };

/// Tasks that are paced below this share may rightly show no progress.
static constexpr uint32_t stallPacePercent = 50;

/// A report of the last half second says nothing of a run that is younger than this.
static constexpr Milliseconds figureDelay { 700 };

/// A task that fills starts when at least this share of its processors is expected to be idle.
static constexpr double fillStartShare = 0.7;

std::vector<TaskAction> TaskScheduler::plan(Instant now, int64_t unixMs)
{
    if (m_unblockAt != neverInstant && now >= m_unblockAt) {
        m_unblockAt = neverInstant;
        unblockTasks();
    }
    activateDueOccurrences(unixMs);
    placeWaiting(now);
    return std::exchange(m_actions, {});
}

void TaskScheduler::activateDueOccurrences(int64_t unixMs)
{
    auto timed = m_timedJobs;
    for (const auto& id : timed) {
        auto& job = *m_jobs.at(id);
        bool more = false;
        for (uint32_t k = 0; k < job.occurrences.size(); ++k) {
            if (job.occurrences[k].due)
                continue;
            if (job.occurrences[k].dueUnixMs > unixMs)
                more = true;
            else
                activateOccurrence(job, k);
        }
        if (!more)
            m_timedJobs.erase(id);
    }
}

void TaskScheduler::placeWaiting(Instant now)
{
    // The smallest sizes that found no room in this pass; larger ones need not be tried.
    int64_t blockedCpu = std::numeric_limits<int64_t>::max();
    int64_t blockedFillCpu = std::numeric_limits<int64_t>::max();
    for (auto it = m_readySteps.begin(); it != m_readySteps.end();) {
        const auto& ready = it->second;
        auto& tracked = ready.job->occurrences[ready.occurrence].steps[ready.step];
        if (ready.job->hasEnded() || tracked.waiting.empty()) {
            it = m_readySteps.erase(it);
            continue;
        }
        const auto& spec = ready.job->spec.steps[ready.step];
        auto& blocked = spec.fills ? blockedFillCpu : blockedCpu;
        if (spec.size.cpuMillis < blocked && !placeStep(ready, now) && spec.requiredLabel.empty()
            && spec.maxPerWorker == 0)
            blocked = std::min(blocked, spec.size.cpuMillis);
        it = tracked.waiting.empty() ? m_readySteps.erase(it) : std::next(it);
    }
}

/// Returns false when a task that may start found no worker.
bool TaskScheduler::placeStep(const ReadyStep& ready, Instant now)
{
    auto& step = ready.job->occurrences[ready.occurrence].steps[ready.step];
    std::vector<uint32_t> left;
    bool found = true;
    for (auto index : step.waiting) {
        const auto& task = step.tasks[index];
        if (task.blockedUntil > now) {
            left.push_back(index);
            continue;
        }
        auto* worker = found ? chooseWorker(*ready.job, ready, task, now) : nullptr;
        if (!worker) {
            found = false;
            left.push_back(index);
            continue;
        }
        startOn(*worker, ready, index, now);
    }
    step.waiting = std::move(left);
    return found;
}

static bool hasLabel(const TaskWorkerView& view, const std::string& label)
{
    return std::ranges::find(view.labels, label) != view.labels.end();
}

TaskScheduler::WorkerEntry* TaskScheduler::chooseWorker(
    const TrackedJob& job, const ReadyStep& ready, const TrackedTask& task, Instant now)
{
    const auto& spec = job.spec.steps[ready.step];
    const auto& service = policyOf(job).service;
    if (service.empty())
        return nullptr;
    auto reserveSize = spec.size;
    if (spec.fills)
        reserveSize.cpuMillis = 0;
    // Runs of the same step per worker, for the limit and for spreading.
    std::map<WorkerHandle, uint32_t> sameStep;
    std::map<std::string, uint32_t> sameZone;
    if (spec.maxPerWorker > 0 || spec.longRunning) {
        for (const auto& other : job.occurrences[ready.occurrence].steps[ready.step].tasks) {
            for (const auto& run : other.runs)
                ++sameStep[run.worker];
        }
    }
    WorkerEntry* best = nullptr;
    double bestScore = -std::numeric_limits<double>::max();
    for (auto& [handle, entry] : m_workers) {
        auto& worker = *entry;
        if (!worker.reachable || worker.view.draining || worker.fullUntil > now || worker.pausedUntil > now
            || worker.view.service != service || m_zonesOut.contains(worker.view.zone))
            continue;
        if (!reserveSize.fitsIn(worker.freeRoom()))
            continue;
        if (!spec.requiredLabel.empty() && !hasLabel(worker.view, spec.requiredLabel))
            continue;
        auto here = sameStep.find(handle);
        uint32_t siblings = here == sameStep.end() ? 0 : here->second;
        if (spec.maxPerWorker > 0 && siblings >= spec.maxPerWorker)
            continue;
        auto capacityCpu = static_cast<double>(std::max<int64_t>(1, worker.view.capacity.cpuMillis));
        double score = 0;
        if (spec.fills) {
            auto room = worker.fillRoomMillis();
            if (room < fillStartShare * static_cast<double>(spec.size.cpuMillis))
                continue;
            score = room / capacityCpu;
        } else {
            score = static_cast<double>(worker.freeRoom().cpuMillis) / capacityCpu;
        }
        score -= static_cast<double>(siblings);
        if (!spec.dataRack.empty() && hasLabel(worker.view, spec.dataRack))
            score += 1;
        if (handle == task.lastFailedOn && task.failures > 0)
            score -= 10;
        if (worker.view.coldLeftMs > 0)
            score -= 1;
        if (score > bestScore) {
            bestScore = score;
            best = &worker;
        }
    }
    return best;
}

void TaskScheduler::startOn(WorkerEntry& worker, const ReadyStep& ready, uint32_t index, Instant now)
{
    auto& job = *ready.job;
    auto& task = job.occurrences[ready.occurrence].steps[ready.step].tasks[index];
    TaskRef ref { job.spec.id, ready.occurrence, ready.step, index };
    uint64_t run = m_options.epoch * runsPerEpoch + ++task.starts;
    task.runs.push_back({ .run = run, .worker = worker.handle, .startedAt = now, .progressedAt = now });
    job.started = true;
    reserve(worker, job, ref, run);
    m_actions.push_back(StartTask {
        .worker = worker.handle,
        .task = ref,
        .run = run,
        .payload = job.spec.payload,
        .checkpoint = task.checkpoint,
    });
    if (!job.spec.steps[ready.step].fills || worker.pace.percent() == 100)
        return;
    task.runs.back().pace = worker.pace.percent();
    m_actions.push_back(
        PaceTask { .worker = worker.handle, .task = ref, .run = run, .percent = worker.pace.percent() });
}

void TaskScheduler::superviseWorker(WorkerEntry& worker, Instant now)
{
    double worstRatio = 0;
    double measuredDemand = 0;
    double measuredUse = 0;
    auto runs = worker.runs;
    for (const auto& [ref, number] : runs) {
        auto& job = *findJob(ref.job);
        auto& task = *findTask(job, ref);
        const auto& run = *findRun(task, number);
        const auto& spec = job.spec.steps[ref.step];
        if (spec.longRunning && spec.targetLatencyMs > 0 && run.percent == 100)
            worstRatio
                = std::max(worstRatio, static_cast<double>(run.recentFigure) / static_cast<double>(spec.targetLatencyMs));
        if (spec.fills && run.phase == RunPhase::Running && now - run.startedAt > figureDelay) {
            measuredDemand += static_cast<double>(spec.size.cpuMillis) * run.pace / 100;
            measuredUse += static_cast<double>(run.recentFigure);
        }
        bool stalled = !spec.longRunning && run.phase == RunPhase::Running && run.pace >= stallPacePercent
            && worker.pace.percent() >= stallPacePercent && now - run.progressedAt > stallLimit;
        bool leaves = worker.view.draining && (spec.longRunning || spec.checkpointing);
        if (run.phase == RunPhase::Running && (stalled || leaves)) {
            findRun(task, number)->phase = RunPhase::Stopping;
            m_actions.push_back(StopTask { .worker = worker.handle, .task = ref, .run = number });
        }
    }
    constexpr double saturatedBelow = 0.9;
    constexpr double smoothing = 0.3;
    if (measuredDemand > 0) {
        double share = measuredUse / measuredDemand;
        double estimate = share < saturatedBelow ? share * static_cast<double>(worker.fillDemandMillis)
                                                 : 1.1 * static_cast<double>(worker.fillDemandMillis);
        if (worker.fillCapacityMillis < 0)
            worker.fillCapacityMillis = std::max(estimate, worker.fillRoomMillis() + static_cast<double>(worker.fillDemandMillis));
        else if (share < saturatedBelow || estimate > worker.fillCapacityMillis)
            worker.fillCapacityMillis += smoothing * (estimate - worker.fillCapacityMillis);
    }
    worker.pace.update(worstRatio, now);
    for (const auto& [ref, number] : runs) {
        auto& job = *findJob(ref.job);
        auto& run = *findRun(*findTask(job, ref), number);
        if (!job.spec.steps[ref.step].fills || run.phase == RunPhase::Stopping || run.pace == worker.pace.percent())
            continue;
        run.pace = worker.pace.percent();
        m_actions.push_back(
            PaceTask { .worker = worker.handle, .task = ref, .run = number, .percent = run.pace });
    }
}

}
