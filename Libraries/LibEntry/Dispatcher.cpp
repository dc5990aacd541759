#include <LibCore/Logger.h>
#include <LibCore/StatusText.h>
#include <LibDecision/Rendezvous.h>
#include <LibDecision/Timing.h>
#include <LibEntry/Dispatcher.h>
#include <algorithm>
#include <utility>

namespace Bergamot {

static constexpr size_t pollsPerSecond = 8;
static constexpr Milliseconds minPollInterval { 1000 };
static constexpr Milliseconds maxPollInterval { 10'000 };
static constexpr Milliseconds unreachableAfter { 5000 };

/// Time in which an end that was submitted to the log is expected to be applied, before it is submitted again.
static constexpr Milliseconds endRetry { 5000 };

Dispatcher::Dispatcher(Options options, LogStream& region, Membership& membership)
    : m_options(std::move(options))
    , m_region(region)
    , m_membership(membership)
{
}

template <typename Reply, typename Handler> auto Dispatcher::onControl(Handler handler)
{
    return [executor = m_options.executor, alive = std::weak_ptr(m_alive), handler](absl::StatusOr<Reply> reply) {
        executor([alive, handler, reply = std::move(reply)] {
            if (!alive.expired())
                handler(reply);
        });
    };
}

// The rendezvous order of a worker changes only with the reachable members, so it is computed once for each set of
// them.
bool Dispatcher::isResponsible(const WorkerId& worker)
{
    auto [it, inserted] = m_responsible.try_emplace(worker, false);
    if (inserted) {
        auto order = rendezvousOrder(worker, m_reachable);
        it->second = !order.empty() && order.front() == m_options.member;
    }
    return it->second;
}

Milliseconds Dispatcher::pollInterval(size_t workersServed) const
{
    auto byRate = Milliseconds { 1000 * workersServed / pollsPerSecond };
    return std::clamp(byRate, minPollInterval, maxPollInterval);
}

void Dispatcher::tick(Instant now)
{
    auto reachable = m_membership.servingMembers(now);
    const auto& workers = m_region.state().image().workers;
    // Entries of workers that are gone stay until there are more entries than workers.
    if (reachable != m_reachable || m_responsible.size() > workers.size())
        m_responsible.clear();
    m_reachable = std::move(reachable);
    std::set<WorkerId> served;
    for (const auto& [id, worker] : workers) {
        if (!isResponsible(id))
            continue;
        served.insert(id);
        serveWorker(worker, now);
    }
    m_served = served.size();
    // What another member serves now is no longer known here; a call in flight still needs its link.
    std::erase_if(m_links, [&](const auto& it) { return !served.contains(it.first) && !it.second.polling; });
}

void Dispatcher::serveWorker(const WorkerInfo& worker, Instant now)
{
    auto& link = m_links[worker.spec.worker];
    if (!link.polling && now >= link.nextPoll)
        poll(worker, link, now);
    // Without an answer yet there is no clock to compute a lease from, and the poll shows what already runs.
    if (!link.hasClock())
        return;
    for (const auto& id : worker.jobs) {
        const auto* job = m_region.state().findJob(id);
        if (!job)
            continue;
        if (job->phase == JobPhase::Revoking || job->cancelRequested)
            stopTask(worker, link, *job);
        else if (!link.running.contains({ id, job->attempt }))
            startTask(worker, link, *job, now);
    }
}

void Dispatcher::poll(const WorkerInfo& worker, WorkerLink& link, Instant now)
{
    link.nextPoll = now + pollInterval(m_served);
    LeaseRenewal renewal;
    // A renewal that this process may not grant is left out; the poll itself still shows what has ended.
    if (link.hasClock() && m_membership.mayRenew(now)) {
        renewal.leaseUntilMs = link.clockAt(now) + Timing::renewedLeaseDuration.count();
        for (const auto& id : worker.jobs) {
            const auto* job = m_region.state().findJob(id);
            if (job && job->phase == JobPhase::Placed && !job->cancelRequested)
                renewal.tasks.push_back({ id, job->attempt });
        }
    }
    for (const auto& task : link.reportedEnds) {
        const auto* job = m_region.state().findJob(task.job);
        bool recorded = !job || !job->holdsCommitment() || job->attempt != task.attempt;
        if (recorded)
            renewal.acknowledged.push_back(task);
    }
    link.polling = true;
    m_options.workers->renew(worker.spec.address, renewal,
        onControl<LeaseReport>([this, id = worker.spec.worker](const auto& reply) { pollFinished(id, reply); }));
}

void Dispatcher::pollFinished(const WorkerId& id, const absl::StatusOr<LeaseReport>& reply)
{
    auto it = m_links.find(id);
    if (it == m_links.end())
        return;
    auto& link = it->second;
    link.polling = false;
    if (!reply.ok()) {
        ++link.failures;
        logDebug("poll_failed", { { "worker", id }, { "error", statusText(reply.status()) } });
        return;
    }
    link.failures = 0;
    takeReport(id, link, *reply, m_options.clock->now());
}

void Dispatcher::noteClock(WorkerLink& link, int64_t workerClockMs)
{
    link.workerClockMs = workerClockMs;
    link.readAt = m_options.clock->now();
    link.lastAnswer = link.readAt;
}

void Dispatcher::takeReport(const WorkerId& id, WorkerLink& link, const LeaseReport& report, Instant)
{
    noteClock(link, report.workerClockMs);
    link.running.clear();
    for (const auto& usage : report.running)
        link.running.insert(usage.task);
    link.reportedEnds.clear();
    for (const auto& ended : report.ended) {
        link.reportedEnds.insert(ended.task);
        const auto* job = m_region.state().findJob(ended.task.job);
        if (job && job->holdsCommitment() && job->attempt == ended.task.attempt && job->worker == id)
            recordEnd(*job, ended.outcome, ended.checkpoint, ended.result);
    }
    if (m_reportObserver)
        m_reportObserver(id, report);
}

void Dispatcher::recordEnd(const JobState& job, TaskOutcome outcome, std::string checkpoint, std::string result)
{
    // `Lost` is a decision of the leader; a worker that reports the loss itself has confirmed that nothing runs.
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
        },
        {}, m_options.clock->now() + endRetry);
}

