#include <LibCore/Logger.h>
#include <LibHttp/EventLoop.h>
#include <LibNode/TaskLeader.h>
#include <algorithm>
#include <utility>

namespace Bergamot {

/// A leader that has not read the end of the job streams for this long cannot tell whether a job exists.
static constexpr Milliseconds maxJobStreamAge { 2500 };

/// Stores the cancellation before it is confirmed or shown. The job may be read later, because its append is carried
/// out late.
void TaskLeader::cancelUnknownJob(PendingCancellation cancellation)
{
    logInfo("unknown_job_cancelled", { { "job", cancellation.job } });
    m_cancellationsOfUnknownJobs.push_back(std::move(cancellation));
    m_journal.requestFlush();
}

/// Whether the cancellation of the job, which was unknown when it arrived, is not stored yet.
bool TaskLeader::isBeingCancelled(const JobId& job) const
{
    auto contains = [&](const std::vector<PendingCancellation>& cancellations) {
        return std::ranges::find(cancellations, job, &PendingCancellation::job) != cancellations.end();
    };
    return contains(m_cancellationsOfUnknownJobs) || std::ranges::any_of(m_collectedBatches, [&](const auto& it) {
        return contains(it.cancellationsOfUnknownJobs);
    });
}

bool TaskLeader::isJobStreamCurrent() const
{
    return hasLoadedJobs() && m_loop.now() - jobsCurrentAsOf() < maxJobStreamAge;
}

/// Keeps the query until the job streams have been read again. The requesting node repeats it meanwhile.
void TaskLeader::answerOnceRead(const JobQuery& query, std::function<void(const JobQueryReply&)> callback)
{
    auto it = std::ranges::find_if(m_queriesOfUnknownJobs, [&](const UnansweredQuery& other) {
        return other.query.queryId == query.queryId && other.query.replyAddress == query.replyAddress;
    });
    if (it != m_queriesOfUnknownJobs.end())
        it->callback = std::move(callback);
    else
        m_queriesOfUnknownJobs.push_back({ query, m_loop.now(), std::move(callback) });
    checkJobStreamsForQueries();
}

void TaskLeader::checkJobStreamsForQueries()
{
    if (m_queriesOfUnknownJobs.empty())
        return;
    for (auto& reader : m_jobReaders) {
        if (reader->currentAsOf() < m_queriesOfUnknownJobs.back().receivedAt)
            reader->checkEnd();
    }
}

void TaskLeader::answerQueriesOfUnknownJobs()
{
    std::vector<UnansweredQuery> due;
    std::erase_if(m_queriesOfUnknownJobs, [&](UnansweredQuery& it) {
        bool isOutdated = m_loop.now() - it.receivedAt >= maxJobStreamAge;
        if (!isOutdated && jobsCurrentAsOf() >= it.receivedAt)
            due.push_back(std::move(it));
        else if (!isOutdated)
            return false;
        return true;
    });
    for (auto& it : due) {
        if (m_scheduler.stateOf(it.query.subject))
            handleQuery(it.query, std::move(it.callback));
        else
            answerAsUnknown(it.query, std::move(it.callback));
    }
}

void TaskLeader::answerAsUnknown(const JobQuery& query, std::function<void(const JobQueryReply&)> callback)
{
    JobQueryReply reply { .queryId = query.queryId, .status = JobQueryStatus::Unknown };
    if (query.kind == JobQueryKind::Cancel)
        return cancelUnknownJob({ .job = query.subject, .reply = reply, .callback = std::move(callback) });
    callback(reply);
}

void TaskLeader::handleQuery(const JobQuery& query, std::function<void(const JobQueryReply&)> callback)
{
    JobQueryReply reply { .queryId = query.queryId };
    if (query.kind == JobQueryKind::Pending) {
        if (isJobStreamCurrent())
            reply.status = JobQueryStatus::Found;
        reply.pending = m_scheduler.pendingJobs(query.subject);
        return callback(reply);
    }
    // Before this leader contacts the workers, nothing ends the runs of the job if a predecessor that does not know of
    // its successor goes on renewing their leases. The requesting node retries.
    if (query.kind == JobQueryKind::Cancel && !m_areSessionsStarted)
        return callback(reply);
    auto state = m_scheduler.stateOf(query.subject);
    if (!state) {
        if (!isJobStreamCurrent() || m_jobsWithUnreadableProgress.contains(query.subject))
            return callback(reply);
        return answerOnceRead(query, std::move(callback));
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
