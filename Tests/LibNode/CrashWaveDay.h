#pragma once

#include "CrashDay.h"
#include <algorithm>
#include <cstdint>
#include <fmt/format.h>
#include <map>
#include <string>
#include <string_view>
#include <vector>

namespace Bergamot {

/// Tasks that crash their workers beside waves of crashes for another cause, while leaders are killed at random moments
/// and the store loses and delays replies.
struct CrashWaveDay {
    struct Options {
        uint32_t seed { 1 };
        uint32_t maxKills { 3 };
        uint32_t minTimeToCrashMs { 100 };
        uint32_t maxTimeToCrashMs { 3000 };

        /// Whether the hosts of some causes refuse nothing after the crash, so that it is noticed late.
        bool hasSilentCauses { true };
    };

    /// What happened to a task that crashes its workers.
    struct Cause {
        size_t starts { 0 };
        size_t crashes { 0 };
        size_t startsAfterThirdCrash { 0 };
        std::string events {};
    };

    static constexpr uint32_t workers { 24 };
    static constexpr uint32_t workersPerWave { 4 };
    static constexpr Milliseconds waveInterval { 1550 };
    static constexpr Milliseconds wavesBegin { 4000 };
    static constexpr Milliseconds wavesEnd { 30000 };
    static constexpr Milliseconds causesEnd { 20000 };
    static constexpr Milliseconds jobInterval { 700 };
    static constexpr Milliseconds maxTime { 130'000 };
    static constexpr Milliseconds waveDownTime { 1000 };
    static constexpr size_t causesPerDay { 2 };

    Options options;
    CrashDay day;
    std::map<JobId, Cause> causes;
    std::vector<Instant> plannedKills;
    std::vector<JobId> innocentJobs;

    explicit CrashWaveDay(Options dayOptions)
        : options(dayOptions)
        , day(options.seed)
    {
        day.executor.onStart = [this](const TaskRef& task, uint64_t run) { handleStart(task, run); };
        day.executor.onCrash = [this](const TaskRef& task, uint64_t run) { handleCrash(task, run); };
    }

    void note(Cause& cause, std::string_view event, uint64_t run) const
    {
        cause.events += fmt::format(" {}:{}@{}", event, run, day.clock.now().time_since_epoch().count());
    }

    void handleStart(const TaskRef& task, uint64_t run)
    {
        constexpr size_t crashesUntilCounted { 3 };
        auto it = causes.find(task.job);
        if (it == causes.end())
            return;
        ++it->second.starts;
        it->second.startsAfterThirdCrash += it->second.crashes >= crashesUntilCounted ? 1 : 0;
        note(it->second, "start", run);
    }

    void handleCrash(const TaskRef& task, uint64_t run)
    {
        auto it = causes.find(task.job);
        if (it == causes.end())
            return;
        ++it->second.crashes;
        note(it->second, "crash", run);
    }

    void addCause(const JobId& id)
    {
        constexpr uint32_t downTimesMs[] { 300, 1000, 3000, 6000 };
        auto range = options.maxTimeToCrashMs - options.minTimeToCrashMs;
        day.crashingJobs[id] = { .timeToCrash = Milliseconds { options.minTimeToCrashMs + day.pick(range) },
            .downTime = Milliseconds { downTimesMs[day.pick(4)] },
            .isSilentAfterCrash = day.pick(3) == 0 && options.hasSilentCauses };
        causes[id];
        day.putJob(id, 1, 5000);
    }

    void addInnocentJob()
    {
        innocentJobs.push_back(fmt::format("good{}", innocentJobs.size()));
        day.putJob(innocentJobs.back(), 8, 1500);
    }

    void startWave()
    {
        for (uint32_t i = 0; i < workersPerWave; ++i)
            day.executor.crash(fmt::format("w{}", day.pick(workers)), waveDownTime, true);
    }

    void killDueLeader()
    {
        auto now = day.clock.now();
        auto due = std::erase_if(plannedKills, [&](Instant at) { return at <= now; });
        if (due > 0 && day.leader)
            day.killLeader(Milliseconds { 300 + day.pick(2500) });
    }

    void harmStore()
    {
        constexpr uint32_t meanTicksBetweenFaults { 300 };
        if (day.pick(meanTicksBetweenFaults) != 0)
            return;
        auto fault = static_cast<FakeRecordStore::Fault>(1 + day.pick(3));
        day.injectStoreFault(fault, Milliseconds { 50 + day.pick(900) });
    }

    Milliseconds pickTime(Milliseconds below)
    {
        return Milliseconds { day.pick(static_cast<uint32_t>(below.count())) };
    }

    void planKills()
    {
        auto kills = day.pick(options.maxKills + 1);
        for (uint32_t i = 0; i < kills; ++i)
            plannedKills.push_back(day.clock.now() + wavesBegin + pickTime(wavesEnd));
    }

    /// Returns the causes by the time of their arrival.
    std::map<Milliseconds, JobId> planCauses()
    {
        std::map<Milliseconds, JobId> due;
        for (size_t i = 0; i < causesPerDay; ++i) {
            auto ticks = pickTime((causesEnd - wavesBegin) / CrashDay::tickTime.count()).count();
            due[wavesBegin + ticks * CrashDay::tickTime] = fmt::format("bad{}", i);
        }
        return due;
    }

    bool areCausesGivenUp()
    {
        return std::ranges::all_of(
            causes, [&](const auto& it) { return day.storedState(it.first) == JobStage::Failed; });
    }

    /// Plays until the waves have ended and the causes are given up.
    void play()
    {
        day.addWorkers(workers);
        day.lead();
        planKills();
        auto dueCauses = planCauses();
        for (Milliseconds passed { 0 }; passed < maxTime; passed += CrashDay::tickTime) {
            bool isInWaves = passed >= wavesBegin && passed < wavesEnd;
            if (isInWaves && (passed - wavesBegin) % waveInterval == Milliseconds { 0 })
                startWave();
            if (passed < wavesEnd && passed % jobInterval == Milliseconds { 0 })
                addInnocentJob();
            if (auto due = dueCauses.find(passed); due != dueCauses.end())
                addCause(due->second);
            if (isInWaves)
                harmStore();
            killDueLeader();
            day.advance(CrashDay::tickTime);
            bool isQuietSecond = passed % Milliseconds { 1000 } == Milliseconds { 0 };
            if (passed > wavesEnd && isQuietSecond && areCausesGivenUp())
                break;
        }
    }
};

}
