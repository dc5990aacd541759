#include "Cases.h"
#include <cstdio>
#include <map>
#include <nlohmann/json.hpp>
#include <thread>

// The case of workers with more ended runs than they list at a time.

namespace Review {

using nlohmann::json;

static std::string jobBody(int tasks, int64_t workMs)
{
    json step { { "count", tasks }, { "cpu", 250 }, { "memMb", 256 }, { "estRuntimeMs", workMs } };
    return json { { "spec", std::to_string(workMs) }, { "steps", json::array({ step }) } }.dump();
}

static std::string jobId(uint32_t n)
{
    char text[32];
    std::snprintf(text, sizeof(text), "5eed%012x", n);
    return text;
}

/// Rule TWICE: a start after a run of the task has ended `done`, if that end is taken note of then or later.
Verdict playManyEnds(Deployment& deployment, bool trouble)
{
    // A burst of the site: 2.6 times its 8.9 jobs a second, for 4 s, each as wide as its widest.
    constexpr uint32_t jobs = 92;
    constexpr int64_t jobPauseMs = 43;
    constexpr int tasks = 36;
    constexpr int64_t workMs = 500;
    constexpr int64_t downMs = 4500;
    constexpr int64_t restMs = 25'000;
    std::vector<std::thread> clients;
    for (uint32_t n = 0; n < jobs; ++n) {
        clients.emplace_back([&deployment, n] {
            auto node = static_cast<int>(n) % deployment.nodes();
            deployment.callNode(node, "POST", "/queue/" + jobId(n), jobBody(tasks, workMs));
        });
        sleepMs(jobPauseMs);
    }
    for (auto& client : clients)
        client.join();
    if (trouble) {
        deployment.record().add("store: goes down for 4.5 s, with 503");
        deployment.store().setDown(true);
        deployment.store().setFate([](const Request&) { return Store::Fate::Busy; });
    }
    sleepMs(downMs);
    if (trouble) {
        deployment.record().add("store: is up again");
        deployment.store().setFate({});
        deployment.store().setDown(false);
    }
    sleepMs(restMs);
    for (uint32_t n = 0; n < jobs; ++n)
        deployment.callNode(static_cast<int>(n) % deployment.nodes(), "GET", "/queue/" + jobId(n));
    std::map<std::string, std::vector<Run>> byTask;
    for (const auto& run : deployment.runs().all())
        byTask[run.task].push_back(run);
    bool isBroken = false;
    for (const auto& [task, runs] : byTask) {
        for (const auto& done : runs) {
            if (done.how != "done" || done.notedAt == 0)
                continue;
            for (const auto& later : runs) {
                if (later.startedAt <= done.endedAt || later.number == done.number)
                    continue;
                isBroken = true;
                deployment.record().add("TWICE: " + task + ": run " + std::to_string(done.number) + " on " + done.worker
                    + " ended done at " + std::to_string(done.endedAt) + " ms, which was taken note of at "
                    + std::to_string(done.notedAt) + " ms; run " + std::to_string(later.number) + " on " + later.worker
                    + " began at " + std::to_string(later.startedAt) + " ms and ended " + later.how);
            }
        }
    }
    return isBroken ? Verdict::Broken : Verdict::Held;
}

}
