#include "PlatformMessages.h"
#include <fmt/format.h>
#include <iterator>
#include <nlohmann/json.hpp>

namespace Bergamot {

using nlohmann::json;

std::string taskSpecText(const std::vector<StepPlan>& steps)
{
    auto rows = json::array();
    for (const auto& step : steps)
        rows.push_back({ step.durationMs, step.failingRuns, step.cpuMillis, step.memoryMb, step.crashAfterMs });
    return rows.dump();
}

std::string jobText(const std::vector<StepPlan>& steps)
{
    auto list = json::array();
    for (const auto& step : steps) {
        json object { { "count", step.count }, { "cpu", step.cpuMillis }, { "memMb", step.memoryMb },
            { "estRuntimeMs", step.durationMs } };
        if (step.dependsOnPreviousStep)
            object["dependsOn"] = { list.size() - 1 };
        list.push_back(std::move(object));
    }
    return json { { "spec", taskSpecText(steps) }, { "steps", std::move(list) } }.dump();
}

std::string configurationText(uint64_t version, const std::vector<QueuePlan>& queues)
{
    auto routes = json::array();
    for (const auto& queue : queues)
        routes.push_back({ { "name", queue.name }, { "host", queueHost }, { "pathPrefix", queue.pathPrefix },
            { "kind", "non_idempotent" }, { "timeoutMs", queue.timeoutMs }, { "targetLatencyMs", 2500 },
            { "priority", queue.priority }, { "service", taskService }, { "maxAttempts", queue.maxAttempts },
            { "stretch", 2.0 } });
    json service { { "name", taskService }, { "healthPath", "/healthz" }, { "maxConns", 64 }, { "protocol", "h1" },
        { "tls", false }, { "coldStartS", 0.0 }, { "coldPerS", 0.0 }, { "admissionCheck", false }, { "spare", false } };
    json limits { { "maxHeaderBytes", 16384 }, { "maxBodyBytes", 262144 }, { "headerTimeoutMs", 3000 },
        { "idleTimeoutMs", 15000 } };
    return json {
        { "version", version }, { "routes", std::move(routes) }, { "services", { std::move(service) } },
        { "limits", std::move(limits) }
    }.dump();
}

std::string settingsText(const NodeLocation& location, const std::vector<std::string>& zones)
{
    std::string zoneLines;
    for (const auto& zone : zones)
        fmt::format_to(std::back_inserter(zoneLines), "{} = \"main\"\n", zone);
    return fmt::format(R"(node = "{}"
role = "node"
machineClass = "front"
serves = ["front"]
ip = "{}"
zone = "{}"
region = "main"
portRange = [7720, 7735]
seeds = []
bootstrap = true
inTolerance = false
discovery = "platform"
entry = "vip"
heartbeatMs = 1000
commands = "rpc"
[zones]
{}[listen]
front = "{}:{}"
ready = "{}:8167"
[limits]
cpuShare = 0.25
cores = 1
memoryMb = 260
maxFds = 4100
[bounds]
contactMs = 3000
graceS = 6
holdMaxMs = 10000
stopMs = 400
cancel_ms = 3000
visible_ms = 3000
[platform]
addr = "{}"
form = "log"
writesPerS = 800
readsPerS = 2000
parts = 12
recordBytes = 262144
callBytes = 2097152
keep_s = 300
)",
        location.name, location.ip, location.zone, zoneLines, location.ip, nodeIngressPort, location.ip,
        location.storeAddress);
}

std::string zoneEvacuationKey(const std::string& zone) { return "evacuate/" + zone; }

}
