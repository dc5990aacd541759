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

/// Settings of one run.
struct RunSettings {
    SchedulerOptions options {};
    /// Creates the estimator. An empty function selects the learning model of the scheduler.
    std::function<std::unique_ptr<SlowdownEstimator>(const Workload&, const int64_t& nowMs)> estimator {};
    /// Takes zone z0 out of service from the start. This measures the work that the remaining capacity allows.
    bool zoneOutFromStart { false };
};

/// Runs a scheduler on a synthetic workload in virtual time and measures the effects of its decisions.
class ClusterSimulation {
public:
    ClusterSimulation(const Workload&, uint64_t seed, RunSettings);

    RunResult run();

private:
    struct Job {
        JobView view {};
        size_t kind { 0 };
        size_t team { 0 };
        double runMs { 0 };
        double savedProgress { 0 };
        double progress { 0 };
        bool alwaysFails { false };
        bool isOver { false };
        int64_t submittedAtMs { 0 };
        int64_t firstStartedAtMs { -1 };
        size_t worker { SIZE_MAX };
        uint32_t attempt { 0 };
        int64_t placedAtMs { 0 };
        int64_t stopsAtMs { -1 };
        bool stopsWithCheckpoint { true };
        double throttle { 1 };
    };
    struct Worker {
        WorkerView view {};
        Resources committed {};
        std::vector<size_t> tasks {};
        bool isDead { false };
        int64_t leaseExpiresAtMs { -1 };
        int64_t returnsAtMs { -1 };
        bool failsAllTasks { false };
        double recentStarts { 0 };
        std::vector<double> usageByKind {};
    };
    struct Report {
        int64_t arrivesAtMs { 0 };
        size_t worker { 0 };
        size_t service { 0 };
        double load { 0 };
        double latencyRatio { 0 };
    };

    void setUp();
    void placeServices();
    void submit(Job);
    void startAttempt(size_t job, size_t worker);
    void submitBatch(size_t kind, bool urgent);
    void submitArrivals();
    void injectFaults();
    void cancelJobsInBulk();
    void killWorker(size_t);
    void updateWorkerStates();
    void advanceTasks();
    void advanceWorker(size_t);
    void endAttempt(size_t job, AttemptOutcome);
    void reportMeasurements();
    double latencyRatioOf(const Worker&, size_t service) const;
    void sampleLatency(double ratio);
    void runScheduler();
    void apply(const PlaceTask&);
    void apply(const EvictTask&);
    void apply(const ThrottleTask&);
    void apply(const QuarantineWorker&) { }
    void apply(const FailJob&);
    void countIfRejected(const absl::Status&);
    void countUnavailableServices();
    void summarise();
    bool isZoneOutPeriod() const;
    bool isAtShare(double share) const;

    const Workload& m_workload;
    RunSettings m_settings;
    std::mt19937_64 m_random;
    std::mt19937_64 m_arrivals;
    std::unique_ptr<BatchScheduler> m_scheduler;
    int64_t m_nowMs { 0 };
    bool m_isZoneOut { false };
    std::vector<Worker> m_workers;
    std::vector<Job> m_jobs;
    std::map<std::string, size_t> m_jobIndex;
    std::map<std::string, size_t> m_workerIndex;
    std::deque<Report> m_reports;
    std::vector<double> m_teamCoreHours;
    std::vector<double> m_teamWeight;
    std::vector<float> m_latencies;
    std::vector<float> m_isolatedLatencies;
    uint64_t m_samples { 0 };
    uint64_t m_samplesWithinTarget { 0 };
    uint64_t m_serviceSteps { 0 };
    uint64_t m_serviceDownSteps { 0 };
    std::vector<double> m_urgentWaits;
    std::vector<double> m_largeWaits;
    std::vector<double> m_acceleratorWaits;
    uint64_t m_deadlines { 0 };
    uint64_t m_deadlinesMet { 0 };
    uint64_t m_evictions { 0 };
    double m_decisionMicros { 0 };
    RunResult m_result;
};

}
