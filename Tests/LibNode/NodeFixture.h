#pragma once

#include "FakeFormats.h"
#include "FakePeerTransport.h"
#include "FakeRecordStore.h"
#include "MockTaskExecutor.h"
#include "NodeTestClock.h"
#include <CppUTest/TestHarness.h>
#include <LibHttp/EventLoop.h>
#include <LibNode/Node.h>
#include <LibNode/ProgressJournal.h>
#include <LibWire/Codec.h>
#include <LibWire/JobProgress.h>
#include <LibWire/ValueCodec.h>
#include <algorithm>
#include <fmt/format.h>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <utility>
#include <variant>
#include <vector>

namespace Bergamot {

/// A node in virtual time whose workers obey all commands. The state in the store survives restartNode().
class NodeFixture : public Utest {
public:
    void teardown() override { node.reset(); }

    void configure(uint64_t version)
    {
        auto text = fmt::format("config {}", version);
        formats.changes[text] = RoutingTable { .version = version,
            .routes
            = { { .queue = "batch", .pathPrefix = "/b/", .policy = { .service = "token", .maxAttempts = 3 } } } };
        store.put(StreamName::Operators, "config", text);
    }

    void takeZoneOut(const std::string& zone)
    {
        formats.changes["out " + zone] = ZoneOut { .zone = zone, .out = true };
        store.put(StreamName::Operators, "evacuate/" + zone, "out " + zone);
    }

    /// Announces a worker in the zone "z" whose capacity fits `tasks` tasks of putJob().
    void announce(const std::string& id, int64_t tasks = 30)
    {
        auto text = fmt::format("worker {} {}", id, tasks);
        formats.workers[text]
            = { .view = { .id = id, .service = "token", .zone = "z", .capacity = { tasks * 1000, tasks * 1000, 0 } },
                  .address = id,
                  .startedAtMs = workerStartMs };
        store.put(StreamName::Workers, id, text);
    }

    void putJob(const std::string& id, uint32_t tasks = 2)
    {
        store.put(StreamName::Jobs, id,
            encodeValue(JobSpec { .id = id,
                .queue = "batch",
                .payload = id,
                .steps = { { .count = tasks, .size = { 1000, 1000, 0 }, .estimateMs = 1000 } } }));
    }

    void putProgress(const JobProgress& progress)
    {
        store.put(StreamName::Progress, jobKeyPrefix + progress.id, encodeValue(progress));
    }

    /// Ends the process of the node, as SIGKILL would, and starts another one.
    void restartNode()
    {
        node.reset();
        taskExecutor = {};
        runs.clear();
        starts.clear();
        node = std::make_unique<Node>(Node::Services { *loop, store, taskExecutor, peers, formats },
            NodeOptions { .member = "m", .incarnation = ++incarnation, .peerAddress = "p" });
        node->start();
    }

    /// Advances the clock while the workers in `silent` do not answer and the others obey.
    void advance(Milliseconds time)
    {
        constexpr Milliseconds step { 5 };
        for (Milliseconds passed { 0 }; passed < time; passed += step) {
            clock.advance(step);
            loop->runReady();
            answerWorkers();
        }
    }

    std::optional<JobQueryReply> ask(JobQueryKind kind, const std::string& subject)
    {
        auto before = peers.sent.size();
        peers.deliver(encodePeerMessage(
            JobQuery { .queryId = ++lastQueryId, .replyAddress = "caller", .kind = kind, .subject = subject }));
        for (int i = 0; i < 100 && peers.sent.size() == before; ++i)
            advance(Milliseconds { 20 });
        if (peers.sent.size() == before)
            return std::nullopt;
        return std::get<JobQueryReply>(*decodePeerMessage(peers.sent.back().second));
    }

    /// Number of starts of tasks of the job that workers have accepted since the last restart of the node.
    size_t startsOf(const std::string& job) const
    {
        return static_cast<size_t>(std::ranges::count_if(starts, [&](const auto& it) { return it.first.job == job; }));
    }

    size_t startsOn(const std::string& worker) const
    {
        return static_cast<size_t>(std::ranges::count(starts, worker, &std::pair<TaskRef, std::string>::second));
    }

    static constexpr int64_t workerStartMs = 5;

    NodeTestClock clock;
    std::unique_ptr<EventLoop> loop { EventLoop::create(clock) };
    FakeRecordStore store { *loop };
    MockTaskExecutor taskExecutor;
    FakePeerTransport peers;
    FakeFormats formats;
    std::unique_ptr<Node> node;
    uint64_t incarnation { 0 };
    uint64_t lastQueryId { 0 };
    std::set<std::string> silent;

    /// The runs on each worker, and all accepted starts as the task and the worker.
    std::map<std::string, std::vector<RunReport>> runs;
    std::vector<std::pair<TaskRef, std::string>> starts;

    /// When a lease renewal was last sent to each worker.
    std::map<std::string, Instant> lastRenewals;

private:
    TaskCommandReply accepted() const
    {
        return { .clockMs = clock.now().time_since_epoch().count(), .startedAtMs = workerStartMs };
    }

    void answerWorkers()
    {
        for (auto n = taskExecutor.renewLeaseCalls.size(); n > 0; --n) {
            auto call = taskExecutor.takeRenewLeaseCall();
            lastRenewals[call.address] = clock.now();
            if (!silent.contains(call.address))
                call.reply(RenewLeaseReply {
                    .commandReply = accepted(), .running = runs[call.address], .endCoverage = RunEndCoverage::All });
        }
        for (auto n = taskExecutor.commands.size(); n > 0; --n) {
            auto command = taskExecutor.takeCommand();
            if (silent.contains(command.address))
                continue;
            if (command.kind == "start") {
                starts.emplace_back(command.start.task, command.address);
                runs[command.address].push_back({ .task = command.start.task, .run = command.run });
            }
            command.reply(accepted());
        }
    }
};

}
