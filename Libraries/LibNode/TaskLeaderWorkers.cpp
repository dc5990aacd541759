#include <LibCore/Logger.h>
#include <LibHttp/EventLoop.h>
#include <LibNode/OutcomeNames.h>
#include <LibNode/TaskLeader.h>
#include <LibReport/NodeMetrics.h>
#include <algorithm>
#include <utility>

namespace Bergamot {

std::optional<WorkerHandle> TaskLeader::handleOf(const WorkerId& id) const
{
    auto it = m_handles.lower_bound({ id, 0 });
    if (it == m_handles.end() || it->first != id)
        return std::nullopt;
    return it->second;
}

void TaskLeader::applyWorkerRecord(const KeyedRecord& record)
{
    if (record.value.empty()) {
        m_listed.erase(record.key);
        return;
    }
    auto announcement = m_formats.readWorkerRecord(record);
    if (!announcement.ok())
        return;
    m_listed.insert(record.key);
    auto handle = handleOf(record.key);
    if (handle) {
        auto& worker = m_workers.at(*handle);
        bool sameIncarnation = worker.incarnation.startedAtMs == 0 || announcement->startedAtMs == 0
            || worker.incarnation.startedAtMs == announcement->startedAtMs;
        if (sameIncarnation)
            return updateAnnouncement(*handle, *announcement);
        // An older record of an earlier life says nothing of this one.
        if (announcement->startedAtMs < worker.incarnation.startedAtMs)
            return;
        forgetWorker(*handle);
    }
    addWorker({ .id = record.key, .address = announcement->address, .startedAtMs = announcement->startedAtMs },
        *announcement);
}

/// Reports are as fresh as the figures in them, half a second, until their number would take too much of the leader's
/// processor time.
Milliseconds TaskLeader::reportWaitFor(size_t workers)
{
    constexpr Milliseconds shortestWait { 500 };
    constexpr Milliseconds longestWait { 1000 };
    constexpr double reportsPerSecond = 600;
    constexpr double msPerSecond = 1000;
    auto wait = Milliseconds { static_cast<int64_t>(static_cast<double>(workers) / reportsPerSecond * msPerSecond) };
    return std::clamp(wait, shortestWait, longestWait);
}

void TaskLeader::addWorker(const WorkerIncarnation& incarnation, std::optional<WorkerAnnouncement> announcement)
{
    auto handle = ++m_lastHandle;
    auto& worker = m_workers[handle];
    worker.incarnation = incarnation;
    m_handles.emplace(incarnation.id, handle);
    worker.announcement = std::move(announcement);
    worker.stored
        = std::ranges::find(m_storedAssignedWorkers.workers, incarnation) != m_storedAssignedWorkers.workers.end();
    worker.session = std::make_unique<WorkerSession>(m_loop, m_taskExecutor,
        WorkerSession::Options { .host = { .id = incarnation.id, .address = incarnation.address },
            .startedAtMs = incarnation.startedAtMs,
            .epoch = m_options.epoch,
            .lease = leaseLength(),
            .orderTimeout = m_orderTimeout,
            .reportWait = m_reportWait,
            .questionWindow = m_questionWindow,
            .events = eventsOf(handle) });
    if (!worker.stored)
        m_assignedWorkersChanged = true;
    m_reportWait = reportWaitFor(m_workers.size());
    publishWorker(handle);
    // The lists of workers mean nothing before the jobs are known.
    if (m_linksStarted)
        worker.session->start();
    m_journal.wake();
}

void TaskLeader::updateAnnouncement(WorkerHandle handle, const WorkerAnnouncement& announcement)
{
    auto& worker = m_workers.at(handle);
    if (worker.announcement == announcement)
        return;
    if (worker.announcement && announcement.view.draining && !worker.announcement->view.draining)
        logInfo("worker_drains", { { "worker", worker.incarnation.id } });
    worker.announcement = announcement;
    publishWorker(handle);
}

/// A worker may get tasks once it has said what it is and the roster names it.
void TaskLeader::publishWorker(WorkerHandle handle)
{
    const auto& worker = m_workers.at(handle);
    if (!worker.announcement)
        return;
    m_scheduler.updateWorker(handle, worker.announcement->view);
    m_scheduler.setReachable(handle,
        worker.stored && worker.session && worker.session->isReachable() && m_listed.contains(worker.incarnation.id));
}

void TaskLeader::forgetWorker(WorkerHandle handle)
{
    auto it = m_workers.find(handle);
    if (it == m_workers.end())
        return;
    logInfo("worker_gone", { { "worker", it->second.incarnation.id }, { "born", it->second.incarnation.startedAtMs } });
    m_scheduler.removeWorker(handle, m_loop.now());
    // The link may be the caller, so it ends after it has returned. Until then, further answers of the worker may be at
    // hand: with 3,000 workers that started again, the second one found no worker and ended the process.
    it->second.session->close();
    m_loop.post([session = std::shared_ptr<WorkerSession>(std::move(it->second.session))] {});
    m_handles.erase({ it->second.incarnation.id, handle });
    m_workers.erase(it);
    m_assignedWorkersChanged = true;
    m_journal.wake();
    schedulePlan();
}

void TaskLeader::workersRead()
{
    for (auto& [handle, worker] : m_workers)
        publishWorker(handle);
    checkSettled();
    schedulePlan();
}

WorkerSession::Events TaskLeader::eventsOf(WorkerHandle handle)
{
    return {
        .onReport = [this, handle](const RenewLeaseReply& answer,
                        Instant requestSentAt) { reportReceived(handle, answer, requestSentAt); },
        .onStartAnswered
        = [this, handle](const StartTask& start, TaskCommandOutcome outcome) { startAnswered(handle, start, outcome); },
        .onStopAccepted = [this, handle](const TaskRef& task,
                              uint64_t run) { m_scheduler.commandAccepted(handle, task, run, m_loop.now()); },
        .onReachableChanged =
            [this, handle](bool reachable) {
                auto& worker = m_workers.at(handle);
                logInfo(reachable ? "worker_regained" : "worker_lost", { { "worker", worker.incarnation.id } });
                publishWorker(handle);
                schedulePlan();
            },
        .onLapsed =
            [this, handle] {
                auto& worker = m_workers.at(handle);
                logWarning("worker_lapsed", { { "worker", worker.incarnation.id } });
                m_scheduler.markRunsLost(handle, m_loop.now());
                checkSettled();
                if (!m_listed.contains(worker.incarnation.id))
                    return forgetWorker(handle);
                schedulePlan();
            },
        .onIncarnationMismatch = [this, handle] { forgetWorker(handle); },
        .onFenced = [this] { m_loop.post([fenced = m_options.onFenced] { fenced(); }); },
    };
}

/// The end of a job that is not known is kept, here and on its worker, until the jobs have been read once more: the job
/// may have been accepted and run under an earlier leader since they were read.
bool TaskLeader::mayAcknowledge(Worker& worker, const RenewLeaseReply& answer)
{
    worker.endsOfUnknownJobs.clear();
    for (const auto& end : answer.ended) {
        if (!m_scheduler.stateOf(end.task.job))
            worker.endsOfUnknownJobs.push_back(end);
    }
    if (worker.endsOfUnknownJobs.empty())
        return true;
    if (worker.unknownEndSequence < worker.session->seenSequence()) {
        worker.unknownEndSequence = worker.session->seenSequence();
        worker.unknownEndSeenAt = m_loop.now();
    }
    return jobsCurrentAsOf() > worker.unknownEndSeenAt;
}

void TaskLeader::applyEndsOf(const JobId& job)
{
    for (const auto& [handle, worker] : m_workers) {
        for (const auto& end : worker.endsOfUnknownJobs) {
            if (end.task.job == job)
                m_scheduler.runEnded(handle, end, m_loop.now());
        }
    }
}

void TaskLeader::reportReceived(WorkerHandle handle, const RenewLeaseReply& answer, Instant requestSentAt)
{
    auto now = m_loop.now();
    auto& worker = m_workers.at(handle);
    if (worker.incarnation.startedAtMs == 0)
        worker.incarnation.startedAtMs = worker.session->startedAtMs();
    for (const auto& end : answer.ended) {
        bool isNew = end.sequence > worker.endsToStore;
        if (isNew && (end.outcome == RunOutcome::Failed || end.outcome == RunOutcome::LeaseExpired))
            logInfo("run_ended",
                { { "job", end.task.job }, { "step", end.task.step }, { "index", end.task.index }, { "run", end.run },
                    { "worker", worker.incarnation.id }, { "outcome", nameOf(end.outcome) } });
        if (isNew)
            m_metrics.recordRunEnd(nameOf(end.outcome));
        m_scheduler.runEnded(handle, end, now);
    }
    // A worker of the roster that has not announced itself yet still holds runs that are to be known.
    if (!worker.announcement)
        m_scheduler.updateWorker(handle, { .id = worker.incarnation.id });
    m_scheduler.runsReported(handle, answer.running, requestSentAt, now);
    if (worker.session->seenSequence() > worker.endsToStore && mayAcknowledge(worker, answer)) {
        worker.endsToStore = worker.session->seenSequence();
        m_acknowledgements.emplace_back(handle, worker.endsToStore);
        m_journal.wake();
    }
    checkSettled();
    schedulePlan();
}

void TaskLeader::startAnswered(WorkerHandle handle, const StartTask& start, TaskCommandOutcome outcome)
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
    m_scheduler.startRefused(handle, start.task, start.run, refusal, now);
    schedulePlan();
}

}
