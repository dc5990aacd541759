#include "CheckCommand.h"
#include <LibCore/Logger.h>
#include <LibCore/StatusText.h>
#include <LibHttp/HttpClient.h>
#include <LibStandIn/RecordChecker.h>
#include <algorithm>
#include <array>
#include <charconv>
#include <fmt/format.h>
#include <fstream>
#include <iostream>
#include <map>
#include <nlohmann/json.hpp>
#include <sstream>
#include <string_view>

namespace Bergamot {

static constexpr size_t maxShownViolations = 20;
static constexpr Milliseconds recordsTimeout { 30'000 };

static absl::Status addFile(RunRecords& records, const std::string& name)
{
    std::stringstream text;
    if (name == "-") {
        text << std::cin.rdbuf();
        return records.addLines(text.str());
    }
    std::ifstream file(name);
    if (!file)
        return absl::UnavailableError(fmt::format("cannot open {}", name));
    text << file.rdbuf();
    return records.addLines(text.str());
}

static absl::Status addUrl(RunRecords& records, const std::string& url)
{
    auto reply = HttpClient().call(
        { .url = url + "/records", .timeout = recordsTimeout, .sendLimit = SendLimit::unlimited() });
    if (!reply.ok())
        return reply.status();
    if (reply->status != 200)
        return absl::UnavailableError(fmt::format("GET {}/records returned status {}", url, reply->status));
    return records.addLines(reply->body);
}

static absl::Status addZoneRemoval(RunRecords& records, const std::string& text)
{
    auto colon = text.find(':');
    int64_t atMs = 0;
    const auto* end = text.data() + text.size();
    if (colon == std::string::npos || std::from_chars(text.data() + colon + 1, end, atMs).ptr != end)
        return absl::InvalidArgumentError(fmt::format("{} is not ZONE:MILLISECONDS", text));
    records.zones.push_back({ text.substr(0, colon), true, atMs });
    return absl::OkStatus();
}

static absl::StatusOr<RunRecords> readRecords(const CheckOptions& options)
{
    RunRecords records;
    absl::Status status;
    auto addAll = [&](const auto& names, auto add) {
        for (const auto& name : names)
            status.Update(add(records, name));
    };
    addAll(options.recordUrls, addUrl);
    addAll(options.sentFiles, addFile);
    addAll(options.zoneRemovals, addZoneRemoval);
    if (!status.ok())
        return status;
    return records;
}

static std::string_view promiseTitle(std::string_view promise)
{
    static constexpr std::array<std::string_view, 10> titles {
        "no worker is committed beyond its capacity",
        "no job runs in two places at once",
        "evicted work resumes once, from its checkpoint",
        "no start in a zone 3 s after it was taken out",
        "each caller gets the whole reply to its request",
        "a request reported as not run did not run",
        "a non-idempotent request runs at most once",
        "a leaving worker gets no work after 3 s",
        "a planned stop interrupts no request",
        "an accepted configuration is applied within 5 s",
    };
    size_t number = 0;
    std::from_chars(promise.data() + 1, promise.data() + promise.size(), number);
    return number >= 1 && number <= titles.size() ? titles.at(number - 1) : promise;
}

/// Counts request attempts by their reported execution, executions, jobs, and task attempts by outcome.
static nlohmann::json countTotals(const RunRecords& records)
{
    auto countRan = [&](std::string_view ran) { return std::ranges::count(records.requests, ran, &SentRequest::ran); };
    std::map<std::string, int64_t> attempts;
    for (const auto& task : records.tasks)
        ++attempts[task.outcome.empty() ? "running" : task.outcome];
    return { { "request_tries", records.requests.size() }, { "answered", countRan("yes") },
        { "refused", countRan("no") }, { "unknown", countRan("unknown") },
        { "requests_run", records.executions.size() }, { "jobs", records.jobs.size() }, { "attempts", attempts } };
}

static void print(const CheckResult& result, bool printsTable, std::vector<std::string> shown)
{
    if (!printsTable) {
        std::cout << nlohmann::json { { "type", "summary" }, { "command", "check" }, { "promise", result.promise },
            { "examined", result.examined }, { "violations", result.violations.size() }, { "shown", shown } }
                  << "\n";
        return;
    }
    std::cout << fmt::format("{:<4}{:<52}examined {:>7}  violations {:>3}\n", result.promise,
        promiseTitle(result.promise), result.examined, result.violations.size());
    for (const auto& line : shown)
        std::cout << "      " << line << "\n";
}

int runChecks(const CheckOptions& options)
{
    auto records = readRecords(options);
    if (!records.ok()) {
        logError("records_unreadable", { { "error", statusText(records.status()) } });
        return 2;
    }
    auto totals = countTotals(*records);
    if (options.printsTable) {
        for (const auto& [name, value] : totals.items())
            std::cout << fmt::format("{:<16}{}\n", name, value.dump());
    } else {
        totals["type"] = "summary";
        totals["command"] = "totals";
        std::cout << totals << "\n";
    }
    bool hasPassed = true;
    for (const auto& result : checkAllPromises(*records)) {
        bool isRequired = std::ranges::find(options.requiredPromises, result.promise) != options.requiredPromises.end();
        bool isVacuous = isRequired && result.examined == 0;
        hasPassed = hasPassed && result.violations.empty() && !isVacuous;
        auto shown = result.violations;
        shown.resize(std::min(shown.size(), maxShownViolations));
        if (isVacuous)
            shown.emplace_back("the check examined no case");
        print(result, options.printsTable, std::move(shown));
    }
    return hasPassed ? 0 : 1;
}

}
