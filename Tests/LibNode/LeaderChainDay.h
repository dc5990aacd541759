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
#include <map>
#include <memory>
#include <optional>
#include <random>
#include <set>
#include <string>
#include <vector>

namespace Bergamot {

/// Nodes in virtual time of which one leads after the other, each for a short time, while workers are lost whose tasks
/// are to last. Each node has an event loop of its own, so that it can stand still alone. The store never fails, and
/// the workers have room for several times the tasks.
struct LeaderChainDay {
    static constexpr Milliseconds tickTime { 10 };
    static constexpr size_t defaultHostCount { 6 };
    static constexpr uint32_t workerCount { 14 };
    static constexpr uint32_t lastingJobCount { 3 };
    static constexpr uint32_t tasksPerLastingJob { 5 };

    /// Losses leave more than half of the workers: fewer would not show that an earlier leader has ended.
    static constexpr uint32_t maxLostWorkers { 5 };
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
    static constexpr Milliseconds lastTerm = electionAfterKill + maxLeaseWait + settlingTime + Milliseconds { 1500 };

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

    enum class EndOfTerm : uint8_t { Stop, Kill, Freeze, CutOff };
    static constexpr uint32_t endOfTermCount { 4 };

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
    std::set<std::string> lostWorkers;

    /// Workers that are cut off until a new leader reaches them, with the last fencing token of the former one.
    std::map<std::string, uint64_t> returningWorkers;
    std::set<TaskRef> ranTwice;
    Leader leader;
    size_t readLeadershipRecords { 0 };
    uint64_t incarnation { 0 };
    uint32_t elections { 0 };
    const Instant startedAt { clock.now() };

    /// What was seen: runs that break a promise, waits beyond each of the two bounds, and the course of the day.
    std::vector<std::string> runViolations;
    std::vector<std::string> renewedWaits;
    std::vector<std::string> lateStarts;
    std::vector<std::string> events;

    explicit LeaderChainDay(uint32_t seed, size_t hostCount = defaultHostCount)
        : random(seed)
        , hosts(hostCount)
    {
        executor.maxLease = maxLease;
        executor.shapeOf = [this](const TaskRef& task) { return shapeOf(task); };
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

    ~LeaderChainDay()
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
        host.node->prepareShutdown();
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
            cutOffReachedWorkers();
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
            loop->callAfter(time, [this] { endTermIfLed(EndOfTerm::CutOff); });
    }

    void cutOffReachedWorkers()
    {
        std::erase_if(returningWorkers, [this](const auto& it) {
            const auto& [id, token] = it;
            if (executor.workers.at(id).fenceToken == token)
                return false;
            note(fmt::format("{} is reached", id));
            // A leader renews a withheld lease 0.5 s later at the earliest.
            bool isCutOff = hosts[leader.host].store->isCutOff();
            loop->callAfter(isCutOff ? pickTime(700, 1500) : pickTime(20, 100), [this, id] {
                cutOff(id, pickTime(6000, 9000));
                endTermIfLed(EndOfTerm::Kill);
            });
            return true;
        });
    }

    void endTermIfLed(EndOfTerm end)
    {
        if (isLed())
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

    /// One more process is restarted, which need not be the leader.
    void restartFollower()
    {
        auto& host = hosts[pick(static_cast<uint32_t>(hosts.size()))];
        if (canLead(host) && host.incarnation != leader.incarnation) {
            note(fmt::format("{} stops as a follower", host.name));
            stop(host);
        }
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
            if (!isLed())
                continue;
            // Some days have one kind of end only.
            auto kind = onlyKind < endOfTermCount ? onlyKind : pick(endOfTermCount);
            endTerm(static_cast<EndOfTerm>(kind));
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
