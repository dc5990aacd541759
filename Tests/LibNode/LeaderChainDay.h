#pragma once

#include "LeaderChainWorld.h"
#include <algorithm>
#include <cstdint>
#include <fmt/format.h>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <vector>

namespace Bergamot {

/// Leaders that stop, are killed, stand still or lose the store one after the other, beside workers that are lost for
/// good, leave, or are cut off and run on.
struct LeaderChainDay : LeaderChainWorld {
    enum class EndOfTerm : uint8_t { Stop, Kill, Freeze, CutOff };
    static constexpr uint32_t endOfTermCount { 4 };

    /// Losses leave more than half of the workers: fewer would not show that an earlier leader has ended.
    static constexpr uint32_t maxLostWorkers { 5 };

    static constexpr Milliseconds lastTerm = electionAfterKill + maxLeaseWait + settlingTime + Milliseconds { 1500 };

    /// Room that the lasting tasks of a busy worker take, one of each job.
    static constexpr int64_t lastingTasksOfWorker { 1000 * lastingJobCount };

    std::set<std::string> lostWorkers;

    /// Workers that are cut off until a new leader reaches them, with the last fencing token of the former one.
    std::map<std::string, uint64_t> returningWorkers;

    explicit LeaderChainDay(uint32_t seed, size_t hostCount = defaultHostCount)
        : LeaderChainWorld(seed, hostCount)
    {
        onTick = [this] { cutOffReachedWorkers(); };
    }

    /// Ends the term of the leader in office. Some killed processes do not return.
    void endTerm(EndOfTerm end)
    {
        auto& host = hosts[leader.host];
        constexpr size_t minPossibleLeaders { 4 };
        switch (end) {
        case EndOfTerm::Stop:
            note(fmt::format("{} stops", host.name));
            return stop(host);
        case EndOfTerm::Kill: {
            bool returns = pick(4) > 0 || possibleLeaders() <= minPossibleLeaders;
            note(fmt::format("{} is killed{}", host.name, returns ? "" : " for good"));
            return kill(host, returns ? clock.now() + pickTime(300, 2000) : Instant::max());
        }
        case EndOfTerm::Freeze:
            host.frozenUntil = clock.now() + pickTime(500, 6000);
            return note(fmt::format("{} freezes for {} ms", host.name, (host.frozenUntil - clock.now()).count()));
        case EndOfTerm::CutOff:
            host.store->cutUntil = clock.now() + pickTime(1500, 8000);
            note(fmt::format(
                "{} is cut off from the store for {} ms", host.name, (host.store->cutUntil - clock.now()).count()));
        }
    }

    void workerLost()
    {
        for (auto& it : lastingTasks) {
            if (!it.isRunning)
                it.lost(clock.now());
        }
    }

    /// A worker that has not been lost before, mostly one that runs a task.
    std::optional<std::string> pickHealthyWorker()
    {
        bool isBusy = pick(4) > 0;
        std::vector<std::string> healthy;
        for (const auto& [id, worker] : executor.workers) {
            if (!lostWorkers.contains(id) && (!isBusy || !worker.runs.empty()))
                healthy.push_back(id);
        }
        if (lostWorkers.size() >= maxLostWorkers || healthy.empty())
            return std::nullopt;
        return healthy[pick(static_cast<uint32_t>(healthy.size()))];
    }

