#pragma once

#include "TaskSchedulerFixture.h"
#include <algorithm>
#include <map>
#include <set>
#include <string>
#include <utility>
#include <vector>

namespace Bergamot {

/// Workers that execute the starts of a scheduler and crash, in virtual time.
struct TaskCrashFixture : Utest {
    static constexpr Milliseconds restartTime { 3000 };
    static constexpr Milliseconds planInterval { 100 };
    static constexpr Milliseconds silenceUntilNoticed { 1300 };

    TaskSchedulerFixture fixture;
    TaskScheduler& scheduler { fixture.scheduler() };
    WorkerHandle lastWorker { 0 };

    /// Active runs by worker, and all starts of each task.
    std::map<WorkerHandle, std::vector<StartTask>> active;
    std::map<TaskRef, size_t> starts;

    /// Tasks that crash each worker that starts them.
    std::set<TaskRef> crashingTasks;

    /// How many workers each of them has crashed.
    std::map<TaskRef, size_t> crashesByTask;
    std::map<WorkerHandle, Instant> crashedAt;

    /// Workers that have crashed without notice: they answer nothing, and the leader still takes them for alive.
    std::map<WorkerHandle, Instant> silentSince;

    /// Times of the starts, by task and run number.
    std::map<std::pair<TaskRef, uint64_t>, Instant> startedAt;
    std::map<WorkerHandle, std::string> racks;
    size_t maxWorkersDown { 0 };

    void addWorker(const std::string& rack = "", const std::string& zone = "a")
    {
        auto handle = ++lastWorker;
        TaskWorkerView view { .id = "w" + std::to_string(handle),
            .startedAtMs = 1000 + handle,
            .service = "token",
            .zone = zone,
            .rack = rack };
        view.capacity = { 32000, 125000, 0 };
        scheduler.updateWorker(handle, view);
        racks[handle] = rack;
        active[handle];
    }

    void storeProgress()
    {
        for (const auto& progress : scheduler.takeChangedJobs())
            scheduler.progressStored(progress);
    }

    void report(WorkerHandle worker)
    {
        std::vector<RunReport> reports;
        for (const auto& start : active[worker])
            reports.push_back({ .task = start.task, .run = start.run });
        scheduler.runsReported(worker, reports, RunEndCoverage::All, fixture.now(), fixture.now());
    }

    void reportAll()
    {
        for (const auto& [worker, runs] : active) {
            if (!crashedAt.contains(worker) && !silentSince.contains(worker))
                report(worker);
        }
    }

    void crash(WorkerHandle worker)
    {
        if (crashedAt.contains(worker) || !active.contains(worker))
            return;
        crashedAt[worker] = fixture.now();
        scheduler.setReachable(worker, false, fixture.now());
        scheduler.suspectCrash(worker, fixture.now());
        maxWorkersDown = std::max(maxWorkersDown, crashedAt.size());
    }

    void crashSilently(WorkerHandle worker)
    {
        if (!crashedAt.contains(worker) && active.contains(worker))
            silentSince.try_emplace(worker, fixture.now());
    }

    void noticeSilentWorkers()
    {
        for (const auto& [worker, since] : std::map(silentSince)) {
            if (fixture.now() - since < silenceUntilNoticed)
                continue;
            silentSince.erase(worker);
            crash(worker);
        }
    }

    void restartCrashedWorkers()
    {
        for (auto it = crashedAt.begin(); it != crashedAt.end();) {
            if (fixture.now() - it->second < restartTime) {
                ++it;
                continue;
            }
            auto rack = racks[it->first];
            scheduler.removeWorker(it->first, WorkerEnd::Crashed, fixture.now());
            active.erase(it->first);
            it = crashedAt.erase(it);
            addWorker(rack);
        }
    }

    void execute(const StartTask& start)
    {
        ++starts[start.task];
        startedAt[{ start.task, start.run }] = fixture.now();
        if (crashedAt.contains(start.worker) || silentSince.contains(start.worker))
            return;
        active[start.worker].push_back(start);
        scheduler.commandAccepted(start.worker, start.task, start.run, fixture.now());
        if (!crashingTasks.contains(start.task))
            return;
        ++crashesByTask[start.task];
        crash(start.worker);
    }

    void end(WorkerHandle worker, const StartTask& start)
    {
        std::erase(active[worker], start);
        fixture.endRun(start, RunOutcome::Done);
    }

    /// Lets time pass while the workers execute all starts; runs of short steps never end by themselves.
    void run(Milliseconds time)
    {
        for (Milliseconds passed { 0 }; passed < time; passed += planInterval) {
            storeProgress();
            for (const auto& start : fixture.planStarts())
                execute(start);
            fixture.advance(planInterval);
            noticeSilentWorkers();
            restartCrashedWorkers();
            reportAll();
        }
        storeProgress();
    }

    /// Crashes the workers on which a run of the job has been active for the time.
    void crashAtAge(const JobId& job, Milliseconds age)
    {
        for (const auto& [worker, runs] : std::map(active)) {
            for (const auto& start : runs) {
                if (start.task.job == job && fixture.now() - startedAt[{ start.task, start.run }] >= age)
                    crash(worker);
            }
        }
    }

    static StepSpec lasting(uint32_t count)
    {
        return { .count = count, .size = { 1000, 1000, 0 }, .longRunning = true };
    }
};

}
