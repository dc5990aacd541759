#include <LibCore/Logger.h>
#include <LibDecision/Timing.h>
#include <LibEntry/LossDetector.h>
#include <algorithm>

namespace Bergamot {

static constexpr Milliseconds revokeInterval { 1000 };

/// A cancelled attempt that its worker has not confirmed as stopped within this time is revoked.
static constexpr int64_t cancelConfirmationTimeoutMs = 5000;

/// Time from when a majority is known to have read the revocation until no lease on the attempt can be valid: a stale
/// member loses its renewal authority when its evidence of peers expires, and then the last lease that it may have
/// renewed expires.
static constexpr Milliseconds leaseExpiryWait
    = Timing::evidenceMaxAge + Timing::renewedLeaseDuration + Timing::driftMargin;

void LossDetector::tick(Instant now)
{
    std::map<TaskId, PendingLoss> stillRevoking;
    for (const auto& jobId : m_region.state().revokingJobs()) {
        TaskId task { jobId, m_region.state().findJob(jobId)->attempt };
        auto& pendingLoss = stillRevoking[task];
        if (auto it = m_pendingLosses.find(task); it != m_pendingLosses.end())
            pendingLoss = it->second;
    }
    m_pendingLosses = std::move(stillRevoking);
    for (const auto& [task, pendingLoss] : m_pendingLosses)
        checkRevokedAttempt(*m_region.state().findJob(task.job), now);
    revokeOnSuspectedWorkers(now);
}

std::set<WorkerId> LossDetector::findSuspectedWorkers(Instant now) const
{
    auto unreachableWorkers = m_dispatcher.unreachableWorkers(now);
    std::set<WorkerId> result(unreachableWorkers.begin(), unreachableWorkers.end());
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

void LossDetector::revokeOnSuspectedWorkers(Instant now)
{
    if (now < m_nextRevocation)
        return;
    m_nextRevocation = now + revokeInterval;
    auto suspectedWorkers = findSuspectedWorkers(now);
    const auto& image = m_region.state().image();
    for (const auto& [id, worker] : image.workers) {
        for (const auto& jobId : worker.jobs) {
            const auto* job = m_region.state().findJob(jobId);
            if (!job || job->phase != JobPhase::Placed)
                continue;
            bool isCancelUnconfirmed
                = job->cancelRequested && image.logTimeMs - job->changedAtMs > cancelConfirmationTimeoutMs;
            if (!suspectedWorkers.contains(id) && !isCancelUnconfirmed)
                continue;
            auto reason = isCancelUnconfirmed ? RevokeReason::Cancelled : RevokeReason::WorkerLost;
            m_region.appends().submit(
                TaskRevoked { .epoch = m_membership.epoch(), .job = jobId, .attempt = job->attempt, .reason = reason });
        }
    }
}

void LossDetector::checkRevokedAttempt(const JobState& job, Instant now)
{
    TaskId task { job.spec.job, job.attempt };
    auto& pendingLoss = m_pendingLosses[task];
    if (pendingLoss.positionAfterRevocation != job.changedAt + 1)
        pendingLoss = { .positionAfterRevocation = job.changedAt + 1, .waitStartedAt = now };
    if (pendingLoss.majorityReadAt == neverInstant && m_membership.majorityHasRead(pendingLoss.positionAfterRevocation))
        pendingLoss.majorityReadAt = now;
    bool haveLeasesExpired
        = pendingLoss.majorityReadAt != neverInstant && now - pendingLoss.majorityReadAt >= leaseExpiryWait;
    // When no majority confirms the read, waits for the outage renewal limit, after which members that cannot read the
    // log stop renewing leases.
    bool hasOutageLimitPassed = now - pendingLoss.waitStartedAt >= Timing::outageRenewalLimit + leaseExpiryWait;
    if (pendingLoss.isSubmitted || (!haveLeasesExpired && !hasOutageLimitPassed))
        return;
    const auto* worker = m_region.state().findWorker(job.worker);
    if (m_singleRunKinds.contains(job.spec.kind) && worker && !worker->spec.gone)
        return;
    pendingLoss.isSubmitted = true;
    logWarning("task_declared_lost", { { "job", task.job }, { "attempt", task.attempt }, { "worker", job.worker } });
    m_region.appends().submit(TaskEnded {
        .epoch = m_membership.epoch(), .job = task.job, .attempt = task.attempt, .outcome = TaskOutcome::Lost });
}

}
