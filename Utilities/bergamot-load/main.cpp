#include "CheckCommand.h"
#include "ConfigWatch.h"
#include "JobLoad.h"
#include "QuickLoad.h"
#include <LibCore/Logger.h>
#include <LibCore/StatusText.h>
#include <LibHttp/HttpClient.h>
#include <docopt/docopt.h>
#include <fstream>
#include <iostream>
#include <sstream>

using namespace Bergamot;

static constexpr const char* usage = R"(Load generator and checker of recorded runs. Prints summaries as JSON lines.

Usage:
  bergamot-load quick --entry=URL... [--sent=FILE]... [options]
  bergamot-load jobs --entry=URL... [--sent=FILE]... [options]
  bergamot-load watch (--operator=URL --entry=URL)... --token-file=F [--sent=FILE]... [options]
  bergamot-load check [--records=URL]... [--sent=FILE]... [--zone-out-at=ZONE:MS]... [--require=P]... [--text]
  bergamot-load call METHOD URL [--body=JSON] [--token-file=F] [--timeout-ms=N]
  bergamot-load --help

Options:
  --seconds=N              Duration of the run in seconds [default: 10].
  --seed=N                 Random seed of arrivals, keys and jobs [default: 1].
  --sent=FILE              File to append records to (- is standard output); for check, the file to read.
  --rate=R                 Requests or jobs a second; with 0, quick uses --concurrency [default: 0].
  --concurrency=C          Callers that each wait for their previous reply [default: 8].
  --service=S              Service to call [default: token].
  --client=C               Client name.
  --team=T                 Team of the jobs [default: settlement].
  --kinds=LIST             Job kinds, separated by commas [default: settlement].
  --non-idempotent-share=F   Share of non-idempotent requests [default: 0].
  --retry                  Retries rejected and failed requests through other entry hosts with the same key.
  --deadline-ms=N          Deadline of a quick request in milliseconds [default: 1000].
  --body-bytes=N           Body size of a quick request in bytes [default: 64].
  --engines=N              Threads that send quick requests [default: 1].
  --direct                 The entries are workers, called without a daemon; gives the baseline latency.
  --urgent-share=F         Share of urgent jobs [default: 0.1].
  --cancel-share=F         Share of jobs that are cancelled [default: 0.05].
  --oversize-share=F       Share of jobs that fit on no worker [default: 0].
  --run-ms=N               Median run time of a job in milliseconds [default: 5000].
  --wait-seconds=N         Longest time to poll the jobs after the last submission [default: 0].
  --token-file=F           File with the operator token.
  --zone-out-at=ZONE:MS    CLOCK_BOOTTIME at which the zone was taken out of service, in milliseconds.
  --require=P              Fails unless the check of this promise examined at least one case.
  --text                   Prints the results as a table instead of JSON lines.
  --body=JSON              Request body of the call.
  --timeout-ms=N           Timeout of the call in milliseconds [default: 10000].
)";

using Arguments = std::map<std::string, docopt::value>;

static double number(const Arguments& arguments, const char* name) { return std::stod(arguments.at(name).asString()); }

static std::string text(const Arguments& arguments, const char* name, const std::string& fallback = {})
{
    const auto& value = arguments.at(name);
    return value ? value.asString() : fallback;
}

static std::vector<std::string> split(const std::string& list)
{
    std::vector<std::string> items;
    std::stringstream stream(list);
    for (std::string item; std::getline(stream, item, ',');)
        items.push_back(item);
    return items;
}

static nlohmann::json runQuick(const Arguments& arguments, RecordSink& sink)
{
    QuickLoad load({ .entries = arguments.at("--entry").asStringList(),
                       .service = text(arguments, "--service"),
                       .client = text(arguments, "--client", "kiosks"),
                       .rate = number(arguments, "--rate"),
                       .concurrency = static_cast<int>(number(arguments, "--concurrency")),
                       .seconds = static_cast<int>(number(arguments, "--seconds")),
                       .seed = static_cast<uint64_t>(arguments.at("--seed").asLong()),
                       .nonIdempotentShare = number(arguments, "--non-idempotent-share"),
                       .retries = arguments.at("--retry").asBool(),
                       .deadlineMs = arguments.at("--deadline-ms").asLong(),
                       .bodyBytes = static_cast<size_t>(arguments.at("--body-bytes").asLong()),
                       .engines = static_cast<int>(number(arguments, "--engines")),
                       .isDirect = arguments.at("--direct").asBool() },
        sink);
    return load.run();
}

