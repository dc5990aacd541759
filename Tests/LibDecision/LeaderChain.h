#pragma once

#include "TaskSchedulerFixture.h"
#include <cstdint>
#include <map>
#include <memory>
#include <optional>
#include <random>
#include <string>
#include <utility>
#include <vector>

namespace Bergamot {

/// A service under leaders that follow each other, in virtual time. More short tasks wait at all times than have room,
/// so that no long-running task leaves headroom for them. All workers answer each leader.
class LeaderChain {
public:
    static constexpr Milliseconds planInterval { 20 };
    static constexpr Resources workerSize { 8000, 125000, 0 };

    /// Time from an election until all workers have answered the leader.
    static constexpr Milliseconds settleTime { 340 };

    /// The leases of workers that have not answered expire this long after the election.
    static constexpr Milliseconds leaseTime { 5400 };

    struct Options {
        WorkerHandle workers { 6 };
        uint32_t seed { 1 };
        size_t backlog { 12 };
    };

    explicit LeaderChain(Options options)
        : m_options(options)
        , m_random(options.seed)
    {
        for (WorkerHandle i = 0; i < options.workers; ++i)
            addWorker();
    }

    TaskScheduler& scheduler() { return m_leader->scheduler(); }
    Instant now() const { return m_leader->now(); }

    void addWorker()
    {
        auto handle = ++m_lastWorker;
        m_leader->addWorker(handle, workerSize);
        m_runs[handle];
    }

    /// The worker has left, which the leader knows.
    void removeWorker(WorkerHandle handle)
    {
        scheduler().removeWorker(handle, WorkerEnd::Left, now());
        m_runs.erase(handle);
    }

    /// The worker is gone, and the leader ends before it learns of it. Its successor has no worker with this handle.
    void loseWorker(WorkerHandle handle) { m_runs.erase(handle); }

    /// Adds a job whose short tasks run for `runTime`.
    void addJob(const JobId& id, std::vector<StepSpec> steps, Milliseconds runTime = Milliseconds { 0 })
    {
        addJob(TaskSchedulerFixture::job(id, std::move(steps)), runTime);
    }

    void addJob(JobSpec job, Milliseconds runTime = Milliseconds { 0 })
    {
        job.acceptedAtMs = now().time_since_epoch().count();
        scheduler().addJob(job, std::nullopt, neverInstant);
        m_runTimes[job.id] = runTime;
        auto id = job.id;
        m_jobs[id] = std::move(job);
    }

    static StepSpec longRunning(int64_t cpuMillis, uint32_t count = 1)
    {
        return { .count = count, .size = { cpuMillis, 1000, 0 }, .longRunning = true };
    }

    /// Elects another leader. It knows what is stored, and the runs once the workers have answered.
    void elect()
    {
        storeProgress();
        auto time = now();
        m_leader = std::make_unique<TaskSchedulerFixture>(++m_epoch);
        m_leader->advance(time - m_leader->now());
        for (const auto& [id, job] : m_jobs) {
            auto stored = m_stored.find(id);
            scheduler().addJob(
                job, stored == m_stored.end() ? std::nullopt : std::optional(stored->second), time + leaseTime);
        }
        for (const auto& [handle, runs] : m_runs)
            m_leader->addWorker(handle, workerSize);
        m_settledAt = time + settleTime;
        m_isSettled = false;
    }

    void pass()
    {
        if (!m_isSettled && now() >= m_settledAt) {
            m_isSettled = true;
            report();
            scheduler().unblockTasks();
        }
        fillBacklog();
        storeProgress();
        for (const auto& action : m_leader->plan()) {
            if (const auto* start = std::get_if<StartTask>(&action))
                begin(*start);
        }
        m_leader->advance(planInterval);
        if (!m_isSettled)
            return;
        endDueRuns();
        report();
    }

    void passFor(Milliseconds time)
    {
        for (auto end = now() + time; now() < end;)
            pass();
    }

