#include <LibAdmin/JobLogAnalysis.h>
#include <algorithm>
#include <fmt/format.h>
#include <set>
#include <string_view>
#include <utility>

namespace Bergamot {

/// A failed store call that precedes a rejection by less than this is reported as the cause of the rejection.
static constexpr int64_t rejectionWindowMs = 1500;

/// A read delay above this is reported as a cause. The leader usually reads a job within some tens of milliseconds.
static constexpr int64_t slowReadMs = 500;

JobLogAnalysis::JobLogAnalysis(std::string job, std::vector<LogLine> lines)
    : m_job(std::move(job))
    , m_lines(std::move(lines))
{
    std::ranges::stable_sort(m_lines, {}, &LogLine::atMs);
    std::ranges::copy_if(
        m_lines, std::back_inserter(m_relevantLines), [&](const LogLine& it) { return it.field("job") == m_job; });
    explainSubmission();
    explainReadDelay();
    explainOutcome();
    addLeadershipChanges();
}

std::vector<const LogLine*> JobLogAnalysis::linesOf(const std::string& event) const
{
    std::vector<const LogLine*> result;
    for (const auto& line : m_lines) {
        if (line.event == event && line.field("job") == m_job)
            result.push_back(&line);
    }
    return result;
}

void JobLogAnalysis::explainSubmission()
{
    auto submissions = linesOf("job_submitted");
    if (submissions.empty()) {
        m_missing.emplace_back("job_submitted: the log of the host that took the request is not here, or the line was "
                               "left out (look for suppressed= and dropped=)");
        return;
    }
    for (const auto* submission : submissions) {
        auto result = submission->field("result");
        if (result == "accepted")
            continue;
        auto cause = std::ranges::find_if(m_lines.rbegin(), m_lines.rend(), [&](const LogLine& it) {
            return it.event == "job_append_failed" && it.process == submission->process && it.atMs <= submission->atMs
                && submission->atMs - it.atMs < rejectionWindowMs;
        });
        if (cause == m_lines.rend())
            m_missing.push_back(
                fmt::format("{}: no job_append_failed line shows why the answer was {}", submission->process, result));
        else
            m_causes.push_back(fmt::format("{} answered {} because its store call failed: {}", submission->process,
                result, cause->field("error")));
    }
}

void JobLogAnalysis::explainReadDelay()
{
    auto reads = linesOf("job_known");
    bool accepted = std::ranges::any_of(
        linesOf("job_submitted"), [](const auto* it) { return it->field("result") == "accepted"; });
    if (reads.empty()) {
        if (accepted)
            m_missing.emplace_back("job_known: the log of the leader is not here, or no leader has read the job");
        return;
    }
    auto ageMs = reads.front()->number("age_ms");
    if (ageMs > slowReadMs)
        m_causes.push_back(fmt::format(
            "{} ms passed from the acceptance until leader {} had read the job (the lines leader_changed and "
            "leader_settled say who led meanwhile)",
            ageMs, reads.front()->process));
}

void JobLogAnalysis::explainOutcome()
{
    auto ends = linesOf("job_ended");
    if (ends.empty()) {
        if (!linesOf("job_known").empty())
            m_missing.emplace_back("job_ended: the job had not ended, or the log of a later leader is not here");
        return;
    }
    const auto& end = *ends.back();
    if (end.field("state") == "failed") {
        explainFailedRuns(end);
        return explainCrashes(end);
    }
    if (end.field("state") == "completed" && end.number("late_ms") > 0)
        explainDelay(end);
}

void JobLogAnalysis::explainDelay(const LogLine& end)
{
    auto text = end.field("steps_ms");
    if (text.empty()) {
        m_missing.push_back(fmt::format(
            "steps_ms: an earlier leader saw the steps of this job end, {} ms late", end.number("late_ms")));
        return;
    }
    std::string_view steps = text;
    int64_t waited = 0;
    int64_t ran = 0;
    auto consumeNumberAfter = [&](std::string_view name) {
        auto at = steps.find(name);
        if (at == std::string_view::npos)
            return int64_t { -1 };
        steps.remove_prefix(at + name.size());
        return static_cast<int64_t>(std::strtoll(steps.data(), nullptr, 10));
    };
    for (int64_t wait = consumeNumberAfter("wait="); wait >= 0; wait = consumeNumberAfter("wait=")) {
        waited += wait;
        ran += std::max<int64_t>(0, consumeNumberAfter("run="));
    }
    m_causes.push_back(
        fmt::format("the job was {} ms late: its steps waited {} ms for workers and ran for {} ms, with {} "
                    "failed runs",
            end.number("late_ms"), waited, ran, end.number("failed_runs")));
}

void JobLogAnalysis::explainFailedRuns(const LogLine& end)
{
    std::set<std::string> workers;
    // A worker reports the end of a run until the report is acknowledged, so one run can have several lines.
    std::set<std::string> runs;
    for (const auto* run : linesOf("run_ended")) {
        if (run->field("outcome") != "failed")
            continue;
        runs.insert(fmt::format("{}.{}.{}", run->field("step"), run->field("index"), run->field("run")));
        workers.insert(run->field("worker"));
    }
    auto failed = static_cast<int64_t>(runs.size());
    if (failed < end.number("failed_runs"))
        m_missing.push_back(fmt::format("run_ended: {} of {} failed runs are not in these logs",
            end.number("failed_runs") - failed, end.number("failed_runs")));
    if (failed > 0)
        m_causes.push_back(fmt::format("a task used up its attempts: {} runs failed on {} worker{}{}", failed,
            workers.size(), workers.size() == 1 ? "" : "s",
            workers.size() == 1 ? ", so the worker may be at fault" : ", so the task is likely at fault"));
}

/// Names the workers that crashed under the job, if it was given up because of them. A leader that took over has no
/// run_crashed lines of the crashes before, so the summary in the line of the end counts.
void JobLogAnalysis::explainCrashes(const LogLine& end)
{
    auto crashes = end.field("crashes");
    bool isGivenUp = std::ranges::any_of(
        linesOf("run_crashed"), [](const LogLine* it) { return it->field("gives_up") == "true"; });
    if (crashes.empty() || (!isGivenUp && end.number("failed_runs") >= end.number("max_attempts")))
        return;
    m_causes.push_back(fmt::format("workers crashed under runs of a task, so the job was given up "
                                   "(occurrence.step.index, run and worker of each; isolated: no other run on the "
                                   "worker was suspected): {}",
        crashes));
}

/// Adds the leadership changes between the first and the last line of the job.
void JobLogAnalysis::addLeadershipChanges()
{
    if (m_relevantLines.empty())
        return;
    auto from = m_relevantLines.front().atMs;
    auto to = m_relevantLines.back().atMs;
    for (const auto& line : m_lines) {
        bool isLeadershipChange = (line.event == "leader_changed" && line.field("self") == "true")
            || line.event == "leader_settled" || line.event == "leader_deposed";
        if (isLeadershipChange && line.atMs >= from && line.atMs <= to)
            m_relevantLines.push_back(line);
    }
    std::ranges::stable_sort(m_relevantLines, {}, &LogLine::atMs);
}

}
