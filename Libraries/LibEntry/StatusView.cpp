#include <LibEntry/EntryNode.h>
#include <LibEntry/StatusView.h>
#include <algorithm>
#include <fmt/format.h>
#include <map>
#include <nlohmann/json.hpp>

namespace Bergamot {

using Json = nlohmann::json;

static Json zonesJson(const StateImage& image)
{
    struct Count {
        int64_t workers { 0 };
        int64_t usable { 0 };
    };
    std::map<ZoneId, Count> zones;
    for (const auto& zone : image.zonesOut)
        zones[zone];
    for (const auto& [id, worker] : image.workers) {
        auto& count = zones[worker.spec.zone];
        ++count.workers;
        bool isUsable = !worker.spec.leaving && !worker.spec.gone && !worker.draining && !worker.quarantined
            && !image.zonesOut.contains(worker.spec.zone);
        count.usable += isUsable ? 1 : 0;
    }
    auto json = Json::array();
    for (const auto& [zone, count] : zones) {
        json.push_back({ { "zone", zone }, { "out", image.zonesOut.contains(zone) }, { "workers", count.workers },
            { "usable", count.usable } });
    }
    return json;
}

static Json workersSummary(const StateImage& image, size_t unreachable)
{
    int64_t usable = 0;
    int64_t leaving = 0;
    int64_t draining = 0;
    int64_t quarantined = 0;
    for (const auto& [id, worker] : image.workers) {
        leaving += worker.spec.leaving || worker.spec.gone ? 1 : 0;
        draining += worker.draining ? 1 : 0;
        quarantined += worker.quarantined ? 1 : 0;
        bool isUsable = !worker.spec.leaving && !worker.spec.gone && !worker.draining && !worker.quarantined
            && !image.zonesOut.contains(worker.spec.zone);
        usable += isUsable ? 1 : 0;
    }
    return { { "total", image.workers.size() }, { "usable", usable }, { "leaving", leaving }, { "draining", draining },
        { "quarantined", quarantined }, { "unreachable", unreachable } };
}

static Json jobsSummary(const StateImage& image)
{
    std::map<JobPhase, int64_t> counts;
    for (const auto& [id, job] : image.jobs)
        ++counts[job.phase];
    return { { "pending", counts[JobPhase::Pending] }, { "placed", counts[JobPhase::Placed] },
        { "revoking", counts[JobPhase::Revoking] } };
}

static Json membersJson(EntryNode& node, Instant now)
{
    auto members = Json::array();
    const auto& settings = node.options().settings;
    for (const auto& [id, member] : node.region().state().image().members) {
        Json json { { "member", id }, { "region", settings.region }, { "zone", member.spec.zone },
            { "caller_address", member.spec.callerAddress }, { "voter", member.voter },
            { "live", node.membership().renewalAuthority().isReachable(id, now) } };
        auto heartbeat = node.membership().heartbeats().find(id);
        if (id == settings.member) {
            json["config_version"] = node.activeConfig().version;
            json["position"] = node.region().state().position();
            json["log_age_ms"] = (now - node.membership().renewalAuthority().lastLogRead()).count();
            json["heartbeat_age_ms"] = 0;
        } else if (heartbeat != node.membership().heartbeats().end()) {
            json["config_version"] = heartbeat->second.configVersion;
            json["position"] = heartbeat->second.position;
            json["log_age_ms"] = heartbeat->second.logAgeMs;
            auto it = node.membership().renewalAuthority().peers().find(id);
            json["heartbeat_age_ms"] = it == node.membership().renewalAuthority().peers().end()
                ? -1
                : (now - it->second.confirmedAt).count();
        }
        members.push_back(std::move(json));
    }
    return members;
}

static Json problemsJson(EntryNode& node, Instant now)
{
    auto problems = Json::array();
    const auto& image = node.region().state().image();
    if (!node.membership().renewalAuthority().hasFreshLog(now))
        problems.push_back("this entry host has not read the log for 3 s");
    if (node.region().appends().isStalled(now))
        problems.push_back("the log does not take appends");
    if (!node.config())
        problems.push_back("no configuration is in force");
    for (const auto& [id, worker] : image.workers) {
        if (worker.draining && !worker.jobs.empty())
            problems.push_back(fmt::format("host {} is draining and still runs {} tasks", id, worker.jobs.size()));
        if (worker.quarantined)
            problems.push_back(fmt::format("host {} is quarantined because tasks fail on it", id));
    }
    for (const auto& id : node.dispatcher().unreachableWorkers(now))
        problems.push_back(fmt::format("host {} does not answer", id));
    return problems;
}

Json statusJson(EntryNode& node, Instant now, Instant startedAt)
{
    const auto& image = node.region().state().image();
    const auto& settings = node.options().settings;
    const auto& config = node.activeConfig();
    auto unreachable = node.dispatcher().unreachableWorkers(now).size();
    return {
        { "member", settings.member },
        { "region", settings.region },
        { "zone", settings.zone },
        { "incarnation", node.options().incarnation },
        { "uptime_ms", (now - startedAt).count() },
        { "ready", node.isReady(now) },
        { "authority", node.membership().mayRenew(now) },
        { "leader",
            { { "member", image.leader.member }, { "epoch", image.leader.epoch },
                { "keepalive_age_ms", image.logTimeMs - image.leader.lastRecordAtMs } } },
        { "log",
            { { "reachable", node.membership().renewalAuthority().hasFreshLog(now) },
                { "position", node.region().state().position() },
                { "age_ms", (now - node.membership().renewalAuthority().lastLogRead()).count() } } },
        { "config",
            { { "version", config.version }, { "author", config.author },
                { "time_ms", node.configStream().state().image().logTimeMs } } },
        { "members", membersJson(node, now) },
        { "zones", zonesJson(image) },
        { "workers", workersSummary(image, unreachable) },
        { "jobs", jobsSummary(image) },
        { "problems", problemsJson(node, now) },
    };
}

static Json sizeJson(const Resources& size)
{
    return { { "cpu_millis", size.cpuMillis }, { "memory_mb", size.memoryMb }, { "accelerators", size.accelerators } };
}

Json stateJson(EntryNode& node, Instant now)
{
    const auto& image = node.region().state().image();
    auto unreachable = node.dispatcher().unreachableWorkers(now);
    auto workers = Json::array();
    for (const auto& [id, worker] : image.workers) {
        std::string_view state = worker.spec.gone ? "gone" : worker.spec.leaving ? "leaving" : "live";
        workers.push_back({ { "worker", id }, { "zone", worker.spec.zone }, { "rack", worker.spec.rack },
            { "address", worker.spec.address }, { "state", state }, { "draining", worker.draining },
            { "quarantined", worker.quarantined },
            { "reachable", std::ranges::find(unreachable, id) == unreachable.end() }, { "tasks", worker.jobs.size() },
            { "capacity", sizeJson(worker.spec.capacity) }, { "committed", sizeJson(worker.committed) } });
    }
    return {
        { "position", node.region().state().position() },
        { "zones", zonesJson(image) },
        { "workers", workers },
    };
}

}
