#include <LibCore/GuardedCall.h>
#include <LibCore/Logger.h>
#include <LibHttp/EventLoop.h>
#include <LibNode/OutcomeNames.h>
#include <LibNode/TaskLeader.h>
#include <LibReport/NodeMetrics.h>
#include <algorithm>
#include <fmt/format.h>
#include <limits>
#include <utility>

namespace Bergamot {

std::optional<WorkerHandle> TaskLeader::findHandle(const WorkerId& id) const
{
    auto it = m_handles.lower_bound({ id, 0 });
    if (it == m_handles.end() || it->first != id)
        return std::nullopt;
    return it->second;
}

/// Interval of the reports of each worker with which the CPU that the leader spends on reports stays limited.
Milliseconds TaskLeader::reportIntervalFor(size_t workers)
{
    constexpr double maxReportsPerSecond = 600;
    constexpr double msPerSecond = 1000;
    return Milliseconds { static_cast<int64_t>(static_cast<double>(workers) / maxReportsPerSecond * msPerSecond) };
}

/// Time that a worker delays a report. The minimum equals the interval at which workers take the measurements in the
/// report. With more workers the interval grows.
Milliseconds TaskLeader::reportWaitFor(size_t workers)
{
    constexpr Milliseconds minWait { 500 };
    constexpr Milliseconds maxWait { 1000 };
    return std::clamp(reportIntervalFor(workers), minWait, maxWait);
}

Milliseconds TaskLeader::maxUnacknowledgedWaitFor(size_t workers)
{
    return std::clamp(
        reportIntervalFor(workers), acknowledgementTimeout.minTimeout, WorkerSession::defaultUnacknowledgedWait);
}

WorkerHandle TaskLeader::addWorker(
    const WorkerIncarnation& incarnation, std::optional<WorkerAnnouncement> announcement, uint64_t unreachedSinceEpoch)
{
    auto handle = ++m_lastHandle;
    auto& worker = m_workers[handle];
    worker.incarnation = incarnation;
    m_handles.emplace(incarnation.id, handle);
    bool isAnnounced = announcement.has_value();
    worker.isFromEarlierLeader = !isAnnounced && !m_isReconciled;
    worker.announcement = std::move(announcement);
    worker.isStored
        = std::ranges::find(m_storedAssignedWorkers.workers, incarnation) != m_storedAssignedWorkers.workers.end();
    worker.firstReplyEpoch = storedFirstReplyEpoch(incarnation);
    worker.session = std::make_unique<WorkerSession>(m_loop, m_taskExecutor,
        WorkerSession::Options { .executor = { .id = incarnation.id, .address = incarnation.address },
            .startedAtMs = incarnation.startedAtMs,
            .isAddressProven = !isAnnounced,
            .lease = leaseDuration(),
            .maxLease = m_options.node.maxLease,
            .mayHoldMisdirectedLease = mayHoldMisdirectedLease(incarnation),
            .misdirectedCallsEndBy = misdirectedCallsEndBy(incarnation.id),
            .misdirectedLeaseExpiresBy = misdirectedLeaseExpiresBy(worker.firstReplyEpoch),
            .earlierRenewalsEndedBy
            = unreachedSinceEpoch ? m_options.elections.electedBy(unreachedSinceEpoch) : std::nullopt,
            .commandTimeout = m_commandTimeout,
            .acknowledgementTimeout = m_acknowledgementTimeout,
            .reportWait = m_reportWait,
            .maxUnacknowledgedWait = m_maxUnacknowledgedWait,
            .isLeaving = [this, handle] { return isLeaving(m_workers.at(handle)); },
            .leavingReportInterval = m_leavingReportInterval,
            .canStart = [this](const StartTask& start) { return canStart(start); },
            .isSoleLeader = [this] { return isSoleLeader(); },
            .wasSoleLeaderAt = [this](Instant time) { return m_options.soleLeaderUntil() >= time; },
            .canRenewLeases = [this] { return canRenewLeases(); },
            .mayEarlierLeaderRenew = [this, handle] { return mayEarlierLeaderRenew(m_workers.at(handle)); },
            .renewalLimiter = m_renewalLimiter,
            .load = &m_load,
            .events = makeSessionEvents(handle) });
    worker.firstAssignedRecord = m_assignedRecords + 1;
    worker.isMisdirectedLeaseStored = worker.isStored && mayHoldMisdirectedLease(incarnation);
    worker.mayRunEarlierTasks = worker.isStored;
    // No leader has started anything on a worker that is not stored, and none will while it drains.
    worker.isRetired = !worker.isStored && isLeaving(worker) && !m_areAssignedWorkersUnreadable
        && !m_removedIds.contains(incarnation.id);
    if (worker.isRetired)
        worker.firstAssignedRecord = std::numeric_limits<uint64_t>::max();
    else if (!worker.isStored)
        m_assignedWorkersChanged = true;
    worker.unreachedSinceEpoch = unreachedSinceEpoch;
    if (unreachedSinceEpoch > 0)
        m_unreachedWorkersChanged = true;
    if (m_removedIds.contains(incarnation.id)) {
        // The stored record of unreached workers may still contain this worker.
        worker.isReturning = true;
        worker.session->withholdLease();
        worker.firstRecordWithout = m_unreachedRecords + 1;
        m_unreachedWorkersChanged = true;
    }
    m_reportWait = reportWaitFor(m_workers.size());
    m_maxUnacknowledgedWait = maxUnacknowledgedWaitFor(m_workers.size());
    // An assigned worker that has not announced itself yet may still have runs, which the scheduler must know.
    if (!worker.announcement)
        m_scheduler.updateWorker(handle, { .id = incarnation.id, .startedAtMs = incarnation.startedAtMs });
    updateWorkerInScheduler(handle);
    // Reports of workers cannot be interpreted before the jobs are loaded.
    if (m_areSessionsStarted)
        startSession(worker);
    m_journal.requestFlush();
    return handle;
}

void TaskLeader::updateAnnouncement(WorkerHandle handle, const WorkerAnnouncement& announcement)
{
    auto& worker = m_workers.at(handle);
    if (worker.announcement == announcement)
        return;
    if (worker.announcement && announcement.view.draining && !worker.announcement->view.draining)
        logInfo("worker_drains", { { "worker", worker.incarnation.id } });
    worker.announcement = announcement;
    if (!announcement.view.draining)
        assignRetiredWorker(worker);
    updateWorkerInScheduler(handle);
    retireIfDrained(handle);
}

/// Passes the state of a worker to the scheduler. A worker may receive tasks once it has announced itself and is stored
/// among the assigned workers.
void TaskLeader::updateWorkerInScheduler(WorkerHandle handle)
{
    const auto& worker = m_workers.at(handle);
    if (!worker.announcement)
        return;
    auto view = worker.announcement->view;
    view.startedAtMs = worker.incarnation.startedAtMs;
    m_scheduler.updateWorker(handle, view);
    m_scheduler.setReachable(handle,
        (worker.isStored || worker.isRetired) && worker.session && worker.session->isReachable()
            && !worker.session->withholdsLease() && m_listedWorkers.contains(worker.incarnation.id),
        m_loop.now());
}

/// How an incarnation ended that is known to have ended. A worker that leaves as planned announces it before.
WorkerEnd TaskLeader::endOf(const Worker& worker) { return isLeaving(worker) ? WorkerEnd::Left : WorkerEnd::Crashed; }

/// How an unlisted worker ended whose leases have expired. Refused connections prove no end, but after that of the
/// lease they tell a crash from a silent host, also if the host has fallen silent since.
WorkerEnd TaskLeader::endAfterLease(const Worker& worker)
{
    return worker.session->hasRefusedConnections() ? endOf(worker) : WorkerEnd::LeaseExpired;
}

void TaskLeader::reportCrashes()
{
    for (const auto& [task, run, count, coincidence, failedJob] : m_scheduler.takeCrashEvents()) {
        m_metrics.recordRunEnd("crashed");
        logWarning("run_crashed",
            { { "job", task.job }, { "occurrence", task.occurrence }, { "step", task.step }, { "index", task.index },
                { "run", run.run }, { "worker", run.worker }, { "run_ms", run.runTimeMs },
                { "answered", !run.unanswered }, { "isolated", run.isolated }, { "crashes", count },
                { "coincidence", fmt::format("{:.1e}", coincidence) }, { "gives_up", failedJob } });
    }
}

/// An earlier leader may have removed a worker before it stored the crash of a run there.
void TaskLeader::confirmInheritedCrashes()
{
    m_scheduler.confirmInheritedCrashes([this](const WorkerId& id, int64_t startedAtMs) {
        return std::ranges::any_of(m_workers, [&](const auto& it) {
            const auto& incarnation = it.second.incarnation;
            return incarnation.id == id
                && (startedAtMs == 0 || incarnation.startedAtMs == 0 || incarnation.startedAtMs == startedAtMs);
        });
    });
}

/// Logs what the end of a worker was concluded from.
void TaskLeader::logWorkerEnd(const Worker& worker, WorkerEnd end) const
{
    const auto& session = *worker.session;
    bool hasReplied = session.lastReplyAt() != neverInstant;
    logInfo("worker_gone",
        { { "worker", worker.incarnation.id }, { "born", worker.incarnation.startedAtMs }, { "end", nameOf(end) },
            { "listed", m_listedWorkers.contains(worker.incarnation.id) },
            { "refused_connections", session.hasRefusedConnections() },
            { "successor_born", session.successorStartedAtMs() },
            { "silent_ms", hasReplied ? (m_loop.now() - session.lastReplyAt()).count() : -1 },
            { "lease_left_ms", session.remainingLease().count() }, { "unanswered_calls", session.unansweredCalls() } });
}

void TaskLeader::reportInheritedLoss(const Worker& worker)
{
    if (worker.isFromEarlierLeader && worker.session->isUnreached())
        m_scheduler.inheritedWorkerLost();
}

void TaskLeader::removeWorker(WorkerHandle handle, WorkerEnd end)
{
    auto it = m_workers.find(handle);
    if (it == m_workers.end())
        return;
    m_listedWorkers.forget(it->second.incarnation.id);
    m_removedIds.insert(it->second.incarnation.id);
    logWorkerEnd(it->second, end);
    keepEndsOfUnknownJobs(it->second);
    if (auto last = m_lastSessions.find(it->second.incarnation.id); last != m_lastSessions.end())
        last->second.misdirectedStartsEndBy = it->second.session->misdirectedStartsEndBy();
    // Otherwise their tasks would count as active when the worker crashed.
    it->second.session->withdrawUnsentStarts();
    if (end == WorkerEnd::Crashed)
        reportInheritedLoss(it->second);
    m_scheduler.removeWorker(handle, end, m_loop.now());
    // This function may be called by the session itself, so the session is destroyed in a later turn of the event loop.
    // It is closed first, because further replies of the worker may be pending in this turn: when 3,000 workers
    // restarted at once, a second reply of a removed worker terminated the process.
    it->second.session->close();
    m_loop.post([session = std::shared_ptr<WorkerSession>(std::move(it->second.session))] {});
    m_handles.erase({ it->second.incarnation.id, handle });
    // A worker that returns is stored again before its next start.
    std::erase_if(m_storedAssignedWorkers.workers,
        [&](const WorkerIncarnation& stored) { return stored.id == it->second.incarnation.id; });
    m_assignedWorkersChanged = m_assignedWorkersChanged || !it->second.isRetired;
    m_workers.erase(it);
    // A crash may have been concluded.
    m_journal.requestUrgentFlush();
    schedulePlan();
}

/// Removes workers that do not reply and that the platform no longer lists, if they have left according to the list or
/// their leases have expired. Any other worker may run on and keeps its runs: entries also expire while the store is
/// down, and a partitioned network may refuse connections.
void TaskLeader::removeAbsentWorkers()
{
    std::vector<std::pair<WorkerHandle, WorkerEnd>> absent;
    for (const auto& [handle, worker] : m_workers) {
        const auto& id = worker.incarnation.id;
        if (worker.session->isReachable() || m_listedWorkers.contains(id) || mayReplyToEarlierLeader(worker))
            continue;
        if (worker.session->haveLeasesExpired())
            absent.emplace_back(handle, endAfterLease(worker));
        else if (m_listedWorkers.hasLeft(id, worker.incarnation.startedAtMs))
            absent.emplace_back(handle, WorkerEnd::Left);
    }
    for (auto [handle, end] : absent)
        removeWorker(handle, end);
}

void TaskLeader::handleWorkersCaughtUp()
{
    removeAbsentWorkers();
    for (auto& [handle, worker] : m_workers)
        updateWorkerInScheduler(handle);
    checkReconciled();
    schedulePlan();
}

WorkerSession::Events TaskLeader::makeSessionEvents(WorkerHandle handle)
{
    return {
        .onReport = [this, handle](const RenewLeaseReply& reply,
                        Instant requestSentAt) { handleReport(handle, reply, requestSentAt); },
        .onEndsListed = [this, handle](const std::vector<RunEnd>& ends) { handleListedEnds(handle, ends); },
        .onLateEnds =
            [this, alive = m_alive](const std::vector<RunEnd>& ends) {
                if (*alive)
                    guardedCall("late_ends_failed", [&] { handleLateEnds(ends); });
            },
        .onStartReply = [this, handle](const StartTask& start,
                            TaskCommandOutcome outcome) { handleStartReply(handle, start, outcome); },
        .onStartUnanswered =
            [this, handle](const StartTask& start) {
                recordUnansweredStart(m_workers.at(handle).incarnation, start.task, start.run);
            },
        .onStopAccepted = [this, handle](const TaskRef& task,
                              uint64_t run) { m_scheduler.commandAccepted(handle, task, run, m_loop.now()); },
        .onReachabilityChanged =
            [this, handle](bool reachable) {
                auto& worker = m_workers.at(handle);
                logInfo(reachable ? "worker_regained" : "worker_lost", { { "worker", worker.incarnation.id } });
                updateWorkerInScheduler(handle);
                schedulePlan();
            },
        .onConnectionsBroken =
            [this, handle] {
                logInfo("worker_may_have_crashed", { { "worker", m_workers.at(handle).incarnation.id } });
                m_scheduler.suspectCrash(handle, m_loop.now());
                m_journal.requestUrgentFlush();
            },
        .onLeaseExpired =
            [this, handle] {
                auto& worker = m_workers.at(handle);
                logWarning("worker_lapsed", { { "worker", worker.incarnation.id } });
                // The worker may come back as another incarnation, which then proves that it crashed.
                m_scheduler.suspectCrash(handle, m_loop.now());
                // The announced incarnation may have executed starts without a reply.
                if (worker.announcedSuccessor && canReplaceUnproven(worker)) {
                    replaceByAnnounced(handle, *std::exchange(worker.announcedSuccessor, std::nullopt));
                    return checkReconciled();
                }
                m_scheduler.markRunsLost(handle, m_loop.now());
                reportInheritedLoss(worker);
                checkReconciled();
                if (m_workerReader->hasLoaded() && !m_listedWorkers.contains(worker.incarnation.id)
                    && !mayReplyToEarlierLeader(worker))
                    return removeWorker(handle, endAfterLease(worker));
                schedulePlan();
            },
        .onIncarnationMismatch = [this, handle] { handleIncarnationMismatch(handle); },
        .onFenced = [this] { m_loop.post([fenced = m_options.onFenced] { fenced(); }); },
    };
}

/// Run ends of unknown jobs stay unacknowledged until the job streams have been read again, so they are kept here and
/// on the worker. Such a job may have been accepted and run under an earlier leader after this leader last read the
/// streams.
bool TaskLeader::canAcknowledge(Worker& worker, const RenewLeaseReply& reply)
{
    worker.endsOfUnknownJobs.clear();
    for (const auto& end : reply.ended) {
        if (!m_scheduler.stateOf(end.task.job))
            worker.endsOfUnknownJobs.push_back(end);
    }
    if (worker.endsOfUnknownJobs.empty())
        return true;
    if (worker.unknownEndSequence < worker.session->lastEndSequence()) {
        worker.unknownEndSequence = worker.session->lastEndSequence();
        worker.unknownEndSeenAt = m_loop.now();
    }
    return jobsCurrentAsOf() > worker.unknownEndSeenAt;
}

/// The ends outlive their worker, which cannot report them again.
void TaskLeader::keepEndsOfUnknownJobs(Worker& worker)
{
    if (!worker.endsOfUnknownJobs.empty())
        m_orphanedEnds.push_back({ .ends = std::move(worker.endsOfUnknownJobs), .seenAt = worker.unknownEndSeenAt });
}

/// Drops the ends whose jobs are still unknown after the job streams have been read again.
void TaskLeader::dropOrphanedEnds()
{
    std::erase_if(m_orphanedEnds, [&](const OrphanedEnds& it) { return jobsCurrentAsOf() > it.seenAt; });
}

void TaskLeader::applyEndsOf(const JobId& job)
{
    constexpr WorkerHandle removedWorker = 0;
    for (const auto& orphaned : m_orphanedEnds) {
        for (const auto& end : orphaned.ends) {
            if (end.task.job == job)
                m_scheduler.runEnded(removedWorker, end, m_loop.now());
        }
    }
    for (const auto& [handle, worker] : m_workers) {
        for (const auto& end : worker.endsOfUnknownJobs) {
            if (end.task.job == job)
                m_scheduler.runEnded(handle, end, m_loop.now());
        }
    }
}

void TaskLeader::handleReport(WorkerHandle handle, const RenewLeaseReply& reply, Instant requestSentAt)
{
    auto now = m_loop.now();
    m_load.recordReport();
    updateConfigurationAge();
    auto& worker = m_workers.at(handle);
    if (worker.incarnation.startedAtMs != worker.session->startedAtMs()) {
        m_assignedWorkersChanged = m_assignedWorkersChanged || worker.incarnation.startedAtMs != 0;
        worker.incarnation.startedAtMs = worker.session->startedAtMs();
        worker.firstReplyEpoch = 0;
        updateWorkerInScheduler(handle);
    }
    workerReached(worker);
    if (!reply.running.empty() || !reply.ended.empty())
        assignRetiredWorker(worker);
    for (const auto& end : reply.ended) {
        bool isNew = end.sequence > worker.lastHandledEndSequence;
        if (isNew && (end.outcome == RunOutcome::Failed || end.outcome == RunOutcome::LeaseExpired))
            logInfo("run_ended",
                { { "job", end.task.job }, { "step", end.task.step }, { "index", end.task.index }, { "run", end.run },
                    { "worker", worker.incarnation.id }, { "outcome", nameOf(end.outcome) } });
        if (isNew)
            m_metrics.recordRunEnd(nameOf(end.outcome));
        m_scheduler.runEnded(handle, end, now);
    }
    if (auto dropped = m_scheduler.runsReported(handle, reply.running, reply.endCoverage, requestSentAt, now);
        dropped > 0)
        logInfo("runs_unlisted",
            { { "worker", worker.incarnation.id }, { "runs", dropped }, { "listed_runs", reply.running.size() },
                { "listed_ends", reply.ended.size() } });
    if (worker.session->lastEndSequence() > worker.lastHandledEndSequence && canAcknowledge(worker, reply)) {
        worker.lastHandledEndSequence = worker.session->lastEndSequence();
        m_pendingAcknowledgements.emplace_back(handle, worker.lastHandledEndSequence);
        m_journal.requestFlush();
    }
    checkReconciled();
    retireIfDrained(handle);
    schedulePlan();
}

/// Applies the run ends that no report has listed yet. They are acknowledged only after a report.
void TaskLeader::handleListedEnds(WorkerHandle handle, const std::vector<RunEnd>& ends)
{
    updateConfigurationAge();
    auto lastReported = m_workers.at(handle).session->lastEndSequence();
    for (const auto& end : ends) {
        if (end.sequence > lastReported)
            m_scheduler.runEnded(handle, end, m_loop.now());
    }
    m_journal.requestFlush();
    schedulePlan();
}

/// Applies the ends as done in a reply that arrives after its worker was removed. Each run has its own number, so such
/// an end holds whichever incarnation reports it.
void TaskLeader::handleLateEnds(const std::vector<RunEnd>& ends)
{
    constexpr WorkerHandle removedWorker = 0;
    for (const auto& end : ends) {
        if (end.outcome == RunOutcome::Done)
            m_scheduler.runEnded(removedWorker, end, m_loop.now());
    }
    m_journal.requestFlush();
    schedulePlan();
}

void TaskLeader::handleStartReply(WorkerHandle handle, const StartTask& start, TaskCommandOutcome outcome)
{
    auto now = m_loop.now();
    m_metrics.recordStart(nameOf(outcome));
    if (outcome == TaskCommandOutcome::Accepted)
        return m_scheduler.commandAccepted(handle, start.task, start.run, now);
    logInfo("start_refused",
        { { "job", start.task.job }, { "step", start.task.step }, { "index", start.task.index }, { "run", start.run },
            { "worker", m_workers.at(handle).incarnation.id }, { "outcome", nameOf(outcome) } });
    auto refusal = TaskScheduler::StartRefusal::NotStarted;
    if (outcome == TaskCommandOutcome::InsufficientResources)
        refusal = TaskScheduler::StartRefusal::InsufficientResources;
    else if (outcome == TaskCommandOutcome::Superseded)
        refusal = TaskScheduler::StartRefusal::Superseded;
    else if (outcome == TaskCommandOutcome::NotSent)
        refusal = TaskScheduler::StartRefusal::NotSent;
    m_scheduler.startRefused(handle, start.task, start.run, refusal, now);
    schedulePlan();
}

}
