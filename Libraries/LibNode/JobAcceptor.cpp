#include <LibCore/Logger.h>
#include <LibCore/StatusText.h>
#include <LibHttp/EventLoop.h>
#include <LibNode/JobAcceptor.h>
#include <LibPlatform/RecordLimits.h>
#include <LibWire/ValueCodec.h>
#include <algorithm>
#include <utility>

namespace Bergamot {

static constexpr Milliseconds retryDelay { 100 };
static constexpr size_t maxJobsPerAppend = 100;
static constexpr uint32_t timeoutsUntilRefusal = 2;

JobAcceptor::JobAcceptor(EventLoop& loop, RecordStore& store, uint32_t partition)
    : m_loop(loop)
    , m_store(store)
    , m_partition(partition)
{
}

JobAcceptor::~JobAcceptor() { *m_alive = false; }

void JobAcceptor::accept(const JobSpec& job, Instant deadline, Callback callback)
{
    if (m_consecutiveTimeouts >= timeoutsUntilRefusal && (!m_jobsInAppend.empty() || !m_pendingJobs.empty()))
        return callback(AcceptResult::Refused);
    KeyedRecord record { .key = job.id, .value = encodeValue(job) };
    // The store would refuse its append for good, and with it the jobs that share the append.
    if (contentSizeOf(record) > m_store.maxRecordBytes()) {
        logWarning("job_too_large", { { "job", job.id }, { "bytes", contentSizeOf(record) } });
        return callback(AcceptResult::Refused);
    }
    m_pendingJobs.push_back({ .record = std::move(record), .deadline = deadline, .callback = std::move(callback) });
    if (m_jobsInAppend.empty())
        sendAppend();
}

bool JobAcceptor::isPending(const JobId& id) const
{
    auto isOfJob = [&](const PendingJob& it) { return it.record.key == id; };
    return std::ranges::any_of(m_pendingJobs, isOfJob) || std::ranges::any_of(m_jobsInAppend, isOfJob);
}

void JobAcceptor::failExpired()
{
    auto now = m_loop.now();
    std::vector<PendingJob> expired;
    std::erase_if(m_pendingJobs, [&](PendingJob& it) {
        if (it.deadline > now)
            return false;
        expired.push_back(std::move(it));
        return true;
    });
    for (auto& it : expired)
        it.callback(it.mayBeStored ? AcceptResult::Unknown : AcceptResult::Refused);
}

void JobAcceptor::answerPending()
{
    auto pending = std::exchange(m_pendingJobs, {});
    for (auto& it : m_jobsInAppend) {
        if (auto callback = std::exchange(it.callback, nullptr))
            callback(AcceptResult::Unknown);
    }
    for (auto& it : pending)
        it.callback(it.mayBeStored ? AcceptResult::Unknown : AcceptResult::Refused);
}

void JobAcceptor::sendAppend()
{
    failExpired();
    if (m_pendingJobs.empty() || !m_jobsInAppend.empty())
        return;
    AppendRequest request { .stream = StreamName::Jobs, .partition = m_partition };
    size_t n = 0;
    for (size_t bytes = 0; n < std::min(m_pendingJobs.size(), maxJobsPerAppend); ++n) {
        bytes += encodedSizeOf(m_pendingJobs[n].record);
        if (n > 0 && bytes > maxAppendBytes)
            break;
    }
    for (size_t i = 0; i < n; ++i) {
        request.records.push_back(m_pendingJobs[i].record);
        m_jobsInAppend.push_back(std::move(m_pendingJobs[i]));
    }
    m_pendingJobs.erase(m_pendingJobs.begin(), m_pendingJobs.begin() + static_cast<std::ptrdiff_t>(n));
    m_sentAt = m_loop.now();
    auto timeout = m_timeout.current();
    for (const auto& job : m_jobsInAppend)
        timeout = std::min(timeout, job.deadline - m_sentAt);
    m_store.append(request, timeout, [this, alive = m_alive](absl::StatusOr<AppendReply> reply) {
        if (*alive)
            handleReply(reply);
    });
}

void JobAcceptor::handleReply(const absl::StatusOr<AppendReply>& reply)
{
    auto jobs = std::exchange(m_jobsInAppend, {});
    std::erase_if(jobs, [](const PendingJob& it) { return !it.callback; });
    if (absl::IsDeadlineExceeded(reply.status())) {
        m_timeout.recordTimeout();
        ++m_consecutiveTimeouts;
    } else {
        m_consecutiveTimeouts = 0;
    }
    if (reply.ok())
        m_timeout.recordReply(m_loop.now() - m_sentAt);
    if (reply.ok()) {
        for (auto& job : jobs)
            job.callback(AcceptResult::Accepted);
        return sendAppend();
    }
    if (jobs.empty())
        return sendAppend();
    bool wasNotStored = absl::IsAborted(reply.status()) || absl::IsResourceExhausted(reply.status());
    logWarning("job_append_failed",
        { { "jobs", jobs.size() }, { "first", jobs.front().record.key }, { "unknown_effect", !wasNotStored },
            { "error", statusText(reply.status()) } });
    for (auto& job : jobs) {
        if (wasNotStored && !job.mayBeStored) {
            job.callback(AcceptResult::Refused);
            continue;
        }
        job.mayBeStored = true;
        m_pendingJobs.push_back(std::move(job));
    }
    m_loop.callAfter(retryDelay, [this, alive = m_alive] {
        if (*alive)
            sendAppend();
    });
}

}
