#pragma once

#include "DecisionModel.h"
#include "FakeFormats.h"
#include "FakeRecordStore.h"
#include "FaultyStore.h"
#include "FaultyWorkers.h"
#include "NodeTestClock.h"
#include "PeerNetwork.h"
#include <LibHttp/HttpRequest.h>
#include <LibHttp/HttpResponder.h>
#include <LibHttp/HttpResponse.h>
#include <LibNode/Node.h>
#include <LibNode/ProgressJournal.h>
#include <LibWire/ValueCodec.h>
#include <algorithm>
#include <array>
#include <fmt/format.h>
#include <map>
#include <memory>
#include <random>
#include <string>
#include <vector>

namespace Bergamot {

/// Three nodes that are restarted, all at once and one by one, while the operators change the configuration, callers
/// submit, ask for and cancel jobs whose runs fail, and the store loses calls and replies. After a restart each stream
/// becomes readable at a time of its own. A model checks all decisions that cannot be taken back.
struct RestartDay {
    static constexpr Milliseconds tickTime { 10 };
    static constexpr uint32_t nodeCount { 3 };
    static constexpr uint32_t workerCount { 4 };

    class Formats final : public FakeFormats {
    public:
        absl::StatusOr<JobSpec> readJob(std::string_view body) const override { return decodeValue<JobSpec>(body); }
        std::string writeJobStage(JobStage stage) const override { return std::to_string(static_cast<int>(stage)); }
    };

    struct Member {
        std::string name;
        std::unique_ptr<FaultyStore> store;
        std::unique_ptr<PeerNetworkTransport> peers;
        std::unique_ptr<Node> node;
        Instant backAt { neverInstant };
    };

    /// How the runs of a job go.
    struct Plan {
        Milliseconds duration { 0 };

        /// Number of runs of each task that fail before one succeeds.
        std::vector<uint32_t> failures;
    };

    NodeTestClock clock;
    std::unique_ptr<EventLoop> loop { EventLoop::create(clock) };
    std::mt19937 random;
    FakeRecordStore store { *loop };
    FaultyWorkers executor { *loop, random };
    PeerNetwork network { *loop };
    Formats formats;
    DecisionModel model;
    std::array<Member, nodeCount> members;
    std::map<JobId, Plan> plans;
    uint64_t incarnation { 0 };
    uint64_t version { 0 };
    size_t readProgressRecords { 0 };
    size_t readOperatorRecords { 0 };
    Instant storeFaultsEndAt { neverInstant };

    /// Otherwise the operators' records cannot be read for long, so that a leader outlives several configurations.
    bool hasRestarts { true };
    std::shared_ptr<bool> isOver { std::make_shared<bool>(false) };

    explicit RestartDay(uint32_t seed)
        : random(seed)
        , hasRestarts(pick(3) > 0)
    {
        executor.maxListedEnds = 1 + pick(3);
        executor.shapeOf = [this](const TaskRef& task) { return shapeOf(task); };
        executor.outcomeOf = [this](const TaskRef& task, uint64_t) { return outcomeOf(task); };
        executor.onEnd = [this](const RunEnd& end) { model.runEnded(end); };
        executor.onAcknowledged = [this](const RunEnd& end) {
            readStoredRecords();
            model.endAcknowledged(end, clock.now());
        };
        executor.onStart = [this](const TaskRef& task, uint64_t run) {
            readStoredRecords();
            model.runStarted(task, run, executor.runsOf(task) > 1, clock.now());
            for (const auto& [id, worker] : executor.workers) {
                if (worker.runs.contains(task) && worker.runs.at(task).run == run)
                    model.runStartedInZone(task, zoneOf(id), clock.now());
            }
        };
        for (uint32_t i = 0; i < nodeCount; ++i) {
            auto& member = members[i];
            member.name = fmt::format("m{}", i);
            member.store = std::make_unique<FaultyStore>(*loop, store, random);
            member.peers = std::make_unique<PeerNetworkTransport>(network, member.name);
        }
    }

    ~RestartDay()
    {
        *isOver = true;
        for (auto& member : members)
            member.node.reset();
    }

    uint32_t pick(uint32_t n) { return static_cast<uint32_t>(random() % n); }
    Milliseconds pickTime(uint32_t fromMs, uint32_t toMs) { return Milliseconds { fromMs + pick(toMs - fromMs) }; }

    /// Publishes a configuration; without a limit, the queue is not part of it.
    void configure(std::optional<uint32_t> maxAttempts)
    {
        RoutingTable table { .version = ++version };
        table.routes.push_back({ .queue = "other", .pathPrefix = "/o/", .policy = { .service = "s" } });
        if (maxAttempts) {
            // The objectives of two jobs differ by more than the real time that a test takes, which they include.
            constexpr double stretch = 1e6;
            table.routes.push_back({ .queue = "batch",
                .pathPrefix = "/b/",
                .policy = { .service = "s", .maxAttempts = *maxAttempts, .stretch = stretch } });
        }
        auto text = fmt::format("config {}", table.version);
        formats.changes[text] = table;
        store.put(StreamName::Operators, "config", text);
    }

