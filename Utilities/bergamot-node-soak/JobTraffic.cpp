#include "JobTraffic.h"
#include <LibCore/Digest.h>
#include <LibStandIn/JsonField.h>
#include <fmt/format.h>
#include <utility>

namespace Bergamot {

static constexpr Milliseconds callTimeout { 3000 };
static constexpr int mostRejections = 8;
static constexpr int cancelPercent = 20;
static constexpr int repeatPercent = 10;
static constexpr int failingPercent = 35;
static constexpr int hopelessPercent = 3;

/// Steps whose tasks outlast the election of a leader.
static constexpr int longPercent = 15;
static constexpr uint32_t alwaysFails = 1000;

/// Answers to ask for after the end, to see that it stays.
static constexpr int answersAfterEnd = 3;

JobTraffic::JobTraffic(EventLoop& loop, JobBook& book, Options options)
    : m_loop(loop)
    , m_book(book)
    , m_options(std::move(options))
    , m_random(mixDigest(m_options.seed, 1))
    , m_engine(HttpEngine::create(loop, {}))
{
}

void JobTraffic::start() { submitNext(); }

void JobTraffic::later(int64_t fewestMs, int64_t mostMs, std::function<void()> task)
{
    m_loop.callAfter(Milliseconds { m_random.between(fewestMs, mostMs) }, std::move(task));
}

void JobTraffic::submitNext()
{
    if (m_stopped)
        return;
    submit(drawJob());
    auto gap = static_cast<int64_t>(1000 / m_options.jobsPerSecond);
    later(gap / 2, gap + gap / 2, [this] { submitNext(); });
}

StepPlan JobTraffic::drawStep(const QueuePlan& queue, bool afterEarlierStep)
{
    bool isLong = m_random.chance(longPercent);
    StepPlan step { .count = static_cast<uint32_t>(m_random.between(1, 4)),
        .cpuMillis = 250 * m_random.between(1, 8),
        .memoryMb = 128 * m_random.between(1, 4),
        .durationMs = isLong ? m_random.between(2000, 4000) : m_random.between(60, 1400),
        .afterEarlierStep = afterEarlierStep };
    // Long tasks fail once at most, so that every job can end within the bound after the last fault.
    if (!isLong && m_random.chance(hopelessPercent))
        step.failures = alwaysFails;
    else if (m_random.chance(failingPercent))
        step.failures = static_cast<uint32_t>(m_random.between(1, isLong ? 1 : queue.maxAttempts - 1));
    return step;
}

JobTraffic::JobHandle JobTraffic::drawJob()
{
    auto job = std::make_shared<SoakJob>();
    job->id = fmt::format("{:016x}", mixDigest(m_options.seed, m_nextJob++));
    job->queue
        = m_options.queues[static_cast<size_t>(m_random.between(0, static_cast<int64_t>(m_options.queues.size()) - 1))];
    auto steps = m_random.between(1, 2);
    for (int64_t n = 0; n < steps; ++n)
        job->steps.push_back(drawStep(job->queue, n > 0));
    job->spec = taskSpecText(job->steps);
    job->body = jobText(job->steps);
    m_book.add(job);
    return job;
}

HttpCall JobTraffic::callOf(const SoakJob& job, std::string method)
{
    const auto& front
        = m_options.fronts[static_cast<size_t>(m_random.between(0, static_cast<int64_t>(m_options.fronts.size()) - 1))];
    return { .method = std::move(method),
        .url = front + job.queue.pathPrefix + job.id,
        .headers = { { "Host", queueHost }, { deadlineHeaderName, std::to_string(callTimeout.count()) } },
        .timeout = callTimeout };
}

void JobTraffic::submit(const JobHandle& job)
{
    auto call = callOf(*job, "POST");
    call.headers.push_back({ "Content-Type", "application/json" });
    call.body = job->body;
    m_book.attemptSent(*job);
    m_engine->submit(std::move(call), [this, job](const absl::StatusOr<HttpReply>& reply) { submitted(job, reply); });
}

void JobTraffic::submitted(const JobHandle& job, const absl::StatusOr<HttpReply>& reply)
{
    if (reply.ok() && reply->status / 100 == 2) {
        bool first = !job->acceptedAt;
        m_book.attemptAccepted(*job);
        if (first)
            accepted(job);
        return;
    }
    bool rejected = reply.ok() && reply->status != 502 && reply->status != 504;
    if (rejected)
        m_book.attemptRejected(*job, reply->status);
    else
        m_book.attemptUnanswered(
            *job, reply.ok() ? fmt::format("status {}", reply->status) : std::string(reply.status().message()));
    if (job->acceptedAt || (!job->hasUnknownAttempt && job->rejectedAttempts >= mostRejections))
        return;
    later(150, 600, [this, job] { submit(job); });
}

void JobTraffic::accepted(const JobHandle& job)
{
    later(50, 1500, [this, job] { ask(job); });
    if (m_random.chance(repeatPercent))
        later(500, 5000, [this, job] { submit(job); });
    if (m_random.chance(cancelPercent))
        later(0, 1500, [this, job] { cancel(job); });
}

void JobTraffic::ask(const JobHandle& job)
{
    m_engine->submit(callOf(*job, "GET"), [this, job, sentAt = m_loop.now()](const absl::StatusOr<HttpReply>& reply) {
        if (reply.ok() && reply->status == 200)
            m_book.stateShown(*job, jsonText(parseJson(reply->body), "state"), sentAt);
        else if (reply.ok() && reply->status == 410)
            m_book.unknownShown(*job, sentAt);
        else if (reply.ok() && reply->status == 404)
            m_book.violation(job.get(), "a question on an existing queue was answered 404");
        if (job->answersAfterEnd < answersAfterEnd)
            later(300, 1800, [this, job] { ask(job); });
    });
}

void JobTraffic::cancel(const JobHandle& job)
{
    m_book.cancelSent(*job);
    m_engine->submit(
        callOf(*job, "DELETE"), [this, job, sentAt = m_loop.now()](const absl::StatusOr<HttpReply>& reply) {
            if (reply.ok() && reply->status / 100 == 2)
                return m_book.cancelAcknowledged(*job);
            if (reply.ok() && reply->status == 410)
                m_book.unknownShown(*job, sentAt);
            later(200, 900, [this, job] { cancel(job); });
        });
}

}
