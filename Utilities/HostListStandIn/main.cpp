#include <LibCore/Logger.h>
#include <LibCore/StatusText.h>
#include <LibCore/SteadyClock.h>
#include <LibHttp/HttpServer.h>
#include <LibStandIn/HostList.h>
#include <LibStandIn/JsonField.h>
#include <LibStandIn/ProtocolJson.h>
#include <LibStandIn/StopSignals.h>
#include <LibStandIn/WorkerLayout.h>
#include <array>
#include <docopt/docopt.h>
#include <mutex>
#include <optional>

using namespace Bergamot;

static constexpr const char* usage = R"(Stand-in of the platform's host list.

Usage:
  host-list-stand-in [options]

Options:
  --address=A            Listen address [default: 127.0.0.1].
  --port=P               Port [default: 7200].
  --zones=N              Number of zones [default: 3].
  --workers-per-zone=N   Workers in each zone [default: 4].
  --worker-port=P        Port of every worker [default: 7000].
  --cpu-millis=N         Processors of a worker, in thousandths [default: 32000].
  --memory-mb=N          Memory of a worker [default: 125000].
  --accelerators=N       Accelerators of a worker [default: 0].
  --lag-ms=N             A change is shown after this time [default: 500].
)";

static constexpr std::array<std::string_view, 3> stateNames { "live", "leaving", "gone" };

static std::optional<HostState> parseState(std::string_view name)
{
    for (size_t i = 0; i < stateNames.size(); ++i) {
        if (stateNames.at(i) == name)
            return static_cast<HostState>(i);
    }
    return std::nullopt;
}

static HttpResponse applyFault(HostList& hosts, std::string_view body, Instant now)
{
    auto fault = parseJson(body);
    auto state = parseState(jsonText(fault, "state"));
    if (!state)
        return { .status = 400, .body = R"({"error":"bad_fault","message":"state is live, leaving or gone"})" };
    auto zone = jsonText(fault, "zone");
    auto status = zone.empty() ? hosts.setHostState(jsonText(fault, "host"), *state, now)
                               : hosts.setZoneState(zone, *state, now);
    if (!status.ok())
        return { .status = 400, .body = R"({"error":"bad_fault","message":"unknown host or zone"})" };
    return { .body = "{}" };
}

static std::string recordLines(const HostList& hosts)
{
    std::string lines;
    for (const auto& change : hosts.changes()) {
        nlohmann::json line { { "type", "host_state" }, { "worker", change.host },
            { "state", stateNames.at(static_cast<size_t>(change.state)) },
            { "shown_at_ms", change.visibleFrom.time_since_epoch().count() } };
        lines += line.dump() + "\n";
    }
    return lines;
}

static HttpResponse handleRequest(HostList& hosts, const HttpRequest& request, Instant now)
{
    HttpResponse response;
    if (request.path == "/v1/hosts" && request.method == "GET") {
        auto list = nlohmann::json::array();
        for (const auto& host : hosts.visibleHosts(now))
            list.push_back(toJson(host));
        response.body = list.dump();
    } else if (request.path == "/fault" && request.method == "POST") {
        response = applyFault(hosts, request.body, now);
    } else if (request.path == "/records") {
        response = { .contentType = "application/x-ndjson", .body = recordLines(hosts) };
    } else if (request.path == "/stats") {
        response.body = nlohmann::json {
            { "hosts", hosts.visibleHosts(now).size() }, { "changes", hosts.changes().size() }
        }.dump();
    } else {
        response = { .status = 404, .body = R"({"error":"not_found"})" };
    }
    auto id = headerValue(request.headers, "X-Request-Id");
    if (!id.empty())
        response.headers.push_back({ "X-Request-Id", std::string(id) });
    return response;
}

int main(int argc, char** argv)
{
    auto options = docopt::docopt(usage, { argv + 1, argv + argc });
    Logger::the().setProcessName("host-list-stand-in");
    auto stopSignals = StopSignals::block();
    WorkerLayout layout { .port = static_cast<uint16_t>(options["--worker-port"].asLong()),
        .capacity
        = { options["--cpu-millis"].asLong(), options["--memory-mb"].asLong(), options["--accelerators"].asLong() } };
    std::vector<HostEntry> entries;
    for (int zone = 1; zone <= options["--zones"].asLong(); ++zone) {
        for (int number = 1; number <= options["--workers-per-zone"].asLong(); ++number)
            entries.push_back(layout.host(zone, number));
    }
    std::mutex mutex;
    SteadyClock clock;
    HostList hosts(std::move(entries), Milliseconds(options["--lag-ms"].asLong()));
    auto server = HttpServer::create({ .address = options["--address"].asString(),
        .port = static_cast<uint16_t>(options["--port"].asLong()),
        .handler = [&](HttpRequest request, HttpResponder responder) {
            std::lock_guard lock(mutex);
            responder.send(handleRequest(hosts, request, clock.now()));
        } });
    if (!server.ok()) {
        logError("cannot_listen", { { "error", statusText(server.status()) } });
        return 1;
    }
    logInfo("ready", { { "port", (*server)->port() } });
    stopSignals.wait();
    (*server)->shutdown();
    return 0;
}
