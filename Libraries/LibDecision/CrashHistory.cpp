#include <LibDecision/CrashHistory.h>
#include <algorithm>
#include <cmath>

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

/// Crashes that are more likely than this without the task do not prove that it is the cause, do not force it to run
/// isolated, and do not reserve a worker for it.
static constexpr double maxCoincidenceOfCause = 1e-5;
static constexpr double maxCoincidenceOfRequiredIsolation = 1e-3;
static constexpr double maxCoincidenceOfPreferredIsolation = 0.1;

/// Crashes that are assumed, before a job is given up, in a run that was not isolated: another run on its worker may be
/// the cause.
static constexpr double minExpectedCrashesBesideOthers = 0.05;

/// From this number of crashes on, further starts wait for a time at which they prove something, if the crashes are
/// less likely than this without the task. A task that crashes its workers must not start three times after three
/// crashes. While many workers crash for other causes, some tasks are lost as often by chance, most of them long after
/// their starts. So the limit is lower without repeated crashes directly after a start.
static constexpr size_t crashesUntilBackoff = 3;
static constexpr double maxCoincidenceOfBackoff = 0.05;

/// The same after more crashes, which few tasks have, so that fewer wait although the limit is higher.
static constexpr double maxCoincidenceOfLaterBackoff = 0.1;
static constexpr double maxCoincidenceOfBackoffAfterLateCrashes = 1e-4;

/// Maximum waits of the start after the third crash and of those after it.
static constexpr Milliseconds firstBackoff { 10000 };
static constexpr Milliseconds laterBackoff { 60000 };

/// Crashes directly after a start that prove the cause however many workers crash, with one of them isolated.
static constexpr size_t maxPromptCrashes = 5;

/// Crashes of which the last comes from a start that had to wait for a quiet moment, and those to be expected in an
/// isolated run then. Few tasks wait for such a moment, so a crash in it need not be as unlikely as those that are
/// looked for among all tasks.
static constexpr size_t crashesWithLastStart = 5;
static constexpr double maxExpectedCrashesAtQuietMoment = 1e-3;

/// Time for which a crashed worker takes no runs.
static constexpr Milliseconds workerRestartTime { 3000 };

/// A task is cleared when it has run for this multiple of the longest time to a crash, within these bounds.
static constexpr int clearingFactor = 2;
static constexpr Milliseconds minClearingTime { 2000 };
static constexpr Milliseconds maxClearingTime { 10000 };

static bool isOfTask(const CrashedRun& run, const TaskRef& task)
{
    return run.occurrence == task.occurrence && run.step == task.step && run.index == task.index;
}

bool CrashHistory::isPrompt(const CrashedRun& run) { return Milliseconds { run.runTimeMs } <= promptCrashTime; }

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

bool CrashHistory::mayFollowUnrecordedCrash(const TaskRef& task) const
{
    return std::ranges::any_of(
        m_runs, [&](const CrashedRun& it) { return isOfTask(it, task) && it.mayFollowUnrecordedCrash; });
}

double CrashHistory::highestOtherCrashRate(const TaskRef& task) const
{
    double highest = 0;
    for (const auto& it : m_runs) {
        if (isOfTask(it, task))
            highest = std::max(highest, it.otherCrashRate);
    }
    return highest;
}

size_t CrashHistory::countPromptCrashes(const TaskRef& task) const
{
    return static_cast<size_t>(
        std::ranges::count_if(m_runs, [&](const CrashedRun& it) { return isOfTask(it, task) && isPrompt(it); }));
}

/// Whether several workers crashed directly after starts of the task. A worker that did not answer the start may have
/// crashed before, and a crash that an earlier leader left unrecorded may not have happened; both count only if no
/// other run of the task has lasted longer.
bool CrashHistory::hasRepeatedPromptCrashes(const TaskRef& task, size_t unrecordedCrashes) const
{
    size_t prompt = 0;
    size_t uncertain = unrecordedCrashes;
    bool hasLateCrash = false;
    for (const auto& it : m_runs) {
        if (!isOfTask(it, task))
            continue;
        if (isPrompt(it))
            ++(it.unanswered ? uncertain : prompt);
        else
            hasLateCrash = hasLateCrash || !it.unanswered;
    }
    return prompt + (hasLateCrash ? 0 : uncertain) >= promptCrashesUntilIsolated;
}

