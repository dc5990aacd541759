#pragma once

#include "FakeFormats.h"
#include "FakePeerTransport.h"
#include "FakeRecordStore.h"
#include "FaultyWorkers.h"
#include "HostClock.h"
#include "HostExecutor.h"
#include "HostStore.h"
#include "NodeTestClock.h"
#include <LibHttp/EventLoop.h>
#include <LibNode/Node.h>
#include <LibWire/LeadershipRecord.h>
#include <LibWire/ValueCodec.h>
#include <algorithm>
#include <cstdint>
#include <fmt/format.h>
#include <functional>
#include <map>
#include <memory>
#include <random>
#include <set>
#include <string>
#include <vector>

namespace Bergamot {

/// Nodes in virtual time of which one leads after the other, each for a short time, while workers are lost whose tasks
/// are to last. Each node has an event loop of its own, so that it can stand still alone. The store never fails, and
/// the workers have room for several times the tasks.
struct LeaderChainWorld {
    static constexpr Milliseconds tickTime { 10 };
    static constexpr size_t defaultHostCount { 6 };
    static constexpr uint32_t workerCount { 14 };
    static constexpr uint32_t lastingJobCount { 3 };
    static constexpr uint32_t tasksPerLastingJob { 5 };

    static constexpr Milliseconds announcementInterval { 1000 };
    static constexpr Milliseconds silenceUntilRemoval { 3000 };

    /// Workers grant no longer leases than those that leaders ask for.
    static constexpr Milliseconds maxLease { 5000 };

    /// A process that is asked to end goes on for this long, as bergamot-node does for its load balancer.
    static constexpr Milliseconds shutdownTime { 2600 };

    /// The steady clocks of workers may be 2 % slow, those of hosts are nearly right.
    static constexpr double slowestWorkerClockRate { 0.98 };
    static constexpr double maxHostClockError { 0.003 };

    /// A lease of 5 s lasts this long by the slowest clock, and is taken as over this much later.
    static constexpr Milliseconds leaseBySlowestClock { 5150 };
    static constexpr Milliseconds leaseMargin { 300 };

    /// Longest time from the end of a killed leader to the next election: a keepalive is missing for 1.05 s, and the
    /// delay by node is at most 0.25 s.
    static constexpr Milliseconds electionAfterKill { 1300 };

    /// A leader that nothing holds back has read the store and reached the workers 0.8 s after its election, and needs
    /// 0.2 s for the calls that follow.
    static constexpr Milliseconds settlingTime { 1000 };

    /// Longest wait for the leases that a lost worker may hold.
    static constexpr Milliseconds maxLeaseWait = leaseBySlowestClock + leaseMargin;

    class Formats final : public FakeFormats {
    public:
        absl::StatusOr<JobSpec> readJob(std::string_view body) const override { return decodeValue<JobSpec>(body); }
    };

    struct Host {
        std::string name;
        std::unique_ptr<HostClock> clock;
        std::unique_ptr<EventLoop> loop;
        std::unique_ptr<HostStore> store;
        std::unique_ptr<HostExecutor> executor;
        FakePeerTransport peers;
        std::unique_ptr<Node> node;
        uint64_t incarnation { 0 };
        bool isStopping { false };
        Instant endsAt { Instant::max() };
        Instant backAt { neverInstant };
        Instant frozenUntil { neverInstant };
    };

    struct Leader {
        uint64_t epoch { 0 };
        uint64_t incarnation { 0 };
        size_t host { 0 };

        /// When it was elected, or when it went on after it had stood still.
        Instant since { neverInstant };
    };

    struct LastingTask {
        TaskRef task;
        bool isRunning { false };

        /// The later one of the end of the last run and the last loss of a worker since: which worker holds which run
        /// is not recorded.
        Instant lostAt { neverInstant };
        Instant endedAt { neverInstant };

        /// The first election since the last loss.
        Instant electedAt { neverInstant };
        uint32_t electionsSinceLoss { 0 };
        Milliseconds longestWait { 0 };
        bool waitsAnew { false };
        bool isLate { false };

