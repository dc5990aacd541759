#pragma once

#include "TaskSchedulerFixture.h"
#include <algorithm>
#include <cmath>
#include <cstdint>
#include <map>
#include <memory>
#include <numbers>
#include <optional>
#include <random>
#include <string>
#include <utility>
#include <vector>

namespace Bergamot {

/// A service whose workers have a serving task each, with a load that rises and falls, and that best-effort tasks slow
/// down by amounts that differ by pair of images. Virtual time.
class PressedService {
public:
    static constexpr Milliseconds planInterval { 100 };
    static constexpr Resources workerSize { 32000, 125000, 0 };

    struct Options {
        uint32_t seed { 1 };
        WorkerHandle workers { 12 };
        uint32_t servingImages { 1 };

        /// Amplitude of the load of a serving task, as a share of its mean.
        double swing { 0 };
    };

    explicit PressedService(Options options)
        : m_options(options)
        , m_random(options.seed)
        , m_leader(std::make_unique<TaskSchedulerFixture>())
    {
        addWorkers();
        for (uint32_t i = 0; i < options.servingImages; ++i)
            addServingJob(i);
        passFor(Milliseconds { 3000 });
    }

    TaskScheduler& scheduler() { return m_leader->scheduler(); }
    Instant now() const { return m_leader->now(); }

    /// Utilisation that a best-effort task of the image adds to each serving task beside it, per share of the worker's
    /// processors.
    void setPressure(const std::string& image, double pressure) { m_pressures[image] = pressure; }

    JobId addJob(const std::string& image, uint32_t tasks, int64_t cpuMillis = 7000, Milliseconds time = maxRunTime)
    {
        return addJob(image, tasks, { cpuMillis, 1024, 0 }, time);
    }

    /// Adds a job of one task that needs this much memory.
    JobId addJobOfLargeTasks(int64_t memoryMb) { return addJob("large", 1, { 1000, memoryMb, 0 }, maxRunTime); }

    JobId addJob(const std::string& image, uint32_t tasks, const Resources& size, Milliseconds time)
    {
        auto id = "fill" + std::to_string(++m_lastJob);
        StepSpec step { .count = tasks,
            .size = size,
            .estimateMs = static_cast<uint32_t>(time.count()),
            .bestEffort = true,
            .image = image };
        m_jobs[id] = { .spec = TaskSchedulerFixture::job(id, { step }, "batch"), .runTime = time, .idleSince = now() };
        m_jobs[id].spec.acceptedAtMs = now().time_since_epoch().count();
        addTo(scheduler(), m_jobs[id].spec, neverInstant);
        return id;
    }

    bool hasStarted(const JobId& id) const { return m_jobs.at(id).hasStarted; }
    bool hasEnded(const JobId& id) const { return m_jobs.at(id).doneTasks == m_jobs.at(id).spec.steps[0].count; }

    /// The longest time in which a job had nothing running, without the times in which no worker may take a best-effort
    /// task because the serving tasks of all of them are over their targets.
    Milliseconds longestIdleTime() const { return m_longestIdleTime; }

    /// The longest time for which a run of a best-effort task was paused.
    Milliseconds longestPause() const { return m_longestPause; }

    /// The longest time in which a serving task was over its target.
    Milliseconds longestOverTarget() const { return m_longestOverTarget; }

    void passFor(Milliseconds time)
    {
        for (auto end = now() + time; now() < end;)
            pass();
    }

    /// Another leader takes over, with the pressures that the last one has learned.
    void changeLeader()
    {
        storeProgress();
        auto pressures = scheduler().savePressures();
        auto time = now();
        m_leader = std::make_unique<TaskSchedulerFixture>(++m_epoch);
        m_leader->advance(time - m_leader->now());
        scheduler().restorePressures(pressures);
        addWorkers();
        for (auto& [id, job] : m_jobs) {
            if (hasEnded(id))
                continue;
            auto stored = m_progress.find(id);
            scheduler().addJob(job.spec, stored == m_progress.end() ? std::nullopt : std::optional(stored->second),
                time + planInterval);
        }
        for (const auto& spec : m_servingJobs)
            addTo(scheduler(), spec, time + planInterval);
        report();
        scheduler().unblockTasks();
    }

private:
    static constexpr Milliseconds maxRunTime { 2000 };
    static constexpr Milliseconds reportInterval { 500 };
    static constexpr double baseTailMs { 4 };
    static constexpr uint32_t targetMs { 18 };
    static constexpr double meanLoad { 0.42 };
    static constexpr double swingPeriodMs { 14000 };

