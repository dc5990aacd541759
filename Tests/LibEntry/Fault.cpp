#include "Fault.h"

namespace Bergamot {

using namespace std::chrono_literals;

static constexpr Milliseconds restartDelay { 3000 };
static constexpr Milliseconds soon { 1 };

static void restartLater(VirtualCluster& cluster, const MemberId& member, Milliseconds killAfter)
{
    cluster.events.after(killAfter, [&cluster, member] { cluster.kill(member); });
    cluster.events.after(killAfter + restartDelay, [&cluster, member] {
        cluster.dropCallsOf.erase(member);
        cluster.start(member);
    });
}

static void dieBefore(VirtualCluster& cluster, const MemberId& member)
{
    cluster.dropCallsOf.insert(member);
    restartLater(cluster, member, 10ms);
}

static void restartAll(VirtualCluster& cluster, const MemberId&)
{
    for (const char* member : { "e1", "e2", "e3" })
        restartLater(cluster, member, soon);
}

static void cutWorker(VirtualCluster& cluster, const MemberId&)
{
    cluster.cutWorkers.insert("w1");
    cluster.events.after(90s, [&cluster] { cluster.cutWorkers.erase("w1"); });
}

// Strikes the busiest worker after its tasks had time to start.
static void loseTasks(VirtualCluster& cluster, const MemberId&)
{
    cluster.events.after(1s, [&cluster] {
        WorkerId busiest = "w1";
        for (const char* id : { "w2", "w3", "w4", "w5", "w6" }) {
            if (cluster.worker(id).runningTasks() > cluster.worker(busiest).runningTasks())
                busiest = id;
        }
        cluster.worker(busiest).loseEverything(cluster.events.now());
    });
}

static void failStarts(VirtualCluster& cluster, const MemberId&)
{
    cluster.worker("w1").setStartFault(StartFault::Fail);
    cluster.events.after(60s, [&cluster] { cluster.worker("w1").setStartFault(StartFault::None); });
}

static void slowLog(VirtualCluster& cluster, const MemberId&)
{
    cluster.logDelay = 700ms;
    cluster.events.after(60s, [&cluster] { cluster.logDelay = 5ms; });
}

const std::vector<Fault>& allFaults()
{
    static const std::vector<Fault> faults {
        { "process dies before the step", dieBefore },
        { "process dies after the step", [](auto& cluster, auto& member) { restartLater(cluster, member, 60ms); } },
        { "process paused for 40 s",
            [](auto& cluster, auto& member) {
                cluster.events.after(soon, [&cluster, member] { cluster.pause(member, 40s); });
            } },
        { "log answers lost", [](auto& cluster, auto&) { cluster.loseAppendAnswers = 5; } },
        { "appends repeated", [](auto& cluster, auto&) { cluster.duplicateAppends = 5; } },
        { "worker answers lost", [](auto& cluster, auto&) { cluster.loseWorkerAnswers = 5; } },
        { "log slow for 60 s", slowLog },
        { "log down for 120 s", [](auto& cluster, auto&) { cluster.logDownUntil = cluster.events.now() + 120s; } },
        { "host list down for 60 s",
            [](auto& cluster, auto&) { cluster.hostListFrozenUntil = cluster.events.now() + 60s; } },
        { "worker fails every start for 60 s", failStarts },
        { "worker cut off for 90 s", cutWorker },
        { "worker loses its tasks", loseTasks },
        { "all members restarted", restartAll },
    };
    return faults;
}

}