        void lost(Instant now)
        {
            lostAt = now;
            electedAt = neverInstant;
            electionsSinceLoss = 0;
        }
    };

    NodeTestClock clock;
    std::unique_ptr<EventLoop> loop { EventLoop::create(clock) };
    std::mt19937 random;
    FakeRecordStore store { *loop };
    FaultyWorkers executor { *loop, random };
    Formats formats;
    std::vector<Host> hosts;
    std::map<JobId, JobSpec> jobs;
    std::vector<LastingTask> lastingTasks;
    std::map<std::string, Instant> announcedAt;
    std::set<std::string> drainingWorkers;
    std::set<std::string> goneWorkers;

    std::set<TaskRef> ranTwice;
    Leader leader;
    size_t readLeadershipRecords { 0 };
    uint64_t incarnation { 0 };
    uint32_t elections { 0 };
    const Instant startedAt { clock.now() };

    /// Called at each step of the time.
    std::function<void()> onTick { [] {} };

    /// What was seen: runs that break a promise, waits beyond each of the two bounds, and the course of the day.
    std::vector<std::string> runViolations;
    std::vector<std::string> renewedWaits;
    std::vector<std::string> lateStarts;
    std::vector<std::string> events;

    explicit LeaderChainWorld(uint32_t seed, size_t hostCount = defaultHostCount)
        : random(seed)
        , hosts(hostCount)
    {
        executor.maxLease = maxLease;
        executor.shapeOf = [this](const TaskRef& task) { return shapeOf(task); };
        executor.onBack = [](const std::string&) {};
        executor.onStart = [this](const TaskRef& task, uint64_t run) { checkStart(task, run); };
        configure();
        for (uint32_t i = 0; i < workerCount; ++i) {
            auto id = fmt::format("w{}", i);
            executor.workers[id].clockRate = pick(2) == 0 ? 1 : slowestWorkerClockRate;
            announce(id);
        }
        for (size_t i = 0; i < hostCount; ++i) {
            auto& host = hosts[i];
            host.name = fmt::format("m{}", i);
            host.clock = std::make_unique<HostClock>(clock);
            host.clock->rate = 1 + maxHostClockError * (static_cast<int>(pick(3)) - 1);
            host.loop = EventLoop::create(*host.clock);
            host.store = std::make_unique<HostStore>(*loop, *host.loop, store);
            host.executor = std::make_unique<HostExecutor>(*host.loop, executor);
        }
    }

    ~LeaderChainWorld()
    {
        for (auto& host : hosts)
            host.node.reset();
    }

    uint32_t pick(uint32_t n) { return static_cast<uint32_t>(random() % n); }
    Milliseconds pickTime(uint32_t fromMs, uint32_t toMs) { return Milliseconds { fromMs + pick(toMs - fromMs) }; }
    int64_t nowMs() const { return (clock.now() - startedAt).count(); }
    void note(const std::string& what) { events.push_back(fmt::format("{} {}", nowMs(), what)); }

    void configure()
    {
        RoutingTable table { .version = 1 };
        table.routes.push_back(
            { .queue = "batch", .pathPrefix = "/b/", .policy = { .service = "s", .maxAttempts = 3 } });
        formats.changes["config"] = table;
        store.put(StreamName::Operators, "config", "config");
    }

