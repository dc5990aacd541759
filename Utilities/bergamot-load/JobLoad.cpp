#include "JobLoad.h"
#include <LibCore/Digest.h>
#include <LibStandIn/JsonField.h>
#include <LibStandIn/RecordJson.h>
#include <LibStandIn/ReplyClassification.h>
#include <algorithm>
#include <fmt/format.h>
#include <map>
#include <thread>

namespace Bergamot {

static constexpr int maxAttempts = 5;
static constexpr std::chrono::milliseconds retryDelay { 200 };
static constexpr std::chrono::milliseconds pollInterval { 500 };
static constexpr Milliseconds callTimeout { 5000 };

JobLoad::JobLoad(Options options, RecordSink& sink)
    : m_options(std::move(options))
    , m_sink(sink)
    , m_engine(HttpEngine::create({}))
{
    // The start time makes the keys of repeated runs with the same seed distinct.
    m_keyPrefix = fmt::format("j{}-{}", m_options.mix.seed, m_clock.now().time_since_epoch().count());
}

nlohmann::json JobLoad::run()
{
    JobMix mix(m_options.mix);
    std::mt19937_64 random(mixDigest(m_options.mix.seed, 2));
    std::exponential_distribution<double> interarrivalSeconds(m_options.rate);
    auto nextArrival = std::chrono::steady_clock::now();
    auto end = nextArrival + std::chrono::seconds(m_options.seconds);
    for (size_t number = 0; nextArrival < end; ++number) {
        std::this_thread::sleep_until(nextArrival);
        submit(mix.next(), number);
        nextArrival += std::chrono::nanoseconds(static_cast<int64_t>(interarrivalSeconds(random) * 1e9));
    }
    pollUntilEnded();
    waitForCalls();
    std::lock_guard lock(m_mutex);
    for (const auto& job : m_jobs)
        m_sink.write(toJson(job->record));
    return summary();
}

void JobLoad::submit(JobMix::Job drawn, size_t number)
{
    auto job = std::make_shared<Job>();
    job->record = { .key = fmt::format("{}-{}", m_keyPrefix, number), .kind = drawn.kind, .urgent = drawn.isUrgent };
    job->body = nlohmann::json {
        { "kind", drawn.kind }, { "client", m_options.client }, { "team", m_options.team },
        { "cpu_millis", drawn.size.cpuMillis }, { "memory_mb", drawn.size.memoryMb },
        { "accelerators", drawn.size.accelerators }, { "run_ms", drawn.runMs }, { "urgent", drawn.isUrgent },
        { "key", job->record.key }
    }.dump();
    job->entry = number;
    job->attemptsLeft = maxAttempts;
    job->cancelAfterMs = drawn.cancelAfterMs;
    job->record.sentMs = m_clock.now().time_since_epoch().count();
    {
        std::lock_guard lock(m_mutex);
        m_jobs.push_back(job);
        ++m_callsInFlight;
    }
    sendAttempt(job);
}

void JobLoad::sendAttempt(const JobPointer& job)
{
    --job->attemptsLeft;
    auto entry = m_options.entries[job->entry % m_options.entries.size()];
    {
        std::lock_guard lock(m_mutex);
        job->record.entry = entry;
    }
    m_engine->submit({ .method = "POST",
                         .url = entry + "/v1/jobs",
                         .headers = { { "Content-Type", "application/json" }, { "X-Client", m_options.client } },
                         .body = job->body,
                         .timeout = callTimeout,
                         .sendLimit = SendLimit::once() },
        [this, job](const auto& reply) { onSubmitted(job, reply); });
}

void JobLoad::onSubmitted(const JobPointer& job, const absl::StatusOr<HttpReply>& reply)
{
    job->mayHaveBeenAccepted = job->mayHaveBeenAccepted || executionStateOf(reply) == "unknown";
    // Submissions with the same key refer to the same job, so a retry through another entry host is safe.
    if (isRetryable(reply) && job->attemptsLeft > 0) {
        ++job->entry;
        m_timers.scheduleAfter(retryDelay, [this, job] { sendAttempt(job); });
        return;
    }
    {
        std::lock_guard lock(m_mutex);
        auto& record = job->record;
        record.answeredMs = m_clock.now().time_since_epoch().count();
        record.ran = executionStateOf(reply);
        record.status = reply.ok() ? reply->status : 0;
        if (record.ran == "no" && job->mayHaveBeenAccepted)
            record.ran = "unknown";
        if (record.ran == "yes")
            record.job = jsonText(parseJson(reply->body), "job");
        m_latencies.add((record.answeredMs - record.sentMs) * 1000);
    }
    if (job->cancelAfterMs >= 0 && !job->record.job.empty())
        m_timers.scheduleAfter(std::chrono::milliseconds(job->cancelAfterMs), [this, job] { cancel(job); });
    finishCall();
}

void JobLoad::cancel(const JobPointer& job)
{
    {
        std::lock_guard lock(m_mutex);
        ++m_callsInFlight;
    }
    auto url = fmt::format("{}/v1/jobs/{}", job->record.entry, job->record.job);
    m_engine->submit({ .method = "DELETE", .url = url, .timeout = callTimeout, .sendLimit = SendLimit::unlimited() },
        [this, job](const auto& reply) {
            {
                std::lock_guard lock(m_mutex);
                job->record.cancelled = reply.ok() && reply->status < 300;
            }
            finishCall();
        });
}

void JobLoad::finishCall()
{
    std::lock_guard lock(m_mutex);
    if (--m_callsInFlight == 0)
        m_idle.notify_all();
}

void JobLoad::waitForCalls()
{
    std::unique_lock lock(m_mutex);
    m_idle.wait(lock, [this] { return m_callsInFlight == 0; });
}

void JobLoad::pollUntilEnded()
{
    auto end = std::chrono::steady_clock::now() + std::chrono::seconds(m_options.maxPollSeconds);
    while (true) {
        waitForCalls();
        std::vector<JobPointer> unfinished;
        {
            std::lock_guard lock(m_mutex);
            for (const auto& job : m_jobs) {
                if (!job->isEnded && !job->record.job.empty())
                    unfinished.push_back(job);
            }
            m_callsInFlight += unfinished.size();
        }
        for (const auto& job : unfinished)
            requestState(job);
        if (unfinished.empty() || std::chrono::steady_clock::now() >= end)
            return;
        std::this_thread::sleep_for(pollInterval);
    }
}

void JobLoad::requestState(const JobPointer& job)
{
    // Every entry host can reply for every job. The requests rotate over all entry hosts, so that polling continues
    // while some of them are stopped.
    auto entry = m_options.entries[m_nextEntry++ % m_options.entries.size()];
    m_engine->submit({ .url = fmt::format("{}/v1/jobs/{}", entry, job->record.job),
                         .timeout = callTimeout,
                         .sendLimit = SendLimit::unlimited() },
        [this, job](const auto& reply) { recordState(job, reply); });
}

void JobLoad::recordState(const JobPointer& job, const absl::StatusOr<HttpReply>& reply)
{
    if (reply.ok() && reply->status == 200) {
        auto body = parseJson(reply->body);
        auto state = jsonText(body, "state");
        std::lock_guard lock(m_mutex);
        job->isEnded = state == "ended";
        job->record.stateMs = m_clock.now().time_since_epoch().count();
        job->record.finalState = job->isEnded ? jsonText(body, "outcome") : state;
    }
    finishCall();
}

nlohmann::json JobLoad::summary()
{
    std::map<std::string, uint64_t> states;
    std::map<std::string, uint64_t> answers;
    for (const auto& job : m_jobs) {
        ++answers[std::to_string(job->record.status)];
        if (!job->record.job.empty())
            ++states[job->record.finalState.empty() ? "unknown" : job->record.finalState];
    }
    return { { "type", "summary" }, { "command", "jobs" }, { "seed", m_options.mix.seed },
        { "seconds", m_options.seconds }, { "jobs", m_jobs.size() }, { "answers", answers }, { "states", states },
        { "submit_latency_ms", m_latencies.toJson() } };
}

}
