#include <LibDecision/BatchSchedulerImpl.h>
#include <LibDecision/FairShare.h>
#include <algorithm>
#include <fmt/format.h>

namespace Bergamot {

// Services are examined this often; reports arrive each 1 to 10 s.
static constexpr Milliseconds planPeriod { 1'000 };
// Placement attempts that find no room, per tick. Bounds the time of a tick with a long queue.
static constexpr size_t maxFailedAttempts = 48;
// Jobs looked at behind the first of a team; more fit by chance only.
static constexpr size_t laneDepth = 64;
// A service in a zone that is out is stopped without a place elsewhere after this time.
static constexpr Milliseconds serviceMoveTime { 120'000 };
// Services moved at once are a bounded part of their kind, so that the others carry the load.
static constexpr double serviceMoveShare = 0.1;
// Searches for a reservation, per tick. Each looks at all tasks.
static constexpr size_t maxPlans = 1;
// A job that has waited this long may be placed on what is expected of its kind, without regard to doubt. One such
// placement in each period bounds the harm when the expectation is wrong.
static constexpr Milliseconds exploreAfter { 60'000 };
static constexpr Milliseconds explorePeriod { 15'000 };
// After this wait a job is placed even where it slows down services; else it would starve.
static constexpr Milliseconds incautiousAfter { 900'000 };
static constexpr Milliseconds incautiousPeriod { 60'000 };
// At most one worker in this many holds room free for a reservation at the same time.
static constexpr size_t workersPerReservation = 16;
static constexpr Milliseconds firmHoldTime { 30'000 };
// A reservation whose estimate has passed by this time makes room by eviction.
static constexpr Milliseconds reservationGrace { 30'000 };

absl::StatusOr<std::vector<Decision>> BatchScheduler::Impl::tick(Instant now)
{
    if (m_started && now < m_now)
        return absl::InvalidArgumentError("time goes back");
    m_started = true;
    m_now = now;
    m_decisions = std::move(m_pendingDecisions);
    m_pendingDecisions.clear();
    m_failedShapes.clear();
    m_placements = m_evictions = m_failedAttempts = m_plans = 0;
    m_evictionPolicy.refillBudget(m_state.workerIds.size(), now);
    runTimers();
    releaseQuarantines();
    retryEvictions();
    placeLane(BatchQueue::urgentLane);
    moveTasks();
    if (now - m_plannedAt >= planPeriod) {
        m_plannedAt = now;
        shrinkCommitments();
        relieveServices();
    }
    cancelTasks();
    placeLane(BatchQueue::serviceLane);
    placeHeld();
    placeTeams(false);
    placeTeams(true);
    failJobs();
    return std::move(m_decisions);
}

void BatchScheduler::Impl::runTimers()
{
    while (auto index = m_queue.takeDueTimer(m_now)) {
        auto& job = m_state.jobs[*index];
        // The job may have ended since, or its slot may hold another one; then the state decides.
        if (job.state != JobState::Pending || job.retryAt > m_now)
            continue;
        dequeue(*index);
        enqueue(*index);
    }
}

void BatchScheduler::Impl::releaseQuarantines()
{
    for (auto index : m_judge.takeReleases(m_now)) {
        auto& worker = m_state.workers[index];
        if (!worker.present)
            continue;
        worker.quarantined = false;
        worker.probation = true;
        m_decisions.emplace_back(QuarantineWorker { worker.view.id, false });
    }
}

void BatchScheduler::Impl::evict(JobIndex index, EvictReason reason)
{
    auto& job = m_state.jobs[index];
    job.evicting = reason;
    job.evictDecidedAt = m_now;
    job.evictWithCheckpoint = reason != EvictReason::Cancelled;
    m_evicting.push_back(index);
    ++m_evictions;
    m_decisions.emplace_back(EvictTask { job.view.id, reason, job.evictWithCheckpoint });
}

void BatchScheduler::Impl::retryEvictions()
{
    std::erase_if(m_evicting, [&](JobIndex index) { return !m_state.jobs[index].evicting; });
    for (auto index : m_evicting) {
        auto& job = m_state.jobs[index];
        auto waited = m_now - job.evictDecidedAt;
        auto stopAfter = job.evicting == EvictReason::Urgent ? m_options.urgentStopAfter : m_options.stopAfter;
        bool unconfirmed = job.state == JobState::Placed && waited >= m_options.decisionRetry;
        bool slow = job.state == JobState::Revoking && waited >= stopAfter;
        if ((!unconfirmed && !slow) || m_evictions >= m_options.maxEvictionsPerTick)
            continue;
        if (slow)
            job.evictWithCheckpoint = false;
        job.evictDecidedAt = m_now;
        ++m_evictions;
        m_decisions.emplace_back(EvictTask { job.view.id, *job.evicting, job.evictWithCheckpoint });
    }
}

void BatchScheduler::Impl::cancelTasks()
{
    while (!m_cancelled.empty() && m_evictions < m_options.maxEvictionsPerTick) {
        auto index = m_cancelled.front();
        m_cancelled.pop_front();
        const auto& job = m_state.jobs[index];
        if (job.cancelled && job.state == JobState::Placed && !job.evicting)
            evict(index, EvictReason::Cancelled);
    }
}

bool BatchScheduler::Impl::moveTask(JobIndex index)
{
    auto& job = m_state.jobs[index];
    const auto& worker = m_state.workers[job.worker];
    bool zoneOut = m_state.zones[worker.zone].out;
    auto reason = zoneOut ? EvictReason::ZoneOut : EvictReason::Draining;
    if (!job.view.isService) {
        evict(index, reason);
        return true;
    }
    const auto& kind = m_state.kinds[job.kind];
    auto isMoving
        = [&](JobIndex other) { return m_state.jobs[other].kind == job.kind && m_state.jobs[other].evicting; };
    auto moving = std::ranges::count_if(m_evicting, isMoving);
    if (static_cast<double>(moving) >= std::max(1.0, serviceMoveShare * kind.tasks))
        return false;
    // Room elsewhere is held first. Two attempts never run at once (D9), so the old one stops before the new starts.
    auto target = m_placement.choose(queryFor(index), m_random());
    if (!target || m_state.workers[*target].services.empty()) {
        auto plan = m_roomPlanner.byEviction(queryFor(index));
        if (plan && !plan->victims.empty() && !m_state.workers[plan->worker].services.empty()
            && m_evictions + plan->victims.size() < m_options.maxEvictionsPerTick) {
            target = plan->worker;
            for (auto victim : plan->victims)
                evict(victim, EvictReason::Urgent);
        }
    }
    if (target) {
        m_state.addHold(*target, { .job = index, .size = job.view.size, .since = m_now, .firm = true });
        evict(index, reason);
        return true;
    }
    if (zoneOut && m_now - m_state.zones[worker.zone].changedAt > serviceMoveTime) {
        evict(index, reason);
        return true;
    }
    return false;
}

void BatchScheduler::Impl::moveTasks()
{
    std::vector<JobIndex> remaining;
    size_t n = 0;
    size_t waiting = 0;
    for (; n < m_moves.size() && m_evictions < m_options.maxEvictionsPerTick && waiting < maxFailedAttempts; ++n) {
        const auto& job = m_state.jobs[m_moves[n]];
        if (job.state != JobState::Placed || job.evicting || m_state.isAvailable(m_state.workers[job.worker]))
            continue;
        if (!moveTask(m_moves[n])) {
            remaining.push_back(m_moves[n]);
            ++waiting;
        }
    }
    // Tasks that have to wait go behind the others, so that they don't block them.
    m_moves.erase(m_moves.begin(), m_moves.begin() + static_cast<ptrdiff_t>(n));
    m_moves.insert(m_moves.end(), remaining.begin(), remaining.end());
}

void BatchScheduler::Impl::shrinkCommitments()
{
    for (auto& worker : m_state.workers) {
        if (!worker.present || worker.committed.fitsIn(worker.view.capacity))
            continue;
        auto excess = worker.committed;
        for (auto index : worker.tasks) {
            if (m_state.jobs[index].evicting)
                excess = excess - m_state.jobs[index].view.size;
        }
        for (auto it = worker.tasks.rbegin(); it != worker.tasks.rend() && !excess.fitsIn(worker.view.capacity); ++it) {
            const auto& job = m_state.jobs[*it];
            if (job.state != JobState::Placed || job.evicting || m_evictions >= m_options.maxEvictionsPerTick)
                continue;
            excess = excess - job.view.size;
            evict(*it, EvictReason::CapacityLost);
        }
    }
}

void BatchScheduler::Impl::relieveServices()
{
    for (const auto& action : m_evictionPolicy.plan(m_state, m_now)) {
        if (action.evict) {
            evict(action.job, *action.evict);
            continue;
        }
        auto& job = m_state.jobs[action.job];
        m_state.setThrottle(job, action.percent, !action.forUse);
        SchedulerState::noteComposition(m_state.workers[job.worker], m_now);
        job.throttledAt = m_now;
        m_decisions.emplace_back(ThrottleTask { job.view.id, action.percent });
    }
}

PlacementQuery BatchScheduler::Impl::queryFor(JobIndex index) const
{
    return { .job = index, .now = m_now, .estimatedRun = runEstimate(m_state.jobs[index]) };
}

bool BatchScheduler::Impl::isShapeFailed(const JobRecord& job, Milliseconds run) const
{
    return std::ranges::any_of(m_failedShapes, [&](const FailedShape& shape) {
        return shape.kind == job.kind && shape.size.fitsIn(job.view.size) && shape.run <= run;
    });
}

void BatchScheduler::Impl::place(JobIndex index, WorkerIndex workerIndex)
{
    auto& job = m_state.jobs[index];
    auto& worker = m_state.workers[workerIndex];
    dequeue(index);
    m_state.commit(index, workerIndex, m_now);
    job.state = JobState::Decided;
    job.recovering = false;
    if (worker.probation)
        worker.probationJob = index;
    m_zonePolicy.placed(worker.zone);
    ++m_placements;
    m_decisions.emplace_back(PlaceTask { job.view.id, worker.view.id });
}

std::optional<WorkerIndex> BatchScheduler::Impl::explore(PlacementQuery query)
{
    const auto& job = m_state.jobs[query.job];
    auto waited = m_now - job.submittedAt;
    if (!m_options.explores || waited < exploreAfter || m_now - m_exploredAt < explorePeriod)
        return {};
    bool isIncautious = waited >= incautiousAfter && m_now - m_exploredAt >= incautiousPeriod;
    query.caution = isIncautious ? LatencyCaution::None : LatencyCaution::Expected;
    auto worker = m_placement.choose(query, m_random());
    if (worker)
        m_exploredAt = m_now;
    return worker;
}

BatchScheduler::Impl::Attempt BatchScheduler::Impl::tryPlace(JobIndex index)
{
    auto& job = m_state.jobs[index];
    auto query = queryFor(index);
    if (job.reservedWorker != noIndex && m_placement.check(query, job.reservedWorker) == Rejection::None) {
        place(index, job.reservedWorker);
        return Attempt::Placed;
    }
    if (isShapeFailed(job, query.estimatedRun))
        return Attempt::NoRoom;
    bool isPaced = job.recovering && m_options.pacesRecovery;
    if (isPaced && !m_pacer.take(m_now))
        return Attempt::Skipped;
    if (auto worker = m_placement.choose(query, m_random())) {
        place(index, *worker);
        return Attempt::Placed;
    }
    if (auto worker = explore(query)) {
        place(index, *worker);
        return Attempt::Placed;
    }
    if (isPaced)
        m_pacer.putBack(m_now);
    ++m_failedAttempts;
    if (job.failedOn.empty())
        m_failedShapes.push_back({ .kind = job.kind, .size = job.view.size, .run = query.estimatedRun });
    return Attempt::NoRoom;
}

void BatchScheduler::Impl::placeLane(size_t lane)
{
    const auto& jobs = m_queue.lane(lane);
    auto it = jobs.begin();
    for (size_t n = 0; n < laneDepth && it != jobs.end() && hasPlacementsLeft(); ++n) {
        auto index = (it++)->job;
        const auto& job = m_state.jobs[index];
        if (FairShare::isAllowed(m_state.teams[job.team], job.view.size) && tryPlace(index) == Attempt::NoRoom)
            makeUrgentRoom(index);
    }
}

void BatchScheduler::Impl::makeUrgentRoom(JobIndex index)
{
    auto& job = m_state.jobs[index];
    if (job.reservedWorker != noIndex) {
        auto& holds = m_state.workers[job.reservedWorker].holds;
        auto hold = std::ranges::find(holds, index, &Hold::job);
        if (m_state.isAvailable(m_state.workers[job.reservedWorker]) && m_now - hold->since < firmHoldTime)
            return;
        m_state.dropHold(index);
    }
    auto plan = m_roomPlanner.byEviction(queryFor(index));
    if (!plan || m_evictions + plan->victims.size() > m_options.maxEvictionsPerTick)
        return;
    m_state.addHold(plan->worker, { .job = index, .size = job.view.size, .since = m_now, .firm = true });
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
        // Accelerator jobs have lanes of their own, so that accelerators don't idle behind a queue for processors.
        auto team = static_cast<TeamIndex>(n % m_state.teams.size());
        const auto& lane = m_queue.lane(BatchQueue::laneOfTeam(team, n < m_state.teams.size()));
        if (!lane.empty() && (!borrowing || m_state.teams[team].view.mayBorrow))
            cursors.push_back({ team, lane.begin(), lane.end() });
    }
    auto maxFailures = std::max<size_t>(2, maxFailedAttempts / std::max<size_t>(1, cursors.size()));
    auto share
        = [&](const Cursor& cursor) { return FairShare::dominantShare(m_state.teams[cursor.team], m_state.total); };
    while (!cursors.empty() && hasPlacementsLeft() && m_failedAttempts < maxFailedAttempts) {
        auto cursor = std::ranges::min_element(cursors, {}, share);
        auto index = (cursor->next++)->job;
        const auto& job = m_state.jobs[index];
        if (FairShare::isWithinQuota(m_state.teams[cursor->team], job.view.size) != borrowing
            && tryPlace(index) == Attempt::NoRoom) {
            ++cursor->failures;
            reserve(index);
        }
        // No team uses up the attempts of the others.
        if (cursor->next == cursor->end || ++cursor->depth >= laneDepth || cursor->failures >= maxFailures)
            cursors.erase(cursor);
    }
}

void BatchScheduler::Impl::reserve(JobIndex index)
{
    auto& job = m_state.jobs[index];
    std::erase_if(m_held, [&](JobIndex held) {
        return m_state.jobs[held].reservedWorker == noIndex || m_state.jobs[held].state != JobState::Pending;
    });
    auto maxReservations = std::max<size_t>(2, m_state.workerIds.size() / workersPerReservation);
    if (!m_options.reserves || job.reservedWorker != noIndex || m_held.size() >= maxReservations
        || m_now - job.submittedAt < m_options.reserveAfter || m_plans >= maxPlans)
        return;
    ++m_plans;
    auto plan = m_roomPlanner.byWaiting(queryFor(index));
    // Room that exists already is not lacking; the job is refused there for other reasons.
    if (!plan || plan->readyAt <= m_now)
        return;
    m_state.addHold(plan->worker, { .job = index, .size = job.view.size, .until = plan->readyAt, .since = m_now });
    m_held.push_back(index);
}

void BatchScheduler::Impl::placeHeld()
{
    for (auto index : m_held) {
        auto& job = m_state.jobs[index];
        if (job.reservedWorker == noIndex || job.state != JobState::Pending || !job.queued || !hasPlacementsLeft())
            continue;
        if (!m_state.isAvailable(m_state.workers[job.reservedWorker])) {
            m_state.dropHold(index);
            continue;
        }
        if (FairShare::isAllowed(m_state.teams[job.team], job.view.size)
            && m_placement.check(queryFor(index), job.reservedWorker) == Rejection::None) {
            place(index, job.reservedWorker);
            continue;
        }
        reclaim(index);
    }
}

void BatchScheduler::Impl::reclaim(JobIndex index)
{
    auto& job = m_state.jobs[index];
    auto& worker = m_state.workers[job.reservedWorker];
    auto hold = std::ranges::find(worker.holds, index, &Hold::job);
    if (m_now < hold->until + reservationGrace)
        return;
    // The estimates were wrong. Borrowed room is taken back for work within its quota; else the wait goes on.
    bool ownsRoom = FairShare::isWithinQuota(m_state.teams[job.team], job.view.size);
    auto room = worker.free();
    for (auto task : worker.tasks) {
        const auto& other = m_state.jobs[task];
        if (!other.evicting && other.state != JobState::Revoking)
            continue;
        room = room + other.view.size;
    }
    for (auto task : worker.tasks) {
        const auto& other = m_state.jobs[task];
        if (job.view.size.fitsIn(room) || m_evictions >= m_options.maxEvictionsPerTick)
            break;
        bool isBorrowed = !FairShare::isWithinQuota(m_state.teams[other.team], {});
        if (!ownsRoom || !isBorrowed || other.state != JobState::Placed || other.evicting || other.view.isService
            || other.view.urgent || !m_evictionPolicy.takeEviction(other, EvictReason::Reservation, m_now))
            continue;
        room = room + other.view.size;
        evict(task, EvictReason::Reservation);
    }
    if (!job.view.size.fitsIn(room))
        m_state.dropHold(index);
    else
        hold->until = m_now;
}

void BatchScheduler::Impl::failJobs()
{
    std::erase_if(m_failed, [&](JobIndex index) { return m_state.jobs[index].state != JobState::Failed; });
    for (auto index : m_failed) {
        auto& job = m_state.jobs[index];
        if (m_now - job.evictDecidedAt < m_options.decisionRetry)
            continue;
        job.evictDecidedAt = m_now;
        m_decisions.emplace_back(FailJob { job.view.id, job.failure });
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
        onlyTooSmall = onlyTooSmall && (n == static_cast<size_t>(Rejection::TooSmall) || counts[n] == 0);
    if (onlyTooSmall)
        reasons.push_back({ WaitCause::NoFittingWorker, "no worker is large enough" });
    add(Rejection::ZoneOut, WaitCause::ZoneOut, "their zone is out");
    add(Rejection::Unavailable, WaitCause::Quarantine, "quarantined, draining, leaving or pausing after a refusal");
    add(Rejection::FailedThere, WaitCause::Backoff, "the job has failed there");
    add(Rejection::Pacing, WaitCause::Pacing, "their zone is refilled gradually");
    add(Rejection::NoRoom, WaitCause::NoRoom, "no room");
    add(Rejection::Reserved, WaitCause::Reserved, "free room is reserved for jobs that have waited longer");
    add(Rejection::Busy, WaitCause::NoRoom, "tasks there use more than they declared");
    add(Rejection::Interference, WaitCause::Interference, "a service there would miss its latency budget");
}

absl::StatusOr<std::vector<WaitReason>> BatchScheduler::Impl::whyWaiting(const JobId& id) const
{
    auto index = findJob(id);
    if (!index.ok())
        return index.status();
    const auto& job = m_state.jobs[*index];
    std::vector<WaitReason> reasons;
    if (job.state == JobState::Decided)
        reasons.push_back({ WaitCause::Decided, m_state.workers[job.worker].view.id });
    if (job.state == JobState::Placed)
        reasons.push_back({ WaitCause::Running, m_state.workers[job.worker].view.id });
    if (job.state == JobState::Revoking)
        reasons.push_back({ WaitCause::Revoking, m_state.workers[job.worker].view.id });
    if (job.state == JobState::Failed)
        reasons.push_back({ WaitCause::Failed, job.failure });
    if (!reasons.empty())
        return reasons;
    if (job.retryAt > m_now)
        reasons.push_back({ WaitCause::Backoff,
            fmt::format("retried in {} ms after {} failures", (job.retryAt - m_now).count(), job.failures) });
    const auto& team = m_state.teams[job.team];
    if (!FairShare::isAllowed(team, job.view.size))
        reasons.push_back({ WaitCause::Quota, fmt::format("team '{}' is at its quota", team.view.name) });
    if (job.recovering && m_pacer.isActive(m_now))
        reasons.push_back({ WaitCause::Pacing, "many tasks were lost at once; restarts are paced" });
    addPlacementReasons(reasons, m_placement.explain(queryFor(*index)));
    if (reasons.empty() || m_placement.choose(queryFor(*index), 0))
        reasons.push_back({ WaitCause::FairShare,
            fmt::format("its turn has not come; share of team '{}' is {:.3f}", team.view.name,
                FairShare::dominantShare(team, m_state.total)) });
    return reasons;
}

}
