#pragma once

#include "CutOffStore.h"
#include "FakeFormats.h"
#include "FakePeerTransport.h"
#include "FakeWorkers.h"
#include "NodeTestClock.h"
#include <CppUTest/TestHarness.h>
#include <LibNode/Node.h>
#include <LibWire/ValueCodec.h>
#include <algorithm>
#include <memory>
#include <string>

namespace Bergamot {

/// Two nodes, of which the first leads, and workers of which w1 runs a task that lasts.
struct CutOffCluster {
    struct Member {
        Member(EventLoop& loop, FakeRecordStore& shared, FakeWorkers& workers)
            : store(loop, shared)
            , executor(loop, workers)
        {
        }

        CutOffStore store;
        FakeWorkersExecutor executor;
        FakePeerTransport peers;
        std::unique_ptr<Node> node;
    };

    NodeTestClock clock;
    std::unique_ptr<EventLoop> loop { EventLoop::create(clock) };
    FakeRecordStore store { *loop };
    FakeWorkers workers { *loop };
    FakeFormats formats;
    Member first { *loop, store, workers };
    Member second { *loop, store, workers };
    const TaskRef task { .job = "00000000000000aa", .occurrence = 0, .step = 0, .index = 0 };
    size_t mostRuns { 0 };
    size_t fewestRuns { 0 };

    ~CutOffCluster()
    {
        first.node.reset();
        second.node.reset();
    }

    void announce(const std::string& id)
    {
        WorkerAnnouncement worker { .address = id, .startedAtMs = 5 };
        worker.view = { .id = id, .service = "token", .zone = "z" };
        worker.view.capacity = { 1000, 1000, 0 };
        formats.workers[id] = worker;
        store.put(StreamName::Workers, id, id);
    }

    void startNode(Member& member, uint64_t incarnation) { startNode(member, incarnation, incarnation); }

    void startNode(Member& member, uint64_t host, uint64_t incarnation)
    {
        member.node
            = std::make_unique<Node>(Node::Services { *loop, member.store, member.executor, member.peers, formats },
                NodeOptions { .member = "m" + std::to_string(host),
                    .incarnation = incarnation,
                    .peerAddress = "p" + std::to_string(host) });
        member.node->start();
    }

    /// Advances the clock, and records the fewest and most workers that run the task at one time.
    void advance(Milliseconds time)
    {
        constexpr Milliseconds step { 5 };
        mostRuns = 0;
        fewestRuns = SIZE_MAX;
        for (Milliseconds passed { 0 }; passed < time; passed += step) {
            clock.advance(step);
            loop->runReady();
            mostRuns = std::max(mostRuns, workers.runsOf(task));
            fewestRuns = std::min(fewestRuns, workers.runsOf(task));
        }
    }

    /// The first node leads and runs the task on worker w1; `count` workers are known.
    void runTask(int count)
    {
        formats.changes["config"] = RoutingTable { .version = 7,
            .routes
            = { { .queue = "batch", .pathPrefix = "/b/", .policy = { .service = "token", .maxAttempts = 3 } } } };
        store.put(StreamName::Operators, "config", "config");
        JobSpec job { .id = task.job, .queue = "batch", .payload = "p" };
        job.steps = { { .count = 1, .size = { 1000, 1000, 0 }, .estimateMs = 1000, .longRunning = true } };
        store.put(StreamName::Jobs, job.id, encodeValue(job));
        announce("w1");
        startNode(first, 1);
        advance(Milliseconds { 2000 });
        startNode(second, 2);
        for (int i = 2; i <= count; ++i)
            announce("w" + std::to_string(i));
        advance(Milliseconds { 3000 });
        CHECK(workers.at("w1").runs.contains(task));
        CHECK_EQUAL(1, mostRuns);
    }
};

}
