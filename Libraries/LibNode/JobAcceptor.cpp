#include <LibCore/Logger.h>
#include <LibCore/StatusText.h>
#include <LibHttp/EventLoop.h>
#include <LibNode/JobAcceptor.h>
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
    if (m_timeoutsInARow >= timeoutsUntilRefusal && (!m_inAppend.empty() || !m_waiting.empty()))
        return callback(AcceptResult::Refused);
    m_waiting.push_back({ .record = { .key = job.id, .value = encodeValue(job) },
        .deadline = deadline,
        .callback = std::move(callback) });
    if (m_inAppend.empty())
        send();
}

void JobAcceptor::giveUpExpired()
{
    auto now = m_loop.now();
    std::vector<Waiting> expired;
    std::erase_if(m_waiting, [&](Waiting& it) {
        if (it.deadline > now)
            return false;
        expired.push_back(std::move(it));
        return true;
    });
    for (auto& it : expired)
        it.callback(it.mayBeStored ? AcceptResult::Unknown : AcceptResult::Refused);
}

void JobAcceptor::send()
{
    giveUpExpired();
    if (m_waiting.empty() || !m_inAppend.empty())
        return;
    AppendRequest request { .stream = StreamName::Jobs, .partition = m_partition };
    auto n = std::min(m_waiting.size(), maxJobsPerAppend);
    for (size_t i = 0; i < n; ++i) {
        request.records.push_back(m_waiting[i].record);
        m_inAppend.push_back(std::move(m_waiting[i]));
    }
    m_waiting.erase(m_waiting.begin(), m_waiting.begin() + static_cast<std::ptrdiff_t>(n));
    m_sentAt = m_loop.now();
    auto timeout = m_timeout.current();
    for (const auto& job : m_inAppend)
        timeout = std::min(timeout, job.deadline - m_sentAt);
    m_store.append(request, timeout, [this, alive = m_alive](absl::StatusOr<AppendReply> reply) {
        if (*alive)
            answered(reply);
    });
}

void JobAcceptor::answered(const absl::StatusOr<AppendReply>& reply)
{
    auto jobs = std::exchange(m_inAppend, {});
    if (absl::IsDeadlineExceeded(reply.status())) {
        m_timeout.timedOut();
        ++m_timeoutsInARow;
    } else {
        m_timeoutsInARow = 0;
    }
    if (reply.ok())
        m_timeout.answered(m_loop.now() - m_sentAt);
    if (reply.ok()) {
        for (auto& job : jobs)
            job.callback(AcceptResult::Accepted);
        return send();
    }
    bool surelyNotDone = absl::IsAborted(reply.status()) || absl::IsResourceExhausted(reply.status());
    logWarning("job_append_failed",
        { { "jobs", jobs.size() }, { "first", jobs.front().record.key }, { "unknown_effect", !surelyNotDone },
            { "error", statusText(reply.status()) } });
    for (auto& job : jobs) {
        if (surelyNotDone && !job.mayBeStored) {
            job.callback(AcceptResult::Refused);
            continue;
        }
        job.mayBeStored = true;
        m_waiting.push_back(std::move(job));
    }
    m_loop.callAfter(retryDelay, [this, alive = m_alive] {
        if (*alive)
            send();
    });
}

}
