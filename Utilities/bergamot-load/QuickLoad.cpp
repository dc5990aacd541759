#include "QuickLoad.h"
#include <LibCore/Digest.h>
#include <LibStandIn/RecordJson.h>
#include <LibStandIn/ReplyClassification.h>
#include <algorithm>
#include <fmt/format.h>
#include <thread>
#include <unistd.h>

namespace Bergamot {

static constexpr int maxAttempts = 4;
static constexpr std::chrono::milliseconds retryDelay { 50 };

// The client timeout exceeds the request deadline, so that the daemon's own rejection can arrive.
static constexpr Milliseconds deadlineMargin { 1000 };

QuickLoad::QuickLoad(Options options, RecordSink& sink)
    : m_options(std::move(options))
    , m_sink(sink)
    , m_random(m_options.seed)
{
    // The start time makes the keys of repeated runs with the same seed distinct, and the process id those of runs that
    // start in the same millisecond.
    m_keyPrefix = fmt::format("q{}-{}-{}", m_options.seed, getpid(), m_clock.now().time_since_epoch().count());
    for (int i = 0; i < std::max(m_options.engines, 1); ++i)
        m_engines.push_back(HttpEngine::create({}));
}

bool QuickLoad::hasTimeElapsed() const { return std::chrono::steady_clock::now() >= m_end; }

nlohmann::json QuickLoad::run()
{
    m_end = std::chrono::steady_clock::now() + std::chrono::seconds(m_options.seconds);
    if (m_options.rate > 0)
        runOpenLoop();
    else
        startClosedLoop();
    std::unique_lock lock(m_mutex);
    m_idle.wait(lock, [this] { return m_requestsInFlight == 0; });
    return summary();
}

void QuickLoad::runOpenLoop()
{
    std::mt19937_64 random(mixDigest(m_options.seed, 1));
    std::exponential_distribution<double> interarrivalSeconds(m_options.rate);
    auto nextArrival = std::chrono::steady_clock::now();
    while (nextArrival < m_end) {
        std::this_thread::sleep_until(nextArrival);
        startNext();
        nextArrival += std::chrono::nanoseconds(static_cast<int64_t>(interarrivalSeconds(random) * 1e9));
    }
}

void QuickLoad::startClosedLoop()
{
    for (int i = 0; i < m_options.concurrency; ++i)
        startNext();
}

void QuickLoad::startNext()
{
    auto number = m_nextNumber++;
    auto request = std::make_shared<Request>();
    request->record.key = fmt::format("{}-{}", m_keyPrefix, number);
    request->record.service = m_options.service;
    request->body = fmt::format("{:-<{}}", request->record.key, m_options.bodyBytes);
    request->record.digest = hexDigestOf(request->body);
    request->entry = number % m_options.entries.size();
    request->attemptsLeft = m_options.retries ? maxAttempts : 1;
    request->startedAt = std::chrono::steady_clock::now();
    {
        std::lock_guard lock(m_mutex);
        ++m_requestsInFlight;
        request->record.nonIdempotent = std::uniform_real_distribution<>(0, 1)(m_random) < m_options.nonIdempotentShare;
    }
    sendAttempt(request);
}

void QuickLoad::sendAttempt(const RequestPointer& request)
{
    auto& record = request->record;
    --request->attemptsLeft;
    record.entry = m_options.entries[request->entry % m_options.entries.size()];
    record.status = 0;
    record.answerDigest.clear();
    record.isComplete = false;
    HttpCall call { .method = "POST",
        .url
        = fmt::format("{}{}{}", record.entry, m_options.isDirect ? "/service/" : "/v1/services/", m_options.service),
        .headers = { { "Idempotency-Key", record.key }, { "X-Deadline-Ms", std::to_string(m_options.deadlineMs) },
            { "X-Client", m_options.client } },
        .body = request->body,
        .timeout = Milliseconds(m_options.deadlineMs) + deadlineMargin,
        .freshConnection = record.nonIdempotent,
        .sendLimit = record.nonIdempotent ? SendLimit::once() : SendLimit::unlimited() };
    if (record.nonIdempotent)
        call.headers.push_back({ "X-Non-Idempotent", "1" });
    if (m_options.isDirect)
        call.requestId = record.key;
    record.sentMs = m_clock.now().time_since_epoch().count();
    auto& engine = *m_engines[digestOf(record.key) % m_engines.size()];
    engine.submit(std::move(call), [this, request](const auto& reply) { onReply(request, reply); });
}

void QuickLoad::onReply(const RequestPointer& request, const absl::StatusOr<HttpReply>& reply)
{
    auto& record = request->record;
    record.answeredMs = m_clock.now().time_since_epoch().count();
    recordReply(record, reply);
    request->problem = problemTypeOf(reply);
    m_sink.write(toJson(record));
    {
        std::lock_guard lock(m_mutex);
        ++m_attempts;
    }
    if (request->attemptsLeft > 0 && isRetryable(reply)) {
        ++request->entry;
        m_timers.scheduleAfter(retryDelay, [this, request] { sendAttempt(request); });
        return;
    }
    finish(request);
}

void QuickLoad::finish(const RequestPointer& request)
{
    const auto& record = request->record;
    bool isGood = record.status >= 200 && record.status < 300 && record.isComplete;
    auto micros
        = std::chrono::duration_cast<std::chrono::microseconds>(std::chrono::steady_clock::now() - request->startedAt)
              .count();
    auto outcome = record.error.empty()
        ? fmt::format("{}{}", record.status, isGood ? "" : " ran=" + record.ran + " " + request->problem)
        : record.error;
    if (m_options.rate <= 0 && !hasTimeElapsed())
        startNext();
    std::lock_guard lock(m_mutex);
    ++m_outcomes[outcome];
    if (isGood) {
        m_latencies.add(micros);
        m_goodRequests += micros <= m_options.deadlineMs * 1000 ? 1 : 0;
    }
    if (--m_requestsInFlight == 0)
        m_idle.notify_all();
}

nlohmann::json QuickLoad::summary()
{
    auto sent = m_nextNumber.load();
    return { { "type", "summary" }, { "command", "quick" }, { "service", m_options.service },
        { "seed", m_options.seed }, { "seconds", m_options.seconds }, { "requests", sent }, { "tries", m_attempts },
        { "good", m_goodRequests }, { "goodput_per_s", static_cast<double>(m_goodRequests) / m_options.seconds },
        { "latency_ms", m_latencies.toJson() }, { "outcomes", m_outcomes } };
}

}
