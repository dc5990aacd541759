#include <LibStandIn/OperationChecks.h>
#include <algorithm>
#include <fmt/format.h>
#include <map>
#include <string_view>
#include <unordered_map>

namespace Bergamot {

using ExecutionsByKey = std::unordered_multimap<std::string_view, const ExecutionRecord*>;

static bool ranDuring(const ExecutionsByKey& executions, const SentRequest& request)
{
    auto [begin, end] = executions.equal_range(request.key);
    return std::any_of(begin, end, [&](const auto& item) {
        return item.second->startMs >= request.sentMs && item.second->startMs <= request.answeredMs;
    });
}

CheckResult checkPlannedStops(const RunRecords& records)
{
    CheckResult result { .promise = "P9" };
    ExecutionsByKey executions;
    for (const auto& execution : records.executions)
        executions.emplace(execution.key, &execution);
    for (const auto& stop : records.stops) {
        if (!stop.isPlanned)
            continue;
        for (const auto& request : records.requests) {
            bool overlaps = request.sentMs <= stop.untilMs && request.answeredMs >= stop.atMs;
            if (request.entry != stop.entry || !overlaps)
                continue;
            ++result.examined;
            if (request.error == "cut_off" && (request.sentMs <= stop.atMs || ranDuring(executions, request)))
                result.violations.push_back(fmt::format("request {} sent at {} was cut off by the stop of {} at {}",
                    request.key, request.sentMs, stop.entry, stop.atMs));
        }
    }
    return result;
}

static bool isStopped(const RunRecords& records, const ConfigSeenEvent& seen)
{
    return std::ranges::any_of(records.stops, [&](const auto& stop) {
        return stop.entry == seen.entry && seen.atMs >= stop.atMs && seen.atMs <= stop.untilMs + configLimitMs;
    });
}

static int64_t versionDueAt(const RunRecords& records, int64_t atMs)
{
    int64_t due = 0;
    for (const auto& accepted : records.configsAccepted) {
        if (accepted.atMs + configLimitMs < atMs)
            due = std::max(due, accepted.version);
    }
    return due;
}

CheckResult checkConfiguration(const RunRecords& records)
{
    CheckResult result { .promise = "P10" };
    auto reports = records.configsSeen;
    std::ranges::stable_sort(reports, {}, &ConfigSeenEvent::atMs);
    std::map<std::string, int64_t> highest;
    for (const auto& seen : reports) {
        // A version that was reported around a stop is not checked, but later versions must not be older than it.
        auto before = highest[seen.entry];
        highest[seen.entry] = std::max(before, seen.version);
        if (isStopped(records, seen))
            continue;
        ++result.examined;
        auto due = versionDueAt(records, seen.atMs);
        if (seen.version < due)
            result.violations.push_back(
                fmt::format("{} reported configuration version {} at {} although version {} was due", seen.entry,
                    seen.version, seen.atMs, due));
        if (seen.version < before)
            result.violations.push_back(fmt::format(
                "{} reverted from configuration version {} to {} at {}", seen.entry, before, seen.version, seen.atMs));
    }
    return result;
}

}
