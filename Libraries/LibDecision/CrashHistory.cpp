#include <LibDecision/CrashHistory.h>
#include <algorithm>

namespace Bergamot {

/// Isolated crashes that prove the cause. One could be a coincidence.
static constexpr size_t isolatedCrashesUntilGivenUp = 2;

/// Crashes after which one isolated crash proves the cause, and further starts wait for unconfirmed crashes.
static constexpr size_t maxCrashes = 4;

/// A run that was lost with its worker within this time of its start is a more likely cause than older runs.
static constexpr Milliseconds promptCrashTime { 1200 };

/// Crashes from which on a task runs isolated only: those directly after a start, and all.
static constexpr size_t promptCrashesUntilIsolated = 2;
static constexpr size_t crashesUntilIsolated = 3;

/// A task is cleared when it has run for this multiple of the longest time to a crash, within these bounds.
static constexpr int clearingFactor = 2;
static constexpr Milliseconds minClearingTime { 2000 };
static constexpr Milliseconds maxClearingTime { 10000 };

static bool isOfTask(const CrashedRun& run, const TaskRef& task)
{
    return run.occurrence == task.occurrence && run.step == task.step && run.index == task.index;
}

void CrashHistory::record(const CrashedRun& crashed)
{
    auto it = std::ranges::find_if(m_runs, [&](const CrashedRun& other) {
        return other.run == crashed.run && other.occurrence == crashed.occurrence && other.step == crashed.step
            && other.index == crashed.index;
    });
    if (it == m_runs.end())
        m_runs.push_back(crashed);
    else
        *it = crashed;
}

const CrashedRun* CrashHistory::find(const TaskRef& task, uint64_t run) const
{
    auto it = std::ranges::find_if(m_runs, [&](const CrashedRun& it) { return it.run == run && isOfTask(it, task); });
    return it == m_runs.end() ? nullptr : &*it;
}

bool CrashHistory::withdraw(const TaskRef& task, uint64_t run)
{
    return std::erase_if(m_runs, [&](const CrashedRun& it) { return it.run == run && isOfTask(it, task); }) > 0;
}

bool CrashHistory::clear(const TaskRef& task)
{
    return std::erase_if(m_runs, [&](const CrashedRun& it) { return isOfTask(it, task); }) > 0;
}

size_t CrashHistory::count(const TaskRef& task) const
{
    return static_cast<size_t>(std::ranges::count_if(m_runs, [&](const CrashedRun& it) { return isOfTask(it, task); }));
}

RunIsolation CrashHistory::isolationOf(const TaskRef& task) const
{
    auto promptCrashes = static_cast<size_t>(std::ranges::count_if(m_runs,
        [&](const CrashedRun& it) { return isOfTask(it, task) && Milliseconds { it.runTimeMs } <= promptCrashTime; }));
    if (promptCrashes >= promptCrashesUntilIsolated || count(task) >= crashesUntilIsolated)
        return RunIsolation::Required;
    return promptCrashes > 0 ? RunIsolation::Preferred : RunIsolation::None;
}

bool CrashHistory::isCauseOfCrashes(const TaskRef& task) const
{
    size_t crashes = 0;
    size_t isolatedCrashes = 0;
    for (const auto& it : m_runs) {
        if (!it.confirmed || !isOfTask(it, task))
            continue;
        ++crashes;
        isolatedCrashes += it.isolated ? 1 : 0;
    }
    return isolatedCrashes >= isolatedCrashesUntilGivenUp || (crashes >= maxCrashes && isolatedCrashes > 0);
}

bool CrashHistory::awaitsConfirmation(const TaskRef& task) const
{
    return count(task) >= maxCrashes
        && std::ranges::any_of(m_runs, [&](const CrashedRun& it) { return !it.confirmed && isOfTask(it, task); });
}

Milliseconds CrashHistory::clearingTime(const TaskRef& task) const
{
    Milliseconds longest { 0 };
    for (const auto& it : m_runs) {
        if (isOfTask(it, task))
            longest = std::max(longest, Milliseconds { it.runTimeMs });
    }
    return std::clamp(clearingFactor * longest, minClearingTime, maxClearingTime);
}

}
