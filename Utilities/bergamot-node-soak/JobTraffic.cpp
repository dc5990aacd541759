#include "JobTraffic.h"
#include <LibCore/Digest.h>
#include <LibStandIn/JsonField.h>
#include <algorithm>
#include <fmt/format.h>
#include <utility>

namespace Bergamot {

static constexpr Milliseconds callTimeout { 3000 };
static constexpr int maxRejections = 8;
static constexpr int cancelPercent = 20;
static constexpr int resubmitPercent = 10;

/// Share of the jobs that their clients submit to two nodes at once.
static constexpr int duplicatePercent = 15;
static constexpr int failingPercent = 35;
static constexpr int alwaysFailingPercent = 3;

/// Share of steps whose tasks run for longer than the election of a leader takes.
static constexpr int longTaskPercent = 15;
static constexpr uint32_t alwaysFailingRuns = 1000;

static constexpr int crashingPercent = 30;

/// Jobs of a run with a crashing task. Each crashes several workers, and the run still has to settle.
static constexpr int maxCrashingJobs = 4;
static constexpr int64_t minCrashAfterMs = 5;
static constexpr int64_t maxCrashAfterMs = 1000;

/// State queries that must be answered after the end of a job, to check that its end state does not change.
static constexpr int requiredRepliesAfterEnd = 3;

JobTraffic::JobTraffic(EventLoop& loop, JobChecker& checker, Options options)
    : m_loop(loop)
    , m_checker(checker)
    , m_options(std::move(options))
    , m_random(mixDigest(m_options.seed, 1))
    , m_duplicateRandom(mixDigest(m_options.seed, 3))
    , m_engine(HttpEngine::create(loop, {}))
{
}

void JobTraffic::start() { submitNext(); }

void JobTraffic::addCrashingTasks(Milliseconds duration)
{
    m_crashingTasksUntil = std::max(m_crashingTasksUntil, m_loop.now() + duration);
}

void JobTraffic::callAfterRandomDelay(int64_t minMs, int64_t maxMs, std::function<void()> task)
{
    m_loop.callAfter(Milliseconds { m_random.between(minMs, maxMs) }, std::move(task));
}

void JobTraffic::submitNext()
{
    if (m_stopped)
        return;
    auto job = generateJob();
    submit(job);
    if (m_duplicateRandom.chance(duplicatePercent))
        submit(job);
    auto gap = static_cast<int64_t>(1000 / m_options.jobsPerSecond);
    callAfterRandomDelay(gap / 2, gap + gap / 2, [this] { submitNext(); });
}

StepPlan JobTraffic::generateStep(const QueuePlan& queue, bool dependsOnPreviousStep)
{
    bool isLong = m_random.chance(longTaskPercent);
    StepPlan step { .count = static_cast<uint32_t>(m_random.between(1, 4)),
        .cpuMillis = 250 * m_random.between(1, 8),
        .memoryMb = 128 * m_random.between(1, 4),
        .durationMs = isLong ? m_random.between(2000, 4000) : m_random.between(60, 1400),
        .dependsOnPreviousStep = dependsOnPreviousStep };
    // Long tasks fail at most once, so that every job can end within the bound after the last fault.
    if (!isLong && m_random.chance(alwaysFailingPercent))
        step.failingRuns = alwaysFailingRuns;
    else if (m_random.chance(failingPercent))
        step.failingRuns = static_cast<uint32_t>(m_random.between(1, isLong ? 1 : queue.maxAttempts - 1));
    return step;
}

void JobTraffic::addCrashingTask(SoakJob& job)
{
    ++m_crashingJobs;
    auto& step = job.steps[static_cast<size_t>(m_random.between(0, static_cast<int64_t>(job.steps.size()) - 1))];
    step.crashAfterMs = m_random.between(minCrashAfterMs, std::min(maxCrashAfterMs, step.durationMs));
}

JobTraffic::JobHandle JobTraffic::generateJob()
{
    auto job = std::make_shared<SoakJob>();
    job->id = fmt::format("{:016x}", mixDigest(m_options.seed, m_nextJob++));
    job->queue
        = m_options.queues[static_cast<size_t>(m_random.between(0, static_cast<int64_t>(m_options.queues.size()) - 1))];
    auto steps = m_random.between(1, 2);
    for (int64_t n = 0; n < steps; ++n)
        job->steps.push_back(generateStep(job->queue, n > 0));
    bool mayCrash = m_loop.now() < m_crashingTasksUntil && m_crashingJobs < maxCrashingJobs;
    if (mayCrash && m_random.chance(crashingPercent))
        addCrashingTask(*job);
    job->spec = taskSpecText(job->steps);
    job->body = jobText(job->steps);
    m_checker.add(job);
    return job;
}

const std::string& JobTraffic::chooseNode()
{
    auto last = static_cast<int64_t>(m_options.nodeUrls.size()) - 1;
    return m_options.nodeUrls[static_cast<size_t>(m_random.between(0, last))];
}

HttpCall JobTraffic::makeCall(const SoakJob& job, std::string method, const std::string& nodeUrl)
{
    // A client counts a job as refused if the node refuses all of its submissions, so none of them may be hidden.
    auto limit = method == "POST" ? SendLimit::once() : SendLimit::unlimited();
    return { .method = std::move(method),
        .url = nodeUrl + job.queue.pathPrefix + job.id,
        .headers = { { "Host", queueHost }, { deadlineHeaderName, std::to_string(callTimeout.count()) } },
        .timeout = callTimeout,
        .sendLimit = limit };
}

void JobTraffic::submit(const JobHandle& job)
{
    const auto& nodeUrl = chooseNode();
    auto call = makeCall(*job, "POST", nodeUrl);
    call.headers.push_back({ "Content-Type", "application/json" });
    call.body = job->body;
    m_checker.submissionSent(*job);
    m_engine->submit(std::move(call),
        [this, job, nodeUrl](const absl::StatusOr<HttpReply>& reply) { handleSubmitReply(job, nodeUrl, reply); });
}

void JobTraffic::handleSubmitReply(
    const JobHandle& job, const std::string& nodeUrl, const absl::StatusOr<HttpReply>& reply)
{
    if (reply.ok() && reply->status / 100 == 2) {
        bool isFirst = !job->acceptedAt;
        m_checker.submissionAccepted(*job, nodeUrl);
        if (isFirst)
            followAcceptedJob(job);
        return;
    }
    bool rejected = reply.ok() && reply->status != 502 && reply->status != 504;
    if (rejected)
        m_checker.submissionRejected(*job, nodeUrl, reply->status);
    else
        m_checker.submissionUnanswered(*job, nodeUrl,
            reply.ok() ? fmt::format("status {}", reply->status) : std::string(reply.status().message()));
    if (job->acceptedAt || (!job->hasUnansweredSubmission && job->rejectedSubmissions >= maxRejections))
        return;
    callAfterRandomDelay(150, 600, [this, job] { submit(job); });
}

void JobTraffic::followAcceptedJob(const JobHandle& job)
{
    callAfterRandomDelay(50, 1500, [this, job] { queryState(job); });
    if (m_random.chance(resubmitPercent))
        callAfterRandomDelay(500, 5000, [this, job] { submit(job); });
    if (m_random.chance(cancelPercent))
        callAfterRandomDelay(0, 1500, [this, job] { cancel(job); });
}

void JobTraffic::queryState(const JobHandle& job)
{
    m_engine->submit(makeCall(*job, "GET", chooseNode()),
        [this, job, sentAt = m_loop.now()](const absl::StatusOr<HttpReply>& reply) {
            if (reply.ok() && reply->status == 200)
                m_checker.stateReported(*job, jsonText(parseJson(reply->body), "state"), sentAt);
            else if (reply.ok() && reply->status == 410)
                m_checker.goneReported(*job, sentAt);
            else if (reply.ok() && reply->status == 404)
                m_checker.reportViolation(job.get(), "a state query on an existing queue was answered 404");
            if (job->repliesAfterEnd < requiredRepliesAfterEnd)
                callAfterRandomDelay(300, 1800, [this, job] { queryState(job); });
        });
}

void JobTraffic::cancel(const JobHandle& job)
{
    m_checker.cancelSent(*job);
    m_engine->submit(makeCall(*job, "DELETE", chooseNode()),
        [this, job, sentAt = m_loop.now()](const absl::StatusOr<HttpReply>& reply) {
            if (reply.ok() && reply->status / 100 == 2)
                return m_checker.cancelAcknowledged(*job);
            if (reply.ok() && reply->status == 410)
                m_checker.goneReported(*job, sentAt);
            callAfterRandomDelay(200, 900, [this, job] { cancel(job); });
        });
}

}