void Dispatcher::startTask(const WorkerInfo& worker, WorkerLink& link, const JobState& job, Instant now)
{
    TaskId task { job.spec.job, job.attempt };
    auto logRead = m_membership.renewalAuthority().lastLogRead();
    if (link.starting.contains(task) || link.reportedEnds.contains(task)
        || now - logRead >= Timing::initialLeaseDuration)
        return;
    link.starting.insert(task);
    ++m_startsSent;
    TaskStart start {
        .task = task,
        .kind = job.spec.kind,
        .size = job.spec.size,
        .runMs = job.spec.runMs,
        // Counted from the newest knowledge of the log, so that a delayed start lapses before anything newer matters.
        .leaseUntilMs = link.clockAt(logRead) + Timing::initialLeaseDuration.count(),
        .checkpoint = job.checkpoint,
        .isService = job.spec.isService,
    };
    m_options.workers->start(worker.spec.address, start,
        onControl<StartReply>(
            [this, id = worker.spec.worker, task](const auto& reply) { startFinished(id, task, reply); }));
}

void Dispatcher::startFinished(const WorkerId& id, const TaskId& task, const absl::StatusOr<StartReply>& reply)
{
    auto it = m_links.find(id);
    if (it == m_links.end())
        return;
    auto& link = it->second;
    link.starting.erase(task);
    const auto* job = m_region.state().findJob(task.job);
    if (!reply.ok()) {
        // The effect is unknown; the next poll shows whether it runs, and a repeated start is harmless.
        ++link.failures;
        link.nextPoll = m_options.clock->now() + minPollInterval;
        return;
    }
    noteClock(link, reply->workerClockMs);
    if (reply->result == StartResult::Refused) {
        logInfo("start_refused", { { "job", task.job }, { "worker", id }, { "reason", reply->reason } });
        if (job && job->holdsCommitment() && job->attempt == task.attempt)
            recordEnd(*job, TaskOutcome::Refused, "", "");
        link.reportedEnds.insert(task);
        return;
    }
    if (reply->result == StartResult::AlreadyEnded) {
        // A worker that lost its tasks reports no end in its lease reports; its reply to a stop still gives the end.
        const auto* worker = m_region.state().findWorker(id);
        if (worker && job && job->holdsCommitment() && job->attempt == task.attempt && job->worker == id)
            stopTask(*worker, link, *job);
        return;
    }
    link.running.insert(task);
    // The start lease is short; the first renewal follows within a second.
    link.nextPoll = std::min(link.nextPoll, m_options.clock->now() + Milliseconds { 500 });
}

void Dispatcher::stopTask(const WorkerInfo& worker, WorkerLink& link, const JobState& job)
{
    TaskId task { job.spec.job, job.attempt };
    if (link.stopping.contains(task) || link.reportedEnds.contains(task))
        return;
    link.stopping.insert(task);
    bool checkpoint = !job.cancelRequested;
    m_options.workers->stop(worker.spec.address, task, checkpoint,
        onControl<StopReply>(
            [this, id = worker.spec.worker, task](const auto& reply) { stopFinished(id, task, reply); }));
}

void Dispatcher::stopFinished(const WorkerId& id, const TaskId& task, const absl::StatusOr<StopReply>& reply)
{
    auto it = m_links.find(id);
    if (it == m_links.end())
        return;
    auto& link = it->second;
    link.stopping.erase(task);
    if (!reply.ok()) {
        ++link.failures;
        return;
    }
    noteClock(link, reply->workerClockMs);
    link.running.erase(task);
    link.reportedEnds.insert(task);
    const auto* job = m_region.state().findJob(task.job);
    if (job && job->holdsCommitment() && job->attempt == task.attempt)
        recordEnd(*job, reply->ended.outcome, reply->ended.checkpoint, reply->ended.result);
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
    for (const auto& [id, link] : m_links) {
        if (link.failures >= 2 && now - link.lastAnswer > unreachableAfter)
            result.push_back(id);
    }
    return result;
}

}
