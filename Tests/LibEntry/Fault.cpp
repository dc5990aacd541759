#include "Fault.h"

namespace Bergamot {

using namespace std::chrono_literals;

static constexpr Milliseconds restartDelay { 3000 };
static constexpr Milliseconds minDelay { 1 };

static void scheduleRestart(VirtualCluster& cluster, const MemberId& member, Milliseconds killDelay)
{
    cluster.events.scheduleAfter(killDelay, [&cluster, member] { cluster.kill(member); });
    cluster.events.scheduleAfter(killDelay + restartDelay, [&cluster, member] {
        cluster.membersWithDroppedCalls.erase(member);
        cluster.start(member);
    });
}

static void dropCallsAndRestart(VirtualCluster& cluster, const MemberId& member)
{
    cluster.membersWithDroppedCalls.insert(member);
    scheduleRestart(cluster, member, 10ms);
}

static void restartAllMembers(VirtualCluster& cluster, const MemberId&)
{
    for (const char* member : { "e1", "e2", "e3" })
        scheduleRestart(cluster, member, minDelay);
}

static void disconnectWorker(VirtualCluster& cluster, const MemberId&)
{
    cluster.unreachableWorkers.insert("w1");
    cluster.events.scheduleAfter(90s, [&cluster] { cluster.unreachableWorkers.erase("w1"); });
}

// Acts 1 s later, so that tasks have started on the worker.
static void loseTasksOfBusiestWorker(VirtualCluster& cluster, const MemberId&)
{
    cluster.events.scheduleAfter(1s, [&cluster] {
        WorkerId busiest = "w1";
        for (const char* id : { "w2", "w3", "w4", "w5", "w6" }) {
            if (cluster.worker(id).runningTasks() > cluster.worker(busiest).runningTasks())
                busiest = id;
        }
        cluster.worker(busiest).loseEverything(cluster.events.now());
    });
}

static void failTaskStarts(VirtualCluster& cluster, const MemberId&)
{
    cluster.worker("w1").setStartFault(StartFault::Fail);
    cluster.events.scheduleAfter(60s, [&cluster] { cluster.worker("w1").setStartFault(StartFault::None); });
}

static void delayLog(VirtualCluster& cluster, const MemberId&)
{
    cluster.logDelay = 700ms;
    cluster.events.scheduleAfter(60s, [&cluster] { cluster.logDelay = 5ms; });
}

const std::vector<Fault>& allFaults()
{
    static const std::vector<Fault> faults {
        { "process dies before the step", dropCallsAndRestart },
        { "process dies after the step", [](auto& cluster, auto& member) { scheduleRestart(cluster, member, 60ms); } },
        { "process paused for 40 s",
            [](auto& cluster, auto& member) {
                cluster.events.scheduleAfter(minDelay, [&cluster, member] { cluster.pause(member, 40s); });
            } },
        { "log answers lost", [](auto& cluster, auto&) { cluster.appendRepliesToDrop = 5; } },
        { "appends repeated", [](auto& cluster, auto&) { cluster.appendsToDuplicate = 5; } },
        { "worker answers lost", [](auto& cluster, auto&) { cluster.workerRepliesToDrop = 5; } },
        { "log slow for 60 s", delayLog },
        { "log down for 120 s",
            [](auto& cluster, auto&) { cluster.logUnavailableUntil = cluster.events.now() + 120s; } },
        { "host list down for 60 s",
            [](auto& cluster, auto&) { cluster.hostListUnavailableUntil = cluster.events.now() + 60s; } },
        { "worker fails every start for 60 s", failTaskStarts },
        { "worker cut off for 90 s", disconnectWorker },
        { "worker loses its tasks", loseTasksOfBusiestWorker },
        { "all members restarted", restartAllMembers },
    };
    return faults;
}

}
