#pragma once

#include "RecordSink.h"
#include <LibCore/SteadyClock.h>
#include <LibHttp/HttpEngine.h>
#include <LibStandIn/JobMix.h>
#include <LibStandIn/LatencySummary.h>
#include <LibStandIn/SentJob.h>
#include <LibStandIn/TimerQueue.h>
#include <condition_variable>
#include <memory>
#include <mutex>
#include <string>
#include <vector>

namespace Bergamot {

/// Submits batch jobs with Poisson arrivals, cancels some of them, and polls the accepted ones until they end or the
/// wait time expires.
class JobLoad {
public:
    struct Options {
        std::vector<std::string> entries {};
        std::string client {};
        std::string team {};
        double rate { 1 };
        int seconds { 10 };

        /// Longest time to poll the jobs after the last submission.
        int maxPollSeconds { 0 };
        JobMix::Options mix {};
    };

    JobLoad(Options, RecordSink&);

    /// Blocks until the run ends, writes one record for each job, and returns a summary.
    nlohmann::json run();

private:
    struct Job {
        SentJob record;
        std::string body;
        size_t entry { 0 };
        int attemptsLeft { 0 };
        int64_t cancelAfterMs { -1 };
        bool isEnded { false };

        /// An attempt had an unknown outcome, so a rejection of a later attempt does not prove that the job never ran.
        bool mayHaveBeenAccepted { false };
    };

    using JobPointer = std::shared_ptr<Job>;

    void submit(JobMix::Job, size_t number);
    void sendAttempt(const JobPointer&);
    void onSubmitted(const JobPointer&, const absl::StatusOr<HttpReply>&);
    void cancel(const JobPointer&);
    void pollUntilEnded();
    void requestState(const JobPointer&);
    void recordState(const JobPointer&, const absl::StatusOr<HttpReply>&);
    void finishCall();
    void waitForCalls();
    nlohmann::json summary();

    Options m_options;
    RecordSink& m_sink;
    SteadyClock m_clock;
    std::string m_keyPrefix;
    std::mutex m_mutex;
    std::condition_variable m_idle;
    size_t m_callsInFlight { 0 };
    size_t m_nextEntry { 0 };
    std::vector<JobPointer> m_jobs;
    LatencySummary m_latencies;
    std::unique_ptr<HttpEngine> m_engine;

    // Declared last, so that the timer thread ends before the engine that its tasks use is destroyed.
    TimerQueue m_timers;
};

}