    static std::string zoneOf(const std::string& worker) { return worker < "w2" ? "a" : "b"; }

    void changeZone(bool out)
    {
        auto text = fmt::format("zone b {}", out);
        formats.changes[text] = ZoneOut { .zone = "b", .out = out };
        store.put(StreamName::Operators, "evacuate/b", text);
    }

    void announce(const std::string& id)
    {
        auto startedAtMs = executor.workers[id].startedAtMs;
        auto text = fmt::format("{}/{}", id, startedAtMs);
        formats.workers[text] = { .view = { .id = id, .service = "s", .zone = zoneOf(id), .rack = id },
            .address = id,
            .startedAtMs = startedAtMs };
        formats.workers[text].view.capacity = executor.capacity;
        store.put(StreamName::Workers, id, text);
    }

    void startNode(Member& member)
    {
        member.node = std::make_unique<Node>(Node::Services { *loop, *member.store, executor, *member.peers, formats },
            NodeOptions { .member = member.name, .incarnation = ++incarnation << 32U, .peerAddress = member.name });
        member.node->start();
    }

    void stopNode(Member& member, Milliseconds downTime)
    {
        member.node.reset();
        network.removeReceiver(member.name);
        member.backAt = clock.now() + downTime;
    }

    /// Ends all processes. The streams become readable one by one, for each node in an order of its own.
    void restartAll()
    {
        constexpr std::array<uint32_t, 6> delays { 0, 0, 400, 1200, 2500, 6000 };
        model.allRestartedAt = clock.now();
        for (auto& member : members) {
            stopNode(member, pickTime(200, 2500));
            auto delay = [&] { return member.backAt + Milliseconds { delays[pick(delays.size())] }; };
            for (auto stream : { StreamName::Operators, StreamName::Workers, StreamName::Progress })
                member.store->unreadableUntil[{ stream, 0 }] = delay();
            for (uint32_t partition = 0; partition < jobPartitions; ++partition)
                member.store->unreadableUntil[{ StreamName::Jobs, partition }] = delay();
        }
    }

    FaultyWorkers::TaskShape shapeOf(const TaskRef& task) const
    {
        return { .duration = plans.at(task.job).duration, .size = { 1000, 1000, 0 } };
    }

    RunOutcome outcomeOf(const TaskRef& task)
    {
        auto failed = model.jobs[task.job].failures[task].size();
        return failed < plans.at(task.job).failures[task.index] ? RunOutcome::Failed : RunOutcome::Done;
    }

    /// Sends a request to a node that is up, as a caller behind a load balancer does.
    void request(
        const std::string& method, const JobId& id, const std::string& body, std::function<void(const HttpResponse&)> f)
    {
        auto& member = members[pick(nodeCount)];
        if (!member.node)
            return;
        auto table = member.node->routing();
        if (method == "POST" && table)
            model.jobSubmitted(id, *table);
        member.node->handle({ .method = method, .path = "/b/" + id, .body = body },
            HttpResponder([f = std::move(f), isOver = isOver](const HttpResponse& response) {
                if (!*isOver)
                    f(response);
            }));
    }

    void submitRandomJob()
    {
        constexpr std::array<uint32_t, 8> failures { 0, 0, 0, 0, 1, 1, 2, 5 };
        auto id = fmt::format("{:016x}", plans.size() + 1);
        auto& plan = plans[id];
        plan.duration = pickTime(100, 2500);
        JobSpec spec { .id = id, .queue = "batch", .payload = id };
        // Objectives depend on the estimates, which must therefore differ.
        spec.steps.push_back({ .count = 1 + pick(3),
            .size = { 1000, 1000, 0 },
            .estimateMs = 1000 + static_cast<uint32_t>(plans.size()) });
        for (uint32_t i = 0; i < spec.steps.front().count; ++i)
            plan.failures.push_back(failures[pick(failures.size())]);
        model.jobs[id].spec = spec;
        request("POST", id, encodeValue(spec), [this, id](const HttpResponse& response) {
            model.jobs[id].isAccepted = response.status == 200;
            model.jobs[id].isRefused = response.status == 503 || response.status == 404;
            if (response.status == 404)
                model.answeredNoQueue(id, "batch", clock.now());
            if (model.jobs[id].isAccepted && pick(2) == 0)
                askSoon(id);
        });
    }

    /// The caller of an accepted job asks for it while the leader may not have read it.
    void askSoon(const JobId& id)
    {
        loop->callAfter(pickTime(0, 300), [this, id, isOver = isOver] {
            if (!*isOver)
                askFor("GET", id);
        });
    }

    /// The job may be the one that is submitted next.
    void askForRandomJob(const std::string& method)
    {
        askFor(method, fmt::format("{:016x}", 1 + pick(static_cast<uint32_t>(plans.size()) + 1)));
    }

