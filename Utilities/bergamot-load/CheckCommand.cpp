#include "CheckCommand.h"
#include <LibCore/Logger.h>
#include <LibCore/StatusText.h>
#include <LibHttp/HttpClient.h>
#include <LibStandIn/RecordChecker.h>
#include <algorithm>
#include <charconv>
#include <fmt/format.h>
#include <fstream>
#include <iostream>
#include <nlohmann/json.hpp>
#include <sstream>

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
    auto reply = HttpClient().call({ .url = url + "/records", .timeout = recordsTimeout });
    if (!reply.ok())
        return reply.status();
    if (reply->status != 200)
        return absl::UnavailableError(fmt::format("{} answered {}", url, reply->status));
    return records.addLines(reply->body);
}

static absl::Status addZoneOut(RunRecords& records, const std::string& text)
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
    addAll(options.zonesOut, addZoneOut);
    if (!status.ok())
        return status;
    return records;
}

int runChecks(const CheckOptions& options)
{
    auto records = readRecords(options);
    if (!records.ok()) {
        logError("records_unreadable", { { "error", statusText(records.status()) } });
        return 2;
    }
    bool isClean = true;
    for (const auto& result : checkAllPromises(*records)) {
        bool isRequired = std::ranges::find(options.required, result.promise) != options.required.end();
        bool isVacuous = isRequired && result.examined == 0;
        isClean = isClean && result.violations.empty() && !isVacuous;
        auto shown = result.violations;
        shown.resize(std::min(shown.size(), maxShownViolations));
        if (isVacuous)
            shown.emplace_back("nothing was examined");
        std::cout << nlohmann::json { { "type", "summary" }, { "command", "check" }, { "promise", result.promise },
            { "examined", result.examined }, { "violations", result.violations.size() }, { "shown", shown } }
                  << "\n";
    }
    return isClean ? 0 : 1;
}

}
