#pragma once

#include "TaskSchedulerFixture.h"
#include <algorithm>
#include <cstdint>
#include <map>
#include <random>
#include <string>
#include <vector>

namespace Bergamot {

/// A service to which twice the work arrives that it has room for, after a time without any worker. Virtual time.
class OverloadedService {
public:
    struct Options {
        uint32_t seed { 1 };
        WorkerHandle workers { 6 };

        /// Length of the chain of steps of each job.
        uint32_t steps { 1 };

        /// Arriving work, as a multiple of the capacity.
        double load { 2 };
        Milliseconds timeWithoutWorkers { 12000 };
    };

    /// What the callers got whose jobs arrived in a period.
    struct Result {
        size_t jobs { 0 };
        size_t inTime { 0 };

        /// Completed within three times the objective, and completed at all.
        size_t ofUse { 0 };
        size_t completed { 0 };
        Milliseconds longestWait { 0 };
    };

    explicit OverloadedService(Options options)
        : m_options(options)
        , m_random(options.seed)
    {
        m_fixture.scheduler().setQueues(
            { { "quick", { .service = "token", .maxAttempts = 2, .stretch = stretch, .targetLatencyMs = targetMs } } });
        passFor(options.timeWithoutWorkers);
        for (WorkerHandle i = 1; i <= options.workers; ++i)
            m_fixture.addWorker(i, { coresPerWorker * milliPerCore, 1000000, 0 });
    }

    void setLoad(double load) { m_options.load = load; }
    Instant now() const { return m_fixture.now(); }

    void passFor(Milliseconds time)
    {
        for (auto end = now() + time; now() < end;)
            pass();
    }

    /// The jobs that arrived in this period.
    Result resultOf(Instant begin, Instant end) const
    {
        Result result;
        for (const auto& [id, job] : m_jobs) {
            if (job.arrivedAt < begin || job.arrivedAt >= end)
                continue;
            ++result.jobs;
            bool isDone = job.doneAt != neverInstant;
            auto time = (isDone ? job.doneAt : now()) - job.arrivedAt;
            result.completed += isDone ? 1 : 0;
            result.inTime += isDone && time <= job.objective ? 1 : 0;
            result.ofUse += isDone && time <= 3 * job.objective ? 1 : 0;
            result.longestWait = std::max(result.longestWait, time);
        }
        return result;
    }

private:
    static constexpr Milliseconds planInterval { 50 };
    static constexpr int64_t coresPerWorker { 8 };
    static constexpr int64_t milliPerCore { 1000 };
    static constexpr double stretch { 1.5 };
    static constexpr uint32_t targetMs { 1500 };
    static constexpr uint32_t meanStepMs { 1000 };

    struct Job {
        Instant arrivedAt { neverInstant };
        Instant doneAt { neverInstant };
        Milliseconds objective { 0 };
        uint32_t remainingSteps { 0 };
    };

    struct Run {
        StartTask start {};
        Instant endsAt { neverInstant };
    };

    void pass()
    {
        auto workPerPass = m_options.load * static_cast<double>(m_options.workers) * coresPerWorker
            * static_cast<double>(planInterval.count());
        m_arrivingMs += workPerPass;
        for (auto jobMs = static_cast<double>(m_options.steps * meanStepMs); m_arrivingMs >= jobMs;
             m_arrivingMs -= jobMs)
            addJob();
        for (const auto& start : m_fixture.planStarts())
            begin(start);
        m_fixture.advance(planInterval);
        endDueRuns();
    }

    void addJob()
    {
        auto id = "job" + std::to_string(m_jobs.size());
        std::vector<StepSpec> steps;
        int64_t chainMs = 0;
        for (uint32_t i = 0; i < m_options.steps; ++i) {
            auto step = TaskSchedulerFixture::step(1);
            step.estimateMs = meanStepMs / 2 + m_random() % meanStepMs;
            if (i > 0)
                step.dependsOn = { i - 1 };
            chainMs += step.estimateMs;
            steps.push_back(step);
        }
        auto spec = TaskSchedulerFixture::job(id, steps);
        spec.acceptedAtMs = now().time_since_epoch().count();
        m_specs[id] = steps;
        m_jobs[id] = { .arrivedAt = now(),
            .objective = Milliseconds { static_cast<int64_t>(stretch * static_cast<double>(chainMs)) + targetMs },
            .remainingSteps = m_options.steps };
        m_fixture.scheduler().addJob(spec, std::nullopt, neverInstant, now());
    }

    /// Run times differ from the estimates by a tenth at most.
    void begin(const StartTask& start)
    {
        constexpr uint32_t percent { 100 };
        constexpr uint32_t spread { 10 };
        int64_t estimateMs = m_specs[start.task.job][start.task.step].estimateMs;
        auto runMs = estimateMs * (percent - spread + m_random() % (2 * spread + 1)) / percent;
        m_fixture.scheduler().commandAccepted(start.worker, start.task, start.run, now());
        m_runs.push_back({ .start = start, .endsAt = now() + Milliseconds { static_cast<int64_t>(runMs) } });
    }

    void endDueRuns()
    {
        auto due = std::ranges::partition(m_runs, [&](const Run& it) { return it.endsAt > now(); });
        std::vector<Run> ended(due.begin(), due.end());
        m_runs.erase(due.begin(), due.end());
        for (const auto& run : ended) {
            m_fixture.endRun(run.start, RunOutcome::Done);
            auto& job = m_jobs[run.start.task.job];
            if (--job.remainingSteps == 0)
                job.doneAt = now();
        }
        for (const auto& progress : m_fixture.scheduler().takeChangedJobs()) {
            if (m_fixture.scheduler().progressStored(progress))
                m_fixture.scheduler().releaseDetails(progress.id);
        }
    }

    Options m_options;
    std::mt19937 m_random;
    TaskSchedulerFixture m_fixture {};
    std::map<JobId, std::vector<StepSpec>> m_specs {};
    std::map<JobId, Job> m_jobs {};
    std::vector<Run> m_runs {};

    /// Work that has arrived and is in no job yet.
    double m_arrivingMs { 0 };
};

}
