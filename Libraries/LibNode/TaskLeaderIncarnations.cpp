#include <LibCore/Logger.h>
#include <LibHttp/EventLoop.h>
#include <LibNode/TaskLeader.h>
#include <algorithm>
#include <utility>

// Replaces workers by later incarnations under the same id.

namespace Bergamot {

/// An entry may come from another writer, so it ends no lease: the worker is replaced once a later incarnation has
/// replied, at the address of the worker or at the announced one, or once the lease has expired.
void TaskLeader::checkAnnouncedSuccessor(WorkerHandle handle, const WorkerAnnouncement& announcement)
{
    auto& worker = m_workers.at(handle);
    if (canReplaceUnproven(worker))
        return replaceByAnnounced(handle, announcement);
    const auto& known = worker.announcedSuccessor;
    bool isCheckDue = known.has_value();
    bool isSameSuccessor
        = known && known->startedAtMs == announcement.startedAtMs && known->address == announcement.address;
    worker.announcedSuccessor = announcement;
    if (isSameSuccessor)
        return;
    worker.successorAnnouncedAt = m_loop.now();
    if (worker.isSessionStarted)
        worker.session->proveIncarnation();
    probeAnnouncedAddress(handle);
    if (!isCheckDue)
        checkAnnouncedSuccessorLater(handle);
}

/// Whether no lease of the worker depends on the truth of an entry: this leader has started nothing on a worker that it
/// has not reached, and waits with the tasks of earlier leaders for the successor as for the worker.
bool TaskLeader::canReplaceUnproven(const Worker& worker)
{
    return worker.session->isUnreached() || worker.session->haveLeasesExpired();
}

void TaskLeader::replaceByAnnounced(WorkerHandle handle, WorkerAnnouncement announcement)
{
    WorkerIncarnation successor { .id = m_workers.at(handle).incarnation.id,
        .address = announcement.address,
        .startedAtMs = announcement.startedAtMs };
    replaceWorker(handle, successor, std::move(announcement));
}

void TaskLeader::checkAnnouncedSuccessorLater(WorkerHandle handle)
{
    constexpr Milliseconds interval { 200 };
    m_loop.callAfter(interval, [this, alive = m_alive, handle] {
        if (*alive)
            decideOnAnnouncedSuccessor(handle);
    });
}

void TaskLeader::decideOnAnnouncedSuccessor(WorkerHandle handle)
{
    auto it = m_workers.find(handle);
    if (it == m_workers.end() || !it->second.announcedSuccessor)
        return;
    auto& worker = it->second;
    if (canReplaceUnproven(worker))
        return replaceByAnnounced(handle, *std::exchange(worker.announcedSuccessor, std::nullopt));
    if (worker.session->answeredRequestSentAt() < worker.successorAnnouncedAt) {
        probeAnnouncedAddress(handle);
        return checkAnnouncedSuccessorLater(handle);
    }
    logWarning("announced_incarnation_contradicted",
        { { "worker", worker.incarnation.id }, { "born", worker.incarnation.startedAtMs },
            { "announced_born", worker.announcedSuccessor->startedAtMs },
            { "announced_address", worker.announcedSuccessor->address } });
    worker.announcedSuccessor.reset();
}

/// Asks the process at the announced address which incarnation it is. The session asks the one at the worker's address.
void TaskLeader::probeAnnouncedAddress(WorkerHandle handle)
{
    auto& worker = m_workers.at(handle);
    const auto& address = worker.announcedSuccessor->address;
    if (!worker.isSessionStarted || worker.isSuccessorProbed || address == worker.incarnation.address)
        return;
    worker.isSuccessorProbed = true;
    TaskExecutorAddress executor { .id = worker.incarnation.id, .address = address };
    auto fenceToken = m_lastSessions.at(worker.incarnation.id).fenceToken;
    m_taskExecutor.renewLease(executor, fenceToken, {},
        [this, alive = m_alive, handle, address](const absl::StatusOr<RenewLeaseReply>& reply) {
            if (*alive)
                handleProbeReply(handle, address, reply);
        });
}

void TaskLeader::handleProbeReply(
    WorkerHandle handle, const std::string& address, const absl::StatusOr<RenewLeaseReply>& reply)
{
    auto it = m_workers.find(handle);
    if (it == m_workers.end())
        return;
    auto& worker = it->second;
    worker.isSuccessorProbed = false;
    bool isSuccessor = reply.ok() && reply->commandReply.outcome == TaskCommandOutcome::Accepted
        && worker.incarnation.startedAtMs != 0 && reply->commandReply.startedAtMs > worker.incarnation.startedAtMs;
    if (!isSuccessor)
        return;
    WorkerIncarnation successor {
        .id = worker.incarnation.id, .address = address, .startedAtMs = reply->commandReply.startedAtMs
    };
    auto announced = std::exchange(worker.announcedSuccessor, std::nullopt);
    if (announced && (announced->startedAtMs != successor.startedAtMs || announced->address != address))
        announced.reset();
    replaceWorker(handle, successor, std::move(announced));
}

/// Runs that the later incarnation at the address of a worker may have taken for the former one.
std::vector<StopTask> TaskLeader::stopsOfRunsOnSuccessor(WorkerHandle handle)
{
    const auto& session = *m_workers.at(handle).session;
    auto stops = session.stopsOfPossibleRuns();
    std::erase_if(stops, [&](const StopTask& it) { return !m_scheduler.isUnconfirmed(handle, it.task, it.run); });
    for (auto& it : session.stopsOfUnprovenRuns()) {
        if (m_scheduler.hasRun(handle, it.task, it.run))
            stops.push_back(std::move(it));
    }
    return stops;
}

/// Replaces a worker by a later incarnation. A start may have reached the later one, which is told to stop the run
/// before the task may start again.
void TaskLeader::replaceWorker(
    WorkerHandle handle, const WorkerIncarnation& successor, std::optional<WorkerAnnouncement> announcement)
{
    const auto& worker = m_workers.at(handle);
    std::vector<StopTask> stops;
    if (worker.incarnation.address == successor.address)
        stops = stopsOfRunsOnSuccessor(handle);
    bool mayRunEarlierTasks = worker.mayRunEarlierTasks;
    for (const auto& stop : stops)
        recordUnansweredStart(worker.incarnation, stop.task, stop.run);
    removeWorker(handle, endOf(worker));
    auto successorHandle = addWorker(successor, std::move(announcement));
    m_workers.at(successorHandle).mayRunEarlierTasks = mayRunEarlierTasks;
    for (const auto& stop : stops) {
        logInfo("run_may_be_on_successor",
            { { "job", stop.task.job }, { "step", stop.task.step }, { "index", stop.task.index }, { "run", stop.run },
                { "worker", successor.id } });
        m_scheduler.stopPossibleRun(successorHandle, stop.task, stop.run, m_loop.now());
    }
}

/// The platform may list the later incarnation only seconds after its first reply.
void TaskLeader::handleIncarnationMismatch(WorkerHandle handle)
{
    const auto& worker = m_workers.at(handle);
    auto successor = worker.incarnation;
    successor.startedAtMs = worker.session->successorStartedAtMs();
    if (auto announced = worker.announcedSuccessor;
        announced && announced->startedAtMs == successor.startedAtMs && successor.startedAtMs != 0) {
        successor.address = announced->address;
        return replaceWorker(handle, successor, std::move(announced));
    }
    if (successor.startedAtMs <= worker.incarnation.startedAtMs) {
        // Another process has the address of the worker, which has announced that it started again elsewhere.
        if (auto announced = worker.announcedSuccessor; announced && announced->address != worker.incarnation.address)
            return replaceByAnnounced(handle, std::move(*announced));
        return removeWorker(handle, endOf(worker));
    }
    // Until it has a session of its own, it executes late calls for the former incarnation.
    replaceWorker(handle, successor, std::nullopt);
}

/// Whether calls for an earlier incarnation of the worker, from this leader or from an earlier one, may reach this one.
bool TaskLeader::mayHoldMisdirectedLease(const WorkerIncarnation& incarnation) const
{
    const auto& stored = m_storedAssignedWorkers;
    if (std::ranges::find(stored.workers, incarnation) != stored.workers.end())
        return std::ranges::find(stored.withMisdirectedLeases, incarnation) != stored.withMisdirectedLeases.end();
    return m_options.hasPredecessor || m_loop.now() < misdirectedCallsEndBy(incarnation.id);
}

Instant TaskLeader::misdirectedCallsEndBy(const WorkerId& id) const
{
    auto it = m_lastSessions.find(id);
    return it == m_lastSessions.end() ? neverInstant : it->second.misdirectedStartsEndBy;
}

/// Starts the session once this leader has a fencing token above that of its last session with the worker. A call for
/// an earlier incarnation carries that token, so that this one refuses it from its first reply on.
void TaskLeader::startSession(Worker& worker)
{
    auto token = m_options.fenceToken();
    auto& last = m_lastSessions[worker.incarnation.id];
    if (token <= last.fenceToken)
        return;
    last.fenceToken = token;
    worker.isSessionStarted = true;
    worker.session->start(token);
}

void TaskLeader::startDueSessions()
{
    if (!m_areSessionsStarted)
        return;
    for (auto& [handle, worker] : m_workers) {
        if (!worker.isSessionStarted)
            startSession(worker);
    }
}

uint64_t TaskLeader::storedFirstReplyEpoch(const WorkerIncarnation& incarnation) const
{
    const auto& stored = m_storedAssignedWorkers;
    auto it = std::ranges::find(stored.firstReplies, incarnation, &FirstReply::worker);
    if (it == stored.firstReplies.end())
        return 0;
    // A worker that was removed may have been replaced by a later incarnation since.
    bool isStored = std::ranges::find(stored.workers, incarnation) != stored.workers.end();
    return isStored ? it->epoch : 0;
}

/// The epoch in which this incarnation of the worker first replied, if the next election is known to have followed; 0
/// otherwise. A leader that was paused or cut off may read the reply after that election.
uint64_t TaskLeader::firstReplyEpochOf(const Worker& worker) const
{
    const auto& session = *worker.session;
    if (worker.incarnation.startedAtMs == 0 || session.startedAtMs() != worker.incarnation.startedAtMs)
        return 0;
    if (worker.firstReplyEpoch > 0)
        return worker.firstReplyEpoch;
    bool isBeforeNextElection
        = session.firstReplyAt() != neverInstant && session.firstReplyAt() <= m_options.soleLeaderUntil();
    return isBeforeNextElection ? m_options.epoch : 0;
}

/// Local time by which a lease has expired that a misdirected call granted to a worker whose first reply came in the
/// epoch; nullopt if that epoch is unknown.
std::optional<Instant> TaskLeader::misdirectedLeaseExpiresBy(uint64_t firstReplyEpoch) const
{
    if (firstReplyEpoch == 0 || firstReplyEpoch >= m_options.epoch)
        return std::nullopt;
    auto nextElectedBy = m_options.elections.electedBy(firstReplyEpoch + 1);
    if (!nextElectedBy)
        return std::nullopt;
    return *nextElectedBy + WorkerClock::maxLocalTime(m_options.node.maxLease.count());
}

void TaskLeader::addMisdirectedLease(Worker& worker, AssignedWorkers& assigned) const
{
    worker.isMisdirectedLeaseStored = worker.session->mayHoldMisdirectedLease();
    worker.firstReplyEpoch = firstReplyEpochOf(worker);
    if (!worker.isMisdirectedLeaseStored)
        return;
    assigned.withMisdirectedLeases.push_back(worker.incarnation);
    if (worker.firstReplyEpoch > 0)
        assigned.firstReplies.push_back({ .worker = worker.incarnation, .epoch = worker.firstReplyEpoch });
}

/// Has the assigned workers stored again once fewer of them may hold leases of the longest duration, or it is known
/// when such leases expire, so that a later leader need not wait for them.
void TaskLeader::updateMisdirectedLeases()
{
    constexpr Milliseconds interval { 1000 };
    if (m_loop.now() - m_misdirectedLeasesCheckedAt < interval)
        return;
    m_misdirectedLeasesCheckedAt = m_loop.now();
    bool isOutdated = std::ranges::any_of(m_workers, [this](const auto& it) {
        const auto& worker = it.second;
        return worker.isMisdirectedLeaseStored
            && (!worker.session->mayHoldMisdirectedLease() || firstReplyEpochOf(worker) != worker.firstReplyEpoch);
    });
    if (!isOutdated)
        return;
    m_assignedWorkersChanged = true;
    m_journal.requestFlush();
}

/// Whether a worker that this leader has not reached may run tasks of earlier leaders under a lease of the longest
/// duration, which outlasts the wait of a take-over.
bool TaskLeader::mayMisdirectedLeaseLast() const
{
    return !m_isReconciled && std::ranges::any_of(m_workers, [](const auto& it) {
        const auto& [handle, worker] = it;
        return worker.mayRunEarlierTasks && worker.session->isUnreached() && worker.session->mayHoldMisdirectedLease()
            && !worker.session->haveLeasesExpired();
    });
}

}
