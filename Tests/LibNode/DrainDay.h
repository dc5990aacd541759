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
#include <random>
#include <set>
#include <string>
#include <utility>
#include <vector>

namespace Bergamot {

/// Workers in virtual time that drain, announce it and leave, and others that take their place, under one leader whose
/// queues change meanwhile. The tasks are short, so that some end just before their workers leave.
struct DrainDay {
    static constexpr Milliseconds tickTime { 2 };
    static constexpr Milliseconds announcementInterval { 1000 };
    static constexpr Milliseconds silenceUntilRemoval { 3000 };

    /// A leader has this time to read the list of a worker and to act on it.
    static constexpr Milliseconds timeToNote { 100 };

    struct Options {
        /// The network resets connections of workers that drain, delays replies and cuts them off.
        bool isNetworkFaulty { false };
    };

    struct LeavingWorker {
        Instant leavesAt { neverInstant };
        Milliseconds timeToRemoval { 0 };
        Instant removedAt { Instant::max() };
    };

    NodeTestClock clock;
    std::unique_ptr<EventLoop> loop { EventLoop::create(clock) };
    std::mt19937 random;
    Options options;
    FakeRecordStore store { *loop };
    FaultyWorkers executor { *loop, random };
    PlainFormats formats;
    NodeMetrics metrics;
    ElectionHistory elections;
    std::unique_ptr<TaskLeader> leader;
    uint64_t configVersion { 0 };
    std::map<JobId, JobSpec> jobs;
    std::map<std::string, Instant> announcedAt;
    std::map<std::string, LeavingWorker> leaving;

    /// When the end as done of each run was put on the list of its worker, and when that of each task was noted: listed
    /// in a reply that the leader got, or acknowledged.
    std::map<std::pair<TaskRef, uint64_t>, Instant> endedAt;
    std::map<TaskRef, Instant> notedAt;

    /// The tasks whose workers held an end as done for `timeToNote` before they left.
    std::set<TaskRef> unreadEnds;

    /// Number of ends as done that were lost with their workers.
    size_t lostEnds { 0 };
    std::set<TaskRef> ranAgain;
    std::set<TaskRef> ranAgainUnread;
    std::vector<std::string> violations;

    DrainDay(uint32_t seed, Options dayOptions)
        : random(seed)
        , options(dayOptions)
    {
        executor.capacity = { 32000, 64000, 0 };
        executor.shapeOf = [this](const TaskRef& task) { return shapeOf(task); };
        executor.onBack = [](const std::string&) {};
        executor.onStart = [this](const TaskRef& task, uint64_t) { recordStart(task); };
        executor.onEnd = [this](const RunEnd& end) {
            if (end.outcome == RunOutcome::Done)
                endedAt.emplace(std::pair { end.task, end.run }, clock.now());
        };
        executor.onListed = executor.onAcknowledged = [this](const RunEnd& end) {
            if (end.outcome == RunOutcome::Done)
                notedAt.emplace(end.task, clock.now());
        };
        if (options.isNetworkFaulty) {
            executor.maxReplyDelay = Milliseconds { 300 };
            executor.cutOffReplyPercent = 50;
        }
    }

    ~DrainDay() { leader.reset(); }

    uint32_t pick(uint32_t n) { return random() % n; }

    Milliseconds pickTime(uint32_t fromMs, uint32_t toMs) { return Milliseconds { fromMs + pick(toMs - fromMs) }; }

    FaultyWorkers::TaskShape shapeOf(const TaskRef& task) const
    {
        const auto& step = jobs.at(task.job).steps.at(task.step);
        return {
            .duration = Milliseconds { step.estimateMs }, .size = step.size, .gangSize = step.gang ? step.count : 0
        };
    }

    void lead()
    {
        constexpr uint64_t epoch { 9 };
        elections.add(epoch, clock.now());
        leader = std::make_unique<TaskLeader>(*loop, store, executor, formats, metrics,
            TaskLeader::Options { .node = { .member = "m",
                                      .workerSilenceUntilRemoval = silenceUntilRemoval,
                                      .maxLease = Milliseconds { 10000 } },
                .epoch = epoch,
                .hasPredecessor = false,
                .elections = elections,
                .onFenced = [] {},
                .canStart = [] { return true; },
                .soleLeaderUntil = [] { return Instant::max(); },
                .fenceToken = [this] { return fenceTokenAt(epoch, clock.now()); } });
        changeQueues();
        leader->start();
    }

    static QueuePolicy defaultPolicy() { return { .service = "s", .maxAttempts = 3 }; }

    /// Publishes a version in which the queue has another policy, or is missing.
    void changeQueues()
    {
        std::map<std::string, QueuePolicy> queues;
        if (configVersion == 0 || pick(4) > 0) {
            queues["q"] = defaultPolicy();
            queues["q"].priority = pick(2);
            queues["q"].maxAttempts = 2 + pick(3);
            queues["q"].stretch = 1 + pick(3);
        }
        queues["other"] = { .service = "t" };
        leader->setQueues(++configVersion, std::move(queues));
    }

    void announce(const std::string& id)
    {
        bool isDraining = leaving.contains(id);
        auto value = fmt::format("{}/{}", id, isDraining);
        formats.announcements[value]
            = { .view = { .id = id, .service = "s", .zone = "z", .rack = id }, .address = id, .startedAtMs = 1 };
        formats.announcements[value].view.capacity = executor.capacity;
        formats.announcements[value].view.draining = isDraining;
        executor.workers[id];
        store.put(StreamName::Workers, id, value);
        announcedAt[id] = clock.now();
    }

