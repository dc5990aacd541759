#pragma once

#include "TaskSchedulerFixture.h"
#include <algorithm>
#include <cstdint>
#include <map>
#include <random>
#include <set>
#include <string>
#include <utility>
#include <vector>

namespace Bergamot {

/// A service whose workers are full of short tasks: more of them wait at all times than have room. Long-running tasks
/// lose their workers. Virtual time.
class BusyService {
public:
    static constexpr Milliseconds planInterval { 100 };
    static constexpr Resources workerSize { 8000, 125000, 0 };

    struct Options {
        WorkerHandle workers { 12 };
        uint32_t seed { 1 };

        /// Processors and run times of the short tasks are drawn from these ranges.
        std::pair<int64_t, int64_t> shortTaskMillis { 500, 1500 };
        std::pair<uint32_t, uint32_t> shortTaskMs { 1000, 3000 };

        /// Number of short jobs that wait at any time.
        size_t backlog { 20 };

        /// Short jobs that arrive besides, whatever waits.
        int64_t arrivalsPerSecond { 0 };

        /// Processors of the workers, in turn.
        std::vector<int64_t> workerMillis { workerSize.cpuMillis };
    };

    explicit BusyService(Options options)
        : m_options(options)
        , m_random(options.seed)
    {
        for (WorkerHandle i = 0; i < options.workers; ++i)
            addWorker();
    }

    TaskScheduler& scheduler() { return m_fixture.scheduler(); }
    Instant now() const { return m_fixture.now(); }
    const std::map<WorkerHandle, std::map<TaskRef, StartTask>>& runs() const { return m_runs; }

    void addWorker()
    {
        auto handle = ++m_lastWorker;
        m_fixture.addWorker(handle, sizeOf(handle));
        m_runs[handle];
    }

    /// Adds a job of tasks that last, or of one short task.
    void addJob(const JobId& id, StepSpec step, std::optional<JobProgress> stored = std::nullopt)
    {
        m_sizes[id] = step.size.cpuMillis;
        scheduler().addJob(TaskSchedulerFixture::job(id, { std::move(step) }), std::move(stored), neverInstant);
    }

    static StepSpec longRunning(int64_t cpuMillis, uint32_t count = 1)
    {
        return { .count = count, .size = { cpuMillis, 1000, 0 }, .longRunning = true };
    }

    /// Adds a task that runs isolated, until it has run for 10 s.
    void addSuspect(const JobId& id, int64_t cpuMillis)
    {
        constexpr uint64_t crashes { 3 };
        constexpr uint32_t crashMs { 5000 };
        constexpr uint32_t runMs { 20000 };
        JobProgress stored { .id = id, .state = JobStage::Running, .done = { "0" } };
        for (uint64_t run = 1; run <= crashes; ++run)
            stored.crashedRuns.push_back({ .index = 0, .run = run, .runTimeMs = crashMs, .confirmed = true });
        m_runTimes[id] = Milliseconds { runMs };
        addJob(id, { .size = { cpuMillis, 1000, 0 }, .estimateMs = runMs }, stored);
    }

    Resources sizeOf(WorkerHandle handle) const
    {
        auto size = workerSize;
        size.cpuMillis = m_options.workerMillis[handle % m_options.workerMillis.size()];
        return size;
    }

    bool isDraining(WorkerHandle handle) const { return m_draining.contains(handle); }

    /// The worker that runs the task, or 0.
    WorkerHandle workerOf(const TaskRef& task) const
    {
        auto it = std::ranges::find_if(m_runs, [&](const auto& runs) { return runs.second.contains(task); });
        return it == m_runs.end() ? 0 : it->first;
    }

    /// The worker is gone, which the leader does not know yet.
    void loseWorker(WorkerHandle handle) { m_runs.erase(handle); }

    void removeWorker(WorkerHandle handle, WorkerEnd end = WorkerEnd::Left)
    {
        scheduler().removeWorker(handle, end, now());
        m_runs.erase(handle);
        m_draining.erase(handle);
    }

    void replaceWorker(WorkerHandle handle)
    {
        removeWorker(handle);
        addWorker();
    }

    /// The worker takes no more runs, stops those that last, and leaves once the others have ended.
    void drain(WorkerHandle handle)
    {
        TaskWorkerView view { .id = "w" + std::to_string(handle), .service = "token", .zone = "a" };
        view.capacity = sizeOf(handle);
        view.draining = true;
        scheduler().updateWorker(handle, view);
        m_draining.insert(handle);
    }

    /// The leases of the worker lapse: its runs end, and it remains usable.
    void lapseWorker(WorkerHandle handle)
    {
        scheduler().markRunsLost(handle, now());
        m_runs[handle].clear();
    }