    void askFor(const std::string& method, const JobId& id)
    {
        if (method == "DELETE")
            model.jobs[id].isCancelRequested = true;
        bool wasAccepted = model.jobs[id].isAccepted;
        request(method, id, {}, [this, id, method, wasAccepted](const HttpResponse& response) {
            readStoredRecords();
            if (response.status == 404)
                model.answeredNoQueue(id, "batch", clock.now());
            if (response.status == 410)
                model.answeredUnknown(id, wasAccepted, clock.now());
            if (response.status == 200)
                model.answeredState(id, static_cast<JobStage>(std::stoi(response.body)), clock.now());
            if (method == "DELETE" && (response.status == 410 || response.status == 200))
                model.jobs[id].cancelConfirmedAt = std::min(model.jobs[id].cancelConfirmedAt, clock.now());
        });
    }

    /// Passes new records of the store to the model.
    void readStoredRecords()
    {
        const auto& operators = store.records(StreamName::Operators);
        for (; readOperatorRecords < operators.size(); ++readOperatorRecords) {
            auto change = formats.readOperatorRecord(operators[readOperatorRecords]);
            if (const auto* table = std::get_if<RoutingTable>(&*change))
                model.configurationStored(*table, clock.now());
            else if (const auto* zone = std::get_if<ZoneOut>(&*change))
                model.zoneChanged(zone->zone, zone->out, clock.now());
        }
        const auto& progress = store.records(StreamName::Progress);
        for (; readProgressRecords < progress.size(); ++readProgressRecords) {
            const auto& record = progress[readProgressRecords];
            if (record.key.starts_with(jobKeyPrefix))
                model.progressStored(*decodeValue<JobProgress>(record.value), clock.now());
        }
    }

    void advance(Milliseconds time)
    {
        for (Milliseconds passed { 0 }; passed < time; passed += tickTime) {
            clock.advance(tickTime);
            loop->runReady();
            executor.tick(tickTime);
            for (auto& member : members) {
                if (!member.node && clock.now() >= member.backAt)
                    startNode(member);
                if (clock.now() >= storeFaultsEndAt)
                    member.store->faultPercent = 0;
            }
            readStoredRecords();
        }
    }

    /// The nodes that a fault meets: one or all.
    std::vector<Member*> pickMembers()
    {
        std::vector<Member*> picked;
        auto only = pick(2 * nodeCount);
        for (uint32_t i = 0; i < nodeCount; ++i) {
            if (only >= nodeCount || only == i)
                picked.push_back(&members[i]);
        }
        return picked;
    }

    void makeUnreadable(StreamName stream, uint32_t partition, Milliseconds time)
    {
        for (auto* member : pickMembers())
            member->store->unreadableUntil[{ stream, partition }] = clock.now() + time;
    }

    /// Longer than the time within which a configuration is in force everywhere.
    void loseOperators()
    {
        auto until = clock.now() + pickTime(20000, 40000);
        for (auto& member : members)
            member.store->unreadableUntil[{ StreamName::Operators, 0 }] = until;
    }

    /// For less than a lease, so that its runs go on and no other worker may execute them.
    void cutOffWorker()
    {
        auto& worker = executor.workers.at(fmt::format("w{}", pick(workerCount)));
        worker.cutUntil = clock.now() + pickTime(300, 2500);
    }

    void injectStoreFaults()
    {
        storeFaultsEndAt = clock.now() + pickTime(500, 5000);
        for (auto& member : members)
            member.store->faultPercent = 10 + pick(50);
    }

    void injectRandomFault()
    {
        switch (pick(10)) {
        case 6:
            return cutOffWorker();
        case 0:
            return hasRestarts ? restartAll() : loseOperators();
        case 5:
            return changeZone(pick(2) == 0);
        case 1:
            return stopNode(members[pick(nodeCount)], pickTime(200, 4000));
        case 2:
            return injectStoreFaults();
        case 3:
            makeUnreadable(StreamName::Operators, 0, pickTime(1000, 40000));
            // Some nodes know the next configuration and others do not.
            return configureRandomly();
        case 4:
            return makeUnreadable(StreamName::Jobs, pick(jobPartitions), pickTime(500, 6000));
        default:
            return configureRandomly();
        }
    }

    void configureRandomly()
    {
        auto limit = pick(6);
        configure(limit == 0 ? std::nullopt : std::optional(1 + limit % 3));
    }

    void run()
    {
        constexpr int eventCount { 100 };
        configure(3);
        for (uint32_t i = 0; i < workerCount; ++i)
            announce(fmt::format("w{}", i));
        for (auto& member : members)
            startNode(member);
        advance(Milliseconds { 1500 });
        for (int i = 0; i < eventCount; ++i) {
            advance(pickTime(50, 800));
            auto kind = pick(10);
            if (kind < 5)
                submitRandomJob();
            else if (kind < 6)
                askForRandomJob("GET");
            else if (kind < 7 && pick(3) == 0)
                askForRandomJob("DELETE");
            else
                injectRandomFault();
        }
        endFaults();
        advance(Milliseconds { 25000 });
        model.checkAllEnded(clock.now());
    }

    /// From now on all streams are readable and the queue exists.
    void endFaults()
    {
        storeFaultsEndAt = clock.now();
        for (auto& member : members)
            member.store->unreadableUntil.clear();
        configure(3);
        changeZone(false);
    }
};

}