bool CrashHistory::isSuspected(const TaskRef& task) const
{
    return countPromptCrashes(task) > 0 || count(task) >= crashesUntilIsolated;
}

RunIsolation CrashHistory::isolationOf(
    const TaskRef& task, double crashRate, Milliseconds runTime, size_t unrecordedCrashes) const
{
    if (!isSuspected(task))
        return RunIsolation::None;
    bool isRepeated = countPromptCrashes(task) >= promptCrashesUntilIsolated || count(task) >= crashesUntilIsolated;
    auto probability = coincidence(task, crashRate, runTime);
    if (isRepeated && probability <= maxCoincidenceOfRequiredIsolation)
        return RunIsolation::Required;
    // Such a start has waited for a quiet moment, and a crash beside other runs would prove too little all the same.
    if (count(task) + unrecordedCrashes > crashesUntilBackoff && hasRepeatedPromptCrashes(task, unrecordedCrashes)
        && probability <= maxCoincidenceOfLaterBackoff)
        return RunIsolation::Required;
    return probability <= maxCoincidenceOfPreferredIsolation ? RunIsolation::Preferred : RunIsolation::None;
}

static double ratePerMs(const CrashedRun& run, double crashRate)
{
    constexpr double msPerSecond = 1000;
    return std::max({ run.otherCrashRate, crashRate, CrashHistory::minCrashRate }) / msPerSecond;
}

/// Returns the crashes of the worker to be expected until the run was lost.
static double expectedCrashes(const CrashedRun& run, double crashRate)
{
    if (run.expectedCrashes > 0)
        return run.expectedCrashes;
    return ratePerMs(run, crashRate) * static_cast<double>(run.runTimeMs + CrashHistory::crashDetectionTime.count());
}

/// Returns the crashes of the worker to be expected in a whole run.
static double expectedCrashesInWholeRun(const CrashedRun& run, double crashRate, Milliseconds runTime)
{
    auto remaining = std::max<int64_t>(0, runTime.count() - run.runTimeMs);
    auto rate = run.expectedCrashes > 0 ? ratePerMs(run, 0) : ratePerMs(run, crashRate);
    return expectedCrashes(run, crashRate) + rate * static_cast<double>(remaining);
}

/// Probability that the product of `count` independent uniform variables is at most exp(-`exponent`). The product alone
/// would fall below any bound as crashes are added.
static double probabilityOfProduct(size_t count, double exponent)
{
    if (exponent <= 0)
        return 1;
    // The terms are computed from their logarithms, because the factors of those of many crashes exceed all numbers.
    double logTerm = -exponent;
    double sum = 0;
    for (size_t i = 0; i < count; ++i) {
        sum += std::exp(logTerm);
        logTerm += std::log(exponent / static_cast<double>(i + 1));
    }
    return std::min(1.0, sum);
}

double CrashHistory::coincidence(const TaskRef& task, double crashRate, Milliseconds runTime, Scope scope) const
{
    size_t crashes = 0;
    double allRunsCrash = 1;
    // Given that a worker crashes in a run, the share of the run's crash probability up to the loss is uniform.
    double exponentOfShares = 0;
    for (const auto& it : m_runs) {
        if (!isOfTask(it, task) || (scope == Scope::Confirmed && !it.confirmed))
            continue;
        auto expected = expectedCrashes(it, crashRate);
        auto besideOthers = 0.0;
        if (scope == Scope::Confirmed && !it.isolated)
            besideOthers = std::max(0.0, minExpectedCrashesBesideOthers - expected);
        auto untilLoss = -std::expm1(-expected - besideOthers);
        auto inWholeRun = -std::expm1(-expectedCrashesInWholeRun(it, crashRate, runTime) - besideOthers);
        allRunsCrash *= inWholeRun;
        exponentOfShares += std::log(inWholeRun / untilLoss);
        ++crashes;
    }
    return crashes == 0 ? 1 : allRunsCrash * probabilityOfProduct(crashes, exponentOfShares);
}

