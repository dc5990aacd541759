#pragma once

#include "RecordSink.h"
#include <LibCore/SteadyClock.h>
#include <LibHttp/HttpEngine.h>
#include <LibStandIn/LatencySummary.h>
#include <LibStandIn/SentRequest.h>
#include <LibStandIn/TimerQueue.h>
#include <atomic>
#include <condition_variable>
#include <map>
#include <memory>
#include <mutex>
#include <random>
#include <string>
#include <vector>

namespace Bergamot {

/// Sends quick requests, either in an open loop (Poisson arrivals at a rate that does not depend on the replies) or in
/// a closed loop (a number of callers that each wait for the reply to their previous request).
class QuickLoad {
public:
    struct Options {
        std::vector<std::string> entries {};
        std::string service {};
        std::string client {};

        /// Requests a second; 0 selects the closed loop with `concurrency` callers.
        double rate { 0 };
        int concurrency { 0 };
        int seconds { 10 };
        uint64_t seed { 1 };
        double nonIdempotentShare { 0 };
        bool retries { false };
        int64_t deadlineMs { 1000 };
        size_t bodyBytes { 64 };
        int engines { 1 };

        /// The entries are workers, which are called without a daemon. This gives the baseline latency.
        bool isDirect { false };
    };

    QuickLoad(Options, RecordSink&);

    /// Blocks until the run ends and returns a summary.
    nlohmann::json run();

private:
    struct Request {
        SentRequest record;
        std::string body;
        size_t entry { 0 };
        int attemptsLeft { 0 };
        std::string problem;
        std::chrono::steady_clock::time_point startedAt;
    };

    using RequestPointer = std::shared_ptr<Request>;

    void runOpenLoop();
    void startClosedLoop();
    void startNext();
    void sendAttempt(const RequestPointer&);
    void onReply(const RequestPointer&, const absl::StatusOr<HttpReply>&);
    void finish(const RequestPointer&);
    bool hasTimeElapsed() const;
    nlohmann::json summary();

    Options m_options;
    RecordSink& m_sink;
    SteadyClock m_clock;
    std::string m_keyPrefix;
    std::chrono::steady_clock::time_point m_end;
    std::atomic<uint64_t> m_nextNumber { 0 };
    std::mutex m_mutex;
    std::condition_variable m_idle;
    std::mt19937_64 m_random;
    size_t m_requestsInFlight { 0 };
    uint64_t m_attempts { 0 };
    uint64_t m_goodRequests { 0 };
    std::map<std::string, uint64_t> m_outcomes;
    LatencySummary m_latencies;
    std::vector<std::unique_ptr<HttpEngine>> m_engines;

    // Declared last, so that the timer thread ends before the engines that its tasks use are destroyed.
    TimerQueue m_timers;
};

}
