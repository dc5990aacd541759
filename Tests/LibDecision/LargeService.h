#pragma once

#include "BusyService.h"
#include <algorithm>
#include <cstdint>
#include <map>
#include <random>
#include <set>
#include <string>
#include <vector>

namespace Bergamot {

/// A service of hundreds of workers with most of its processors reserved by tasks that last, many of whose workers are
/// lost, or leave, at once. Virtual time.
class LargeService {
public:
    struct Options {
        uint32_t seed { 1 };
        WorkerHandle workers { 350 };
        std::vector<int64_t> workerMillis { 32000, 32000, 48000 };

        /// Jobs of tasks that last, and the sizes of the tasks.
        int jobs { 117 };
        double meanMillis { 6400 };
        int64_t maxMillis { 10000 };
        std::pair<int64_t, int64_t> shortTaskMillis { 1500, 6000 };
        int64_t shortTasksPerSecond { 180 };
    };

    explicit LargeService(Options options)
        : m_random(options.seed)
        , m_service({ .workers = options.workers,
              .seed = options.seed,
              .shortTaskMillis = options.shortTaskMillis,
              .shortTaskMs = { 400, 1600 },
              .backlog = 0,
              .arrivalsPerSecond = options.shortTasksPerSecond,
              .workerMillis = options.workerMillis })
    {
        for (int i = 0; i < options.jobs; ++i)
            addLastingJob(options, i);
        constexpr Milliseconds warmUp { 6000 };
        passFor(warmUp);
    }

    /// Workers are gone without notice. The leader no longer reaches them some time later, and their leases expire
    /// later still.
    void lose(size_t count)
    {
        constexpr Milliseconds remainingLease { 3500 };
        constexpr size_t workersPerPlan { 10 };
        auto lost = loseBeforeLeasesEnd(count);
        passFor(remainingLease);
        for (size_t i = 0; i < lost.size(); ++i) {
            m_service.removeWorker(lost[i], WorkerEnd::Crashed);
            if (i % workersPerPlan == 0)
                passFor(BusyService::planInterval);
        }
    }

    /// Workers are gone and no longer reached. Returns them.
    std::vector<WorkerHandle> loseBeforeLeasesEnd(size_t count)
    {
        constexpr Milliseconds timeUntilUnreachable { 1300 };
        auto lost = drawWorkers(count);
        for (auto handle : lost)
            m_service.loseWorker(handle);
        passFor(timeUntilUnreachable);
        for (auto handle : lost)
            m_service.scheduler().setReachable(handle, false, m_service.now());
        return lost;
    }

    void drain(size_t count)
    {
        for (auto handle : drawWorkers(count))
            m_service.drain(handle);
    }

    void passFor(Milliseconds time)
    {
        for (auto end = m_service.now() + time; m_service.now() < end;) {
            m_service.pass();
            recordRuns();
        }
    }

    /// The longest times between two runs of a task, or from the last run to now.
    std::vector<Milliseconds> timesWithoutRun() const
    {
        auto times = m_times;
        for (const auto& [task, since] : m_lastRunning) {
            if (since < m_service.now())
                times.push_back(m_service.now() - since);
        }
        return times;
    }

    /// The longest time from the last run of a task to now with room for it, beside the other tasks that last, on two
    /// workers at least.
    Milliseconds longestWaitWithRoom() const
    {
        Milliseconds longest { 0 };
        for (const auto& [task, since] : m_lastRunning) {
            if (m_service.now() - since > longest && workersWithRoom(task) >= 2)
                longest = m_service.now() - since;
        }
        return longest;
    }

    BusyService& service() { return m_service; }

private:
    void addLastingJob(const Options& options, int number)
    {
        constexpr uint32_t tasksPerJob { 14 };
        constexpr double spread { 0.25 };
        constexpr int64_t minMillis { 1500 };
        std::normal_distribution<double> sizes(options.meanMillis, spread * options.meanMillis);
        auto millis = std::clamp(static_cast<int64_t>(sizes(m_random)), minMillis, options.maxMillis);
        auto step = BusyService::longRunning(millis, tasksPerJob);
        step.maxPerWorker = number % 2 == 0 ? 1 : 0;
        auto id = "lasting" + std::to_string(number);
        m_steps[id] = step;
        m_service.addJob(id, step);
    }

    std::vector<WorkerHandle> drawWorkers(size_t count)
    {
        std::vector<WorkerHandle> all;
        for (const auto& [handle, runs] : m_service.runs())
            all.push_back(handle);
        std::ranges::shuffle(all, m_random);
        all.resize(count);
        return all;
    }

    size_t workersWithRoom(const TaskRef& task) const
    {
        const auto& step = m_steps.at(task.job);
        size_t workers = 0;
        for (const auto& [handle, runs] : m_service.runs()) {
            auto free = m_service.sizeOf(handle).cpuMillis;
            uint32_t siblings = 0;
            for (const auto& [other, start] : runs) {
                auto it = m_steps.find(other.job);
                free -= it == m_steps.end() ? 0 : it->second.size.cpuMillis;
                siblings += other.job == task.job ? 1 : 0;
            }
            bool isAllowed = step.maxPerWorker == 0 || siblings < step.maxPerWorker;
            workers += isAllowed && !m_service.isDraining(handle) && free >= step.size.cpuMillis ? 1 : 0;
        }
        return workers;
    }

    void recordRuns()
    {
        for (const auto& [handle, runs] : m_service.runs()) {
            for (const auto& [task, start] : runs) {
                if (!m_steps.contains(task.job))
                    continue;
                auto [it, isNew] = m_lastRunning.try_emplace(task, m_service.now());
                auto time = m_service.now() - it->second;
                if (time > BusyService::planInterval)
                    m_times.push_back(time);
                it->second = m_service.now();
            }
        }
    }

    std::mt19937 m_random;
    BusyService m_service;
    std::map<JobId, StepSpec> m_steps {};
    std::map<TaskRef, Instant> m_lastRunning {};
    std::vector<Milliseconds> m_times {};
};

}
