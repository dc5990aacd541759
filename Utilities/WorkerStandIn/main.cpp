#include "WorkerHost.h"
#include <LibCore/Digest.h>
#include <LibCore/Logger.h>
#include <LibCore/StatusText.h>
#include <LibHttp/HttpServer.h>
#include <LibStandIn/JsonField.h>
#include <LibStandIn/StopSignals.h>
#include <LibStandIn/WorkerLayout.h>
#include <docopt/docopt.h>
#include <vector>

using namespace Bergamot;

static constexpr const char* usage = R"(Stand-in of the workers of one availability zone.

Usage:
  worker-stand-in [options]

Options:
  --zone=N              Zone number, from 1 on; workers listen on 127.ZONE.0.NUMBER [default: 1].
  --first=N             Number of the first worker [default: 1].
  --count=N             Number of workers [default: 4].
  --port=P              Port of every worker [default: 7000].
  --control-port=P      Port of the control interface on 127.0.0.1 [default: 7301].
  --cpu-millis=N        Processors of a worker, in thousandths [default: 32000].
  --memory-mb=N         Memory of a worker [default: 125000].
  --accelerators=N      Accelerators of a worker [default: 0].
  --slots=N             Quick requests at once [default: 8].
  --connections=N       Connections at once [default: 64].
  --service-ms=X        Median undisturbed service time, 0 for an immediate reply [default: 4].
  --seed=N              Seed of service times, interference and clocks [default: 1].
  --no-execution-records  Keeps no record of quick requests, for long benchmarks.
)";

/// Exclusive upper bound of the offsets of the worker clocks.
static constexpr uint64_t maxClockOffsetMs = 10'000'000;

static HttpResponse applyFault(std::vector<std::unique_ptr<WorkerHost>>& workers, std::string_view body)
{
    auto fault = parseJson(body);
    auto name = jsonText(fault, "worker");
    bool found = false;
    for (auto& worker : workers) {
        if (name != "*" && name != worker->id())
            continue;
        found = true;
        if (auto status = worker->setFault(fault); !status.ok())
            return { .status = 400,
                .body = nlohmann::json { { "error", "bad_fault" }, { "message", statusText(status) } }.dump() };
    }
    if (!found)
        return { .status = 400, .body = R"({"error":"bad_fault","message":"unknown worker"})" };
    return { .body = "{}" };
}

static HttpResponse handleControlRequest(std::vector<std::unique_ptr<WorkerHost>>& workers, const HttpRequest& request)
{
    if (request.path == "/fault" && request.method == "POST")
        return applyFault(workers, request.body);
    if (request.path == "/stats")
        return { .body = nlohmann::json { { "workers", workers.size() } }.dump() };
    if (request.path != "/records")
        return { .status = 404, .body = R"({"error":"not_found"})" };
    HttpResponse response { .contentType = "application/x-ndjson" };
    for (auto& worker : workers)
        response.body += worker->records();
    return response;
}

int main(int argc, char** argv)
{
    auto options = docopt::docopt(usage, { argv + 1, argv + argc });
    Logger::the().setProcessName("worker-stand-in");
    auto stopSignals = StopSignals::block();
    auto number = [&](const char* name) { return options[name].asLong(); };
    auto zone = static_cast<int>(number("--zone"));
    auto seed = static_cast<uint64_t>(number("--seed"));
    WorkerLayout layout { .port = static_cast<uint16_t>(number("--port")),
        .capacity = { number("--cpu-millis"), number("--memory-mb"), number("--accelerators") } };
    std::vector<std::unique_ptr<WorkerHost>> workers;
    std::vector<std::unique_ptr<HttpServer>> servers;
    TimerQueue timers;
    auto listen = [&](HttpServer::Options serverOptions) {
        auto server = HttpServer::create(std::move(serverOptions));
        if (server.ok())
            servers.push_back(std::move(*server));
        else
            logError("cannot_listen", { { "error", statusText(server.status()) } });
        return server.ok();
    };
    auto first = static_cast<int>(number("--first"));
    for (int n = first; n < first + number("--count"); ++n) {
        auto entry = layout.host(zone, n);
        WorkerModelOptions model { .id = entry.id,
            .zone = entry.zone,
            .capacity = entry.capacity,
            .slots = static_cast<int>(number("--slots")),
            .connections = static_cast<int>(number("--connections")),
            .seed = seed,
            .clockOffsetMs = static_cast<int64_t>(mixDigest(seed, digestOf(entry.id)) % maxClockOffsetMs),
            .serviceMedianMs = std::stod(options["--service-ms"].asString()),
            .keepExecutionRecords = !options["--no-execution-records"].asBool() };
        workers.push_back(std::make_unique<WorkerHost>(std::move(model), timers));
        auto* worker = workers.back().get();
        if (!listen({ .address = WorkerLayout::listenAddress(zone, n),
                .port = layout.port,
                .limits = { .maxRequestBytes = size_t { 1 } << 20 },
                .handler = [worker](HttpRequest request, HttpResponder responder) {
                    worker->handle(std::move(request), std::move(responder));
                } }))
            return 1;
    }
    if (!listen({ .port = static_cast<uint16_t>(number("--control-port")),
            .handler = [&](HttpRequest request, HttpResponder responder) {
                responder.send(handleControlRequest(workers, request));
            } }))
        return 1;
    logInfo("ready", { { "zone", zone }, { "workers", workers.size() } });
    stopSignals.wait();
    for (auto& server : servers)
        server->shutdown();
    return 0;
}
