#include "LogServer.h"
#include <LibCore/Logger.h>
#include <LibCore/StatusText.h>
#include <LibHttp/HttpServer.h>
#include <LibStandIn/StopSignals.h>
#include <docopt/docopt.h>

using namespace Bergamot;

static constexpr const char* usage = R"(Stand-in of the platform's append-only log.

Usage:
  log-stand-in [options]

Options:
  --address=A              Listen address [default: 127.0.0.1].
  --port=P                 Port [default: 7100].
  --appends-per-second=N   Limit of appends of all callers, 0 for none [default: 500].
  --max-age-ms=N           Entries older than this are removed, 0 for never [default: 0].
  --max-entries=N          Entries kept in each stream, 0 for all [default: 0].
  --threads=N              Server threads [default: 2].
)";

int main(int argc, char** argv)
{
    auto options = docopt::docopt(usage, { argv + 1, argv + argc });
    Logger::the().setProcessName("log-stand-in");
    auto stopSignals = StopSignals::block();
    auto wallMs = std::chrono::duration_cast<Milliseconds>(std::chrono::system_clock::now().time_since_epoch()).count();
    // Declared before the log and thus destroyed after it, because the log's pending calls hold responders of the
    // server.
    absl::StatusOr<std::unique_ptr<HttpServer>> server = absl::UnknownError("not started");
    LogServer log({ .maxAge = Milliseconds(options["--max-age-ms"].asLong()),
        .maxEntriesPerStream = static_cast<size_t>(options["--max-entries"].asLong()),
        .appendsPerSecond = static_cast<uint32_t>(options["--appends-per-second"].asLong()),
        .clockOffsetMs = wallMs - SteadyClock().now().time_since_epoch().count() });
    server = HttpServer::create({ .address = options["--address"].asString(),
        .port = static_cast<uint16_t>(options["--port"].asLong()),
        .threads = static_cast<int>(options["--threads"].asLong()),
        .limits = { .maxRequestBytes = LogStore::maxRecordBytes + size_t { 64 } * 1024 },
        .handler = [&](HttpRequest request, HttpResponder responder) {
            log.handle(std::move(request), std::move(responder));
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