    void addWorker() { announce(fmt::format("w{}", executor.workers.size())); }

    void drainRandomWorker()
    {
        auto id = fmt::format("w{}", pick(static_cast<uint32_t>(executor.workers.size())));
        if (executor.workers[id].isDown || leaving.contains(id))
            return;
        // The new worker starts first.
        addWorker();
        leaving[id] = { .leavesAt = clock.now() + pickTime(1000, 4000),
            .timeToRemoval = pick(10) > 0 ? pickTime(0, 400) : silenceUntilRemoval };
        if (options.isNetworkFaulty)
            executor.workers[id].resetUntil = clock.now() + pickTime(0, 4000);
        announce(id);
    }

    /// Whether the worker has held an end as done for long enough.
    bool holdsDueEnd(const FaultyWorkers::Worker& worker) const
    {
        return std::ranges::any_of(worker.ends, [&](const RunEnd& it) {
            return it.outcome == RunOutcome::Done && clock.now() - endedAt.at({ it.task, it.run }) >= timeToNote;
        });
    }

    /// A worker leaves with an end that it has just held for long enough, unless there is none for some time.
    bool isTimeToLeave(const std::string& id, const LeavingWorker& worker) const
    {
        constexpr Milliseconds maxWait { 1500 };
        auto passed = clock.now() - worker.leavesAt;
        return passed >= maxWait || (passed >= Milliseconds { 0 } && holdsDueEnd(executor.workers.at(id)));
    }

    void leaveOrExpire(const std::string& id, LeavingWorker& worker)
    {
        if (worker.removedAt == Instant::max() && isTimeToLeave(id, worker)) {
            for (const auto& end : executor.workers[id].ends)
                recordLostEnd(end);
            executor.leave(id, pick(2) == 0);
            worker.removedAt = clock.now() + worker.timeToRemoval;
        }
        if (worker.removedAt <= clock.now() && clock.now() < worker.removedAt + tickTime)
            store.put(StreamName::Workers, id, {});
    }

    void recordLostEnd(const RunEnd& end)
    {
        if (end.outcome != RunOutcome::Done)
            return;
        ++lostEnds;
        if (clock.now() - endedAt.at({ end.task, end.run }) >= timeToNote)
            unreadEnds.insert(end.task);
    }

    void recordStart(const TaskRef& task)
    {
        auto noted = notedAt.find(task);
        if (noted != notedAt.end() && clock.now() - noted->second >= timeToNote && ranAgain.insert(task).second)
            addViolation(
                task, fmt::format("starts after its end was noted at {} ms", noted->second.time_since_epoch().count()));
        if (!options.isNetworkFaulty && unreadEnds.contains(task) && ranAgainUnread.insert(task).second)
            addViolation(task, "starts after an end that its worker held when it left");
    }

    void addViolation(const TaskRef& task, const std::string& what)
    {
        violations.push_back(fmt::format(
            "{} ms: {}.{}.{} {}", clock.now().time_since_epoch().count(), task.job, task.step, task.index, what));
    }

    void putRandomJob()
    {
        JobSpec spec { .id = fmt::format("j{}", jobs.size()),
            .queue = "q",
            .policyAtAcceptance = defaultPolicy(),
            .configVersionAtAcceptance = configVersion };
        bool isGang = pick(5) == 0;
        for (uint32_t steps = 1 + pick(2); steps > 0; --steps) {
            StepSpec step { .count = 1 + pick(12),
                .size = { 500 + 100 * pick(15), 512, 0 },
                .estimateMs = static_cast<uint32_t>(pickTime(1000, 5000).count()) };
            step.gang = isGang;
            if (!spec.steps.empty())
                step.dependsOn = { 0 };
            spec.steps.push_back(std::move(step));
        }
        jobs[spec.id] = spec;
        store.put(StreamName::Jobs, spec.id, encodeValue(spec));
    }

    /// Half of the appends take a few milliseconds; beside many changes of the configuration, the others take far
    /// longer.
    void changeAppendTime() { store.appendTime = pick(2) > 0 ? pickTime(4, 40) : pickTime(40, 400); }

    void advance(Milliseconds time)
    {
        for (Milliseconds passed { 0 }; passed < time; passed += tickTime) {
            clock.advance(tickTime);
            loop->runReady();
            executor.tick(tickTime);
            for (auto& [id, worker] : leaving)
                leaveOrExpire(id, worker);
            for (const auto& [id, worker] : executor.workers) {
                if (!worker.isDown && clock.now() - announcedAt[id] >= announcementInterval)
                    announce(id);
            }
        }
    }

    void run()
    {
        constexpr uint32_t workerCount { 4 };
        constexpr int eventCount { 120 };
        for (uint32_t i = 0; i < workerCount; ++i)
            addWorker();
        lead();
        advance(Milliseconds { 500 });
        for (int i = 0; i < eventCount; ++i) {
            advance(pickTime(50, 400));
            changeAppendTime();
            putRandomJob();
            if (pick(3) == 0)
                drainRandomWorker();
            if (pick(3) == 0)
                changeQueues();
        }
        advance(Milliseconds { 10000 });
    }
};

}