    struct Job {
        JobSpec spec {};
        Milliseconds runTime { 0 };
        uint32_t doneTasks { 0 };
        bool hasStarted { false };
        Instant idleSince { neverInstant };
    };

    struct Run {
        StartTask start {};
        bool isServing { false };
        uint32_t speedPercent { 100 };
        double workMs { 0 };
        double phase { 0 };
        Instant pausedSince { neverInstant };
        Instant overTargetSince { neverInstant };
    };

    static void addTo(TaskScheduler& scheduler, const JobSpec& spec, Instant blockedUntil)
    {
        scheduler.addJob(spec, std::nullopt, blockedUntil);
    }

    void addWorkers()
    {
        for (WorkerHandle i = 1; i <= m_options.workers; ++i)
            m_leader->addWorker(i, workerSize);
    }

    void addServingJob(uint32_t image)
    {
        auto count = m_options.workers / m_options.servingImages;
        StepSpec step { .count = count,
            .size = { 2000, 512, 0 },
            .estimateMs = 400,
            .longRunning = true,
            .maxPerWorker = 1,
            .image = "serve" + std::to_string(image),
            .targetLatencyMs = targetMs };
        m_servingJobs.push_back(TaskSchedulerFixture::job("serving" + std::to_string(image), { step }));
        addTo(scheduler(), m_servingJobs.back(), neverInstant);
    }

    void pass()
    {
        storeProgress();
        for (const auto& action : m_leader->plan())
            execute(action);
        m_leader->advance(planInterval);
        work();
        if (now().time_since_epoch() % reportInterval == Milliseconds { 0 })
            report();
        updateIdleTimes();
    }

    void storeProgress()
    {
        for (const auto& progress : scheduler().takeChangedJobs()) {
            m_progress[progress.id] = progress;
            scheduler().progressStored(progress);
        }
    }

    void execute(const TaskAction& action)
    {
        if (const auto* start = std::get_if<StartTask>(&action)) {
            bool isServing = !m_jobs.contains(start->task.job);
            constexpr double circle { 2 * std::numbers::pi };
            auto phase = circle * static_cast<double>(m_random()) / static_cast<double>(std::mt19937::max());
            m_runs[start->worker][start->task]
                = { .start = *start, .isServing = isServing, .phase = phase, .pausedSince = now() };
            if (!isServing)
                m_jobs.at(start->task.job).hasStarted = true;
            scheduler().commandAccepted(start->worker, start->task, start->run, now());
        } else if (const auto* throttle = std::get_if<ThrottleRun>(&action)) {
            auto run = m_runs[throttle->worker].find(throttle->task);
            if (run != m_runs[throttle->worker].end())
                run->second.speedPercent = throttle->speedPercent;
        } else if (const auto* stop = std::get_if<StopTask>(&action)) {
            if (m_runs[stop->worker].erase(stop->task) > 0)
                scheduler().runEnded(stop->worker,
                    { .sequence = 1, .task = stop->task, .run = stop->run, .outcome = RunOutcome::Stopped }, now());
        }
    }

    /// Speed of the best-effort tasks on a worker, whose processors they share.
    double speedOn(const std::map<TaskRef, Run>& runs) const
    {
        double wanted = 0;
        for (const auto& [task, run] : runs) {
            if (!run.isServing)
                wanted += cpuMillisOf(run);
        }
        constexpr int64_t servingMillis { 2000 };
        return wanted > 0 ? std::min(1.0, static_cast<double>(workerSize.cpuMillis - servingMillis) / wanted) : 1;
    }

    double cpuMillisOf(const Run& run) const
    {
        return static_cast<double>(m_jobs.at(run.start.task.job).spec.steps[0].size.cpuMillis) * run.speedPercent / 100;
    }

