#include <LibCore/Logger.h>
#include <LibDecision/Timing.h>
#include <LibEntry/LossDetector.h>
#include <algorithm>

namespace Bergamot {

static constexpr Milliseconds revokeSpacing { 1000 };

/// After this time a cancelled attempt that no worker has confirmed as stopped is revoked like a lost one.
static constexpr int64_t cancelConfirmMs = 5000;

/// From the first time that a majority is known to have read the revocation until no lease can still hold: evidence
/// of a stale member ages out, then the last lease that it may have granted lapses.
static constexpr Milliseconds lapseWait = Timing::evidenceMaxAge + Timing::renewedLeaseDuration + Timing::driftMargin;

void LossDetector::tick(Instant now)
{
    std::map<TaskId, Wait> kept;
    for (const auto& jobId : m_region.state().revokingJobs()) {
        TaskId task { jobId, m_region.state().findJob(jobId)->attempt };
        auto& wait = kept[task];
        if (auto it = m_waits.find(task); it != m_waits.end())
            wait = it->second;
    }
    m_waits = std::move(kept);
    for (const auto& [task, wait] : m_waits)
        watchRevoked(*m_region.state().findJob(task.job), now);
    revokeOnSuspects(now);
}

std::set<WorkerId> LossDetector::suspects(Instant now) const
{
    auto own = m_dispatcher.unreachableWorkers(now);
    std::set<WorkerId> result(own.begin(), own.end());
    for (const auto& [member, heartbeat] : m_membership.heartbeats()) {
        if (m_membership.renewalAuthority().isReachable(member, now))
            result.insert(heartbeat.unreachableWorkers.begin(), heartbeat.unreachableWorkers.end());
    }
    for (const auto& [id, worker] : m_region.state().image().workers) {
        if (worker.spec.gone)
            result.insert(id);
    }
    return result;
}

void LossDetector::revokeOnSuspects(Instant now)
{
    if (now < m_nextRevoke)
        return;
    m_nextRevoke = now + revokeSpacing;
    auto suspected = suspects(now);
    const auto& image = m_region.state().image();
    for (const auto& [id, worker] : image.workers) {
        for (const auto& jobId : worker.jobs) {
            const auto* job = m_region.state().findJob(jobId);
            if (!job || job->phase != JobPhase::Placed)
                continue;
            bool unconfirmedCancel = job->cancelRequested && image.logTimeMs - job->changedAtMs > cancelConfirmMs;
            if (!suspected.contains(id) && !unconfirmedCancel)
                continue;
            auto reason = unconfirmedCancel ? RevokeReason::Cancelled : RevokeReason::WorkerLost;
            m_region.appends().submit(
                TaskRevoked { .epoch = m_membership.epoch(), .job = jobId, .attempt = job->attempt, .reason = reason });
        }
    }
}

void LossDetector::watchRevoked(const JobState& job, Instant now)
{
    TaskId task { job.spec.job, job.attempt };
    auto& wait = m_waits[task];
    if (wait.revokedAt != job.changedAt + 1)
        wait = { .revokedAt = job.changedAt + 1, .since = now };
    if (wait.confirmedAt == neverInstant && m_membership.majorityHasRead(wait.revokedAt))
        wait.confirmedAt = now;
    bool lapsed = wait.confirmedAt != neverInstant && now - wait.confirmedAt >= lapseWait;
    // Without a majority, members that cannot read the log stop renewing by themselves after the outage limit.
    bool limitPassed = now - wait.since >= Timing::outageRenewalLimit + lapseWait;
    if (wait.submitted || (!lapsed && !limitPassed))
        return;
    const auto* worker = m_region.state().findWorker(job.worker);
    if (m_singleRunKinds.contains(job.spec.kind) && worker && !worker->spec.gone)
        return;
    wait.submitted = true;
    logWarning("task_declared_lost", { { "job", task.job }, { "attempt", task.attempt }, { "worker", job.worker } });
    m_region.appends().submit(TaskEnded {
        .epoch = m_membership.epoch(), .job = task.job, .attempt = task.attempt, .outcome = TaskOutcome::Lost });
}

}
