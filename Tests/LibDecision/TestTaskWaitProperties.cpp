#include "../CheckProperty.h"
#include "TaskSchedulerFixture.h"
#include <algorithm>
#include <cstdint>
#include <map>
#include <memory>
#include <string>
#include <tuple>
#include <utility>
#include <vector>

using namespace Bergamot;

namespace {

/// A random event: `code` selects the event, `size` is the number of workers that it affects.
struct Event {
    uint8_t code { 0 };
    uint8_t size { 0 };
};

std::ostream& operator<<(std::ostream& stream, const Event& event)
{
    return stream << int { event.code } << ':' << int { event.size };
}

/// Workers, leaders and jobs in virtual time. Workers crash without notice and no task is the cause; at most half of
/// the processors are in use.
class CrashingCluster {
public:
    static constexpr WorkerHandle workerCount { 32 };
    static constexpr Milliseconds planInterval { 100 };
    static constexpr Milliseconds silenceUntilNoticed { 1300 };
    static constexpr Milliseconds restartTime { 2500 };
    static constexpr Milliseconds jobInterval { 1000 };
    static constexpr uint32_t tasksPerJob { 6 };
    static constexpr uint32_t runMs { 3000 };
    static constexpr int lastingJobs { 16 };

    explicit CrashingCluster(uint32_t seed)
        : m_random(seed)
    {
        for (WorkerHandle i = 0; i < workerCount; ++i)
            addWorker();
        for (int i = 0; i < lastingJobs; ++i)
            addJob({ .count = 4, .size = { 1000, 1000, 0 }, .longRunning = true });
        settle();
    }

    void apply(const Event& event)
    {
        constexpr size_t maxBurst { 6 };
        constexpr uint8_t bursts { 12 };
        constexpr uint8_t singleCrashes { 16 };
        if (event.code < bursts) {
            for (size_t i = 0; i <= event.size % maxBurst; ++i)
                crashSilently();
        } else if (event.code < singleCrashes) {
            crashSilently();
        } else if (event.code == singleCrashes) {
            replaceLeader();
        }
        constexpr int maxPlans { 16 };
        for (int i = 0; i <= event.size % maxPlans; ++i)
            pass();
    }

    /// Lets all tasks of crashed workers start again.
    void settle()
    {
        for (Milliseconds passed { 0 }; passed < Milliseconds { 5000 }; passed += planInterval)
            pass();
    }

    using Reason = std::pair<PlacementDelay, SuspectDelay>;
    const std::map<Reason, Milliseconds>& longestWaits() const { return m_longestWaits; }

private:
    using WaitKey = std::tuple<JobId, uint32_t, Reason>;
    struct Worker {
        TaskWorkerView view {};
        std::map<std::pair<TaskRef, uint64_t>, std::pair<StartTask, Instant>> runs {};
        Instant silentSince { neverInstant };
        bool noticed { false };
    };

    TaskScheduler& scheduler() { return m_leader->scheduler(); }
    Instant now() const { return m_leader->now(); }

    void addWorker()
    {
        auto handle = ++m_lastWorker;
        Worker worker;
        worker.view
            = { .id = "w" + std::to_string(handle), .startedAtMs = 1000 + handle, .service = "token", .zone = "a" };
        worker.view.capacity = { 8000, 125000, 0 };
        scheduler().updateWorker(handle, worker.view);
        m_workers[handle] = worker;
    }

    void addJob(StepSpec step)
    {
        auto job = TaskSchedulerFixture::job("j" + std::to_string(m_jobs.size()), { std::move(step) });
        scheduler().addJob(job, std::nullopt, neverInstant);
        m_jobs.push_back(std::move(job));
    }

    void crashSilently()
    {
        m_random = m_random * 1664525 + 1013904223;
        auto it = std::next(m_workers.begin(), static_cast<std::ptrdiff_t>((m_random >> 16) % m_workers.size()));
        if (it->second.silentSince == neverInstant)
            it->second.silentSince = now();
    }

    void storeProgress()
    {
        for (const auto& progress : scheduler().takeChangedJobs()) {
            scheduler().progressStored(progress);
            m_stored[progress.id] = progress;
        }
    }

    /// All workers that are alive have answered the new leader, and the crashed ones are known.
    void replaceLeader()
    {
        storeProgress();
        m_waits.clear();
        auto time = now();
        m_leader = std::make_unique<TaskSchedulerFixture>(++m_epoch);
        m_leader->advance(time - m_leader->now());
        for (const auto& job : m_jobs) {
            auto stored = m_stored.find(job.id);
            if (stored == m_stored.end())
                scheduler().addJob(job, std::nullopt, neverInstant);
            else if (stored->second.state < JobStage::Completed)
                scheduler().addJob(job, stored->second, neverInstant);
        }
        std::erase_if(m_workers, [](const auto& it) { return it.second.silentSince != neverInstant; });
        for (const auto& [handle, worker] : m_workers)
            scheduler().updateWorker(handle, worker.view);
        report();
        scheduler().confirmInheritedCrashes([&](const WorkerId& id, int64_t) {
            return std::ranges::any_of(m_workers, [&](const auto& it) { return it.second.view.id == id; });
        });
        while (m_workers.size() < workerCount)
            addWorker();
    }

    void report()
    {
        for (auto& [handle, worker] : m_workers) {
            if (worker.silentSince != neverInstant)
                continue;
            std::vector<RunReport> reports;
            for (const auto& [key, run] : worker.runs)
                reports.push_back({ .task = key.first, .run = key.second });
            scheduler().runsReported(handle, reports, RunEndCoverage::All, now(), now());
        }
    }

