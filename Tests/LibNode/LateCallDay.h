#pragma once

#include "FakeRecordStore.h"
#include "FaultyWorkers.h"
#include "FenceTokens.h"
#include "NodeTestClock.h"
#include "PlainFormats.h"
#include <LibNode/TaskLeader.h>
#include <LibReport/NodeMetrics.h>
#include <LibWire/ValueCodec.h>
#include <algorithm>
#include <fmt/format.h>
#include <map>
#include <memory>
#include <optional>
#include <random>
#include <set>
#include <string>
#include <vector>

namespace Bergamot {

/// Workers in virtual time that crash, return soon under their ids and are cut off a little later, while calls without
/// a reply are executed late, also by the next incarnation. Leaders may follow each other.
struct LateCallDay {
    static constexpr Milliseconds tickTime { 10 };
    static constexpr Milliseconds announcementInterval { 1000 };
    static constexpr Milliseconds silenceUntilRemoval { 3000 };
    static constexpr Milliseconds maxLease { 10000 };

    /// Their tasks need less than half of the room.
    static constexpr size_t lastingJobs { 6 };

    NodeTestClock clock;
    std::unique_ptr<EventLoop> loop { EventLoop::create(clock) };
    std::mt19937 random;
    FakeRecordStore store { *loop };
    FaultyWorkers executor { *loop, random };
    PlainFormats formats;
    NodeMetrics metrics;
    ElectionHistory elections;
    uint64_t epoch { 0 };
    std::unique_ptr<TaskLeader> leader;
    Instant leaderBackAt { neverInstant };

    /// Some tasks last for the whole day, and leaders rely on the stored placements of such tasks.
    bool hasLastingTasks { false };
    uint32_t lastingStarts { 0 };

    /// Each leader goes on without proof of its leadership until its successor begins, some time after the successor's
    /// election.
    bool areLeadersDeposedLate { false };
    bool isDeposed { false };
    Instant soleLeaderUntil { Instant::max() };
    std::optional<Instant> claimedAt;
    std::map<JobId, JobSpec> jobs;

    /// Another writer leaves entries under the ids of workers.
    bool hasForeignEntries { false };
    std::mt19937 foreignRandom { 1 };

    /// When each worker is cut off after its return, and when it last announced itself.
    std::map<std::string, Instant> cutAt;
    std::map<std::string, Instant> announcedAt;

    /// What was seen, with the time since the start of the day.
    std::set<TaskRef> ranTwice;
    std::set<TaskRef> ranAgain;
    std::vector<std::string> violations;

    explicit LateCallDay(uint32_t seed)
        : random(seed)
    {
        executor.areClocksReset = true;
        executor.maxLease = maxLease;
        executor.doCommandRepliesNameIncarnation = false;
        executor.latePercentWhileUnreachable = 50;
        executor.latePercent = 2;
        executor.shapeOf = [this](const TaskRef& task) { return shapeOf(task); };
        executor.onStart
            = [this](const TaskRef& task, uint64_t) { lastingStarts += shapeOf(task).longRunning ? 1 : 0; };
        executor.onBack = [this](const std::string& id) { announceLater(id); };
    }

    ~LateCallDay() { leader.reset(); }

    uint32_t pick(uint32_t n) { return random() % n; }

    Milliseconds pickTime(uint32_t fromMs, uint32_t toMs) { return Milliseconds { fromMs + pick(toMs - fromMs) }; }

    ElectionClaim claim() const
    {
        return { .storesReachedWorkers = areLeadersDeposedLate,
            .recordsStartsOfIdleTasks = hasLastingTasks,
            .placementsRecordedSince = hasLastingTasks ? 1U : 0U };
    }

