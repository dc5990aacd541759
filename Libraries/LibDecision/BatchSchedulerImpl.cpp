#include <LibDecision/BatchSchedulerImpl.h>
#include <LibDecision/FairShare.h>
#include <algorithm>
#include <cmath>
#include <fmt/format.h>

namespace Bergamot {

// Number of simultaneous losses above which restarts are rate-limited. It exceeds the number of tasks that an
// ordinary host failure loses.
static constexpr size_t massLossThreshold = 40;
static constexpr Milliseconds minRetryDelay { 1'000 };
static constexpr Milliseconds maxRetryDelay { 60'000 };
static constexpr Milliseconds refusalBackoff { 2'000 };
// Bounds the total failures of a job as a multiple of its maximum attempts. The total includes repeated failures on
// the same workers with successes of other jobs in between.
static constexpr uint32_t totalFailureFactor = 3;
static constexpr uint32_t maxAttemptsLimit = 100;
static constexpr double usageSmoothing = 0.05;
static constexpr double maxRatio = 1e6;
static constexpr double busyCpuShare = 0.92;

BatchScheduler::Impl::Impl(const SchedulerOptions& options, std::unique_ptr<SlowdownEstimator> estimator)
    : m_options(options)
    , m_estimator(std::move(estimator))
    , m_zonePolicy(options.refillsGradually, options.ordersZoneEvictions)
    , m_placement(m_state, *m_estimator, m_zonePolicy, m_options)
    , m_reservationPlanner(m_state, m_runTimes, m_placement)
    , m_evictionPolicy(m_options, *m_estimator)
    , m_restartLimiter(options.maxRestartsPerSecond, massLossThreshold)
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

void BatchScheduler::Impl::updateCapacity()
{
    m_state.totalCapacity = {};
    std::vector<size_t> perZone(m_state.zones.size());
    for (const auto& worker : m_state.workers) {
        if (!worker.isPresent)
            continue;
        m_state.totalCapacity = m_state.totalCapacity + worker.view.capacity;
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
        return absl::FailedPreconditionError(
            fmt::format("worker '{}' can't change its zone while it runs tasks", view.id));
    if (added) {
        auto freeSlot = std::ranges::find(m_state.workers, false, &SchedulerWorkerRecord::isPresent);
        index = static_cast<WorkerIndex>(freeSlot - m_state.workers.begin());
        if (freeSlot == m_state.workers.end())
            m_state.workers.emplace_back();
        m_state.workerIds.insert(view.id, index);
    }
    auto& worker = m_state.workers[index];
    if (added)
        worker = {};
    worker.view = view;
    worker.isPresent = true;
    worker.zone = m_state.internZone(view.zone);
    worker.rack = m_state.internRack(view.zone, view.rack);
    updateCapacity();
    if (view.state != WorkerState::Live)
        queueMigrations(index);
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
            fmt::format("worker '{}' still has {} committed attempts", id, worker.tasks.size()));
    while (!worker.reservations.empty())
        m_state.removeReservation(worker.reservations.back().job);
    // The slot can be reused, so no job may refer to it after this.
    for (auto& job : m_state.jobs)
        std::erase(job.failedWorkers, *index);
    m_quarantinePolicy.forgetWorker(*index);
    m_state.workerIds.erase(id);
    worker = {};
    updateCapacity();
    return absl::OkStatus();
}

void BatchScheduler::Impl::queueMigrations(WorkerIndex index)
{
    std::vector<JobIndex> tasks;
    for (auto task : m_state.workers[index].tasks) {
        if (m_state.jobs[task].state == SchedulerJobState::Placed && !m_state.jobs[task].pendingEviction)
            tasks.push_back(task);
    }
    m_migrations.insert(m_migrations.end(), tasks.begin(), tasks.end());
    m_zonePolicy.sortForEviction(m_state, m_migrations, m_now);
}

absl::Status BatchScheduler::Impl::setZoneOut(const ZoneId& id, bool out)
{
    if (id.empty())
        return absl::InvalidArgumentError("a zone needs an id");
    auto zone = m_state.internZone(id);
    if (m_state.zones[zone].isOut == out)
        return absl::FailedPreconditionError(fmt::format("zone '{}' is already {}", id, out ? "out" : "in service"));
    m_state.zones[zone].isOut = out;
    m_state.zones[zone].changedAt = m_now;
    m_zonePolicy.zoneChanged(zone, out, m_now);
    for (WorkerIndex index = 0; out && index < m_state.workers.size(); ++index) {
        auto& worker = m_state.workers[index];
        if (!worker.isPresent || worker.zone != zone)
            continue;
        while (!worker.reservations.empty())
            m_state.removeReservation(worker.reservations.back().job);
        queueMigrations(index);
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
    bool isRedefined = known != noIndex && m_state.kinds[known].isDefined;
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
    m_state.kinds[index].isDefined = true;
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
        return absl::AlreadyExistsError(fmt::format("job '{}' already exists", view.id));
    auto kind = m_state.kindIds.find(view.kind);
    if (kind == noIndex || !m_state.kinds[kind].isDefined)
        return absl::NotFoundError(fmt::format("job '{}' has unknown kind '{}'", view.id, view.kind));
    auto team = m_state.teamIds.find(view.team);
    if (team == noIndex)
        return absl::NotFoundError(fmt::format("job '{}' has unknown team '{}'", view.id, view.team));
    if (m_state.kinds[kind].view.isService != view.isService)
        return absl::InvalidArgumentError(
            fmt::format("job '{}' and kind '{}' disagree on whether the job is a service", view.id, view.kind));
    JobRecord job { .view = { .id = view.id,
                        .size = view.size,
                        .runMs = view.runMs,
                        .deadline = view.deadline,
                        .priority = view.priority,
                        .urgent = view.urgent,
                        .isService = view.isService },
        .state = SchedulerJobState::Pending };
    job.kind = static_cast<KindIndex>(kind);
    job.team = static_cast<TeamIndex>(team);
    job.crashes = view.crashes;
    job.crashesAlone = view.crashesAlone;
    job.submittedAt = m_now;
    m_state.recordAcceleratorJob(view.size);
    auto index = m_state.addJob(std::move(job));
    enqueue(index);
    if (view.crashes > 0)
        m_submittedWithCrashes.push_back(index);
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
    return run * (1000 - job.checkpointedMilli) / 1000;
}

void BatchScheduler::Impl::enqueue(JobIndex index)
{
    auto& job = m_state.jobs[index];
    job.queueKey = BatchQueue::keyOf(job.submittedAt, job.view.priority + m_state.kinds[job.kind].view.priority);
    if (job.view.deadline && !job.view.isService) {
        // Promotes a job with a deadline once its latest start is less than half its run time, or one minute if that is
        // longer, away.
        auto run = runEstimate(job);
        auto latestStart = *job.view.deadline - run;
        auto promoteAt = latestStart - std::max(run / 2, Milliseconds { 60'000 });
        if (promoteAt <= m_now)
            job.queueKey = std::min(job.queueKey, BatchQueue::promotedKey(latestStart));
        else
            m_queue.addTimer(promoteAt, index);
    }
    m_queue.insert(laneOf(job), { job.queueKey, index });
    job.isQueued = true;
}

void BatchScheduler::Impl::dequeue(JobIndex index)
{
    auto& job = m_state.jobs[index];
    if (!job.isQueued)
        return;
    m_queue.erase(laneOf(job), { job.queueKey, index });
    job.isQueued = false;
}

void BatchScheduler::Impl::requeue(JobIndex index, Instant retryAt)
{
    auto& job = m_state.jobs[index];
    job.state = SchedulerJobState::Pending;
    job.retryAt = retryAt;
    if (retryAt <= m_now)
        enqueue(index);
    else
        m_queue.addTimer(retryAt, index);
}

void BatchScheduler::Impl::removeJob(JobIndex index)
{
    dequeue(index);
    std::erase(m_reservedJobs, index);
    if (m_state.jobs[index].failures > 0)
        m_quarantinePolicy.removeFailuresOfJob(index);
    m_state.removeJob(index);
}

absl::Status BatchScheduler::Impl::cancelJob(const JobId& id)
{
    auto index = findJob(id);
    if (!index.ok())
        return index.status();
    auto& job = m_state.jobs[*index];
    if (job.isCancelled)
        return absl::FailedPreconditionError(fmt::format("job '{}' is already cancelled", id));
    if (!job.isCommitted()) {
        removeJob(*index);
        return absl::OkStatus();
    }
    job.isCancelled = true;
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
    removeJob(*index);
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
    // Any attempt number is accepted for a job without a known attempt, because earlier attempts under an earlier
    // leader are unknown to this scheduler.
    if (attempt == 0 || (job.attempt != 0 && attempt != job.attempt + 1))
        return absl::FailedPreconditionError(fmt::format("attempt {} of job '{}' is out of order", attempt, id));
    if (job.state == SchedulerJobState::Decided) {
        if (job.worker != *worker)
            return absl::FailedPreconditionError(
                fmt::format("the placement of job '{}' was decided for another worker", id));
    } else {
        if (job.state != SchedulerJobState::Pending)
            return absl::FailedPreconditionError(fmt::format("job '{}' is not pending and can't be placed", id));
        const auto& record = m_state.workers[*worker];
        if (!(record.committed + job.view.size).fitsIn(record.view.capacity))
            return absl::FailedPreconditionError(
                fmt::format("job '{}' exceeds the free capacity of worker '{}'", id, workerId));
        dequeue(*index);
        m_state.commit(*index, *worker, m_now);
    }
    job.state = SchedulerJobState::Placed;
    job.attempt = attempt;
    job.placedAt = m_now;
    if (job.isCancelled)
        m_cancelled.push_back(*index);
    else if (!m_state.isAvailable(m_state.workers[*worker]) && !m_state.workers[*worker].quarantined)
        m_migrations.push_back(*index);
    return absl::OkStatus();
}

absl::Status BatchScheduler::Impl::placementDropped(const JobId& id)
{
    auto index = findJob(id);
    if (!index.ok())
        return index.status();
    auto& job = m_state.jobs[*index];
    if (job.state != SchedulerJobState::Decided)
        return absl::FailedPreconditionError(fmt::format("job '{}' has no unconfirmed placement decision", id));
    m_state.release(*index, m_now);
    job.state = SchedulerJobState::Pending;
    if (job.isCancelled)
        removeJob(*index);
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
    if (job.state != SchedulerJobState::Placed || job.attempt != attempt)
        return absl::FailedPreconditionError(fmt::format("attempt {} of job '{}' is not running", attempt, id));
    job.state = SchedulerJobState::Revoking;
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
    bool isRunning = job.state == SchedulerJobState::Placed || job.state == SchedulerJobState::Revoking;
    if (!isRunning || job.attempt != attempt || job.worker != *worker)
        return absl::FailedPreconditionError(
            fmt::format("attempt {} of job '{}' does not run on worker '{}'", attempt, id, workerId));
    auto pendingEviction = job.pendingEviction;
    m_state.release(*index, m_now);
    job.state = SchedulerJobState::Pending;
    if (pendingEviction && outcome == AttemptOutcome::Evicted) {
        job.lastEvictReason = pendingEviction;
        job.lastEvictAt = m_now;
    }
    recordOutcome(*index, *worker, outcome);
    return absl::OkStatus();
}

void BatchScheduler::Impl::recordOutcome(JobIndex index, WorkerIndex worker, AttemptOutcome outcome)
{
    auto& job = m_state.jobs[index];
    if (outcome == AttemptOutcome::Completed) {
        // Only complete runs at full speed are samples of the run time.
        if (job.checkpointedMilli == 0 && !job.view.isService && job.speedPercent == 100)
            m_runTimes.recordRun(job.kind, job.view.runMs, (m_now - job.placedAt).count());
        m_quarantinePolicy.recordSuccess(worker, job.kind);
        m_state.workers[worker].isOnProbation = false;
    }
    if (outcome == AttemptOutcome::Completed || job.isCancelled) {
        removeJob(index);
        return;
    }
    job.checkpointedMilli = outcome == AttemptOutcome::Evicted ? std::max(job.checkpointedMilli, job.progressPerMille)
                                                               : job.checkpointedMilli;
    job.progressPerMille = job.checkpointedMilli;
    switch (outcome) {
    case AttemptOutcome::Failed:
        recordFailure(index, worker);
        return;
    case AttemptOutcome::Crashed:
    case AttemptOutcome::CrashedInCompany:
        ++job.crashes;
        job.crashesAlone += outcome == AttemptOutcome::Crashed ? 1 : 0;
        if (giveUpAfterCrashes(index))
            return;
        [[fallthrough]];
    case AttemptOutcome::Lost:
        m_restartLimiter.recordLoss(m_now);
        job.isRecovering = true;
        break;
    case AttemptOutcome::Refused:
        m_state.workers[worker].backoffUntil = m_now + refusalBackoff;
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
        if (worker.isPresent && job.view.size.fitsIn(worker.view.capacity)
            && std::ranges::find(job.failedWorkers, index) == job.failedWorkers.end())
            return true;
    }
    return false;
}

void BatchScheduler::Impl::recordFailure(JobIndex index, WorkerIndex worker)
{
    auto& job = m_state.jobs[index];
    ++job.failures;
    if (std::ranges::find(job.failedWorkers, worker) == job.failedWorkers.end())
        job.failedWorkers.push_back(worker);
    if (m_options.quarantines) {
        auto assessment = m_quarantinePolicy.recordFailure(worker, job.kind, index, m_now);
        for (auto excused : assessment.excusedJobs) {
            auto& other = m_state.jobs[excused];
            if (std::erase(other.failedWorkers, worker) > 0 && other.failures > 0)
                --other.failures;
        }
        if (assessment.quarantine) {
            m_state.workers[worker].quarantined = true;
            m_state.workers[worker].isOnProbation = false;
            m_pendingDecisions.emplace_back(QuarantineWorker { m_state.workers[worker].view.id, true });
        }
    }
    auto maxAttempts = m_state.kinds[job.kind].view.maxAttempts;
    // Workers may be added later, so a job that has failed on all known workers is given up only when its attempts
    // are used up as well.
    bool triedEverywhere = job.failures >= maxAttempts && !hasUntriedWorker(job);
    if (job.failedWorkers.size() >= maxAttempts || job.failures >= maxAttempts * totalFailureFactor
        || triedEverywhere) {
        std::string names;
        for (auto failed : job.failedWorkers)
            names += (names.empty() ? "" : ", ") + m_state.workers[failed].view.id;
        markFailed(index,
            fmt::format("failed {} times, on {} distinct workers ({})", job.failures, job.failedWorkers.size(), names));
        return;
    }
    // Once a job has failed on two workers, its failures are no longer counted against any worker.
    if (job.failedWorkers.size() >= 2)
        m_quarantinePolicy.removeFailuresOfJob(index);
    auto delay = minRetryDelay * (int64_t { 1 } << std::min(job.failures - 1, 10u));
    requeue(index, m_now + std::min<Milliseconds>(delay, maxRetryDelay));
}

void BatchScheduler::Impl::markFailed(JobIndex index, std::string reason)
{
    auto& job = m_state.jobs[index];
    m_quarantinePolicy.removeFailuresOfJob(index);
    m_state.removeReservation(index);
    job.state = SchedulerJobState::Failed;
    job.failureReason = std::move(reason);
    job.lastDecisionAt = m_now - m_options.decisionRetryInterval;
    m_failed.push_back(index);
}

absl::Status BatchScheduler::Impl::reportUsage(const WorkerId& id, const std::vector<UsageSample>& samples)
{
    auto worker = findWorker(id);
    if (!worker.ok())
        return worker.status();
    for (const auto& sample : samples) {
        if (!sample.used.isValid() || sample.progressPerMille < 0 || sample.progressPerMille > 1000)
            return absl::InvalidArgumentError(fmt::format("usage of job '{}' is out of range", sample.job));
    }
    for (const auto& sample : samples) {
        auto index = m_state.jobIds.find(sample.job);
        if (index == noIndex)
            continue;
        auto& job = m_state.jobs[index];
        if (job.worker != *worker || job.attempt != sample.attempt || job.state == SchedulerJobState::Decided)
            continue;
        job.progressPerMille = std::max(job.progressPerMille, static_cast<int32_t>(sample.progressPerMille));
        bool exceedsDeclaration = m_evictionPolicy.observeUsage(job, sample);
        if (!m_options.learnsUse && !m_options.watchesUse)
            continue;
        m_state.workers[*worker].hasOveruse |= exceedsDeclaration;
        m_state.setExpectedCpu(job, static_cast<double>(sample.used.cpuMillis));
        if (job.speedPercent == 100 && job.view.size.cpuMillis > 0 && m_options.learnsUse) {
            auto& kind = m_state.kinds[job.kind];
            double ratio = static_cast<double>(sample.used.cpuMillis) / static_cast<double>(job.view.size.cpuMillis);
            kind.cpuUseRatio += usageSmoothing * (std::clamp(ratio, 0.05, 10.0) - kind.cpuUseRatio);
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
    if (kind == noIndex || !m_state.kinds[kind].isDefined)
        return absl::NotFoundError(fmt::format("unknown service kind '{}'", serviceKind));
    if (!m_state.kinds[kind].view.isService)
        return absl::InvalidArgumentError(fmt::format("kind '{}' is not a service", serviceKind));
    if (!(load >= 0 && load <= 10) || !(ratio >= 0 && ratio <= maxRatio))
        return absl::InvalidArgumentError(fmt::format("load or latency of '{}' is out of range", serviceKind));
    auto& record = m_state.workers[*worker];
    auto stats = std::ranges::find(record.services, static_cast<KindIndex>(kind), &ServiceStats::kind);
    if (stats == record.services.end())
        return absl::FailedPreconditionError(fmt::format("no task of '{}' on worker '{}'", serviceKind, id));
    m_evictionPolicy.observeLatency(*stats, load, ratio);
    // On a host short of processors, the wait for processors hides the effect of the neighbours.
    bool isBusy = record.expectedCpuMillis > busyCpuShare * static_cast<double>(record.view.capacity.cpuMillis);
    if (isBusy && m_options.learnsUse)
        return absl::OkStatus();
    if (const auto* neighbours = SchedulerState::neighboursAt(record, m_now - m_options.reportLag))
        m_estimator->observe(stats->kind, *neighbours, load, ratio, m_now);
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
        + (m_cancelled.size() + m_migrations.capacity() + m_pendingEvictions.capacity()) * sizeof(JobIndex);
}

}