    void execute(const TaskAction& action)
    {
        if (const auto* stop = std::get_if<StopTask>(&action)) {
            auto it = m_workers.find(stop->worker);
            if (it != m_workers.end() && it->second.silentSince == neverInstant)
                it->second.runs.erase({ stop->task, stop->run });
            return;
        }
        const auto* start = std::get_if<StartTask>(&action);
        if (!start)
            return;
        auto& worker = m_workers.at(start->worker);
        if (worker.silentSince != neverInstant)
            return;
        worker.runs[{ start->task, start->run }] = { *start, now() };
        scheduler().commandAccepted(start->worker, start->task, start->run, now());
    }

    void endDueRuns()
    {
        for (auto& [handle, worker] : m_workers) {
            if (worker.silentSince != neverInstant)
                continue;
            for (const auto& [key, run] : std::map(worker.runs)) {
                const auto& [start, startedAt] = run;
                auto number = static_cast<size_t>(std::stoul(key.first.job.substr(1)));
                if (m_jobs[number].steps[0].longRunning || now() - startedAt < Milliseconds { runMs })
                    continue;
                worker.runs.erase(key);
                m_leader->endRun(start, RunOutcome::Done);
            }
        }
    }

    void noticeCrashes()
    {
        for (auto& [handle, worker] : m_workers) {
            if (worker.silentSince == neverInstant || worker.noticed
                || now() - worker.silentSince < silenceUntilNoticed)
                continue;
            worker.noticed = true;
            scheduler().setReachable(handle, false, now());
            scheduler().suspectCrash(handle, now());
        }
    }

    void restartWorkers()
    {
        size_t restarts = 0;
        for (auto it = m_workers.begin(); it != m_workers.end();) {
            auto since = it->second.silentSince;
            if (since == neverInstant || now() - since < restartTime) {
                ++it;
                continue;
            }
            scheduler().removeWorker(it->first, WorkerEnd::Crashed, now());
            it = m_workers.erase(it);
            ++restarts;
        }
        while (restarts-- > 0)
            addWorker();
    }

    /// Records how long each task has waited for one reason.
    void recordWaits()
    {
        constexpr size_t allSteps { 10000 };
        std::map<WaitKey, Instant> waits;
        for (const auto& wait : scheduler().stepWaits(now(), Milliseconds { 0 }, allSteps)) {
            Reason reason { wait.reason, wait.suspectDelay };
            WaitKey key { wait.job, wait.longestWaiting, reason };
            auto earlier = m_waits.find(key);
            auto since = earlier == m_waits.end() ? now() : earlier->second;
            waits[key] = since;
            auto time = wait.reason == PlacementDelay::UnlistedRun ? wait.longestWait : now() - since;
            m_longestWaits[reason] = std::max(m_longestWaits[reason], time);
        }
        m_waits = std::move(waits);
    }

    void pass()
    {
        if (now() - m_jobAddedAt >= jobInterval) {
            m_jobAddedAt = now();
            addJob({ .count = tasksPerJob, .size = { 2000, 1000, 0 }, .estimateMs = runMs });
        }
        storeProgress();
        for (const auto& action : m_leader->plan())
            execute(action);
        recordWaits();
        m_leader->advance(planInterval);
        noticeCrashes();
        restartWorkers();
        endDueRuns();
        report();
    }

    uint32_t m_random { 0 };
    uint64_t m_epoch { 1 };
    std::unique_ptr<TaskSchedulerFixture> m_leader { std::make_unique<TaskSchedulerFixture>(1) };
    std::map<WorkerHandle, Worker> m_workers {};
    WorkerHandle m_lastWorker { 0 };
    std::vector<JobSpec> m_jobs {};
    std::map<JobId, JobProgress> m_stored {};
    Instant m_jobAddedAt { neverInstant };
    std::map<WaitKey, Instant> m_waits {};
    std::map<Reason, Milliseconds> m_longestWaits {};
};

}

TEST_GROUP(TaskWaitProperties) {};

// Guards against tasks that wait without a bound while workers crash and leaders change, with half of the room free.
TEST(TaskWaitProperties, NoTaskWaitsLongerThanItsBound)
{
    constexpr Milliseconds maxWait { 3000 };
    constexpr Milliseconds maxUnlistedWait { 7000 };
    constexpr Milliseconds maxBackoff { 60000 };
    auto boundOf = [&](const CrashingCluster::Reason& reason) {
        if (reason.second == SuspectDelay::Backoff)
            return maxBackoff;
        return reason.first == PlacementDelay::UnlistedRun ? maxUnlistedWait : maxWait;
    };
    checkProperty("no task waits longer than its bound", [&] {
        constexpr size_t events { 100 };
        auto event = rc::gen::construct<Event>(rc::gen::inRange<uint8_t>(0, 40), rc::gen::inRange<uint8_t>(0, 96));
        auto allEvents = rc::gen::container<std::vector<Event>>(events, event);
        CrashingCluster cluster(*rc::gen::noShrink(rc::gen::arbitrary<uint32_t>()));
        for (const auto& it : *rc::gen::noShrink(rc::gen::resize(rc::kNominalSize, allEvents)))
            cluster.apply(it);
        for (const auto& [reason, longest] : cluster.longestWaits()) {
            RC_LOG() << "reason " << static_cast<int>(reason.first) << ", suspect " << static_cast<int>(reason.second)
                     << ": " << longest.count() << " ms\n";
            RC_ASSERT(longest <= boundOf(reason));
        }
    });
}
