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

/// Plays a day of one leader in virtual time: jobs arrive, workers run tasks, share processors and list what runs and
/// what has ended. Interference follows a queue model with a hidden pressure for each pair of images. The scheduler's
/// processor time is measured; everything else is fixed by the seed.
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

    static double draw(std::mt19937_64&, double mean, double spread, double most);
    void addWorkers();
    void drawPressures();
    void submit(uint32_t kind);
    void applyOrders(std::vector<TaskAction>);
    void startRun(const StartTask&);
    Run* findRun(WorkerHandle, const TaskRef&, uint64_t run);
    void cancelLeavers();
    void applyFaults();
    void advance(Worker&);
    double tailOf(const Worker&, const Run&) const;
    void report(Worker&);
    void plan();
    void noteServing();
    void checkCompletions();
    Instant now() const { return Instant { Milliseconds { m_nowMs } }; }

    DaySize m_size;

    /// Jobs and runs are drawn apart, so that the same seed brings the same jobs whatever is decided.
    std::mt19937_64 m_random;
    std::mt19937_64 m_runRandom;
    TaskScheduler m_scheduler;
    std::vector<Worker> m_workers;
    std::map<std::string, Job> m_jobs;

    /// Utilisation per share of a worker's processors, by filling and serving image.
    std::vector<std::vector<double>> m_pressures;
    int64_t m_nowMs { 0 };
    uint64_t m_lastJob { 0 };
    uint64_t m_lastSequence { 0 };
    bool m_eventsSincePlan { true };
    DayResult m_result;
};

}