    void loseWorker(const std::string& id, bool isSilent)
    {
        constexpr Milliseconds forGood { 1'000'000'000 };
        lostWorkers.insert(id);
        note(fmt::format("{} is gone{}", id, isSilent ? "" : ", its host refuses connections"));
        executor.crash(id, forGood, isSilent);
        workerLost();
    }

    /// The worker is gone 1 to 4 s later.
    void drainWorker(const std::string& id)
    {
        lostWorkers.insert(id);
        note(fmt::format("{} drains", id));
        drainingWorkers.insert(id);
        announce(id);
        loop->callAfter(pickTime(1000, 4000), [this, id] {
            goneWorkers.insert(id);
            store.put(StreamName::Workers, id, {});
            loseWorker(id, pick(2) == 0);
        });
    }

    /// The worker runs on without contact, and returns.
    void cutOffWorker(const std::string& id)
    {
        lostWorkers.insert(id);
        cutOff(id, pickTime(500, 9000));
    }

    /// The worker returns while its runs go on, and is cut off again soon after a new leader has reached it. Before or
    /// after that, this leader is cut off from the store or killed.
    void cutOffWorkerTwice(const std::string& id, Milliseconds time, bool leaderLosesStore)
    {
        lostWorkers.insert(id);
        cutOff(id, time);
        returningWorkers[id] = executor.workers.at(id).fenceToken;
        if (leaderLosesStore)
            loop->callAfter(time, [this] { endTermIfPossible(EndOfTerm::CutOff); });
    }

    void cutOffReachedWorkers()
    {
        std::erase_if(returningWorkers, [this](const auto& it) {
            if (executor.workers.at(it.first).fenceToken == it.second)
                return false;
            note(fmt::format("{} is reached", it.first));
            // A leader renews a withheld lease 0.5 s later at the earliest.
            bool isCutOff = hosts[leader.host].store->isCutOff();
            loop->callAfter(isCutOff ? pickTime(700, 1500) : pickTime(20, 100), [this, id = it.first] {
                cutOff(id, pickTime(6000, 9000));
                endTermIfPossible(EndOfTerm::Kill);
            });
            return true;
        });
    }

    /// One more process can lead then: nothing would show for how long none was there.
    void endTermIfPossible(EndOfTerm end)
    {
        if (isLed() && possibleLeaders() > 1)
            endTerm(end);
    }

    void cutOff(const std::string& id, Milliseconds time)
    {
        note(fmt::format("{} is cut off for {} ms", id, time.count()));
        executor.workers.at(id).cutUntil = clock.now() + time;
        workerLost();
    }

    void loseRandomWorker()
    {
        auto id = pickHealthyWorker();
        if (!id)
            return;
        switch (pick(5)) {
        case 0:
            return drainWorker(*id);
        case 1:
        case 2:
            return cutOffWorker(*id);
        default:
            return loseWorker(*id, pick(3) > 0);
        }
    }

    /// One more process is restarted, which need not be the leader.
    void restartFollower()
    {
        auto& host = hosts[pick(static_cast<uint32_t>(hosts.size()))];
        if (canLead(host) && host.incarnation != leader.incarnation && possibleLeaders() > 2) {
            note(fmt::format("{} stops as a follower", host.name));
            stop(host);
        }
    }

    /// Has the workers that run nothing take nothing, but for some of them, so that tasks that are lost wait for room.
    /// Returns those that stay empty.
    std::vector<std::string> limitRoom(int64_t capacity, size_t emptyWorkers = 0)
    {
        executor.capacity = { capacity, capacity, 0 };
        std::vector<std::string> empty;
        for (const auto& [id, worker] : executor.workers) {
            if (worker.runs.empty() && empty.size() < emptyWorkers)
                empty.push_back(id);
            else if (worker.runs.empty())
                drainingWorkers.insert(id);
            announce(id);
        }
        return empty;
    }

    /// The worker is back as another incarnation soon.
    void restartWorker(const std::string& id)
    {
        note(fmt::format("{} is restarted", id));
        executor.crash(id, pickTime(300, 2500), pick(2) == 0);
        workerLost();
    }

    /// Terms of 0.3 to 4 s while tasks wait for room. Workers are restarted, or calls without a reply are executed
    /// late; not both, because no leader can prevent that an incarnation which it does not know executes a start.
    void runWithLittleRoom(bool areCallsLate)
    {
        constexpr uint32_t terms { 10 };
        constexpr Milliseconds maxTimeToLeader { 6000 };
        limitRoom(lastingTasksOfWorker + 300);
        executor.latePercent = areCallsLate ? 5 : 0;
        executor.latePercentWhileUnreachable = areCallsLate ? 50 : 0;
        for (uint32_t i = 0; i < terms && advanceUntilLed(maxTimeToLeader); ++i) {
            auto term = pickTime(300, 4000);
            auto timeToEvent = pickTime(0, static_cast<uint32_t>(term.count()));
            advance(timeToEvent);
            if (auto id = pickHealthyWorker()) {
                if (areCallsLate)
                    cutOff(*id, pickTime(500, 9000));
                else
                    restartWorker(*id);
            }
            if (pick(3) == 0)
                loseRandomWorker();
            advance(term - timeToEvent);
            endTermIfPossible(static_cast<EndOfTerm>(pick(endOfTermCount)));
        }
        advanceUntilLed(maxTimeToLeader);
        note("the last leader stays");
        advance(lastTerm);
    }

    /// Tasks wait for room, which short tasks leave once the leader has lost the store. A worker on which the leader
    /// may start one is cut off before the next leader, which has room elsewhere.
    void runWithRoomBesideACutOffLeader()
    {
        constexpr Milliseconds timeToStart { 200 };
        constexpr Milliseconds shortRunTime { 6600 };
        constexpr int64_t shortMillis { 3500 };
        constexpr uint32_t emptyWorkers { 4 };
        auto lost
            = std::ranges::find_if(executor.workers, [](const auto& it) { return !it.second.runs.empty(); })->first;
        auto empty = limitRoom(lastingTasksOfWorker + 1000, emptyWorkers);
        putJob({ .count = emptyWorkers,
            .size = { shortMillis, shortMillis, 0 },
            .estimateMs = static_cast<uint32_t>(shortRunTime.count()) });
        advance(timeToStart);
        cutOff(lost, pickTime(15000, 20000));
        auto timeWithoutStore = pickTime(0, 400);
        advance(shortRunTime - timeToStart - timeWithoutStore);
        endTermIfPossible(EndOfTerm::CutOff);
        advance(timeWithoutStore + pickTime(100, 600));
        cutOff(empty[pick(emptyWorkers)], pickTime(6000, 9000));
        advance(lastTerm);
    }

    /// Terms of 0.2 to 3 s, with losses during, after and between them, until one leader stays.
    void run()
    {
        constexpr uint32_t minTerms { 5 };
        constexpr uint32_t termCounts { 12 };
        constexpr Milliseconds maxTimeToLeader { 6000 };
        auto terms = minTerms + pick(termCounts);
        uint32_t maxTermMs = pick(2) == 0 ? 1000 : 3000;
        uint32_t onlyKind = pick(2 * endOfTermCount);
        for (uint32_t i = 0; i < terms && advanceUntilLed(maxTimeToLeader); ++i) {
            auto term = pickTime(200, maxTermMs);
            auto timeToEvent = pickTime(0, static_cast<uint32_t>(term.count()));
            advance(timeToEvent);
            if (i == 0 || pick(3) == 0)
                loseRandomWorker();
            if (pick(3) == 0)
                restartFollower();
            if (pick(2) == 0)
                putShortJob();
            advance(term - timeToEvent);
            // Some days have one kind of end only.
            auto kind = onlyKind < endOfTermCount ? onlyKind : pick(endOfTermCount);
            endTermIfPossible(static_cast<EndOfTerm>(kind));
            if (pick(5) == 0) {
                advance(pickTime(0, 800));
                loseRandomWorker();
            } else if (auto id = pickHealthyWorker(); id && pick(4) == 0) {
                cutOffWorkerTwice(*id, pickTime(1000, 4500), pick(3) > 0);
            }
        }
        advanceUntilLed(maxTimeToLeader);
        note("the last leader stays");
        advance(lastTerm);
    }

    /// Runs end on workers that stay in contact, under leaders that are too short to start them again. Other workers
    /// are lost or leave in each gap between leaders. Returns how long the tasks of these runs then wait for the last
    /// leader.
    std::vector<Milliseconds> waitsBesideDepartures()
    {
        constexpr uint32_t terms { 5 };
        constexpr Milliseconds maxTimeToLeader { 6000 };
        std::vector<LastingTask*> ended;
        std::set<std::string> kept;
        for (auto& [id, worker] : executor.workers) {
            if (worker.runs.empty() || ended.size() == 2)
                continue;
            auto task = worker.runs.begin()->first;
            executor.fail(id, task);
            kept.insert(id);
            ended.push_back(&*std::ranges::find(lastingTasks, task, &LastingTask::task));
        }
        for (uint32_t i = 0; i < terms; ++i) {
            if (!advanceUntilLed(maxTimeToLeader))
                return {};
            advance(pickTime(50, 250));
            endTermIfPossible(pick(2) == 0 ? EndOfTerm::Stop : EndOfTerm::Kill);
            auto id = pickHealthyWorker();
            if (!id || kept.contains(*id))
                continue;
            if (pick(2) == 0)
                loseWorker(*id, pick(2) == 0);
            else
                drainWorker(*id);
        }
        advanceUntilLed(maxTimeToLeader);
        auto ledSince = clock.now();
        std::map<TaskRef, Instant> startedAt;
        for (Milliseconds passed { 0 }; passed < lastTerm; passed += tickTime) {
            advance(tickTime);
            for (const auto* it : ended) {
                if (it->isRunning)
                    startedAt.try_emplace(it->task, clock.now());
            }
        }
        std::vector<Milliseconds> waits;
        for (const auto* it : ended)
            waits.push_back(startedAt.contains(it->task) ? startedAt.at(it->task) - ledSince : lastTerm);
        return waits;
    }

    /// A worker returns to a leader that has stored it as unreached and has just lost the store.
    void runWithReturningWorker()
    {
        cutOffWorkerTwice(*pickHealthyWorker(), pickTime(2500, 4200), true);
        advance(pickTime(0, 300));
        endTerm(pick(2) == 0 ? EndOfTerm::Stop : EndOfTerm::Kill);
        advance(lastTerm + pickTime(0, 1000));
    }

    /// A worker is cut off just before a leader stops, so that its lease ends as late as possible.
    void runWithCutOffAtAStop()
    {
        cutOff(*pickHealthyWorker(), pickTime(6000, 9000));
        advance(pickTime(0, 60));
        endTerm(EndOfTerm::Stop);
        advance(lastTerm);
    }
};

}
