#include <LibDecision/BatchSchedulerImpl.h>
#include <LibDecision/FairShare.h>
#include <algorithm>
#include <fmt/format.h>

namespace Bergamot {

// Interval at which services are checked for interference; reports arrive every 1 to 10 s.
static constexpr Milliseconds evictionPlanPeriod { 1'000 };
// Placement attempts per tick that find no worker. Bounds the duration of a tick with a long queue.
static constexpr size_t maxFailedPlacements = 48;
// Jobs examined per lane. Jobs further back fit only by chance.
static constexpr size_t maxLaneDepth = 64;
// A service in a zone that is out of service is stopped after this time even without a replacement elsewhere.
static constexpr Milliseconds serviceMigrationTimeout { 120'000 };
// Share of the tasks of a service kind that may migrate at the same time, so that the other tasks carry the load.
static constexpr double maxMigratingServiceShare = 0.1;
// Searches for a reservation per tick. Each search examines all tasks.
static constexpr size_t maxReservationPlans = 1;
// A job that has waited this long may be placed by the mean estimate for its kind, without regard to its uncertainty.
// At most one such placement per period bounds the harm of a wrong estimate.
static constexpr Milliseconds exploreAfter { 60'000 };
static constexpr Milliseconds explorePeriod { 15'000 };
// A job that has waited this long is placed even where it slows down services, because it would starve otherwise.
static constexpr Milliseconds ignoreInterferenceAfter { 900'000 };
static constexpr Milliseconds ignoreInterferencePeriod { 60'000 };
// At most one worker in this many has a reservation at the same time.
static constexpr size_t workersPerReservation = 16;
static constexpr Milliseconds exclusiveReservationTime { 30'000 };
// Tasks are evicted for a reservation that is still unused this long after its expected start.
static constexpr Milliseconds reservationGracePeriod { 30'000 };

absl::StatusOr<std::vector<Decision>> BatchScheduler::Impl::tick(Instant now)
{
    if (m_hasTicked && now < m_now)
        return absl::InvalidArgumentError("time must not go backwards");
    m_hasTicked = true;
    m_now = now;
    m_decisions = std::move(m_pendingDecisions);
    m_pendingDecisions.clear();
    m_unplaceableShapes.clear();
    m_placements = m_evictions = m_failedPlacements = m_reservationPlans = 0;
    m_evictionPolicy.refillBudget(m_state.workerIds.size(), now);
    runTimers();
    giveUpSubmittedJobs();
    releaseQuarantines();
    retryEvictions();
    placeLane(BatchQueue::urgentLane);
    migrateTasks();
    if (now - m_lastEvictionPlanAt >= evictionPlanPeriod) {
        m_lastEvictionPlanAt = now;
        evictOvercommitted();
        protectServices();
    }
    cancelTasks();
    placeLane(BatchQueue::serviceLane);
    placeReserved();
    placeTeams(false);
    placeTeams(true);
    emitFailures();
    return std::move(m_decisions);
}

void BatchScheduler::Impl::runTimers()
{
    while (auto index = m_queue.takeDueTimer(m_now)) {
        auto& job = m_state.jobs[*index];
        // The timer may be stale, because the job has ended or its slot holds another job, so the current state
        // decides.
        if (job.state != SchedulerJobState::Pending || job.retryAt > m_now)
            continue;
        dequeue(*index);
        enqueue(*index);
    }
}

void BatchScheduler::Impl::releaseQuarantines()
{
    for (auto index : m_quarantinePolicy.takeDueReleases(m_now)) {
        auto& worker = m_state.workers[index];
        if (!worker.isPresent)
            continue;
        worker.quarantined = false;
        worker.isOnProbation = true;
        m_decisions.emplace_back(QuarantineWorker { worker.view.id, false });
    }
}

void BatchScheduler::Impl::evict(JobIndex index, EvictReason reason)
{
    auto& job = m_state.jobs[index];
    job.pendingEviction = reason;
    job.lastDecisionAt = m_now;
    job.evictWithCheckpoint = reason != EvictReason::Cancelled;
    m_pendingEvictions.push_back(index);
    ++m_evictions;
    m_decisions.emplace_back(EvictTask { job.view.id, reason, job.evictWithCheckpoint });
}

void BatchScheduler::Impl::retryEvictions()
{
    std::erase_if(m_pendingEvictions, [&](JobIndex index) { return !m_state.jobs[index].pendingEviction; });
    for (auto index : m_pendingEvictions) {
        auto& job = m_state.jobs[index];
        auto waited = m_now - job.lastDecisionAt;
        auto checkpointTimeout = job.pendingEviction == EvictReason::Urgent ? m_options.urgentCheckpointTimeout
                                                                            : m_options.checkpointTimeout;
        bool isUnconfirmed = job.state == SchedulerJobState::Placed && waited >= m_options.decisionRetryInterval;
        bool isSlow = job.state == SchedulerJobState::Revoking && waited >= checkpointTimeout;
        if ((!isUnconfirmed && !isSlow) || m_evictions >= m_options.maxEvictionsPerTick)
            continue;
        if (isSlow)
            job.evictWithCheckpoint = false;
        job.lastDecisionAt = m_now;
        ++m_evictions;
        m_decisions.emplace_back(EvictTask { job.view.id, *job.pendingEviction, job.evictWithCheckpoint });
    }
}

void BatchScheduler::Impl::cancelTasks()
{
    while (!m_cancelled.empty() && m_evictions < m_options.maxEvictionsPerTick) {
        auto index = m_cancelled.front();
        m_cancelled.pop_front();
        const auto& job = m_state.jobs[index];
        if (job.isCancelled && job.state == SchedulerJobState::Placed && !job.pendingEviction)
            evict(index, EvictReason::Cancelled);
    }
}

bool BatchScheduler::Impl::migrateTask(JobIndex index)
{
    auto& job = m_state.jobs[index];
    const auto& worker = m_state.workers[job.worker];
    bool zoneOut = m_state.zones[worker.zone].isOut;
    auto reason = zoneOut ? EvictReason::ZoneOut : EvictReason::Draining;
    if (!job.view.isService) {
        evict(index, reason);
        return true;
    }
    const auto& kind = m_state.kinds[job.kind];
    auto isMigrating
        = [&](JobIndex other) { return m_state.jobs[other].kind == job.kind && m_state.jobs[other].pendingEviction; };
    auto migrating = std::ranges::count_if(m_pendingEvictions, isMigrating);
    if (static_cast<double>(migrating) >= std::max(1.0, maxMigratingServiceShare * kind.tasks))
        return false;
    // Resources on another worker are reserved first. Two attempts of a job never run at the same time (D9), so the
    // old attempt stops before the new one starts.
    auto target = m_placement.choose(queryFor(index), m_random());
    if (!target || m_state.workers[*target].services.empty()) {
        auto plan = m_reservationPlanner.planByEviction(queryFor(index));
        if (plan && !plan->victims.empty() && !m_state.workers[plan->worker].services.empty()
            && m_evictions + plan->victims.size() < m_options.maxEvictionsPerTick) {
            target = plan->worker;
            for (auto victim : plan->victims)
                evict(victim, EvictReason::Urgent);
        }
    }
    if (target) {
        m_state.addReservation(
            *target, { .job = index, .size = job.view.size, .createdAt = m_now, .isExclusive = true });
        evict(index, reason);
        return true;
    }
    if (zoneOut && m_now - m_state.zones[worker.zone].changedAt > serviceMigrationTimeout) {
        evict(index, reason);
        return true;
    }
    return false;
}

void BatchScheduler::Impl::migrateTasks()
{
    std::vector<JobIndex> remaining;
    size_t n = 0;
    size_t waiting = 0;
    for (; n < m_migrations.size() && m_evictions < m_options.maxEvictionsPerTick && waiting < maxFailedPlacements;
         ++n) {
        const auto& job = m_state.jobs[m_migrations[n]];
        if (job.state != SchedulerJobState::Placed || job.pendingEviction
            || m_state.isAvailable(m_state.workers[job.worker]))
            continue;
        if (!migrateTask(m_migrations[n])) {
            remaining.push_back(m_migrations[n]);
            ++waiting;
        }
    }
    // Tasks that have to wait move to the end of the list, so that they don't block the others.
    m_migrations.erase(m_migrations.begin(), m_migrations.begin() + static_cast<ptrdiff_t>(n));
    m_migrations.insert(m_migrations.end(), remaining.begin(), remaining.end());
}

void BatchScheduler::Impl::evictOvercommitted()
{
    for (auto& worker : m_state.workers) {
        if (!worker.isPresent || worker.committed.fitsIn(worker.view.capacity))
            continue;
        auto excess = worker.committed;
        for (auto index : worker.tasks) {
            if (m_state.jobs[index].pendingEviction)
                excess = excess - m_state.jobs[index].view.size;
        }
        for (auto it = worker.tasks.rbegin(); it != worker.tasks.rend() && !excess.fitsIn(worker.view.capacity); ++it) {
            const auto& job = m_state.jobs[*it];
            if (job.state != SchedulerJobState::Placed || job.pendingEviction
                || m_evictions >= m_options.maxEvictionsPerTick)
                continue;
            excess = excess - job.view.size;
            evict(*it, EvictReason::CapacityLost);
        }
    }
}

void BatchScheduler::Impl::protectServices()
{
    for (const auto& action : m_evictionPolicy.plan(m_state, m_now)) {
        if (action.evictReason) {
            evict(action.job, *action.evictReason);
            continue;
        }
        auto& job = m_state.jobs[action.job];
        m_state.setThrottle(job, action.speedPercent, !action.isForOveruse);
        SchedulerState::recordColocation(m_state.workers[job.worker], m_now);
        job.throttledAt = m_now;
        m_decisions.emplace_back(ThrottleTask { job.view.id, action.speedPercent });
    }
}

PlacementQuery BatchScheduler::Impl::queryFor(JobIndex index) const
{
    return { .job = index, .now = m_now, .estimatedRun = runEstimate(m_state.jobs[index]) };
}

bool BatchScheduler::Impl::isKnownUnplaceable(const JobRecord& job, Milliseconds run) const
{
    return std::ranges::any_of(m_unplaceableShapes, [&](const UnplaceableShape& shape) {
        return shape.kind == job.kind && shape.size.fitsIn(job.view.size) && shape.run <= run;
    });
}

void BatchScheduler::Impl::place(JobIndex index, WorkerIndex workerIndex)
{
    auto& job = m_state.jobs[index];
    auto& worker = m_state.workers[workerIndex];
    dequeue(index);
    m_state.commit(index, workerIndex, m_now);
    job.state = SchedulerJobState::Decided;
    job.isRecovering = false;
    if (worker.isOnProbation)
        worker.probationJob = index;
    m_zonePolicy.recordPlacement(worker.zone);
    ++m_placements;
    m_decisions.emplace_back(PlaceTask { job.view.id, worker.view.id });
}

std::optional<WorkerIndex> BatchScheduler::Impl::explore(PlacementQuery query)
{
    const auto& job = m_state.jobs[query.job];
    auto waited = m_now - job.submittedAt;
    if (!m_options.explores || waited < exploreAfter || m_now - m_lastExplorationAt < explorePeriod)
        return {};
    bool ignoresInterference
        = waited >= ignoreInterferenceAfter && m_now - m_lastExplorationAt >= ignoreInterferencePeriod;
    query.interferenceCheck = ignoresInterference ? InterferenceCheck::Disabled : InterferenceCheck::MeanOnly;
    auto worker = m_placement.choose(query, m_random());
    if (worker)
        m_lastExplorationAt = m_now;
    return worker;
}

BatchScheduler::Impl::PlacementResult BatchScheduler::Impl::tryPlace(JobIndex index)
{
    auto& job = m_state.jobs[index];
    auto query = queryFor(index);
    if (job.reservedWorker != noIndex && m_placement.check(query, job.reservedWorker) == Rejection::None) {
        place(index, job.reservedWorker);
        return PlacementResult::Placed;
    }
    if (isKnownUnplaceable(job, query.estimatedRun))
        return PlacementResult::InsufficientResources;
    bool isRateLimited = job.isRecovering && m_options.pacesRecovery;
    if (isRateLimited && !m_restartLimiter.tryAcquire(m_now))
        return PlacementResult::Skipped;
    if (auto worker = m_placement.choose(query, m_random())) {
        place(index, *worker);
        return PlacementResult::Placed;
    }
    if (auto worker = explore(query)) {
        place(index, *worker);
        return PlacementResult::Placed;
    }
    if (isRateLimited)
        m_restartLimiter.returnToken(m_now);
    ++m_failedPlacements;
    if (job.failedWorkers.empty())
        m_unplaceableShapes.push_back({ .kind = job.kind, .size = job.view.size, .run = query.estimatedRun });
    return PlacementResult::InsufficientResources;
}

void BatchScheduler::Impl::placeLane(size_t lane)
{
    const auto& jobs = m_queue.lane(lane);
    auto it = jobs.begin();
    for (size_t n = 0; n < maxLaneDepth && it != jobs.end() && hasPlacementsLeft(); ++n) {
        auto index = (it++)->job;
        const auto& job = m_state.jobs[index];
        if (FairShare::isAllowed(m_state.teams[job.team], job.view.size)
            && tryPlace(index) == PlacementResult::InsufficientResources)
            preemptFor(index);
    }
}

void BatchScheduler::Impl::preemptFor(JobIndex index)
{
    auto& job = m_state.jobs[index];
    if (job.reservedWorker != noIndex) {
        auto& reservations = m_state.workers[job.reservedWorker].reservations;
        auto reservation = std::ranges::find(reservations, index, &Reservation::job);
        if (m_state.isAvailable(m_state.workers[job.reservedWorker])
            && m_now - reservation->createdAt < exclusiveReservationTime)
            return;
        m_state.removeReservation(index);
    }
    auto plan = m_reservationPlanner.planByEviction(queryFor(index));
    if (!plan || m_evictions + plan->victims.size() > m_options.maxEvictionsPerTick)
        return;
    m_state.addReservation(
        plan->worker, { .job = index, .size = job.view.size, .createdAt = m_now, .isExclusive = true });
    for (auto victim : plan->victims)
        evict(victim, EvictReason::Urgent);
}

void BatchScheduler::Impl::placeTeams(bool borrowing)
{
    struct Cursor {
        TeamIndex team { 0 };
        BatchQueue::Lane::const_iterator next {};
        BatchQueue::Lane::const_iterator end {};
        size_t depth { 0 };
        size_t failures { 0 };
    };
    std::vector<Cursor> cursors;
    for (size_t n = 0; n < 2 * m_state.teams.size(); ++n) {
        // Accelerator jobs have lanes of their own, so that accelerators don't idle while jobs ahead wait for
        // processors.
        auto team = static_cast<TeamIndex>(n % m_state.teams.size());
        const auto& lane = m_queue.lane(BatchQueue::laneOfTeam(team, n < m_state.teams.size()));
        if (!lane.empty() && (!borrowing || m_state.teams[team].view.mayBorrow))
            cursors.push_back({ team, lane.begin(), lane.end() });
    }
    auto maxFailures = std::max<size_t>(2, maxFailedPlacements / std::max<size_t>(1, cursors.size()));
    auto share = [&](const Cursor& cursor) {
        return FairShare::dominantShare(m_state.teams[cursor.team], m_state.totalCapacity);
    };
    while (!cursors.empty() && hasPlacementsLeft() && m_failedPlacements < maxFailedPlacements) {
        auto cursor = std::ranges::min_element(cursors, {}, share);
        auto index = (cursor->next++)->job;
        const auto& job = m_state.jobs[index];
        if (FairShare::isWithinQuota(m_state.teams[cursor->team], job.view.size) != borrowing
            && tryPlace(index) == PlacementResult::InsufficientResources) {
            ++cursor->failures;
            reserve(index);
        }
        // The limits per cursor prevent a team from using up the placement attempts of the others.
        if (cursor->next == cursor->end || ++cursor->depth >= maxLaneDepth || cursor->failures >= maxFailures)
            cursors.erase(cursor);
    }
}

void BatchScheduler::Impl::reserve(JobIndex index)
{
    auto& job = m_state.jobs[index];
    std::erase_if(m_reservedJobs, [&](JobIndex reservedJob) {
        return m_state.jobs[reservedJob].reservedWorker == noIndex
            || m_state.jobs[reservedJob].state != SchedulerJobState::Pending;
    });
    auto maxReservations = std::max<size_t>(2, m_state.workerIds.size() / workersPerReservation);
    if (!m_options.reserves || job.reservedWorker != noIndex || m_reservedJobs.size() >= maxReservations
        || m_now - job.submittedAt < m_options.reserveAfter || m_reservationPlans >= maxReservationPlans)
        return;
    ++m_reservationPlans;
    auto plan = m_reservationPlanner.planByWaiting(queryFor(index));
    // If the resources are free already, the job is rejected for other reasons, which a reservation does not resolve.
    if (!plan || plan->readyAt <= m_now)
        return;
    m_state.addReservation(
        plan->worker, { .job = index, .size = job.view.size, .expectedStart = plan->readyAt, .createdAt = m_now });
    m_reservedJobs.push_back(index);
}

void BatchScheduler::Impl::placeReserved()
{
    for (auto index : m_reservedJobs) {
        auto& job = m_state.jobs[index];
        if (job.reservedWorker == noIndex || job.state != SchedulerJobState::Pending || !job.isQueued
            || !hasPlacementsLeft())
            continue;
        if (!m_state.isAvailable(m_state.workers[job.reservedWorker])) {
            m_state.removeReservation(index);
            continue;
        }
        if (FairShare::isAllowed(m_state.teams[job.team], job.view.size)
            && m_placement.check(queryFor(index), job.reservedWorker) == Rejection::None) {
            place(index, job.reservedWorker);
            continue;
        }
        reclaimReservation(index);
    }
}

void BatchScheduler::Impl::reclaimReservation(JobIndex index)
{
    auto& job = m_state.jobs[index];
    auto& worker = m_state.workers[job.reservedWorker];
    auto reservation = std::ranges::find(worker.reservations, index, &Reservation::job);
    if (m_now < reservation->expectedStart + reservationGracePeriod)
        return;
    // The run time estimates were too low. Borrowed resources are reclaimed for a job within its team's quota;
    // otherwise, the job keeps waiting.
    bool isWithinOwnQuota = FairShare::isWithinQuota(m_state.teams[job.team], job.view.size);
    auto available = worker.free();
    for (auto task : worker.tasks) {
        const auto& other = m_state.jobs[task];
        if (!other.pendingEviction && other.state != SchedulerJobState::Revoking)
            continue;
        available = available + other.view.size;
    }
    for (auto task : worker.tasks) {
        const auto& other = m_state.jobs[task];
        if (job.view.size.fitsIn(available) || m_evictions >= m_options.maxEvictionsPerTick)
            break;
        bool isBorrowed = !FairShare::isWithinQuota(m_state.teams[other.team], {});
        if (!isWithinOwnQuota || !isBorrowed || other.state != SchedulerJobState::Placed || other.pendingEviction
            || other.view.isService || other.view.urgent
            || !m_evictionPolicy.tryConsumeBudget(other, EvictReason::Reservation, m_now))
            continue;
        available = available + other.view.size;
        evict(task, EvictReason::Reservation);
    }
    if (!job.view.size.fitsIn(available))
        m_state.removeReservation(index);
    else
        reservation->expectedStart = m_now;
}

void BatchScheduler::Impl::emitFailures()
{
    std::erase_if(m_failed, [&](JobIndex index) { return m_state.jobs[index].state != SchedulerJobState::Failed; });
    for (auto index : m_failed) {
        auto& job = m_state.jobs[index];
        if (m_now - job.lastDecisionAt < m_options.decisionRetryInterval)
            continue;
        job.lastDecisionAt = m_now;
        m_decisions.emplace_back(FailJob { job.view.id, job.failureReason });
    }
}

static void addPlacementReasons(
    std::vector<WaitReason>& reasons, const std::array<size_t, static_cast<size_t>(Rejection::Count)>& counts)
{
    auto add = [&](Rejection rejection, WaitCause cause, const char* text) {
        if (auto n = counts[static_cast<size_t>(rejection)])
            reasons.push_back({ cause, fmt::format("{} workers: {}", n, text) });
    };
    bool onlyTooSmall = true;
    for (size_t n = 0; n < counts.size(); ++n)
        onlyTooSmall = onlyTooSmall && (n == static_cast<size_t>(Rejection::WorkerTooSmall) || counts[n] == 0);
    if (onlyTooSmall)
        reasons.push_back({ WaitCause::NoFittingWorker, "no worker is large enough" });
    add(Rejection::ZoneOut, WaitCause::ZoneOut, "their zone is out of service");
    add(Rejection::Unavailable, WaitCause::Quarantine,
        "quarantined, draining, leaving or in backoff after refusing a task");
    add(Rejection::FailedBefore, WaitCause::Backoff, "the job has failed on them");
    add(Rejection::RateLimited, WaitCause::RateLimited, "their zone is refilled at a limited rate");
    add(Rejection::InsufficientResources, WaitCause::InsufficientResources, "not enough free resources");
    add(Rejection::Reserved, WaitCause::Reserved, "free resources are reserved for jobs that have waited longer");
    add(Rejection::CpuSaturated, WaitCause::InsufficientResources, "expected processor usage on them is too high");
    add(Rejection::Interference, WaitCause::Interference, "a service on them would miss its latency budget");
}

absl::StatusOr<std::vector<WaitReason>> BatchScheduler::Impl::whyWaiting(const JobId& id) const
{
    auto index = findJob(id);
    if (!index.ok())
        return index.status();
    const auto& job = m_state.jobs[*index];
    std::vector<WaitReason> reasons;
    if (job.state == SchedulerJobState::Decided)
        reasons.push_back({ WaitCause::Decided, m_state.workers[job.worker].view.id });
    if (job.state == SchedulerJobState::Placed)
        reasons.push_back({ WaitCause::Running, m_state.workers[job.worker].view.id });
    if (job.state == SchedulerJobState::Revoking)
        reasons.push_back({ WaitCause::Revoking, m_state.workers[job.worker].view.id });
    if (job.state == SchedulerJobState::Failed)
        reasons.push_back({ WaitCause::Failed, job.failureReason });
    if (!reasons.empty())
        return reasons;
    if (job.retryAt > m_now)
        reasons.push_back({ WaitCause::Backoff,
            fmt::format("retried in {} ms after {} failures", (job.retryAt - m_now).count(), job.failures) });
    const auto& team = m_state.teams[job.team];
    if (!FairShare::isAllowed(team, job.view.size))
        reasons.push_back({ WaitCause::Quota, fmt::format("team '{}' has reached its quota", team.view.name) });
    if (job.isRecovering && m_restartLimiter.isActive(m_now))
        reasons.push_back({ WaitCause::RateLimited, "many tasks were lost at once; restarts are rate-limited" });
    addPlacementReasons(reasons, m_placement.countRejections(queryFor(*index)));
    if (reasons.empty() || m_placement.choose(queryFor(*index), 0))
        reasons.push_back({ WaitCause::FairShare,
            fmt::format("other jobs come first; dominant share of team '{}' is {:.3f}", team.view.name,
                FairShare::dominantShare(team, m_state.totalCapacity)) });
    return reasons;
}

}