    void lead()
    {
        ++epoch;
        elections.add(epoch, clock.now(), {}, hasLastingTasks ? claim() : ElectionClaim {});
        isDeposed = false;
        soleLeaderUntil = Instant::max();
        leader = std::make_unique<TaskLeader>(*loop, store, executor, formats, metrics,
            TaskLeader::Options {
                .node = { .member = "m", .workerSilenceUntilRemoval = silenceUntilRemoval, .maxLease = maxLease },
                .epoch = epoch,
                .claimedAt = claimedAt,
                .elections = elections,
                .onFenced = [] {},
                .canStart = [] { return true; },
                .soleLeaderUntil = [this] { return soleLeaderUntil; },
                .fenceToken = [this, leading = epoch] { return fenceTokenAt(leading, clock.now()); } });
        leader->setQueues(1, { { "q", { .service = "s", .maxAttempts = 3 } } });
        leader->start();
    }

    void announce(const std::string& id)
    {
        auto startedAtMs = executor.workers[id].startedAtMs;
        auto value = fmt::format("{}/{}", id, startedAtMs);
        formats.announcements[value] = {
            .view = { .id = id, .service = "s", .zone = "z", .rack = id }, .address = id, .startedAtMs = startedAtMs
        };
        formats.announcements[value].view.capacity = executor.capacity;
        store.put(StreamName::Workers, id, value);
        announcedAt[id] = clock.now();
        auto& worker = executor.workers[id];
        worker.knownAt = std::min(worker.knownAt, clock.now());
    }

    /// A worker that has started again replies before it is listed.
    void announceLater(const std::string& id)
    {
        announcedAt[id] = clock.now() - announcementInterval + pickTime(0, 2000);
    }

    void announceOrExpire(const std::string& id, const FaultyWorkers::Worker& worker)
    {
        auto silence = clock.now() - announcedAt[id];
        if (!worker.isDown && clock.now() >= worker.cutUntil) {
            if (silence >= announcementInterval)
                announce(id);
        } else if (silence >= silenceUntilRemoval && silence < silenceUntilRemoval + tickTime) {
            store.put(StreamName::Workers, id, {});
        }
    }

    FaultyWorkers::TaskShape shapeOf(const TaskRef& task) const
    {
        const auto& step = jobs.at(task.job).steps.at(task.step);
        return { .duration = Milliseconds { step.estimateMs }, .size = step.size, .longRunning = step.longRunning };
    }

    void putRandomJob()
    {
        JobSpec spec { .id = fmt::format("j{}", jobs.size()), .queue = "q" };
        spec.steps.push_back({ .count = 1 + pick(6),
            .size = { 500 + 100 * pick(15), 512, 0 },
            .estimateMs = static_cast<uint32_t>(pickTime(2000, 15000).count()),
            .longRunning = hasLastingTasks && jobs.size() < lastingJobs });
        jobs[spec.id] = spec;
        store.put(StreamName::Jobs, spec.id, encodeValue(spec));
    }

    void cutOffIfDue(const std::string& id, FaultyWorkers::Worker& worker)
    {
        auto it = cutAt.find(id);
        if (it == cutAt.end() || clock.now() < it->second)
            return;
        cutAt.erase(it);
        worker.cutUntil = clock.now() + pickTime(5000, 12000);
    }

