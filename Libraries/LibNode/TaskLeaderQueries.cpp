#include <LibCore/Logger.h>
#include <LibHttp/EventLoop.h>
#include <LibNode/TaskLeader.h>
#include <utility>

namespace Bergamot {

/// A leader that has not read the end of the job streams for this long cannot tell whether a job exists.
static constexpr Milliseconds maxJobStreamAge { 2500 };

/// Time within which the leader has read an accepted job from the job streams.
static constexpr Milliseconds acceptedJobReadDelay { 250 };

/// Stores the cancellation before it is confirmed. The job may be read later, because its append is carried out late.
void TaskLeader::cancelUnknownJob(PendingCancellation cancellation)
{
    const auto& job = cancellation.job;
    logInfo("unknown_job_cancelled", { { "job", job } });
    m_scheduler.restoreEnd(job, JobStage::Cancelled);
    m_cancellationsOfUnknownJobs.push_back(std::move(cancellation));
    m_journal.requestFlush();
}

void TaskLeader::handleQuery(const JobQuery& query, std::function<void(const JobQueryReply&)> callback, bool isRetry)
{
    JobQueryReply reply { .queryId = query.queryId };
    bool isCurrent = hasLoadedJobs() && m_loop.now() - jobsCurrentAsOf() < maxJobStreamAge;
    if (query.kind == JobQueryKind::Pending) {
        if (isCurrent)
            reply.status = JobQueryStatus::Found;
        reply.pending = m_scheduler.pendingJobs(query.subject);
        return callback(reply);
    }
    // Before this leader contacts the workers, nothing ends the runs of the job if a predecessor that does not know of
    // its successor goes on renewing their leases. The requesting node retries.
    if (query.kind == JobQueryKind::Cancel && !m_areSessionsStarted)
        return callback(reply);
    auto state = m_scheduler.stateOf(query.subject);
    if (!state && isCurrent && query.kind == JobQueryKind::Cancel && !isRetry) {
        // The job may have been accepted by another node and not yet read by this one.
        m_loop.callAfter(acceptedJobReadDelay, [this, alive = m_alive, query, callback = std::move(callback)] {
            if (*alive)
                handleQuery(query, callback, true);
        });
        return;
    }
    if (!state) {
        if (isCurrent && !m_jobsWithUnreadableProgress.contains(query.subject))
            reply.status = JobQueryStatus::Unknown;
        if (query.kind != JobQueryKind::Cancel || reply.status != JobQueryStatus::Unknown)
            return callback(reply);
        return cancelUnknownJob({ .job = query.subject, .reply = reply, .callback = std::move(callback) });
    }
    reply.status = JobQueryStatus::Found;
    reply.state = *state;
    if (query.kind == JobQueryKind::State || *state >= JobStage::Completed)
        return callback(reply);
    m_scheduler.cancelJob(query.subject);
    logInfo("job_cancelled", { { "job", query.subject } });
    m_pendingCancellations.push_back({ .job = query.subject, .reply = reply, .callback = std::move(callback) });
    m_journal.requestFlush();
    schedulePlan();
}

}
