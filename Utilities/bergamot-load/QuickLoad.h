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

/// Sends quick requests, either at a rate that does not depend on the answers (Poisson arrivals) or from a number of
/// callers that each wait for their answer.
class QuickLoad {
public:
    struct Options {
        std::vector<std::string> entries {};
        std::string service {};
        std::string client {};

        /// Requests a second; 0 uses `concurrency` instead.
        double rate { 0 };
        int concurrency { 0 };
        int seconds { 10 };
        uint64_t seed { 1 };
        double nonIdempotentShare { 0 };
        bool retries { false };
        int64_t deadlineMs { 1000 };
        size_t bodyBytes { 64 };
        int engines { 1 };

        /// The entries are workers, called without a daemon. This gives the latency to compare with.
        bool isDirect { false };
    };

    QuickLoad(Options, RecordSink&);

    /// Runs for the whole time and returns a summary.
    nlohmann::json run();

private:
    struct Request {
        SentRequest record;
        std::string body;
        size_t entry { 0 };
        int triesLeft { 0 };
        std::string problem;
        std::chrono::steady_clock::time_point begin;
    };

    using RequestPointer = std::shared_ptr<Request>;

    void runAtRate();
    void runCallers();
    void startNext();
    void sendTry(const RequestPointer&);
    void onReply(const RequestPointer&, const absl::StatusOr<HttpReply>&);
    void finish(const RequestPointer&);
    bool isOver() const;
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
    size_t m_open { 0 };
    uint64_t m_tries { 0 };
    uint64_t m_good { 0 };
    std::map<std::string, uint64_t> m_outcomes;
    LatencySummary m_latencies;
    std::vector<std::unique_ptr<HttpEngine>> m_engines;

    // Declared last: its thread ends before the engines that its tasks use.
    TimerQueue m_timers;
};

}