/// Whether an isolated run crashed its worker at a quiet moment, after so many crashes that its start had to wait for
/// one.
bool CrashHistory::hasCrashAtQuietMoment(
    const TaskRef& task, double crashRate, Milliseconds runTime, size_t unrecordedCrashes) const
{
    return std::ranges::any_of(m_runs, [&](const CrashedRun& it) {
        if (!isOfTask(it, task) || !it.confirmed || !it.isolated
            || expectedCrashes(it, crashRate) > maxExpectedCrashesAtQuietMoment)
            return false;
        CrashHistory earlier(m_runs);
        earlier.withdraw(task, it.run);
        return earlier.hasRepeatedPromptCrashes(task, unrecordedCrashes)
            && earlier.coincidence(task, crashRate, runTime, Scope::Confirmed) <= maxCoincidenceOfLaterBackoff;
    });
}

bool CrashHistory::isCauseOfCrashes(
    const TaskRef& task, double crashRate, Milliseconds runTime, size_t unrecordedCrashes) const
{
    size_t crashes = 0;
    size_t isolatedCrashes = 0;
    size_t promptCrashes = 0;
    for (const auto& it : m_runs) {
        if (!it.confirmed || !isOfTask(it, task))
            continue;
        ++crashes;
        isolatedCrashes += it.isolated ? 1 : 0;
        promptCrashes += !it.unanswered && isPrompt(it) ? 1 : 0;
    }
    if (crashes + unrecordedCrashes >= crashesWithLastStart
        && hasCrashAtQuietMoment(task, crashRate, runTime, unrecordedCrashes))
        return true;
    if (promptCrashes < maxPromptCrashes
        && coincidence(task, crashRate, runTime, Scope::Confirmed) > maxCoincidenceOfCause)
        return false;
    return isolatedCrashes >= isolatedCrashesUntilGivenUp || (crashes >= maxCrashes && isolatedCrashes > 0);
}

bool CrashHistory::awaitsConfirmation(const TaskRef& task) const
{
    return count(task) >= maxCrashes
        && std::ranges::any_of(m_runs, [&](const CrashedRun& it) { return !it.confirmed && isOfTask(it, task); });
}

Milliseconds CrashHistory::restartBackoff(
    const TaskRef& task, double crashRate, Milliseconds runTime, size_t unrecordedCrashes) const
{
    auto recorded = count(task);
    auto crashes = recorded == 0 ? 0 : recorded + unrecordedCrashes;
    if (crashes < crashesUntilBackoff)
        return Milliseconds { 0 };
    auto maxCoincidence = maxCoincidenceOfBackoffAfterLateCrashes;
    if (hasRepeatedPromptCrashes(task, unrecordedCrashes))
        maxCoincidence = crashes > crashesUntilBackoff ? maxCoincidenceOfLaterBackoff : maxCoincidenceOfBackoff;
    if (coincidence(task, crashRate, runTime) > maxCoincidence)
        return Milliseconds { 0 };
    return crashes == crashesUntilBackoff ? firstBackoff : laterBackoff;
}

double CrashHistory::expectedWorkersDown(const TaskRef& task, uint64_t activeRun, Milliseconds runTime) const
{
    size_t crashes = 0;
    double down = 0;
    for (const auto& it : m_runs) {
        if (!isOfTask(it, task) || it.run == activeRun)
            continue;
        ++crashes;
        Milliseconds timeToCrash { it.runTimeMs };
        if (timeToCrash >= runTime)
            down += static_cast<double>(workerRestartTime.count())
                / static_cast<double>((workerRestartTime + timeToCrash).count());
    }
    return crashes == 0 ? 1 : down / static_cast<double>(crashes);
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
