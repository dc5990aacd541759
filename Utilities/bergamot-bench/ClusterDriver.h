#pragma once

#include "RunResult.h"
#include "Workload.h"
#include <LibDecision/BatchScheduler.h>
#include <deque>
#include <functional>
#include <map>
#include <memory>
#include <random>
#include <vector>

namespace Bergamot {

/// What one run changes against the default.
struct RunSettings {
    SchedulerOptions options {};
    /// Creates the estimator; the default is the learning model.
    std::function<std::unique_ptr<SlowdownEstimator>(const Workload&, const int64_t& nowMs)> estimator {};
    /// The zone is out from the start, which gives the work that the remaining capacity allows.
    bool zoneOutFromStart { false };
};

/// Feeds a scheduler with a synthetic workload in virtual time and measures what its decisions lead to.
class ClusterDriver {
public:
    ClusterDriver(const Workload&, uint64_t seed, RunSettings);

    RunResult run();

private:
    struct Job {
        JobView view {};
        size_t kind { 0 };
        size_t team { 0 };
        double runMs { 0 };
        double saved { 0 };
        double progress { 0 };
        bool neverRuns { false };
        bool over { false };
        int64_t submittedMs { 0 };
        int64_t startedMs { -1 };
        size_t worker { SIZE_MAX };
        uint32_t attempt { 0 };
        int64_t placedMs { 0 };
        int64_t endsMs { -1 };
        bool checkpoints { true };
        double throttle { 1 };
    };
    struct Worker {
        WorkerView view {};
        Resources committed {};
        std::vector<size_t> tasks {};
        bool dead { false };
        int64_t lostAtMs { -1 };
        int64_t backAtMs { -1 };
        bool failsEverything { false };
        double recentStarts { 0 };
        std::vector<double> use {};
    };
    struct Report {
        int64_t arrivesMs { 0 };
        size_t worker { 0 };
        size_t service { 0 };
        double load { 0 };
        double ratio { 0 };
    };

    void setUp();
    void placeServices();
    void submit(Job);
    void run(size_t job, size_t worker);
    void submitBatch(size_t kind, bool urgent);
    void arrive();
    void injectFaults();
    void cancelWave();
    void killWorker(size_t);
    void loseWorkers();
    void advanceTasks();
    void advanceWorker(size_t);
    void end(size_t job, AttemptOutcome);
    void report();
    double ratioOf(const Worker&, size_t service) const;
    void sampleLatency(double ratio);
    void decide();
    void apply(const PlaceTask&);
    void apply(const EvictTask&);
    void apply(const ThrottleTask&);
    void apply(const QuarantineWorker&) { }
    void apply(const FailJob&);
    void expect(const absl::Status&);
    void countDownServices();
    void finish();
    bool isZoneWindow() const;
    bool atShare(double share) const;

    const Workload& m_workload;
    RunSettings m_settings;
    std::mt19937_64 m_random;
    std::mt19937_64 m_arrivals;
    std::unique_ptr<BatchScheduler> m_scheduler;
    int64_t m_nowMs { 0 };
    bool m_zoneOut { false };
    std::vector<Worker> m_workers;
    std::vector<Job> m_jobs;
    std::map<std::string, size_t> m_jobIndex;
    std::map<std::string, size_t> m_workerIndex;
    std::deque<Report> m_reports;
    std::vector<double> m_teamUse;
    std::vector<double> m_teamWeight;
    std::vector<float> m_latencies;
    std::vector<float> m_alone;
    uint64_t m_samples { 0 };
    uint64_t m_samplesWithin { 0 };
    uint64_t m_serviceSteps { 0 };
    uint64_t m_serviceDownSteps { 0 };
    std::vector<double> m_urgentStarts;
    std::vector<double> m_largeWaits;
    std::vector<double> m_acceleratorWaits;
    uint64_t m_deadlines { 0 };
    uint64_t m_deadlinesMet { 0 };
    uint64_t m_evictions { 0 };
    double m_decisionMicros { 0 };
    RunResult m_result;
};

}
