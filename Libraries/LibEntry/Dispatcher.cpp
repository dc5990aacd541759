#include <LibCore/Logger.h>
#include <LibCore/StatusText.h>
#include <LibDecision/Rendezvous.h>
#include <LibDecision/Timing.h>
#include <LibEntry/Dispatcher.h>
#include <LibHttp/ConnectionRefused.h>
#include <algorithm>
#include <utility>

namespace Bergamot {

static constexpr size_t targetPollsPerSecond = 8;
static constexpr Milliseconds minPollInterval { 1000 };
static constexpr Milliseconds maxPollInterval { 10'000 };
static constexpr Milliseconds unreachableTimeout { 5000 };

/// The record of a task end is dropped when it is still queued after this time. The worker's next lease report lists
/// the end again.
static constexpr Milliseconds taskEndAppendTimeout { 5000 };

Dispatcher::Dispatcher(Options options, LogStream& region, Membership& membership)
    : m_options(std::move(options))
    , m_region(region)
    , m_membership(membership)
{
}

template <typename Reply, typename Handler> auto Dispatcher::onControlThread(Handler handler)
{
    return [executor = m_options.executor, alive = std::weak_ptr(m_alive), handler](absl::StatusOr<Reply> reply) {
        executor([alive, handler, reply = std::move(reply)] {
            if (!alive.expired())
                handler(reply);
        });
    };
}

// The rendezvous order of a worker depends only on the set of serving members, so the result is cached until that set
// changes.
bool Dispatcher::isResponsible(const WorkerId& worker)
{
    auto [it, inserted] = m_responsibilityByWorker.try_emplace(worker, false);
    if (inserted) {
        auto order = rendezvousOrder(worker, m_servingMembers);
        it->second = !order.empty() && order.front() == m_options.member;
    }
    return it->second;
}

Milliseconds Dispatcher::pollInterval(size_t servedWorkerCount) const
{
    auto intervalForPollRate = Milliseconds { 1000 * servedWorkerCount / targetPollsPerSecond };
    return std::clamp(intervalForPollRate, minPollInterval, maxPollInterval);
}

void Dispatcher::tick(Instant now)
{
    auto servingMembers = m_membership.servingMembers(now);
    const auto& workers = m_region.state().image().workers;
    // Cache entries of removed workers remain until the cache has more entries than there are workers.
    if (servingMembers != m_servingMembers || m_responsibilityByWorker.size() > workers.size())
        m_responsibilityByWorker.clear();
    m_servingMembers = std::move(servingMembers);
    std::set<WorkerId> servedWorkers;
    for (const auto& [id, worker] : workers) {
        if (!isResponsible(id))
            continue;
        servedWorkers.insert(id);
        serveWorker(worker, now);
    }
    m_servedWorkerCount = servedWorkers.size();
    // Drops the state of workers that another member serves. A worker with a poll in flight keeps it until the reply.
    std::erase_if(
        m_workerLinks, [&](const auto& it) { return !servedWorkers.contains(it.first) && !it.second.isPolling; });
}

void Dispatcher::serveWorker(const WorkerInfo& worker, Instant now)
{
    auto& link = m_workerLinks[worker.spec.worker];
    if (!link.isPolling && now >= link.nextPoll)
        poll(worker, link, now);
    // Until the worker first replies, there is no clock reading to compute lease expiry from, and the running tasks are
    // not known.
    if (!link.hasClock())
        return;
    // The next report shows whether another process answers at the address.
    if (link.refusedConnections > 0)
        return;
    for (const auto& id : worker.jobs) {
        const auto* job = m_region.state().findJob(id);
        if (!job)
            continue;
        // A stop makes sure that no delayed start of a crashed attempt takes effect in the worker's new process.
        if (job->phase == JobPhase::Revoking || job->cancelRequested
            || link.crashedTasks.contains({ id, job->attempt }))
            stopTask(worker, link, *job);
        else if (!link.runningTasks.contains({ id, job->attempt })
            && !link.unansweredStarts.contains({ id, job->attempt }))
            startTask(worker, link, *job, now);
    }
}

void Dispatcher::poll(const WorkerInfo& worker, WorkerLink& link, Instant now)
{
    link.nextPoll = now + pollInterval(m_servedWorkerCount);
    LeaseRenewal renewal;
    // Without renewal authority the request renews no lease, but the reply still reports the tasks that have ended.
    if (link.hasClock() && m_membership.mayRenew(now)) {
        renewal.leaseUntilMs = link.earliestClockAt(now) + Timing::renewedLeaseDuration.count();
        for (const auto& id : worker.jobs) {
            const auto* job = m_region.state().findJob(id);
            if (job && job->phase == JobPhase::Placed && !job->cancelRequested)
                renewal.tasks.push_back({ id, job->attempt });
        }
    }
    for (const auto& task : link.endedTasks) {
        const auto* job = m_region.state().findJob(task.job);
        bool isRecorded = !job || !job->holdsCommitment() || job->attempt != task.attempt;
        if (isRecorded)
            renewal.acknowledged.push_back(task);
    }
    link.isPolling = true;
    m_options.workers->renew(worker.spec.address, renewal,
        onControlThread<LeaseReport>([this, id = worker.spec.worker](const auto& reply) { pollFinished(id, reply); }));
}

void Dispatcher::pollFinished(const WorkerId& id, const absl::StatusOr<LeaseReport>& reply)
{
    auto it = m_workerLinks.find(id);
    if (it == m_workerLinks.end())
        return;
    auto& link = it->second;
    link.isPolling = false;
    if (!reply.ok()) {
        recordFailedCall(link, reply.status());
        logDebug("poll_failed", { { "worker", id }, { "error", statusText(reply.status()) } });
        return;
    }
    link.failedCallsSinceReport = 0;
    processReport(id, link, *reply, m_options.clock->now());
}

void Dispatcher::recordClockReading(WorkerLink& link, int64_t workerClockMs)
{
    link.workerClockMs = workerClockMs;
    link.clockReadAt = m_options.clock->now();
    link.lastReplyAt = link.clockReadAt;
}

void Dispatcher::recordFailedCall(WorkerLink& link, const absl::Status& status)
{
    ++link.failedCallsSinceReport;
    link.refusedConnections += isConnectionRefused(status) ? 1 : 0;
}

/// A worker that has refused connections and does not know its tasks any more is a new process: the earlier one has
/// ended, and its tasks with it. Silence or an unknown task alone do not prove that.
void Dispatcher::findCrashedTasks(const WorkerId& id, WorkerLink& link, const LeaseReport& report)
{
    // A single refusal may reach a worker that is just starting.
    constexpr uint32_t minRefusedConnections { 2 };
    auto isRecorded = [&](const TaskId& task) {
        const auto* job = m_region.state().findJob(task.job);
        return !job || !job->holdsCommitment() || job->attempt != task.attempt;
    };
    std::erase_if(link.crashedTasks, [&](const auto& it) { return isRecorded(it.first); });
    bool wasRefused = std::exchange(link.refusedConnections, 0) >= minRefusedConnections;
    const auto* worker = m_region.state().findWorker(id);
    if (!wasRefused || !worker)
        return;
    auto lost = link.runningTasks;
    lost.insert(link.unansweredStarts.begin(), link.unansweredStarts.end());
    for (const auto& usage : report.running)
        lost.erase(usage.task);
    for (const auto& ended : report.ended)
        lost.erase(ended.task);
    auto tasks = static_cast<uint32_t>(worker->jobs.size());
    for (const auto& task : lost) {
        if (isRecorded(task))
            continue;
        // A task that has not answered its start may not have run, so it is not held solely responsible.
        bool hasRun = link.runningTasks.contains(task);
        link.crashedTasks.emplace(task, hasRun ? tasks : tasks + 1);
        logWarning(
            "task_crashed", { { "job", task.job }, { "attempt", task.attempt }, { "worker", id }, { "tasks", tasks } });
    }
}

void Dispatcher::processReport(const WorkerId& id, WorkerLink& link, const LeaseReport& report, Instant)
{
    findCrashedTasks(id, link, report);
    recordClockReading(link, report.workerClockMs);
    link.runningTasks.clear();
    link.unansweredStarts.clear();
    for (const auto& usage : report.running)
        link.runningTasks.insert(usage.task);
    link.endedTasks.clear();
    for (const auto& ended : report.ended) {
        link.endedTasks.insert(ended.task);
        const auto* job = m_region.state().findJob(ended.task.job);
        if (job && job->holdsCommitment() && job->attempt == ended.task.attempt && job->worker == id)
            submitTaskEnd(*job, ended.outcome, ended.checkpoint, ended.result);
    }
    if (m_reportObserver)
        m_reportObserver(id, report);
}

void Dispatcher::submitTaskEnd(
    const JobState& job, TaskOutcome outcome, std::string checkpoint, std::string result, uint32_t crashedTasks)
{
    // Only the leader declares a task lost. A worker that reports the loss itself confirms that the task is not
    // running.
    if (outcome == TaskOutcome::Lost)
        outcome = TaskOutcome::Evicted;
    m_region.appends().submit(
        TaskEnded {
            .epoch = m_membership.epoch(),
            .job = job.spec.job,
            .attempt = job.attempt,
            .outcome = outcome,
            .checkpoint = std::move(checkpoint),
            .result = std::move(result),
            .crashedTasks = crashedTasks,
        },
        {}, m_options.clock->now() + taskEndAppendTimeout);
}

void Dispatcher::startTask(const WorkerInfo& worker, WorkerLink& link, const JobState& job, Instant now)
{
    TaskId task { job.spec.job, job.attempt };
    auto lastLogRead = m_membership.renewalAuthority().lastLogRead();
    if (link.startingTasks.contains(task) || link.endedTasks.contains(task)
        || now - lastLogRead >= Timing::initialLeaseDuration)
        return;
    link.startingTasks.insert(task);
    ++m_startsSent;
    TaskStart start {
        .task = task,
        .kind = job.spec.kind,
        .size = job.spec.size,
        .runMs = job.spec.runMs,
        // The lease counts from the last log read, so that a delayed start expires before a later decision in the log
        // conflicts with it.
        .leaseUntilMs = link.earliestClockAt(lastLogRead) + Timing::initialLeaseDuration.count(),
        .checkpoint = job.checkpoint,
        .isService = job.spec.isService,
    };
    m_options.workers->start(worker.spec.address, start,
        onControlThread<StartReply>(
            [this, id = worker.spec.worker, task](const auto& reply) { startFinished(id, task, reply); }));
}

void Dispatcher::startFinished(const WorkerId& id, const TaskId& task, const absl::StatusOr<StartReply>& reply)
{
    auto it = m_workerLinks.find(id);
    if (it == m_workerLinks.end())
        return;
    auto& link = it->second;
    link.startingTasks.erase(task);
    const auto* job = m_region.state().findJob(task.job);
    if (!reply.ok()) {
        // The task may have started. The next poll shows whether it runs, and a start request is idempotent.
        if (!isConnectionRefused(reply.status())) {
            link.unansweredStarts.insert(task);
            link.nextPoll = m_options.clock->now();
        }
        recordFailedCall(link, reply.status());
        return;
    }
    recordClockReading(link, reply->workerClockMs);
    if (reply->result == StartResult::Refused) {
        logInfo("start_refused", { { "job", task.job }, { "worker", id }, { "reason", reply->reason } });
        if (job && job->holdsCommitment() && job->attempt == task.attempt)
            submitTaskEnd(*job, TaskOutcome::Refused, "", "");
        link.endedTasks.insert(task);
        return;
    }
    if (reply->result == StartResult::AlreadyEnded) {
        // A worker that lost its tasks does not list them as ended in its lease reports, but its reply to a stop
        // request gives the outcome.
        const auto* worker = m_region.state().findWorker(id);
        if (worker && job && job->holdsCommitment() && job->attempt == task.attempt && job->worker == id)
            stopTask(*worker, link, *job);
        return;
    }
    link.runningTasks.insert(task);
    // The initial lease is short, so the next poll, which renews it, is due after at most 500 ms.
    link.nextPoll = std::min(link.nextPoll, m_options.clock->now() + Milliseconds { 500 });
}

void Dispatcher::stopTask(const WorkerInfo& worker, WorkerLink& link, const JobState& job)
{
    TaskId task { job.spec.job, job.attempt };
    if (link.stoppingTasks.contains(task) || link.endedTasks.contains(task))
        return;
    link.stoppingTasks.insert(task);
    bool checkpoint = !job.cancelRequested;
    m_options.workers->stop(worker.spec.address, task, checkpoint,
        onControlThread<StopReply>(
            [this, id = worker.spec.worker, task](const auto& reply) { stopFinished(id, task, reply); }));
}

void Dispatcher::stopFinished(const WorkerId& id, const TaskId& task, const absl::StatusOr<StopReply>& reply)
{
    auto it = m_workerLinks.find(id);
    if (it == m_workerLinks.end())
        return;
    auto& link = it->second;
    link.stoppingTasks.erase(task);
    if (!reply.ok()) {
        recordFailedCall(link, reply.status());
        return;
    }
    recordClockReading(link, reply->workerClockMs);
    link.runningTasks.erase(task);
    link.endedTasks.insert(task);
    const auto* job = m_region.state().findJob(task.job);
    if (!job || !job->holdsCommitment() || job->attempt != task.attempt)
        return;
    auto crashed = link.crashedTasks.find(task);
    if (crashed != link.crashedTasks.end() && reply->ended.outcome == TaskOutcome::Refused)
        submitTaskEnd(*job, TaskOutcome::Evicted, "", "", crashed->second);
    else
        submitTaskEnd(*job, reply->ended.outcome, reply->ended.checkpoint, reply->ended.result);
}

void Dispatcher::throttle(const JobState& job, int cpuPercent)
{
    const auto* worker = m_region.state().findWorker(job.worker);
    if (!worker)
        return;
    m_options.workers->throttle(
        worker->spec.address, { job.spec.job, job.attempt }, cpuPercent, [](const absl::Status&) {});
}

std::vector<WorkerId> Dispatcher::unreachableWorkers(Instant now) const
{
    std::vector<WorkerId> result;
    for (const auto& [id, link] : m_workerLinks) {
        if (link.failedCallsSinceReport >= 2 && now - link.lastReplyAt > unreachableTimeout)
            result.push_back(id);
    }
    return result;
}

}