    void announce(const std::string& id)
    {
        auto startedAtMs = executor.workers[id].startedAtMs;
        auto text = fmt::format("{}/{}/{}", id, startedAtMs, drainingWorkers.contains(id));
        formats.workers[text] = {
            .view = { .id = id, .service = "s", .zone = "z", .rack = id }, .address = id, .startedAtMs = startedAtMs
        };
        formats.workers[text].view.capacity = executor.capacity;
        formats.workers[text].view.draining = drainingWorkers.contains(id);
        store.put(StreamName::Workers, id, text);
        announcedAt[id] = clock.now();
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

    void putJob(StepSpec step)
    {
        JobSpec spec { .id = fmt::format("{:016x}", jobs.size() + 1), .queue = "batch", .payload = "p" };
        spec.steps.push_back(std::move(step));
        jobs[spec.id] = spec;
        store.put(StreamName::Jobs, spec.id, encodeValue(spec));
    }

    void putLastingTasks()
    {
        for (uint32_t i = 0; i < lastingJobCount; ++i) {
            putJob({ .count = tasksPerLastingJob,
                .size = { 1000, 1000, 0 },
                .estimateMs = 1000,
                .longRunning = true,
                .maxPerWorker = 1 });
            for (uint32_t index = 0; index < tasksPerLastingJob; ++index)
                lastingTasks.push_back({ .task = { jobs.rbegin()->first, 0, 0, index } });
        }
    }

    void putShortJob()
    {
        putJob({ .count = 1 + pick(3),
            .size = { 300, 300, 0 },
            .estimateMs = static_cast<uint32_t>(pickTime(200, 3000).count()) });
    }

    void startNode(Host& host)
    {
        host.incarnation = ++incarnation << 32U;
        host.isStopping = false;
        host.endsAt = Instant::max();
        host.backAt = Instant::max();
        host.node
            = std::make_unique<Node>(Node::Services { *host.loop, *host.store, *host.executor, host.peers, formats },
                NodeOptions { .member = host.name,
                    .incarnation = host.incarnation,
                    .peerAddress = host.name,
                    .workerSilenceUntilRemoval = silenceUntilRemoval,
                    .maxLease = maxLease });
        host.node->start();
    }

    void kill(Host& host, Instant backAt)
    {
        host.node.reset();
        host.frozenUntil = neverInstant;
        host.endsAt = Instant::max();
        host.backAt = backAt;
    }

    /// The process ends as after SIGTERM, and a new one starts on its host.
    void stop(Host& host)
    {
        host.node->prepareShutdown({ .endsBy = host.clock->now() + shutdownTime });
        host.isStopping = true;
        host.endsAt = clock.now() + shutdownTime;
    }

    bool canLead(const Host& host) const
    {
        return host.node && !host.isStopping && !host.store->isCutOff() && clock.now() >= host.frozenUntil;
    }

    size_t possibleLeaders() const
    {
        return static_cast<size_t>(std::ranges::count_if(hosts, [this](const Host& it) { return canLead(it); }));
    }

    /// Whether the last elected process is in office: it runs, and has not been asked to end.
    bool isLed() const
    {
        const auto& host = hosts[leader.host];
        return leader.epoch > 0 && host.incarnation == leader.incarnation && canLead(host);
    }

    void readLeadership()
    {
        const auto& records = store.records(StreamName::Leadership);
        for (; readLeadershipRecords < records.size(); ++readLeadershipRecords) {
            auto record = decodeValue<LeadershipRecord>(records[readLeadershipRecords].value);
            if (!record.ok() || record->epoch != 0 || record->hasStopped)
                continue;
            auto host = std::ranges::find(hosts, record->member, &Host::name);
            leader = { .epoch = readLeadershipRecords + 1,
                .incarnation = record->incarnation,
                .host = static_cast<size_t>(host - hosts.begin()),
                .since = clock.now() };
            ++elections;
            for (auto& it : lastingTasks) {
                it.electedAt = it.electionsSinceLoss++ == 0 ? clock.now() : it.electedAt;
            }
            note(fmt::format("{} leads", record->member));
        }
    }

    void updateHost(Host& host)
    {
        auto now = clock.now();
        if (host.node && now >= host.endsAt)
            kill(host, now + pickTime(200, 800));
        if (!host.node && now >= host.backAt)
            startNode(host);
        if (now < host.frozenUntil)
            return;
        if (host.frozenUntil != neverInstant) {
            host.frozenUntil = neverInstant;
            note(fmt::format("{} goes on", host.name));
            if (leader.incarnation == host.incarnation)
                leader.since = now;
        }
        host.loop->runReady();
    }

    void advance(Milliseconds time)
    {
        for (Milliseconds passed { 0 }; passed < time; passed += tickTime) {
            clock.advance(tickTime);
            loop->runReady();
            executor.tick(tickTime);
            for (auto& host : hosts)
                updateHost(host);
            for (auto& [id, worker] : executor.workers) {
                if (!goneWorkers.contains(id))
                    announceOrExpire(id, worker);
            }
            readLeadership();
            onTick();
            checkRuns();
        }
    }

    /// Returns whether a leader is in office before the time is over.
    bool advanceUntilLed(Milliseconds maxTime)
    {
        for (Milliseconds passed { 0 }; passed < maxTime && !isLed(); passed += tickTime)
            advance(tickTime);
        return isLed();
    }

    void checkStart(const TaskRef& task, uint64_t run)
    {
        if (executor.acknowledged.contains(task))
            runViolations.push_back(
                fmt::format("{} ms: run {} of {} starts after its acknowledged end", nowMs(), run, task.job));
    }

    void checkRuns()
    {
        std::map<TaskRef, const std::string*> running;
        for (const auto& [id, worker] : executor.workers) {
            for (const auto& [task, run] : worker.runs) {
                auto [it, isFirst] = running.emplace(task, &id);
                if (!isFirst && ranTwice.insert(task).second)
                    runViolations.push_back(
                        fmt::format("{} ms: {}.{} runs on {} and {}", nowMs(), task.job, task.index, *it->second, id));
            }
        }
        for (auto& it : lastingTasks)
            checkWait(it, running.contains(it.task));
    }

    /// The time by which the task must run again: leases are waited for until then at most, and the leader in office
    /// then needs the settling time.
    Instant dueAt(Instant leasesExpireBy) const { return std::max(leasesExpireBy, leader.since) + settlingTime; }

    /// The leader in office at the loss may have renewed the lease until the next election.
    Instant dueAfterOneWait(const LastingTask& it) const
    {
        return dueAt(std::max(it.lostAt, it.electedAt) + maxLeaseWait);
    }

    Instant dueAfterLoss(const LastingTask& it) const { return dueAt(it.lostAt + electionAfterKill + maxLeaseWait); }

    std::string describeWait(const LastingTask& it) const
    {
        auto msSince = [this](Instant time) { return (clock.now() - time).count(); };
        return fmt::format("{} ms: {}.{} waits for {} ms, {} since the last loss with {} elections, {} of this leader",
            nowMs(), it.task.job, it.task.index, msSince(it.endedAt), msSince(it.lostAt), it.electionsSinceLoss,
            msSince(leader.since));
    }

    void checkWait(LastingTask& it, bool isRunning)
    {
        auto now = clock.now();
        if (it.isRunning && !isRunning) {
            it.lost(now);
            it.endedAt = now;
            it.waitsAnew = false;
            it.isLate = false;
            note(fmt::format("{}.{} ends", it.task.job, it.task.index));
        } else if (!it.isRunning && isRunning && it.endedAt != neverInstant) {
            it.longestWait = std::max(it.longestWait, now - it.endedAt);
            note(fmt::format("{}.{} starts after {} ms", it.task.job, it.task.index, (now - it.endedAt).count()));
        }
        it.isRunning = isRunning;
        if (isRunning || it.endedAt == neverInstant || !isLed())
            return;
        if (!it.waitsAnew && now > dueAfterOneWait(it)) {
            it.waitsAnew = true;
            renewedWaits.push_back(describeWait(it));
        }
        if (!it.isLate && now > dueAfterLoss(it)) {
            it.isLate = true;
            lateStarts.push_back(describeWait(it));
        }
    }

    Milliseconds longestWait() const
    {
        Milliseconds longest { 0 };
        for (const auto& it : lastingTasks)
            longest
                = std::max({ longest, it.longestWait, it.isRunning ? Milliseconds { 0 } : clock.now() - it.endedAt });
        return longest;
    }

    bool areLastingTasksRunning() const { return std::ranges::all_of(lastingTasks, &LastingTask::isRunning); }

    /// Starts all processes, and runs all lasting tasks.
    bool begin()
    {
        // Workers that are new to a leader may hold leases of earlier ones until then, as far as this leader can tell.
        constexpr Milliseconds timeUntilSettled { 8000 };
        for (auto& host : hosts)
            startNode(host);
        putLastingTasks();
        advance(timeUntilSettled + pickTime(0, 500));
        return isLed() && areLastingTasksRunning();
    }
};

}
