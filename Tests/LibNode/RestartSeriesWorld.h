#pragma once

#include "FakeRecordStore.h"
#include "LateReplyStore.h"
#include "NodeTestClock.h"
#include <LibHttp/EventLoop.h>
#include <LibNode/LeadershipMonitor.h>
#include <LibWire/LeadershipRecord.h>
#include <LibWire/ValueCodec.h>
#include <algorithm>
#include <cstdint>
#include <fmt/format.h>
#include <functional>
#include <memory>
#include <random>
#include <string>
#include <vector>

namespace Bergamot {

/// Hosts in virtual time whose processes take part in elections, are asked to end, drain, are killed and start again.
struct RestartSeriesWorld {
    static constexpr Milliseconds tickTime { 5 };

    /// A process that drains ends by then at the latest, as bergamot-node does within a grace period of 6 s.
    static constexpr Milliseconds longestDrain { 5200 };

    /// What is left of a drain must be this long for the process to be worth an election.
    static constexpr Milliseconds minTerm { 1500 };

    /// A process has read the operators' stream this long after its start.
    static constexpr Milliseconds loadTime { 150 };

    struct Host {
        std::string name;
        std::unique_ptr<LeadershipMonitor> monitor;
        Instant startedAt { neverInstant };
        Instant drainsSince { Instant::max() };
        Milliseconds drainTime { 0 };
        Instant nextTermAt { Instant::max() };
        Instant backAt { neverInstant };
    };

    NodeTestClock clock;
    std::unique_ptr<EventLoop> loop { EventLoop::create(clock) };
    FakeRecordStore store { *loop };
    std::mt19937 random;
    LateReplyStore lateStore { *loop, store, random };
    std::vector<Host> hosts;
    uint64_t incarnation { 0 };
    size_t readRecords { 0 };
    LeadershipRecord leader {};
    uint64_t epoch { 0 };
    uint32_t elections { 0 };
    bool hasResigned { false };
    Instant leaderlessSince { clock.now() };

    /// Time in which no process is able to lead does not count.
    Milliseconds longestWithoutLeader { 0 };

    /// Time from the start of each process to its next SIGTERM; none if empty.
    std::function<Milliseconds()> lifeTime {};

    RestartSeriesWorld(uint32_t seed, size_t hostCount)
        : random(seed)
        , hosts(hostCount)
    {
        for (size_t i = 0; i < hostCount; ++i)
            hosts[i].name = fmt::format("m{}", i);
    }

    Milliseconds pickTime(uint32_t fromMs, uint32_t toMs)
    {
        return Milliseconds { fromMs + random() % (toMs - fromMs) };
    }

    void start(Host& host)
    {
        host.startedAt = clock.now();
        host.drainsSince = Instant::max();
        host.nextTermAt = lifeTime ? clock.now() + lifeTime() : Instant::max();
        host.monitor = std::make_unique<LeadershipMonitor>(*loop, lateStore,
            LeadershipMonitor::Options {
                .node = { .member = host.name, .incarnation = ++incarnation << 32U, .peerAddress = host.name },
                .canClaim = [this, &host] { return clock.now() >= host.startedAt + loadTime; },
                .onElected = [](uint64_t, bool) {},
                .onDeposed = [] {},
            });
        host.monitor->start();
    }

    void terminate(Host& host)
    {
        if (!host.monitor || host.drainsSince != Instant::max())
            return;
        host.drainsSince = clock.now();
        host.drainTime = pickTime(2600, 5000);
        host.monitor->drain(clock.now() + longestDrain);
    }

    void end(Host& host, Milliseconds downTime)
    {
        host.monitor.reset();
        host.drainsSince = Instant::max();
        host.backAt = clock.now() + downTime;
    }

    Host* leadingHost()
    {
        auto it
            = std::ranges::find_if(hosts, [](const Host& host) { return host.monitor && host.monitor->isLeader(); });
        return it == hosts.end() ? nullptr : &*it;
    }

    /// Whether the process elected last runs and has not resigned.
    bool isLed() const
    {
        return !hasResigned && std::ranges::any_of(hosts, [this](const Host& it) {
            return it.monitor && it.monitor->isLeader() && it.name == leader.member
                && it.monitor->leader()->epoch == epoch;
        });
    }

    /// Whether a process could be elected now and go on for a while.
    bool isAnyAbleToLead() const
    {
        return std::ranges::any_of(hosts, [this](const Host& it) {
            bool goesOn = it.drainsSince == Instant::max() || clock.now() - it.drainsSince <= longestDrain - minTerm;
            return it.monitor && clock.now() >= it.startedAt + loadTime && goesOn;
        });
    }

    void readLeadership()
    {
        const auto& records = store.records(StreamName::Leadership);
        for (; readRecords < records.size(); ++readRecords) {
            auto record = decodeValue<LeadershipRecord>(records[readRecords].value);
            if (!record.ok() || record->hasStopped || record->epoch == candidacyEpoch)
                continue;
            if (record->epoch == 0) {
                leader = *record;
                epoch = readRecords + 1;
                hasResigned = false;
                ++elections;
            } else if (record->epoch == epoch) {
                hasResigned = record->resigns;
            }
        }
    }

    void updateHost(Host& host)
    {
        auto now = clock.now();
        if (!host.monitor && now >= host.backAt)
            start(host);
        if (host.monitor && now >= host.nextTermAt)
            terminate(host);
        if (host.drainsSince == Instant::max())
            return;
        auto drained = now - host.drainsSince;
        if ((drained >= host.drainTime && host.monitor->mayEnd()) || drained >= longestDrain)
            end(host, pickTime(200, 1000));
    }

    void advance(Milliseconds time)
    {
        for (Milliseconds passed { 0 }; passed < time; passed += tickTime) {
            clock.advance(tickTime);
            loop->runReady();
            for (auto& host : hosts)
                updateHost(host);
            readLeadership();
            if (isLed())
                leaderlessSince = clock.now();
            else if (!isAnyAbleToLead())
                leaderlessSince += tickTime;
            longestWithoutLeader = std::max(longestWithoutLeader, clock.now() - leaderlessSince);
        }
    }

    /// Starts all processes, and returns whether one leads.
    bool begin()
    {
        for (auto& host : hosts)
            start(host);
        advance(Milliseconds { 2000 });
        longestWithoutLeader = Milliseconds { 0 };
        return isLed();
    }
};

}
