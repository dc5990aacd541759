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

static constexpr const char* usage
    = R"(Load and experiment tool. Prints summaries as JSON lines; --sent adds records to a file, - is standard output.

Usage:
  bergamot-load quick --entry=URL... [--sent=FILE]... [options]
  bergamot-load jobs --entry=URL... [--sent=FILE]... [options]
  bergamot-load watch (--operator=URL --entry=URL)... --token-file=F [--sent=FILE]... [options]
  bergamot-load check [--records=URL]... [--sent=FILE]... [--zone-out-at=ZONE:MS]... [--require=P]... [--text]
  bergamot-load call METHOD URL [--body=JSON] [--token-file=F] [--timeout-ms=N]
  bergamot-load --help

Options:
  --seconds=N              Length of the run [default: 10].
  --seed=N                 Seed of arrivals, keys and jobs [default: 1].
  --sent=FILE              File to which records of what was sent are added.
  --rate=R                 Requests or jobs a second, for quick 0 uses --concurrency [default: 0].
  --concurrency=C          Callers that each wait for their answer [default: 8].
  --service=S              Service to call [default: token].
  --client=C               Client name.
  --team=T                 Team of the jobs [default: settlement].
  --kinds=LIST             Job kinds, separated by commas [default: settlement].
  --non-idempotent-share=F   Share of non-idempotent requests [default: 0].
  --retry                  Repeats refused and failed requests through other entry hosts with the same key.
  --deadline-ms=N          Deadline of a quick request [default: 1000].
  --body-bytes=N           Size of a quick request [default: 64].
  --engines=N              Threads that send quick requests [default: 1].
  --direct                 The entries are workers, called without a daemon; gives the latency to compare with.
  --urgent-share=F         Share of urgent jobs [default: 0.1].
  --cancel-share=F         Share of jobs that are cancelled [default: 0.05].
  --oversize-share=F       Share of jobs that fit nowhere [default: 0].
  --run-ms=N               Median run time of a job [default: 5000].
  --wait-seconds=N         Follows the jobs for up to this time after the last one [default: 0].
  --token-file=F           File with the operators' token.
  --zone-out-at=ZONE:MS    The zone was taken out at this CLOCK_BOOTTIME.
  --require=P              The check of this promise must have examined something.
  --text                   Prints the checks as a table for people.
  --body=JSON              Body of the call.
  --timeout-ms=N           Time limit of the call [default: 10000].
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
                     .waitSeconds = static_cast<int>(number(arguments, "--wait-seconds")),
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

/// Prints the body of the reply; the exit status is 0 for a success, so that scripts need no other HTTP client.
static int runCall(const Arguments& arguments)
{
    HttpCall call { .method = text(arguments, "METHOD"),
        .url = text(arguments, "URL"),
        .body = text(arguments, "--body"),
        .timeout = Milliseconds(arguments.at("--timeout-ms").asLong()) };
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
            .zonesOut = arguments.at("--zone-out-at").asStringList(),
            .required = arguments.at("--require").asStringList(),
            .isText = arguments.at("--text").asBool() });
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