    void pass()
    {
        fillBacklog();
        for (const auto& progress : scheduler().takeChangedJobs())
            scheduler().progressStored(progress);
        for (const auto& action : m_fixture.plan()) {
            if (const auto* start = std::get_if<StartTask>(&action))
                begin(*start);
            else if (const auto* stop = std::get_if<StopTask>(&action))
                end(*stop);
        }
        m_fixture.advance(planInterval);
        endDueRuns();
        report();
        for (auto handle : std::set(m_draining)) {
            if (m_runs[handle].empty())
                removeWorker(handle);
        }
    }

    void passFor(Milliseconds time)
    {
        for (auto end = now() + time; now() < end;)
            pass();
    }

    /// Passes until a worker runs the task, for `limit` at most. Returns the time.
    Milliseconds timeUntilRunning(const TaskRef& task, Milliseconds limit)
    {
        auto begin = now();
        while (workerOf(task) == 0 && now() - begin < limit)
            pass();
        return now() - begin;
    }

    /// Most processors in use on one worker.
    int64_t mostUsedMillis() const { return m_mostUsedMillis; }

    /// Number of short tasks that have started.
    size_t shortStarts() const { return m_shortStarts; }

private:
    template <typename T> T draw(std::pair<T, T> range)
    {
        return range.first + static_cast<T>(m_random() % static_cast<uint64_t>(range.second - range.first + 1));
    }

    void fillBacklog()
    {
        constexpr int64_t msPerSecond { 1000 };
        m_arrivals += m_options.arrivalsPerSecond * planInterval.count();
        for (; m_arrivals >= msPerSecond; m_arrivals -= msPerSecond)
            addShortJob();
        while (m_options.backlog > 0 && scheduler().totals().waitingTasks < m_options.backlog)
            addShortJob();
    }

    void addShortJob()
    {
        auto id = "short" + std::to_string(++m_shortJobs);
        constexpr int64_t step { 100 };
        auto millis = draw(m_options.shortTaskMillis) / step * step;
        m_runTimes[id] = Milliseconds { draw(m_options.shortTaskMs) };
        addJob(id, { .size = { millis, 500, 0 }, .estimateMs = draw(m_options.shortTaskMs) });
    }

    void begin(const StartTask& start)
    {
        auto runs = m_runs.find(start.worker);
        if (runs == m_runs.end())
            return;
        runs->second[start.task] = start;
        m_startedAt[start.task] = now();
        m_shortStarts += m_runTimes.contains(start.task.job) ? 1 : 0;
        scheduler().commandAccepted(start.worker, start.task, start.run, now());
        int64_t used = 0;
        for (const auto& [task, run] : runs->second)
            used += m_sizes[task.job];
        m_mostUsedMillis = std::max(m_mostUsedMillis, used);
    }

    void end(const StopTask& stop)
    {
        auto runs = m_runs.find(stop.worker);
        if (runs == m_runs.end() || runs->second.erase(stop.task) == 0)
            return;
        scheduler().runEnded(
            stop.worker, { .sequence = 1, .task = stop.task, .run = stop.run, .outcome = RunOutcome::Stopped }, now());
    }

    void endDueRuns()
    {
        for (auto& [handle, runs] : m_runs) {
            for (const auto& [task, start] : std::map(runs)) {
                auto time = m_runTimes.find(task.job);
                if (time == m_runTimes.end() || now() - m_startedAt[task] < time->second)
                    continue;
                runs.erase(task);
                m_fixture.endRun(start, RunOutcome::Done);
                scheduler().releaseDetails(task.job);
            }
        }
    }

    void report()
    {
        for (const auto& [handle, runs] : m_runs) {
            std::vector<RunReport> reports;
            for (const auto& [task, start] : runs)
                reports.push_back({ .task = task, .run = start.run, .progressPercent = progressOf(task) });
            scheduler().runsReported(handle, reports, RunEndCoverage::All, now(), now());
        }
    }

    /// Runs that make no progress are stopped.
    uint32_t progressOf(const TaskRef& task) const
    {
        constexpr int64_t msPerPercent { 500 };
        return static_cast<uint32_t>((now() - m_startedAt.at(task)).count() / msPerPercent);
    }

    Options m_options;
    std::mt19937 m_random;
    TaskSchedulerFixture m_fixture {};
    std::map<WorkerHandle, std::map<TaskRef, StartTask>> m_runs {};
    std::set<WorkerHandle> m_draining {};
    std::map<TaskRef, Instant> m_startedAt {};
    std::map<JobId, int64_t> m_sizes {};

    /// Run times of the tasks that end.
    std::map<JobId, Milliseconds> m_runTimes {};
    WorkerHandle m_lastWorker { 0 };
    size_t m_shortJobs { 0 };
    size_t m_shortStarts { 0 };

    /// Thousandths of short jobs that have arrived and are not added yet.
    int64_t m_arrivals { 0 };
    int64_t m_mostUsedMillis { 0 };
};

}