    /// The worker that runs the task, or 0.
    WorkerHandle workerOf(const TaskRef& task) const
    {
        for (const auto& [handle, runs] : m_runs) {
            if (runs.contains(task))
                return handle;
        }
        return 0;
    }

    /// Lets leaders follow each other, each for one of the times, until a worker runs the task. Returns the time from
    /// the first election, or nullopt if no leader starts the task.
    std::optional<Milliseconds> timeUntilRunning(const TaskRef& task, const std::vector<Milliseconds>& leaders)
    {
        auto begin = now();
        for (auto time : leaders) {
            elect();
            for (auto end = now() + time; now() < end;) {
                pass();
                if (workerOf(task) != 0)
                    return now() - begin;
            }
        }
        return std::nullopt;
    }

    /// Passes until a worker runs the task, for `limit` at most. Returns the time.
    Milliseconds timeUntilRunning(const TaskRef& task, Milliseconds limit)
    {
        auto begin = now();
        while (workerOf(task) == 0 && now() - begin < limit)
            pass();
        return now() - begin;
    }

private:
    template <typename T> T draw(T from, T to)
    {
        return from + static_cast<T>(m_random() % static_cast<uint64_t>(to - from + 1));
    }

    void fillBacklog()
    {
        while (scheduler().totals().waitingTasks < m_options.backlog) {
            constexpr int64_t minMillis { 500 };
            constexpr int64_t maxMillis { 1500 };
            constexpr uint32_t minMs { 500 };
            constexpr uint32_t maxMs { 1500 };
            auto id = "short" + std::to_string(++m_shortJobs);
            auto estimateMs = draw(minMs, maxMs);
            addJob(id, { { .size = { draw(minMillis, maxMillis), 500, 0 }, .estimateMs = estimateMs } },
                Milliseconds { estimateMs });
        }
    }

    void storeProgress()
    {
        for (const auto& progress : scheduler().takeChangedJobs()) {
            scheduler().progressStored(progress);
            if (progress.state >= JobStage::Completed) {
                m_stored.erase(progress.id);
                m_jobs.erase(progress.id);
                scheduler().releaseDetails(progress.id);
            } else {
                m_stored[progress.id] = progress;
            }
        }
    }

    void begin(const StartTask& start)
    {
        m_runs.at(start.worker)[start.task] = { start, now() };
        scheduler().commandAccepted(start.worker, start.task, start.run, now());
    }

    void endDueRuns()
    {
        for (auto& [handle, runs] : m_runs) {
            for (const auto& [task, run] : std::map(runs)) {
                if (m_jobs.at(task.job).steps[task.step].longRunning || now() - run.second < m_runTimes.at(task.job))
                    continue;
                runs.erase(task);
                m_leader->endRun(run.first, RunOutcome::Done);
            }
        }
    }

    void report()
    {
        for (const auto& [handle, runs] : m_runs) {
            std::vector<RunReport> reports;
            for (const auto& [task, run] : runs)
                reports.push_back({ .task = task, .run = run.first.run });
            scheduler().runsReported(handle, reports, RunEndCoverage::All, now(), now());
        }
    }

    Options m_options;
    std::mt19937 m_random;
    uint64_t m_epoch { 1 };
    std::unique_ptr<TaskSchedulerFixture> m_leader { std::make_unique<TaskSchedulerFixture>(1) };
    Instant m_settledAt { neverInstant };
    bool m_isSettled { true };
    WorkerHandle m_lastWorker { 0 };

    /// The jobs that have not ended, and their stored progress.
    std::map<JobId, JobSpec> m_jobs {};
    std::map<JobId, JobProgress> m_stored {};

    /// Run times of the tasks that end.
    std::map<JobId, Milliseconds> m_runTimes {};

    /// The runs on each worker that is not gone, with the times of their starts.
    std::map<WorkerHandle, std::map<TaskRef, std::pair<StartTask, Instant>>> m_runs {};
    size_t m_shortJobs { 0 };
};

}