static nlohmann::json runJobs(const Arguments& arguments, RecordSink& sink)
{
    auto rate = number(arguments, "--rate");
    JobLoad load({ .entries = arguments.at("--entry").asStringList(),
                     .client = text(arguments, "--client", "back-office"),
                     .team = text(arguments, "--team"),
                     .rate = rate > 0 ? rate : 1,
                     .seconds = static_cast<int>(number(arguments, "--seconds")),
                     .maxPollSeconds = static_cast<int>(number(arguments, "--wait-seconds")),
                     .mix = { .seed = static_cast<uint64_t>(arguments.at("--seed").asLong()),
                         .kinds = split(text(arguments, "--kinds")),
                         .urgentShare = number(arguments, "--urgent-share"),
                         .cancelShare = number(arguments, "--cancel-share"),
                         .oversizeShare = number(arguments, "--oversize-share"),
                         .medianRunMs = number(arguments, "--run-ms") } },
        sink);
    return load.run();
}

static std::string readToken(const Arguments& arguments)
{
    std::ifstream file(text(arguments, "--token-file"));
    std::string token;
    file >> token;
    return token;
}

static nlohmann::json runWatch(const Arguments& arguments, RecordSink& sink)
{
    return watchConfig({ .operators = arguments.at("--operator").asStringList(),
                           .entries = arguments.at("--entry").asStringList(),
                           .token = readToken(arguments),
                           .seconds = static_cast<int>(number(arguments, "--seconds")) },
        sink);
}

/// Sends one request and prints the body of the reply, so that scripts need no other HTTP client. Returns the exit
/// status: 0 for a 2xx reply, else 1.
static int runCall(const Arguments& arguments)
{
    HttpCall call { .method = text(arguments, "METHOD"),
        .url = text(arguments, "URL"),
        .body = text(arguments, "--body"),
        .timeout = Milliseconds(arguments.at("--timeout-ms").asLong()),
        .sendLimit = SendLimit::once() };
    if (auto token = readToken(arguments); !token.empty())
        call.headers.push_back({ "Authorization", "Bearer " + token });
    auto reply = HttpClient().call(call);
    if (!reply.ok()) {
        std::cerr << statusText(reply.status()) << "\n";
        return 1;
    }
    std::cout << reply->body << "\n";
    if (reply->status < 200 || reply->status >= 300) {
        std::cerr << call.method << " " << call.url << ": status " << reply->status << "\n";
        return 1;
    }
    return 0;
}

int main(int argc, char** argv)
{
    Logger::the().setProcessName("bergamot-load");
    auto arguments = docopt::docopt(usage, { argv + 1, argv + argc });
    if (arguments.at("check").asBool())
        return runChecks({ .recordUrls = arguments.at("--records").asStringList(),
            .sentFiles = arguments.at("--sent").asStringList(),
            .zoneRemovals = arguments.at("--zone-out-at").asStringList(),
            .requiredPromises = arguments.at("--require").asStringList(),
            .printsTable = arguments.at("--text").asBool() });
    if (arguments.at("call").asBool())
        return runCall(arguments);
    auto names = arguments.at("--sent").asStringList();
    auto sink = RecordSink::create(names.empty() ? "" : names.back());
    if (!sink.ok()) {
        logError("no_record_file", { { "error", statusText(sink.status()) } });
        return 2;
    }
    auto summary = arguments.at("quick").asBool() ? runQuick(arguments, **sink)
        : arguments.at("jobs").asBool()           ? runJobs(arguments, **sink)
                                                  : runWatch(arguments, **sink);
    std::cout << summary << "\n";
    return 0;
}
