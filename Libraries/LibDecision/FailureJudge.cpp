#include <LibDecision/FailureJudge.h>
#include <algorithm>

namespace Bergamot {

// Distinct jobs that must fail in a row; two coincide too often when a tenth of the jobs can't run.
static constexpr size_t failuresForQuarantine = 3;
static constexpr Milliseconds firstProbeDelay { 60'000 };
static constexpr Milliseconds maxProbeDelay { 1'800'000 };
static constexpr size_t kindHistory = 24;
// A kind is suspect when it failed on this many distinct workers and on more than half of those it ran on recently.
static constexpr size_t suspectWorkers = 4;

FailureJudge::WorkerHistory& FailureJudge::historyOf(WorkerIndex worker)
{
    if (m_workers.size() <= worker)
        m_workers.resize(worker + 1);
    return m_workers[worker];
}

void FailureJudge::record(KindIndex kind, Outcome outcome)
{
    if (m_kinds.size() <= kind)
        m_kinds.resize(kind + 1);
    auto& history = m_kinds[kind];
    if (history.recent.size() < kindHistory) {
        history.recent.push_back(outcome);
        return;
    }
    history.recent[history.next] = outcome;
    history.next = (history.next + 1) % kindHistory;
}

bool FailureJudge::isKindSuspect(KindIndex kind) const
{
    if (kind >= m_kinds.size())
        return false;
    std::vector<WorkerIndex> failed;
    std::vector<WorkerIndex> all;
    for (const auto& outcome : m_kinds[kind].recent) {
        all.push_back(outcome.worker);
        if (outcome.failed)
            failed.push_back(outcome.worker);
    }
    auto distinct = [](std::vector<WorkerIndex>& workers) {
        std::ranges::sort(workers);
        workers.erase(std::unique(workers.begin(), workers.end()), workers.end());
        return workers.size();
    };
    auto failedWorkers = distinct(failed);
    return failedWorkers >= suspectWorkers && failedWorkers * 2 > distinct(all);
}

void FailureJudge::recordSuccess(WorkerIndex worker, KindIndex kind)
{
    record(kind, { .worker = worker });
    auto& history = historyOf(worker);
    history.failedInRow.clear();
    if (!history.quarantined) {
        history.probation = false;
        history.delay = {};
    }
}

bool FailureJudge::failsSeveralKinds(const WorkerHistory& history)
{
    return std::ranges::any_of(
        history.failedInRow, [&](const Blame& blame) { return blame.kind != history.failedInRow.front().kind; });
}

FailureJudge::Verdict FailureJudge::recordFailure(WorkerIndex worker, KindIndex kind, JobIndex job, Instant now)
{
    auto& history = historyOf(worker);
    if (history.quarantined)
        return {};
    if (std::ranges::find(history.failedInRow, job, &Blame::job) == history.failedInRow.end())
        history.failedInRow.push_back({ job, kind });
    bool severalKinds = failsSeveralKinds(history);
    if (!severalKinds)
        record(kind, { .worker = worker, .failed = true });
    if (!severalKinds && isKindSuspect(kind))
        return {};
    auto needed = history.probation ? 1 : failuresForQuarantine;
    if (history.failedInRow.size() < needed)
        return {};
    Verdict verdict { .quarantine = true };
    for (const auto& blame : history.failedInRow)
        verdict.refunded.push_back(blame.job);
    history.failedInRow.clear();
    history.quarantined = true;
    history.delay = history.delay.count() == 0 ? firstProbeDelay : std::min(maxProbeDelay, history.delay * 2);
    history.releaseAt = now + history.delay;
    return verdict;
}

std::vector<WorkerIndex> FailureJudge::takeReleases(Instant now)
{
    std::vector<WorkerIndex> released;
    for (WorkerIndex worker = 0; worker < m_workers.size(); ++worker) {
        auto& history = m_workers[worker];
        if (!history.quarantined || history.releaseAt > now)
            continue;
        history.quarantined = false;
        history.probation = true;
        released.push_back(worker);
    }
    return released;
}

void FailureJudge::forgetWorker(WorkerIndex worker)
{
    if (worker < m_workers.size())
        m_workers[worker] = {};
}

void FailureJudge::clearBlame(JobIndex job)
{
    for (auto& history : m_workers)
        std::erase_if(history.failedInRow, [&](const Blame& blame) { return blame.job == job; });
}

}
