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

/// Submits batch jobs at a rate, cancels some, and follows them until they end.
class JobLoad {
public:
    struct Options {
        std::vector<std::string> entries {};
        std::string client {};
        std::string team {};
        double rate { 1 };
        int seconds { 10 };

        /// Longest time to follow the jobs after the last submission.
        int waitSeconds { 0 };
        JobMix::Options mix {};
    };

    JobLoad(Options, RecordSink&);

    /// Runs for the whole time, writes one record for each job and returns a summary.
    nlohmann::json run();

private:
    struct Job {
        SentJob record;
        std::string body;
        size_t entry { 0 };
        int triesLeft { 0 };
        int64_t cancelAfterMs { -1 };
        bool isEnded { false };

        /// A try had an unknown outcome, so that a later refusal does not mean that the job does not run.
        bool mayRun { false };
    };

    using JobPointer = std::shared_ptr<Job>;

    void submit(JobMix::Job, size_t number);
    void sendTry(const JobPointer&);
    void onSubmitted(const JobPointer&, const absl::StatusOr<HttpReply>&);
    void cancel(const JobPointer&);
    void follow();
    void askState(const JobPointer&);
    void noteState(const JobPointer&, const absl::StatusOr<HttpReply>&);
    void closeCall();
    void waitForCalls();
    nlohmann::json summary();

    Options m_options;
    RecordSink& m_sink;
    SteadyClock m_clock;
    std::string m_keyPrefix;
    std::mutex m_mutex;
    std::condition_variable m_idle;
    size_t m_openCalls { 0 };
    size_t m_nextEntry { 0 };
    std::vector<JobPointer> m_jobs;
    LatencySummary m_latencies;
    std::unique_ptr<HttpEngine> m_engine;

    // Declared last: its thread ends before the engine that its tasks use.
    TimerQueue m_timers;
};

}
