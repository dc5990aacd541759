#include <LibStandIn/RequestChecks.h>
#include <algorithm>
#include <fmt/format.h>
#include <set>
#include <string_view>
#include <unordered_map>

namespace Bergamot {

using TriesByKey = std::unordered_map<std::string_view, std::vector<const SentRequest*>>;

static TriesByKey triesByKey(const RunRecords& records)
{
    TriesByKey tries;
    for (const auto& request : records.requests)
        tries[request.key].push_back(&request);
    return tries;
}

static bool isSuccess(const SentRequest& request) { return request.status >= 200 && request.status < 300; }

CheckResult checkReplies(const RunRecords& records)
{
    CheckResult result { .promise = "P5" };
    std::unordered_map<std::string_view, int> executions;
    for (const auto& execution : records.executions)
        ++executions[execution.key];
    for (const auto& request : records.requests) {
        if (!isSuccess(request))
            continue;
        ++result.examined;
        if (!request.isComplete || request.answerDigest != request.digest)
            result.violations.push_back(
                fmt::format("request {} through {} got a reply with digest '{}' instead of '{}'{}", request.key,
                    request.entry, request.answerDigest, request.digest, request.isComplete ? "" : ", incomplete"));
        if (!executions.contains(request.key))
            result.violations.push_back(
                fmt::format("request {} got a successful reply but has no execution", request.key));
    }
    auto tries = triesByKey(records);
    for (const auto& execution : records.executions) {
        ++result.examined;
        if (!tries.contains(execution.key))
            result.violations.push_back(fmt::format("execution {} on {} with key '{}' belongs to no request",
                execution.requestId, execution.worker, execution.key));
    }
    return result;
}

/// A rejected submission has no job id. Rejected jobs that did run are therefore detected by count: more jobs without a
/// known submission ran than there are submissions with an unknown outcome.
static void checkRejectedJobs(const RunRecords& records, CheckResult& result)
{
    std::set<std::string_view> known;
    int64_t unknown = 0;
    for (const auto& sent : records.jobs) {
        result.examined += sent.ran == "no" ? 1 : 0;
        if (!sent.job.empty())
            known.insert(sent.job);
        else if (sent.ran != "no")
            ++unknown;
    }
    std::set<std::string_view> unclaimed;
    for (const auto& task : records.tasks) {
        if (!task.isService && !known.contains(task.task.job))
            unclaimed.insert(task.task.job);
    }
    if (!records.jobs.empty() && static_cast<int64_t>(unclaimed.size()) > unknown)
        result.violations.push_back(
            fmt::format("{} jobs without a known submission ran, such as {}, but only {} submissions have an "
                        "unknown outcome",
                unclaimed.size(), *unclaimed.begin(), unknown));
}

CheckResult checkRejections(const RunRecords& records)
{
    CheckResult result { .promise = "P6" };
    result.examined = std::ranges::count(records.requests, "no", &SentRequest::ran);
    auto tries = triesByKey(records);
    for (const auto& execution : records.executions) {
        auto it = tries.find(execution.key);
        if (it == tries.end())
            continue;
        bool isExplained = std::ranges::any_of(
            it->second, [&](const auto* sent) { return sent->sentMs <= execution.startMs && sent->ran != "no"; });
        if (!isExplained)
            result.violations.push_back(fmt::format("request {} ran on {} at {} but no earlier try of it may have run",
                execution.key, execution.worker, execution.startMs));
    }
    checkRejectedJobs(records, result);
    return result;
}

CheckResult checkNonIdempotent(const RunRecords& records)
{
    CheckResult result { .promise = "P7" };
    std::unordered_map<std::string_view, bool> nonIdempotent;
    for (const auto& request : records.requests)
        nonIdempotent[request.key] |= request.nonIdempotent;
    std::unordered_map<std::string_view, int> executions;
    for (const auto& execution : records.executions) {
        auto it = nonIdempotent.find(execution.key);
        if (execution.nonIdempotent || (it != nonIdempotent.end() && it->second))
            ++executions[execution.key];
    }
    for (const auto& [key, count] : executions) {
        ++result.examined;
        if (count > 1)
            result.violations.push_back(fmt::format("non-idempotent request {} ran {} times", key, count));
    }
    return result;
}

}
