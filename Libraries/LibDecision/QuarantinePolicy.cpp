#include <LibDecision/QuarantinePolicy.h>
#include <algorithm>

namespace Bergamot {

// Distinct jobs that must fail in a row on a worker. On healthy workers, two such failures coincide too often when a
// tenth of the jobs can't run.
static constexpr size_t failuresForQuarantine = 3;
static constexpr Milliseconds firstProbeDelay { 60'000 };
static constexpr Milliseconds maxProbeDelay { 1'800'000 };
static constexpr size_t maxKindOutcomes = 24;
// A kind is suspect if it recently failed on at least this many distinct workers and on more than half of those it
// ran on.
static constexpr size_t suspectKindWorkers = 4;

QuarantinePolicy::WorkerHistory& QuarantinePolicy::historyOf(WorkerIndex worker)
{
    if (m_workers.size() <= worker)
        m_workers.resize(worker + 1);
    return m_workers[worker];
}

void QuarantinePolicy::record(KindIndex kind, Outcome outcome)
{
    if (m_kinds.size() <= kind)
        m_kinds.resize(kind + 1);
    auto& history = m_kinds[kind];
    if (history.recent.size() < maxKindOutcomes) {
        history.recent.push_back(outcome);
        return;
    }
    history.recent[history.next] = outcome;
    history.next = (history.next + 1) % maxKindOutcomes;
}

bool QuarantinePolicy::isKindSuspect(KindIndex kind) const
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
    return failedWorkers >= suspectKindWorkers && failedWorkers * 2 > distinct(all);
}

void QuarantinePolicy::recordSuccess(WorkerIndex worker, KindIndex kind)
{
    record(kind, { .worker = worker });
    auto& history = historyOf(worker);
    history.consecutiveFailures.clear();
    if (!history.quarantined) {
        history.isOnProbation = false;
        history.delay = {};
    }
}

bool QuarantinePolicy::hasFailuresOfSeveralKinds(const WorkerHistory& history)
{
    return std::ranges::any_of(history.consecutiveFailures,
        [&](const Failure& failure) { return failure.kind != history.consecutiveFailures.front().kind; });
}

QuarantinePolicy::Assessment QuarantinePolicy::recordFailure(
    WorkerIndex worker, KindIndex kind, JobIndex job, Instant now)
{
    auto& history = historyOf(worker);
    if (history.quarantined)
        return {};
    if (std::ranges::find(history.consecutiveFailures, job, &Failure::job) == history.consecutiveFailures.end())
        history.consecutiveFailures.push_back({ job, kind });
    bool severalKinds = hasFailuresOfSeveralKinds(history);
    if (!severalKinds)
        record(kind, { .worker = worker, .failed = true });
    if (!severalKinds && isKindSuspect(kind))
        return {};
    auto needed = history.isOnProbation ? 1 : failuresForQuarantine;
    if (history.consecutiveFailures.size() < needed)
        return {};
    Assessment assessment { .quarantine = true };
    for (const auto& failure : history.consecutiveFailures)
        assessment.excusedJobs.push_back(failure.job);
    history.consecutiveFailures.clear();
    history.quarantined = true;
    history.delay = history.delay.count() == 0 ? firstProbeDelay : std::min(maxProbeDelay, history.delay * 2);
    history.releaseAt = now + history.delay;
    return assessment;
}

std::vector<WorkerIndex> QuarantinePolicy::takeDueReleases(Instant now)
{
    std::vector<WorkerIndex> released;
    for (WorkerIndex worker = 0; worker < m_workers.size(); ++worker) {
        auto& history = m_workers[worker];
        if (!history.quarantined || history.releaseAt > now)
            continue;
        history.quarantined = false;
        history.isOnProbation = true;
        released.push_back(worker);
    }
    return released;
}

void QuarantinePolicy::forgetWorker(WorkerIndex worker)
{
    if (worker < m_workers.size())
        m_workers[worker] = {};
}

void QuarantinePolicy::removeFailuresOfJob(JobIndex job)
{
    for (auto& history : m_workers)
        std::erase_if(history.consecutiveFailures, [&](const Failure& failure) { return failure.job == job; });
}

}