    void work()
    {
        for (auto& [handle, runs] : m_runs) {
            auto speed = speedOn(runs);
            for (auto it = runs.begin(); it != runs.end();) {
                auto& run = it->second;
                if (run.isServing) {
                    ++it;
                    continue;
                }
                auto& job = m_jobs.at(run.start.task.job);
                if (run.speedPercent > 0)
                    run.pausedSince = now();
                m_longestPause = std::max(m_longestPause, now() - run.pausedSince);
                run.workMs += static_cast<double>(planInterval.count()) * speed * run.speedPercent / 100;
                if (run.workMs < static_cast<double>(job.runTime.count())) {
                    ++it;
                    continue;
                }
                ++job.doneTasks;
                m_leader->endRun(run.start, RunOutcome::Done);
                it = runs.erase(it);
            }
        }
    }

    double tailOf(const Run& serving, const std::map<TaskRef, Run>& runs)
    {
        auto time = static_cast<double>(now().time_since_epoch().count());
        auto angle = 2 * std::numbers::pi * time / swingPeriodMs + serving.phase;
        double utilisation = meanLoad * (1 + m_options.swing * std::sin(angle));
        for (const auto& [task, run] : runs) {
            if (!run.isServing)
                utilisation += m_pressures[m_jobs.at(task.job).spec.steps[0].image] * speedOn(runs) * cpuMillisOf(run)
                    / static_cast<double>(workerSize.cpuMillis);
        }
        constexpr double maxUtilisation { 0.98 };
        return baseTailMs / (1 - std::min(maxUtilisation, utilisation));
    }

    RunReport reportOf(Run& run, const std::map<TaskRef, Run>& runs)
    {
        RunReport report { .task = run.start.task, .run = run.start.run, .progressPercent = 100 };
        if (run.isServing) {
            auto tail = tailOf(run, runs);
            bool isOver = tail >= targetMs;
            if (!isOver)
                run.overTargetSince = neverInstant;
            else if (run.overTargetSince == neverInstant)
                run.overTargetSince = now();
            if (isOver)
                m_longestOverTarget = std::max(m_longestOverTarget, now() - run.overTargetSince);
            report.recentMeasurement = std::llround(tail);
            return report;
        }
        auto total = static_cast<double>(m_jobs.at(run.start.task.job).runTime.count());
        report.progressPercent = static_cast<uint32_t>(100 * run.workMs / total);
        report.recentMeasurement = std::llround(speedOn(runs) * cpuMillisOf(run));
        return report;
    }

    void report()
    {
        for (auto& [handle, runs] : m_runs) {
            std::vector<RunReport> reports;
            for (auto& [task, run] : runs)
                reports.push_back(reportOf(run, runs));
            scheduler().runsReported(handle, reports, RunEndCoverage::All, now(), now());
        }
    }

    bool areAllOverTarget() const
    {
        return std::ranges::all_of(m_runs, [](const auto& worker) {
            return std::ranges::any_of(worker.second,
                [](const auto& run) { return run.second.isServing && run.second.overTargetSince != neverInstant; });
        });
    }

    void updateIdleTimes()
    {
        bool mayNoneStart = areAllOverTarget();
        std::map<JobId, bool> isRunning;
        for (const auto& [handle, runs] : m_runs) {
            for (const auto& [task, run] : runs)
                isRunning[task.job] = true;
        }
        for (auto& [id, job] : m_jobs) {
            if (isRunning[id] || hasEnded(id))
                job.idleSince = now();
            else if (mayNoneStart)
                job.idleSince += planInterval;
            m_longestIdleTime = std::max(m_longestIdleTime, now() - job.idleSince);
        }
    }

    Options m_options;
    std::mt19937 m_random;
    std::unique_ptr<TaskSchedulerFixture> m_leader;
    uint64_t m_epoch { 1 };
    std::map<std::string, double> m_pressures {};
    std::map<JobId, Job> m_jobs {};
    std::map<JobId, JobProgress> m_progress {};
    std::vector<JobSpec> m_servingJobs {};
    std::map<WorkerHandle, std::map<TaskRef, Run>> m_runs {};
    size_t m_lastJob { 0 };
    Milliseconds m_longestIdleTime { 0 };
    Milliseconds m_longestOverTarget { 0 };
    Milliseconds m_longestPause { 0 };
};

}
