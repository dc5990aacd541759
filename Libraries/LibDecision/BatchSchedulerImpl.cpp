#include <LibDecision/BatchSchedulerImpl.h>
#include <LibDecision/FairShare.h>
#include <algorithm>
#include <cmath>
#include <fmt/format.h>

namespace Bergamot {

// Losses at once beyond which restarts are paced: more than the tasks of one ordinary host failure.
static constexpr size_t pacedLosses = 40;
static constexpr Milliseconds firstRetry { 1'000 };
static constexpr Milliseconds maxRetry { 60'000 };
static constexpr Milliseconds refusalPause { 2'000 };
// Failures on the same workers, with successes of other jobs between, are bounded by this multiple of the attempts.
static constexpr uint32_t totalFailureFactor = 3;
static constexpr uint32_t maxAttemptsLimit = 100;
static constexpr double useSmoothing = 0.05;
static constexpr double maxRatio = 1e6;
static constexpr double busyShare = 0.92;

BatchScheduler::Impl::Impl(const SchedulerOptions& options, std::unique_ptr<SlowdownEstimator> estimator)
    : m_options(options)
    , m_estimator(std::move(estimator))
    , m_zonePolicy(options.refillsGradually, options.ordersZoneEvictions)
    , m_placement(m_state, *m_estimator, m_zonePolicy, m_options)
    , m_roomPlanner(m_state, m_runTimes, m_placement)
    , m_evictionPolicy(m_options, *m_estimator)
    , m_pacer(options.recoveryRate, pacedLosses)
    , m_random(options.seed)
{
}

absl::StatusOr<JobIndex> BatchScheduler::Impl::findJob(const JobId& id) const
{
    auto index = m_state.jobIds.find(id);
    if (index == noIndex)
        return absl::NotFoundError(fmt::format("unknown job '{}'", id));
    return index;
}

absl::StatusOr<WorkerIndex> BatchScheduler::Impl::findWorker(const WorkerId& id) const
{
    auto index = m_state.workerIds.find(id);
    if (index == noIndex)
        return absl::NotFoundError(fmt::format("unknown worker '{}'", id));
    return index;
}

void BatchScheduler::Impl::countCapacity()
{
    m_state.total = {};
    std::vector<size_t> perZone(m_state.zones.size());
    for (const auto& worker : m_state.workers) {
        if (!worker.present)
            continue;
        m_state.total = m_state.total + worker.view.capacity;
        ++perZone[worker.zone];
    }
    m_placement.setWorkersPerZone(std::move(perZone));
}

absl::Status BatchScheduler::Impl::upsertWorker(const WorkerView& view)
{
    if (view.id.empty() || view.zone.empty())
        return absl::InvalidArgumentError("a worker needs an id and a zone");
    if (!view.capacity.isValid())
        return absl::InvalidArgumentError(fmt::format("capacity of worker '{}' is out of range", view.id));
    auto index = m_state.workerIds.find(view.id);
    bool added = index == noIndex;
    if (!added && m_state.workers[index].view == view)
        return absl::OkStatus();
    if (!added && !m_state.workers[index].tasks.empty() && m_state.workers[index].view.zone != view.zone)
        return absl::FailedPreconditionError(fmt::format("worker '{}' changes its zone while it runs tasks", view.id));
    if (added) {
        auto freeSlot = std::ranges::find(m_state.workers, false, &WorkerRecord::present);
        index = static_cast<WorkerIndex>(freeSlot - m_state.workers.begin());
        if (freeSlot == m_state.workers.end())
            m_state.workers.emplace_back();
        m_state.workerIds.insert(view.id, index);
    }
    auto& worker = m_state.workers[index];
    if (added)
        worker = {};
    worker.view = view;
    worker.present = true;
    worker.zone = m_state.internZone(view.zone);
    worker.rack = m_state.internRack(view.zone, view.rack);
    countCapacity();
    if (view.state != WorkerState::Live)
        queueMoves(index);
    return absl::OkStatus();
}

absl::Status BatchScheduler::Impl::removeWorker(const WorkerId& id)
{
    auto index = findWorker(id);
    if (!index.ok())
        return index.status();
    auto& worker = m_state.workers[*index];
    if (!worker.tasks.empty())
        return absl::FailedPreconditionError(
            fmt::format("worker '{}' still holds {} commitments", id, worker.tasks.size()));
    while (!worker.holds.empty())
        m_state.dropHold(worker.holds.back().job);
    // The slot can be used again, so nothing may refer to it any more.
    for (auto& job : m_state.jobs)
        std::erase(job.failedOn, *index);
    m_judge.forgetWorker(*index);
    m_state.workerIds.erase(id);
    worker = {};
    countCapacity();
    return absl::OkStatus();
}

void BatchScheduler::Impl::queueMoves(WorkerIndex index)
{
    std::vector<JobIndex> tasks;
    for (auto task : m_state.workers[index].tasks) {
        if (m_state.jobs[task].state == JobState::Placed && !m_state.jobs[task].evicting)
            tasks.push_back(task);
    }
    m_moves.insert(m_moves.end(), tasks.begin(), tasks.end());
    m_zonePolicy.sortForEviction(m_state, m_moves, m_now);
}

absl::Status BatchScheduler::Impl::setZoneOut(const ZoneId& id, bool out)
{
    if (id.empty())
        return absl::InvalidArgumentError("a zone needs an id");
    auto zone = m_state.internZone(id);
    if (m_state.zones[zone].out == out)
        return absl::FailedPreconditionError(fmt::format("zone '{}' is {} already", id, out ? "out" : "in service"));
    m_state.zones[zone].out = out;
    m_state.zones[zone].changedAt = m_now;
    m_zonePolicy.zoneChanged(zone, out, m_now);
    for (WorkerIndex index = 0; out && index < m_state.workers.size(); ++index) {
        auto& worker = m_state.workers[index];
        if (!worker.present || worker.zone != zone)
            continue;
        while (!worker.holds.empty())
            m_state.dropHold(worker.holds.back().job);
        queueMoves(index);
    }
    return absl::OkStatus();
}

absl::Status BatchScheduler::Impl::defineKind(const KindView& view)
{
    if (view.name.empty())
        return absl::InvalidArgumentError("a kind needs a name");
    if (view.maxAttempts == 0 || view.maxAttempts > maxAttemptsLimit || view.latencyTargetMs < 0)
        return absl::InvalidArgumentError(
            fmt::format("attempts or latency target of kind '{}' out of range", view.name));
    auto known = m_state.kindIds.find(view.name);
    bool isRedefined = known != noIndex && m_state.kinds[known].defined;
    if (isRedefined && m_state.kinds[known].view.isService != view.isService)
        return absl::FailedPreconditionError(
            fmt::format("kind '{}' can't change between service and batch", view.name));
    if (known == noIndex && m_state.kinds.size() + view.yieldsTo.size() >= std::numeric_limits<KindIndex>::max())
        return absl::ResourceExhaustedError("too many kinds");
    auto index = m_state.internKind(view.name);
    std::vector<KindIndex> yieldsTo;
    for (const auto& name : view.yieldsTo)
        yieldsTo.push_back(m_state.internKind(name));
    m_state.kinds[index].view = view;
    m_state.kinds[index].yieldsTo = std::move(yieldsTo);
    m_state.kinds[index].defined = true;
    if (view.isService)
        m_estimator->declareService(index);
    return absl::OkStatus();
}

absl::Status BatchScheduler::Impl::defineTeam(const TeamView& view)
{
    if (view.name.empty())
        return absl::InvalidArgumentError("a team needs a name");
    if (!(view.weight > 0) || !std::isfinite(view.weight) || !view.quota.isValid())
        return absl::InvalidArgumentError(fmt::format("weight or quota of team '{}' is out of range", view.name));
    auto index = m_state.teamIds.find(view.name);
    if (index == noIndex) {
        if (m_state.teams.size() >= std::numeric_limits<TeamIndex>::max())
            return absl::ResourceExhaustedError("too many teams");
        m_state.teamIds.insert(view.name, static_cast<uint32_t>(m_state.teams.size()));
        m_state.teams.push_back({ .view = view });
        return absl::OkStatus();
    }
    m_state.teams[index].view = view;
    return absl::OkStatus();
}

absl::Status BatchScheduler::Impl::submitJob(const JobView& view)
{
    constexpr int64_t maxRunMs = int64_t { 366 } * 24 * 3600 * 1000;
    if (view.id.empty() || !view.size.isValid() || view.size == Resources {} || view.runMs < 0 || view.runMs > maxRunMs)
        return absl::InvalidArgumentError(fmt::format("id, size or run time of job '{}' is out of range", view.id));
    if (m_state.jobIds.find(view.id) != noIndex)
        return absl::AlreadyExistsError(fmt::format("job '{}' is known already", view.id));
    auto kind = m_state.kindIds.find(view.kind);
    if (kind == noIndex || !m_state.kinds[kind].defined)
        return absl::NotFoundError(fmt::format("job '{}' has unknown kind '{}'", view.id, view.kind));
    auto team = m_state.teamIds.find(view.team);
    if (team == noIndex)
        return absl::NotFoundError(fmt::format("job '{}' has unknown team '{}'", view.id, view.team));
    if (m_state.kinds[kind].view.isService != view.isService)
        return absl::InvalidArgumentError(
            fmt::format("job '{}' and kind '{}' differ in being a service", view.id, view.kind));
    JobRecord job { .view = { .id = view.id,
                        .size = view.size,
                        .runMs = view.runMs,
                        .deadline = view.deadline,
                        .priority = view.priority,
                        .urgent = view.urgent,
                        .isService = view.isService },
        .state = JobState::Pending };
    job.kind = static_cast<KindIndex>(kind);
    job.team = static_cast<TeamIndex>(team);
    job.submittedAt = m_now;
    m_state.noteAcceleratorJob(view.size);
    auto index = m_state.addJob(std::move(job));
    enqueue(index);
    return absl::OkStatus();
}

size_t BatchScheduler::Impl::laneOf(const JobRecord& job) const
{
    if (job.view.isService)
        return BatchQueue::serviceLane;
    return job.view.urgent ? BatchQueue::urgentLane : BatchQueue::laneOfTeam(job.team, job.view.size.accelerators > 0);
}

Milliseconds BatchScheduler::Impl::runEstimate(const JobRecord& job) const
{
    if (job.view.isService)
        return Milliseconds::max() / 4;
    auto run = m_options.learnsRunTimes ? m_runTimes.estimate(job.kind, job.view.runMs)
                                        : RunTimeEstimator {}.estimate(job.kind, job.view.runMs);
    return run * (1000 - job.savedMilli) / 1000;
}

void BatchScheduler::Impl::enqueue(JobIndex index)
{
    auto& job = m_state.jobs[index];
    job.queueKey = BatchQueue::keyOf(job.submittedAt, job.view.priority + m_state.kinds[job.kind].view.priority);
    if (job.view.deadline && !job.view.isService) {
        // Jobs with a deadline come first once their latest start is less than half a run time away.
        auto run = runEstimate(job);
        auto latestStart = *job.view.deadline - run;
        auto promoteAt = latestStart - std::max(run / 2, Milliseconds { 60'000 });
        if (promoteAt <= m_now)
            job.queueKey = std::min(job.queueKey, BatchQueue::promotedKey(latestStart));
        else
            m_queue.addTimer(promoteAt, index);
    }
    m_queue.insert(laneOf(job), { job.queueKey, index });
    job.queued = true;
}

void BatchScheduler::Impl::dequeue(JobIndex index)
{
    auto& job = m_state.jobs[index];
    if (!job.queued)
        return;
    m_queue.erase(laneOf(job), { job.queueKey, index });
    job.queued = false;
}

void BatchScheduler::Impl::requeue(JobIndex index, Instant retryAt)
{
    auto& job = m_state.jobs[index];
    job.state = JobState::Pending;
    job.retryAt = retryAt;
    if (retryAt <= m_now)
        enqueue(index);
    else
        m_queue.addTimer(retryAt, index);
}

void BatchScheduler::Impl::forget(JobIndex index)
{
    dequeue(index);
    std::erase(m_held, index);
    if (m_state.jobs[index].failures > 0)
        m_judge.clearBlame(index);
    m_state.removeJob(index);
}

absl::Status BatchScheduler::Impl::cancelJob(const JobId& id)
{
    auto index = findJob(id);
    if (!index.ok())
        return index.status();
    auto& job = m_state.jobs[*index];
    if (job.cancelled)
        return absl::FailedPreconditionError(fmt::format("job '{}' is cancelled already", id));
    if (!job.isCommitted()) {
        forget(*index);
        return absl::OkStatus();
    }
    job.cancelled = true;
    m_cancelled.push_back(*index);
    return absl::OkStatus();
}

absl::Status BatchScheduler::Impl::jobEnded(const JobId& id)
{
    auto index = findJob(id);
    if (!index.ok())
        return index.status();
    if (m_state.jobs[*index].isCommitted())
        return absl::FailedPreconditionError(fmt::format("job '{}' still has an attempt", id));
    forget(*index);
    return absl::OkStatus();
}

absl::Status BatchScheduler::Impl::taskPlaced(const JobId& id, uint32_t attempt, const WorkerId& workerId)
{
    auto index = findJob(id);
    if (!index.ok())
        return index.status();
    auto worker = findWorker(workerId);
    if (!worker.ok())
        return worker.status();
    auto& job = m_state.jobs[*index];
    // A job that an earlier leader has run before has a history that this scheduler does not know.
    if (attempt == 0 || (job.attempt != 0 && attempt != job.attempt + 1))
        return absl::FailedPreconditionError(fmt::format("attempt {} of job '{}' is out of order", attempt, id));
    if (job.state == JobState::Decided) {
        if (job.worker != *worker)
            return absl::FailedPreconditionError(fmt::format("job '{}' was decided for another worker", id));
    } else {
        if (job.state != JobState::Pending)
            return absl::FailedPreconditionError(fmt::format("job '{}' can't be placed in its state", id));
        const auto& record = m_state.workers[*worker];
        if (!(record.committed + job.view.size).fitsIn(record.view.capacity))
            return absl::FailedPreconditionError(fmt::format("job '{}' exceeds worker '{}'", id, workerId));
        dequeue(*index);
        m_state.commit(*index, *worker, m_now);
    }
    job.state = JobState::Placed;
    job.attempt = attempt;
    job.placedAt = m_now;
    if (job.cancelled)
        m_cancelled.push_back(*index);
    else if (!m_state.isAvailable(m_state.workers[*worker]) && !m_state.workers[*worker].quarantined)
        m_moves.push_back(*index);
    return absl::OkStatus();
}

absl::Status BatchScheduler::Impl::placementDropped(const JobId& id)
{
    auto index = findJob(id);
    if (!index.ok())
        return index.status();
    auto& job = m_state.jobs[*index];
    if (job.state != JobState::Decided)
        return absl::FailedPreconditionError(fmt::format("job '{}' has no open decision", id));
    m_state.release(*index, m_now);
    job.state = JobState::Pending;
    if (job.cancelled)
        forget(*index);
    else
        requeue(*index, m_now);
    return absl::OkStatus();
}

absl::Status BatchScheduler::Impl::taskRevoking(const JobId& id, uint32_t attempt)
{
    auto index = findJob(id);
    if (!index.ok())
        return index.status();
    auto& job = m_state.jobs[*index];
    if (job.state != JobState::Placed || job.attempt != attempt)
        return absl::FailedPreconditionError(fmt::format("attempt {} of job '{}' is not running", attempt, id));
    job.state = JobState::Revoking;
    return absl::OkStatus();
}

absl::Status BatchScheduler::Impl::taskEnded(
    const JobId& id, uint32_t attempt, AttemptOutcome outcome, const WorkerId& workerId)
{
    auto index = findJob(id);
    if (!index.ok())
        return index.status();
    auto worker = findWorker(workerId);
    if (!worker.ok())
        return worker.status();
    auto& job = m_state.jobs[*index];
    bool isRunning = job.state == JobState::Placed || job.state == JobState::Revoking;
    if (!isRunning || job.attempt != attempt || job.worker != *worker)
        return absl::FailedPreconditionError(
            fmt::format("attempt {} of job '{}' does not run on worker '{}'", attempt, id, workerId));
    auto evicting = job.evicting;
    m_state.release(*index, m_now);
    job.state = JobState::Pending;
    if (evicting && outcome == AttemptOutcome::Evicted) {
        job.lastEvictReason = evicting;
        job.lastEvictAt = m_now;
    }
    recordOutcome(*index, *worker, outcome);
    return absl::OkStatus();
}

void BatchScheduler::Impl::recordOutcome(JobIndex index, WorkerIndex worker, AttemptOutcome outcome)
{
    auto& job = m_state.jobs[index];
    if (outcome == AttemptOutcome::Completed) {
        // Only whole runs at full speed tell the run time.
        if (job.savedMilli == 0 && !job.view.isService && job.throttlePercent == 100)
            m_runTimes.recordRun(job.kind, job.view.runMs, (m_now - job.placedAt).count());
        m_judge.recordSuccess(worker, job.kind);
        m_state.workers[worker].probation = false;
    }
    if (outcome == AttemptOutcome::Completed || job.cancelled) {
        forget(index);
        return;
    }
    job.savedMilli = outcome == AttemptOutcome::Evicted ? std::max(job.savedMilli, job.progressMilli) : job.savedMilli;
    job.progressMilli = job.savedMilli;
    switch (outcome) {
    case AttemptOutcome::Failed:
        recordFailure(index, worker);
        return;
    case AttemptOutcome::Lost:
        m_pacer.recordLoss(m_now);
        job.recovering = true;
        break;
    case AttemptOutcome::Refused:
        m_state.workers[worker].coolUntil = m_now + refusalPause;
        break;
    default:
        break;
    }
    requeue(index, m_now);
}

bool BatchScheduler::Impl::hasUntriedWorker(const JobRecord& job) const
{
    for (WorkerIndex index = 0; index < m_state.workers.size(); ++index) {
        const auto& worker = m_state.workers[index];
        if (worker.present && job.view.size.fitsIn(worker.view.capacity)
            && std::ranges::find(job.failedOn, index) == job.failedOn.end())
            return true;
    }
    return false;
}

void BatchScheduler::Impl::recordFailure(JobIndex index, WorkerIndex worker)
{
    auto& job = m_state.jobs[index];
    ++job.failures;
    if (std::ranges::find(job.failedOn, worker) == job.failedOn.end())
        job.failedOn.push_back(worker);
    if (m_options.quarantines) {
        auto verdict = m_judge.recordFailure(worker, job.kind, index, m_now);
        for (auto refunded : verdict.refunded) {
            auto& other = m_state.jobs[refunded];
            if (std::erase(other.failedOn, worker) > 0 && other.failures > 0)
                --other.failures;
        }
        if (verdict.quarantine) {
            m_state.workers[worker].quarantined = true;
            m_state.workers[worker].probation = false;
            m_pendingDecisions.emplace_back(QuarantineWorker { m_state.workers[worker].view.id, true });
        }
    }
    auto maxAttempts = m_state.kinds[job.kind].view.maxAttempts;
    // Workers that are not listed yet may still be tried, so attempts have to be used up as well.
    bool triedEverywhere = job.failures >= maxAttempts && !hasUntriedWorker(job);
    if (job.failedOn.size() >= maxAttempts || job.failures >= maxAttempts * totalFailureFactor || triedEverywhere) {
        std::string names;
        for (auto failed : job.failedOn)
            names += (names.empty() ? "" : ", ") + m_state.workers[failed].view.id;
        giveUp(index,
            fmt::format("failed {} times, on {} distinct workers ({})", job.failures, job.failedOn.size(), names));
        return;
    }
    // Other workers are not to blame once the job has failed on two of them.
    if (job.failedOn.size() >= 2)
        m_judge.clearBlame(index);
    auto delay = firstRetry * (int64_t { 1 } << std::min(job.failures - 1, 10u));
    requeue(index, m_now + std::min<Milliseconds>(delay, maxRetry));
}

void BatchScheduler::Impl::giveUp(JobIndex index, std::string reason)
{
    auto& job = m_state.jobs[index];
    m_judge.clearBlame(index);
    m_state.dropHold(index);
    job.state = JobState::Failed;
    job.failure = std::move(reason);
    job.evictDecidedAt = m_now - m_options.decisionRetry;
    m_failed.push_back(index);
}

absl::Status BatchScheduler::Impl::reportUsage(const WorkerId& id, const std::vector<UsageSample>& samples)
{
    auto worker = findWorker(id);
    if (!worker.ok())
        return worker.status();
    for (const auto& sample : samples) {
        if (!sample.used.isValid() || sample.progressMilli < 0 || sample.progressMilli > 1000)
            return absl::InvalidArgumentError(fmt::format("usage of job '{}' is out of range", sample.job));
    }
    for (const auto& sample : samples) {
        auto index = m_state.jobIds.find(sample.job);
        if (index == noIndex)
            continue;
        auto& job = m_state.jobs[index];
        if (job.worker != *worker || job.attempt != sample.attempt || job.state == JobState::Decided)
            continue;
        job.progressMilli = std::max(job.progressMilli, static_cast<int32_t>(sample.progressMilli));
        bool isOver = m_evictionPolicy.observeUse(job, sample);
        if (!m_options.learnsUse && !m_options.watchesUse)
            continue;
        m_state.workers[*worker].hasOverUse |= isOver;
        m_state.setExpectedCpu(job, static_cast<double>(sample.used.cpuMillis));
        if (job.throttlePercent == 100 && job.view.size.cpuMillis > 0 && m_options.learnsUse) {
            auto& kind = m_state.kinds[job.kind];
            double ratio = static_cast<double>(sample.used.cpuMillis) / static_cast<double>(job.view.size.cpuMillis);
            kind.cpuUseRatio += useSmoothing * (std::clamp(ratio, 0.05, 10.0) - kind.cpuUseRatio);
        }
    }
    return absl::OkStatus();
}

absl::Status BatchScheduler::Impl::reportLatency(
    const std::string& serviceKind, const WorkerId& id, double load, double ratio)
{
    auto worker = findWorker(id);
    if (!worker.ok())
        return worker.status();
    auto kind = m_state.kindIds.find(serviceKind);
    if (kind == noIndex || !m_state.kinds[kind].defined)
        return absl::NotFoundError(fmt::format("unknown service kind '{}'", serviceKind));
    if (!m_state.kinds[kind].view.isService)
        return absl::InvalidArgumentError(fmt::format("kind '{}' is not a service", serviceKind));
    if (!(load >= 0 && load <= 10) || !(ratio >= 0 && ratio <= maxRatio))
        return absl::InvalidArgumentError(fmt::format("load or latency of '{}' is out of range", serviceKind));
    auto& record = m_state.workers[*worker];
    auto watch = std::ranges::find(record.services, static_cast<KindIndex>(kind), &ServiceWatch::kind);
    if (watch == record.services.end())
        return absl::FailedPreconditionError(fmt::format("no task of '{}' on worker '{}'", serviceKind, id));
    m_evictionPolicy.observeLatency(*watch, load, ratio);
    // Where processors are short, the wait for them hides what the neighbours do.
    bool isBusy = record.expectedCpu > busyShare * static_cast<double>(record.view.capacity.cpuMillis);
    if (isBusy && m_options.learnsUse)
        return absl::OkStatus();
    if (const auto* neighbours = SchedulerState::compositionAt(record, m_now - m_options.reportLag))
        m_estimator->observe(watch->kind, *neighbours, load, ratio, m_now);
    return absl::OkStatus();
}

absl::StatusOr<KindIndex> BatchScheduler::Impl::kindIndex(const std::string& name) const
{
    auto index = m_state.kindIds.find(name);
    if (index == noIndex)
        return absl::NotFoundError(fmt::format("unknown kind '{}'", name));
    return static_cast<KindIndex>(index);
}

size_t BatchScheduler::Impl::stateBytes() const
{
    return m_state.stateBytes() + m_queue.stateBytes() + m_estimator->stateBytes()
        + (m_cancelled.size() + m_moves.capacity() + m_evicting.capacity()) * sizeof(JobIndex);
}

}