    /// Leaves an entry with a start time that is neither the worker's nor that of its next incarnation.
    void putForeignEntry()
    {
        auto pickForeign = [this](uint32_t n) { return static_cast<int64_t>(foreignRandom() % n); };
        auto id = fmt::format("w{}", pickForeign(static_cast<uint32_t>(executor.workers.size())));
        auto startedAtMs = executor.workers.at(id).startedAtMs;
        constexpr int64_t aheadMs { 1000 };
        auto earlier = startedAtMs > 1 ? startedAtMs - 1 : startedAtMs + aheadMs;
        const std::vector<int64_t> startTimes { startedAtMs + aheadMs, startedAtMs + aheadMs + pickForeign(100'000),
            int64_t { 1 } << 40, earlier };
        WorkerAnnouncement entry { .view
            = { .id = id, .service = "s", .zone = "z", .rack = id, .capacity = executor.capacity },
            .address = id,
            .startedAtMs = startTimes.at(static_cast<size_t>(pickForeign(static_cast<uint32_t>(startTimes.size())))) };
        entry.view.draining = pickForeign(4) == 0;
        auto value = fmt::format("foreign {}", formats.announcements.size());
        formats.announcements[value] = entry;
        store.put(StreamName::Workers, id, value);
    }

    void advance(Milliseconds time)
    {
        for (Milliseconds passed { 0 }; passed < time; passed += tickTime) {
            clock.advance(tickTime);
            loop->runReady();
            executor.tick(tickTime);
            if (hasForeignEntries && foreignRandom() % 20 == 0)
                putForeignEntry();
            for (auto& [id, worker] : executor.workers) {
                cutOffIfDue(id, worker);
                announceOrExpire(id, worker);
            }
            recordViolations();
            if ((!leader || isDeposed) && clock.now() >= leaderBackAt)
                lead();
        }
    }

    /// The leader is lost, or goes on after the election of its successor.
    void changeLeader()
    {
        if (!areLeadersDeposedLate) {
            leader.reset();
        } else {
            isDeposed = true;
            soleLeaderUntil = clock.now();
            claimedAt = clock.now();
            elections.add(epoch + 1, clock.now(), {}, claim());
        }
        leaderBackAt = clock.now() + pickTime(100, 3000);
    }

    struct RunOnWorker {
        const FaultyWorkers::Worker* worker { nullptr };
        const FaultyWorkers::Run* run { nullptr };
        std::string id;
    };

    /// No leader can tell that a task runs on an incarnation that it knows nothing of, and that has executed a call for
    /// the former one.
    static bool couldKnowOf(const RunOnWorker& other, const RunOnWorker& started)
    {
        return !other.run->isUnpreventable || other.worker->knownAt <= started.run->startedAt;
    }

    void recordViolations()
    {
        std::map<TaskRef, RunOnWorker> running;
        for (const auto& [id, worker] : executor.workers) {
            for (const auto& [task, run] : worker.runs) {
                RunOnWorker current { &worker, &run, id };
                auto [it, isFirst] = running.emplace(task, current);
                const auto& other = it->second;
                if (!isFirst && couldKnowOf(other, current) && couldKnowOf(current, other)
                    && ranTwice.insert(task).second)
                    addViolation(task, fmt::format("runs on {} and {}", other.id, id));
                auto end = executor.acknowledged.find(task);
                bool isAgain = end != executor.acknowledged.end() && end->second <= run.startedAt;
                if (isAgain && !run.isUnpreventable && ranAgain.insert(task).second)
                    addViolation(task, fmt::format("runs on {} after its acknowledged end", id));
            }
        }
    }

    void addViolation(const TaskRef& task, const std::string& what)
    {
        violations.push_back(
            fmt::format("{} ms: {}.{} {}", clock.now().time_since_epoch().count(), task.job, task.index, what));
    }

    /// Crashes a worker without another fault in progress.
    void crashRandomWorker()
    {
        auto id = fmt::format("w{}", pick(static_cast<uint32_t>(executor.workers.size())));
        auto& worker = executor.workers[id];
        if (worker.isDown || cutAt.contains(id) || clock.now() < worker.cutUntil)
            return;
        auto downTime = pickTime(300, 2000);
        executor.crash(id, downTime, pick(3) > 0);
        cutAt[id] = clock.now() + downTime + pickTime(500, 4000);
    }

    /// Runs a day, with the given share of changes of the leader among the faults.
    void run(uint32_t leaderChangePercent)
    {
        constexpr uint32_t workerCount { 8 };
        constexpr uint32_t initialJobs { 6 };
        constexpr int faultCount { 40 };
        for (uint32_t i = 0; i < workerCount; ++i)
            announce(fmt::format("w{}", i));
        lead();
        advance(Milliseconds { 500 });
        for (uint32_t i = 0; i < initialJobs; ++i)
            putRandomJob();
        for (int i = 0; i < faultCount; ++i) {
            advance(pickTime(200, 1500));
            if (pick(100) < leaderChangePercent && leader && !isDeposed) {
                changeLeader();
            } else {
                crashRandomWorker();
            }
            if (pick(4) > 0)
                putRandomJob();
        }
        advance(FaultyWorkers::maxCallDelay + maxLease);
    }
};

}
