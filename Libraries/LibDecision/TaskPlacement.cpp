#include <LibDecision/TaskScheduler.h>
#include <LibDecision/TaskWorkerEntry.h>
#include <algorithm>
#include <cmath>
#include <cstdint>
#include <limits>

namespace Bergamot {

static constexpr uint64_t runsPerEpoch = 100000;

/// A run without progress for this long is started again elsewhere.
static constexpr Milliseconds stallLimit { 3000 };

/// Tasks that are paced below this share may rightly show no progress.
static constexpr uint32_t stallPacePercent = 50;

/// A task that fills moves to another worker when it has been paced below this share for this long.
static constexpr uint32_t movePacePercent = 40;
static constexpr Milliseconds pacedDownLimit { 1500 };

/// A change of pace below this many points is not worth an order.
static constexpr uint32_t leastPaceChange = 10;

/// The reported figures cover half a second, so that more frequent ones say the same again.
static constexpr Milliseconds observationInterval { 400 };

/// The reported tail follows a change of the processor use with about this delay.
static constexpr double tailDelayMs = 800;
static constexpr double negligibleFillShare = 0.002;

/// Filling tasks may raise the tail of a serving task to this share of its target.
static constexpr double tailLimitShare = 0.8;

/// Pace of the tasks that press a serving task which is over its target.
static constexpr double overTargetPace = 0.1;

/// After this time over the target, all filling tasks of the worker stand still.
static constexpr Milliseconds overTargetLimit { 1000 };

/// Utilisation that does not count as pressure.
static constexpr double negligiblePressure = 0.02;

/// A task that fills starts only where it may work at this share of its speed.
static constexpr double leastStartPace = 0.8;

/// A task that lasts waits no longer than this for the sake of short tasks; it has to run again within seconds.
static constexpr Milliseconds headroomWait { 2500 };

/// The peak of what short tasks need halves in this time.
static constexpr double shortDemandHalfLifeMs = 6000;

/// Serving tasks of one image share workers, so that each image of filling tasks finds workers where it presses
/// nothing.
static constexpr double sameImageWeight = 3;
static constexpr double siblingWeight = 0.1;

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
    updateShortDemand(now);
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

/// Keeps the recent peak of what short tasks reserve and wait for. Answers the loss of a zone, when tasks that last
/// would take all processors that remain and short tasks would wait behind them.
void TaskScheduler::updateShortDemand(Instant now)
{
    m_freeMillis = 0;
    for (const auto& [handle, worker] : m_workers) {
        if (isUsable(*worker, now))
            m_freeMillis += worker->freeRoom().cpuMillis;
    }
    int64_t waiting = 0;
    for (const auto& [key, ready] : m_readySteps) {
        const auto& spec = ready.job->spec.steps[ready.step];
        const auto& step = ready.job->occurrences[ready.occurrence].steps[ready.step];
        if (!spec.longRunning && !spec.fills)
            waiting += spec.size.cpuMillis * static_cast<int64_t>(step.waiting.size());
    }
    if (m_shortDemandAt != neverInstant)
        m_shortDemandMillis *= std::exp2(-static_cast<double>((now - m_shortDemandAt).count()) / shortDemandHalfLifeMs);
    m_shortDemandAt = now;
    m_shortDemandMillis = std::max(m_shortDemandMillis, static_cast<double>(m_shortMillis + waiting));
}

/// Whether a task that lasts leaves short tasks the processors that they have needed lately.
bool TaskScheduler::leavesHeadroom(const StepSpec& spec) const
{
    auto wanted = static_cast<int64_t>(m_shortDemandMillis) - m_shortMillis;
    return m_freeMillis - spec.size.cpuMillis >= wanted;
}

bool TaskScheduler::isUsable(const WorkerEntry& worker, Instant now) const
{
    return worker.reachable && !worker.view.draining && worker.fullUntil <= now && worker.pausedUntil <= now
        && !m_zonesOut.contains(worker.view.zone);
}

void TaskScheduler::placeWaiting(Instant now)
{
    // The smallest sizes that found no room in this pass; larger ones need not be tried.
    int64_t blockedCpu = std::numeric_limits<int64_t>::max();
    int64_t blockedFillCpu = std::numeric_limits<int64_t>::max();
    int64_t blockedLastingCpu = std::numeric_limits<int64_t>::max();
    for (auto it = m_readySteps.begin(); it != m_readySteps.end();) {
        const auto& ready = it->second;
        auto& tracked = ready.job->occurrences[ready.occurrence].steps[ready.step];
        if (ready.job->hasEnded() || tracked.waiting.empty()) {
            it = m_readySteps.erase(it);
            continue;
        }
        const auto& spec = ready.job->spec.steps[ready.step];
        auto& blocked = spec.fills ? blockedFillCpu : spec.longRunning ? blockedLastingCpu : blockedCpu;
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
        auto& task = step.tasks[index];
        if (task.waitingSince == neverInstant)
            task.waitingSince = now;
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
    if (spec.longRunning && now - task.waitingSince < headroomWait && !leavesHeadroom(spec))
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
        if (worker.view.service != service || !isUsable(worker, now))
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
            auto room = static_cast<double>(worker.fillRoomMillis());
            if (room < fillStartShare * static_cast<double>(spec.size.cpuMillis))
                continue;
            double allowed = allowedFillShare(worker, spec);
            if (allowed < leastStartPace)
                continue;
            score = room / capacityCpu + std::min(allowed, 3.0);
        } else {
            score = static_cast<double>(worker.freeRoom().cpuMillis) / capacityCpu;
        }
        if (spec.longRunning)
            score += sameImageWeight * sameImageShare(worker, spec.image);
        score -= siblingWeight * static_cast<double>(siblings);
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

/// The share of the serving tasks on the worker that have this image; 0 when nothing serves there.
double TaskScheduler::sameImageShare(const WorkerEntry& worker, const std::string& image) const
{
    double same = 0;
    double all = 0;
    for (const auto& [ref, number] : worker.runs) {
        const auto& spec = m_jobs.at(ref.job)->spec.steps[ref.step];
        if (!spec.longRunning)
            continue;
        all += 1;
        same += spec.image == image ? 1 : 0;
    }
    return all > 0 ? same / all : 0;
}

void TaskScheduler::startOn(WorkerEntry& worker, const ReadyStep& ready, uint32_t index, Instant now)
{
    auto& job = *ready.job;
    auto& task = job.occurrences[ready.occurrence].steps[ready.step].tasks[index];
    TaskRef ref { job.spec.id, ready.occurrence, ready.step, index };
    uint64_t run = m_options.epoch * runsPerEpoch + ++task.starts;
    task.waitingSince = neverInstant;
    task.runs.push_back({ .run = run, .worker = worker.handle, .startedAt = now, .progressedAt = now });
    job.started = true;
    reserve(worker, job, ref, run);
    if (!job.spec.steps[ready.step].fills)
        m_freeMillis -= job.spec.steps[ready.step].size.cpuMillis;
    m_actions.push_back(StartTask {
        .worker = worker.handle,
        .task = ref,
        .run = run,
        .payload = job.spec.payload,
        .checkpoint = task.checkpoint,
    });
}

void TaskScheduler::stopRun(const TaskRef& ref, TrackedRun& run)
{
    run.phase = RunPhase::Stopping;
    m_actions.push_back(StopTask { .worker = run.worker, .task = ref, .run = run.run });
}

void TaskScheduler::superviseWorker(WorkerEntry& worker, Instant now)
{
    observeInterference(worker, now);
    paceFills(worker, now);
    auto runs = worker.runs;
    for (const auto& [ref, number] : runs) {
        auto& job = *findJob(ref.job);
        auto& run = *findRun(*findTask(job, ref), number);
        const auto& spec = job.spec.steps[ref.step];
        bool stalled = !spec.longRunning && run.pace >= stallPacePercent && now - run.progressedAt > stallLimit;
        bool leaves = worker.view.draining && (spec.longRunning || spec.checkpointing);
        bool moves = spec.fills && spec.checkpointing && run.pacedDownSince != neverInstant
            && now - run.pacedDownSince > pacedDownLimit;
        if (run.phase == RunPhase::Running && (stalled || leaves || moves))
            stopRun(ref, run);
    }
}

void TaskScheduler::observeInterference(WorkerEntry& worker, Instant now)
{
    if (now - worker.observedAt < observationInterval)
        return;
    auto passed = static_cast<double>((now - worker.observedAt).count());
    double weight = worker.observedAt == neverInstant ? 1 : 1 - std::exp(-passed / tailDelayMs);
    worker.observedAt = now;
    auto capacity = static_cast<double>(std::max<int64_t>(1, worker.view.capacity.cpuMillis));
    PressureModel::Shares shares;
    for (const auto& [ref, number] : worker.runs) {
        auto& job = *findJob(ref.job);
        const auto& run = *findRun(*findTask(job, ref), number);
        const auto& spec = job.spec.steps[ref.step];
        if (spec.fills && run.recentFigure > 0)
            shares[spec.image] += static_cast<double>(run.recentFigure) / capacity;
    }
    for (auto& [image, smoothed] : worker.fillShares)
        smoothed -= weight * smoothed;
    for (const auto& [image, share] : shares)
        worker.fillShares[image] += weight * share;
    std::erase_if(worker.fillShares, [](const auto& it) { return it.second < negligibleFillShare; });
    for (const auto& [ref, number] : worker.runs) {
        auto& job = *findJob(ref.job);
        auto& run = *findRun(*findTask(job, ref), number);
        const auto& spec = job.spec.steps[ref.step];
        if (!spec.longRunning || spec.targetLatencyMs == 0 || run.percent < 100 || now - run.startedAt < figureDelay)
            continue;
        m_pressure.observe(spec.image, static_cast<double>(run.recentFigure), worker.fillShares, run.load, now);
    }
}

/// The utilisation that filling tasks may add before the serving task comes near its target.
double TaskScheduler::servingMargin(const TrackedRun& run, const StepSpec& spec) const
{
    return m_pressure.utilisationAt(spec.image, tailLimitShare * spec.targetLatencyMs) - run.load;
}

/// The share of its speed at which a further task that fills may work beside the tasks that serve; may exceed 1.
double TaskScheduler::allowedFillShare(const WorkerEntry& worker, const StepSpec& fill) const
{
    if (worker.overTargetSince != neverInstant)
        return 0;
    auto capacity = static_cast<double>(std::max<int64_t>(1, worker.view.capacity.cpuMillis));
    double allowed = 100;
    for (const auto& [ref, number] : worker.runs) {
        const auto& job = *m_jobs.at(ref.job);
        const auto& spec = job.spec.steps[ref.step];
        if (!spec.longRunning || spec.targetLatencyMs == 0)
            continue;
        const auto& task = job.occurrences[ref.occurrence].steps[ref.step].tasks[ref.index];
        auto run = std::ranges::find(task.runs, number, &TrackedRun::run);
        double added
            = m_pressure.pressure(fill.image, spec.image) * static_cast<double>(fill.size.cpuMillis) / capacity;
        if (added < negligiblePressure)
            continue;
        double margin = servingMargin(*run, spec);
        for (const auto& [otherRef, otherNumber] : worker.runs) {
            const auto& otherSpec = m_jobs.at(otherRef.job)->spec.steps[otherRef.step];
            if (otherSpec.fills)
                margin -= m_pressure.pressure(otherSpec.image, spec.image)
                    * static_cast<double>(otherSpec.size.cpuMillis) / capacity;
        }
        allowed = std::min(allowed, std::max(0.0, margin) / added);
    }
    return allowed;
}

void TaskScheduler::setPace(WorkerEntry& worker, const TaskRef& ref, TrackedRun& run, uint32_t percent, Instant now)
{
    if (percent >= movePacePercent)
        run.pacedDownSince = neverInstant;
    else if (run.pacedDownSince == neverInstant)
        run.pacedDownSince = now;
    auto difference = percent > run.pace ? percent - run.pace : run.pace - percent;
    bool atEnd = percent == 0 || percent == 100;
    if (difference == 0 || (difference < leastPaceChange && !atEnd))
        return;
    run.pace = percent;
    run.progressedAt = now;
    m_actions.push_back(PaceTask { .worker = worker.handle, .task = ref, .run = run.run, .percent = percent });
}

void TaskScheduler::noteOverTarget(WorkerEntry& worker, Instant now)
{
    bool over = false;
    for (const auto& [ref, number] : worker.runs) {
        auto& job = *findJob(ref.job);
        const auto& run = *findRun(*findTask(job, ref), number);
        const auto& spec = job.spec.steps[ref.step];
        over = over
            || (spec.longRunning && spec.targetLatencyMs > 0 && run.percent == 100
                && run.recentFigure >= spec.targetLatencyMs);
    }
    if (!over)
        worker.overTargetSince = neverInstant;
    else if (worker.overTargetSince == neverInstant)
        worker.overTargetSince = now;
}

/// Lets each filling task work at the largest share that keeps every serving task that it presses below its target.
void TaskScheduler::paceFills(WorkerEntry& worker, Instant now)
{
    struct Fill {
        TaskRef ref;
        TrackedRun* run;
        const StepSpec* spec;
        double allowed { 1 };
    };
    auto capacity = static_cast<double>(std::max<int64_t>(1, worker.view.capacity.cpuMillis));
    std::vector<Fill> fills;
    for (const auto& [ref, number] : worker.runs) {
        auto& job = *findJob(ref.job);
        auto& run = *findRun(*findTask(job, ref), number);
        const auto& spec = job.spec.steps[ref.step];
        if (spec.fills && run.phase != RunPhase::Stopping)
            fills.push_back({ ref, &run, &spec });
    }
    noteOverTarget(worker, now);
    if (fills.empty())
        return;
    bool overForLong = worker.overTargetSince != neverInstant && now - worker.overTargetSince > overTargetLimit;
    for (const auto& [ref, number] : worker.runs) {
        auto& job = *findJob(ref.job);
        const auto& run = *findRun(*findTask(job, ref), number);
        const auto& spec = job.spec.steps[ref.step];
        if (!spec.longRunning || spec.targetLatencyMs == 0 || run.percent < 100)
            continue;
        double pressed = 0;
        for (const auto& fill : fills)
            pressed += m_pressure.pressure(fill.spec->image, spec.image)
                * static_cast<double>(fill.spec->size.cpuMillis) / capacity;
        bool overTarget = run.recentFigure >= spec.targetLatencyMs;
        if (pressed < negligiblePressure && !overTarget)
            continue;
        double share = pressed > 0 ? std::clamp(servingMargin(run, spec) / pressed, 0.0, 1.0) : 1;
        if (overTarget)
            share = std::min(share, overTargetPace);
        for (auto& fill : fills) {
            double part = m_pressure.pressure(fill.spec->image, spec.image)
                * static_cast<double>(fill.spec->size.cpuMillis) / capacity;
            if (part >= negligiblePressure || pressed < negligiblePressure)
                fill.allowed = std::min(fill.allowed, share);
        }
    }
    // The pressures that are known do not explain the tail, so that everything that fills here has to wait.
    for (auto& fill : fills)
        setPace(worker, fill.ref, *fill.run, overForLong ? 0 : static_cast<uint32_t>(fill.allowed * 100), now);
}

}
