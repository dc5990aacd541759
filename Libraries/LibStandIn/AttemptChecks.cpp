#include <LibStandIn/AttemptChecks.h>
#include <algorithm>
#include <fmt/format.h>
#include <limits>
#include <map>
#include <set>

namespace Bergamot {

using Attempts = std::vector<const TaskRecord*>;

/// Groups the task records by job, ordered by attempt number and start time.
static std::map<JobId, Attempts> attemptsByJob(const RunRecords& records)
{
    std::map<JobId, Attempts> jobs;
    for (const auto& task : records.tasks)
        jobs[task.task.job].push_back(&task);
    for (auto& [job, attempts] : jobs) {
        std::ranges::sort(attempts, [](const auto* a, const auto* b) {
            return std::pair(a->task.attempt, a->startMs) < std::pair(b->task.attempt, b->startMs);
        });
    }
    return jobs;
}

static int64_t endOf(const TaskRecord& task) { return task.endMs.value_or(std::numeric_limits<int64_t>::max()); }

static bool overlap(const TaskRecord& a, const TaskRecord& b) { return a.startMs < endOf(b) && b.startMs < endOf(a); }

static void checkJobRuns(const JobId& job, const Attempts& attempts, CheckResult& result)
{
    int completed = 0;
    for (size_t i = 0; i < attempts.size(); ++i) {
        const auto& a = *attempts[i];
        ++result.examined;
        completed += a.outcome == "completed" ? 1 : 0;
        for (size_t k = i + 1; k < attempts.size(); ++k) {
            const auto& b = *attempts[k];
            if (a.task == b.task)
                result.violations.push_back(
                    fmt::format("job {} attempt {} started on {} and on {}", job, a.task.attempt, a.worker, b.worker));
            else if (overlap(a, b) || b.startMs < a.startMs)
                result.violations.push_back(
                    fmt::format("job {} attempts {} on {} [{}, {}] and {} on {} [{}, {}] are not consecutive", job,
                        a.task.attempt, a.worker, a.startMs, a.endMs.value_or(-1), b.task.attempt, b.worker, b.startMs,
                        b.endMs.value_or(-1)));
        }
    }
    if (completed > 1)
        result.violations.push_back(fmt::format("job {} completed {} times", job, completed));
}

CheckResult checkOneAttemptAtATime(const RunRecords& records)
{
    CheckResult result { .promise = "P2" };
    for (const auto& [job, attempts] : attemptsByJob(records))
        checkJobRuns(job, attempts, result);
    return result;
}

static void checkJobResumption(const JobId& job, const Attempts& attempts, CheckResult& result)
{
    std::string recorded;
    std::set<std::string> possible;
    for (const auto* attempt : attempts) {
        ++result.examined;
        if (attempt->resumedFrom != recorded && !possible.contains(attempt->resumedFrom))
            result.violations.push_back(fmt::format("job {} attempt {} resumed from checkpoint '{}' instead of '{}'",
                job, attempt->task.attempt, attempt->resumedFrom, recorded));
        const auto& latest = attempt->checkpoint.empty() ? attempt->resumedFrom : attempt->checkpoint;
        bool isEvicted = attempt->outcome == "evicted" || attempt->outcome == "lost";
        if (isEvicted && attempt->acknowledged && attempt->endMs) {
            recorded = latest;
            possible.clear();
        } else {
            possible.insert(latest);
        }
        // After a failed attempt, or one that was stopped without a checkpoint, the next attempt may start from the
        // beginning.
        if (attempt->outcome == "failed" || attempt->outcome == "stopped")
            possible.insert("");
    }
}

static void checkOpenJobs(const RunRecords& records, const std::map<JobId, Attempts>& jobs, CheckResult& result)
{
    for (const auto& sent : records.jobs) {
        auto it = jobs.find(sent.job);
        bool isOpen = sent.finalState == "placed" || sent.finalState == "pending" || sent.finalState == "revoking";
        if (!isOpen || it == jobs.end())
            continue;
        const auto& last = *it->second.back();
        ++result.examined;
        if (sent.stateMs - endOf(last) > resumptionLimitMs)
            result.violations.push_back(
                fmt::format("job {} is {} although its last attempt ended as {} on {} {} ms before", sent.job,
                    sent.finalState, last.outcome, last.worker, sent.stateMs - endOf(last)));
    }
}

CheckResult checkResumption(const RunRecords& records)
{
    CheckResult result { .promise = "P3" };
    auto jobs = attemptsByJob(records);
    for (const auto& [job, attempts] : jobs)
        checkJobResumption(job, attempts, result);
    for (const auto& sent : records.jobs) {
        auto it = jobs.find(sent.job);
        if (sent.job.empty() || sent.finalState.empty())
            continue;
        ++result.examined;
        bool completed = it != jobs.end()
            && std::ranges::any_of(it->second, [](const auto* task) { return task->outcome == "completed"; });
        if (sent.finalState == "completed" && !completed)
            result.violations.push_back(
                fmt::format("job {} is reported as completed but completed on no worker", sent.job));
    }
    checkOpenJobs(records, jobs, result);
    return result;
}

}
