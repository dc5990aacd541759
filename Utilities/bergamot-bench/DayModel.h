#pragma once

#include "DayResult.h"
#include "DaySize.h"
#include <LibDecision/TaskScheduler.h>
#include <map>
#include <queue>
#include <random>
#include <string>
#include <vector>

namespace Bergamot {

/// Simulates a day of one leader in virtual time: jobs arrive, and workers run tasks, divide their processors among
/// them and report running and ended tasks. Interference follows a queueing model with a coefficient for each pair of
/// images that the scheduler does not know. The scheduler's processor time is measured; the seed determines all other
/// results.
class DayModel {
public:
    DayModel(DaySize, uint64_t seed);
    ~DayModel();

    DayResult run();

private:
    struct Run;
    struct Worker;
    struct Job;
    using ArrivalQueue
        = std::priority_queue<std::pair<int64_t, uint32_t>, std::vector<std::pair<int64_t, uint32_t>>, std::greater<>>;

    static double draw(std::mt19937_64&, double mean, double variation, double maxFactor);
    void addWorkers();
    void drawInterference();
    void submit(uint32_t kind);
    void applyActions(std::vector<TaskAction>);
    void startRun(const StartTask&);
    Run* findRun(WorkerHandle, const TaskRef&, uint64_t run);
    void cancelDueJobs();
    void applyFaults();
    void advance(Worker&);
    double tailLatencyOf(const Worker&, const Run&) const;
    void report(Worker&);
    void plan();
    void recordServingTime();
    void checkCompletions();
    Instant now() const { return Instant { Milliseconds { m_nowMs } }; }

    DaySize m_size;

    /// Jobs and runs use separate generators, so that a seed gives the same jobs whatever the scheduler decides.
    std::mt19937_64 m_random;
    std::mt19937_64 m_runRandom;
    TaskScheduler m_scheduler;
    std::vector<Worker> m_workers;
    std::map<std::string, Job> m_jobs;

    /// Additional utilisation of a long-running task per share of the worker's processors that a best-effort task uses,
    /// indexed by best-effort image and long-running image.
    std::vector<std::vector<double>> m_interference;
    int64_t m_nowMs { 0 };
    uint64_t m_lastJob { 0 };
    uint64_t m_lastSequence { 0 };
    bool m_eventsSincePlan { true };
    DayResult m_result;
};

}
