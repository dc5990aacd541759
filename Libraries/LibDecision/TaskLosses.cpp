#include <LibDecision/TaskScheduler.h>
#include <LibDecision/TaskWorkerEntry.h>
#include <algorithm>
#include <utility>
#include <vector>

// Tells how likely a worker was lost for another cause than its tasks, from the losses of other workers.

namespace Bergamot {

/// The other workers of a rack or zone that have to be lost together before a common cause is assumed. The tasks of one
/// job may take down fewer.
static constexpr size_t minSharedLosses = 3;

/// Crashes under a task that may have no record, because leaders failed right after them.
static constexpr size_t maxUnrecordedCrashes = 2;

/// Whether an isolated run is active on the worker, or one of a task that has to back off, or was when the worker was
/// lost.
bool TaskScheduler::hasLikelyCause(const WorkerEntry& worker) const
{
    return worker.wasLostWithLikelyCause || worker.isolatedRuns > 0
        || std::ranges::any_of(worker.runs, [&](const auto& it) {
               const auto& job = *it.second.job;
               return restartBackoff(job, crashKey(job, it.first.first)) > Milliseconds { 0 };
           });
}

/// Returns the losses of other workers of the service that have no known cause. Workers that are not removed yet count
/// too. Those that this leader has not reached count only beside another one of them: a crash of the task there may
/// have gone unrecorded, but if this one is not known to have lived under this leader, they may have been lost with it.
TaskScheduler::OtherLosses TaskScheduler::otherLosses(const WorkerLoss& loss) const
{
    OtherLosses others;
    bool countsUnreached = loss.lastReplyAt == neverInstant;
    // A worker that has not announced itself yet may be of any service.
    auto isOfService
        = [&](const TaskWorkerView& view) { return loss.view.service.empty() || view.service == loss.view.service; };
    for (const auto& it : m_recentLosses) {
        bool counts = countsUnreached || it.lastReplyAt != neverInstant;
        if (&it != &loss && isOfService(it.view) && !it.hasLikelyCause && counts)
            others.losses.push_back({ .view = &it.view, .at = it.at });
    }
    for (const auto& [handle, worker] : m_workers) {
        if (!isOfService(worker->view))
            continue;
        ++others.workers;
        bool isReached = worker->lastReplyAt != neverInstant;
        if (worker->reachable || hasLikelyCause(*worker))
            continue;
        if (isReached && worker->lostAt != neverInstant)
            others.losses.push_back({ .view = &worker->view, .at = worker->lostAt });
        else if (!isReached && countsUnreached)
            others.losses.push_back({ .view = &worker->view, .at = loss.at });
    }
    return others;
}

/// Returns how many of the losses may have happened in the `time` before the loss, without those under the task.
size_t TaskScheduler::countOtherLosses(const TrackedJob& job, const TaskRef& key, const WorkerLoss& loss,
    const OtherLosses& otherLosses, Milliseconds time)
{
    std::vector<const CrashedRun*> own;
    for (const auto& it : job.crashes.runs()) {
        if (taskOf(job, it) == key)
            own.push_back(&it);
    }
    auto others = std::ranges::count_if(otherLosses.losses, [&](const OtherLoss& it) {
        return it.at >= loss.at - time - WorkerLoss::maxNoticeDifference
            && it.at <= loss.at + WorkerLoss::maxNoticeDifference
            && std::ranges::none_of(own, [&](const CrashedRun* run) { return isOnIncarnation(*run, *it.view); });
    });
    // The other members of a gang may have crashed their workers too.
    const auto& steps = job.spec.steps;
    if (key.step < steps.size() && steps[key.step].gang)
        others -= std::min<int64_t>(others, steps[key.step].count - 1);
    return static_cast<size_t>(others);
}

/// Adds what was to be expected without the task: the share of the service's workers that were lost for other causes
/// while the run was active, and their rate around the loss. Workers crash in bursts, so the rate over a longer time
/// says less.
void TaskScheduler::addExpectedCrashes(
    const TrackedJob& job, CrashedRun& crashed, const WorkerLoss& loss, const OtherLosses& otherLosses) const
{
    constexpr double msPerSecond = 1000;
    Milliseconds exposure { crashed.runTimeMs };
    // Such a start may have been sent to a worker that had crashed at any time since its last reply.
    if (crashed.unanswered && loss.lastReplyAt != neverInstant)
        exposure = std::max(exposure, loss.at - loss.lastReplyAt);
    // It may have crashed long before this leader found it gone.
    if (loss.lastReplyAt == neverInstant)
        exposure = std::max(exposure, WorkerLoss::memory);
    auto key = taskOf(job, crashed);
    auto workers = static_cast<double>(std::max<size_t>(1, otherLosses.workers));
    auto shareLostWithin = [&](Milliseconds time) {
        return static_cast<double>(countOtherLosses(job, key, loss, otherLosses, time)) / workers;
    };
    auto seconds = [](Milliseconds time) { return static_cast<double>(time.count()) / msPerSecond; };
    crashed.otherCrashRate = shareLostWithin(WorkerLoss::rateWindow)
        / seconds(WorkerLoss::rateWindow + 2 * WorkerLoss::maxNoticeDifference);
    auto minExpected = CrashHistory::minCrashRate * seconds(exposure + CrashHistory::crashDetectionTime);
    crashed.expectedCrashes = std::max(minExpected, shareLostWithin(exposure));
}

/// Returns the recent crashes a second and worker, without those that may have happened under the task. Called for each
/// waiting task, so it does not look for the crashes of the task among all recent ones.
double TaskScheduler::otherCrashRate(const TrackedJob& job, const TaskRef& key) const
{
    // The record of a gang names one worker, but each of its members may have crashed one.
    bool isGang = key.step < job.spec.steps.size() && job.spec.steps[key.step].gang;
    auto workersPerCrash = isGang ? job.spec.steps[key.step].count : 1;
    auto own = job.crashes.count(key) * workersPerCrash + maxUnrecordedCrashes;
    auto others = m_recentLosses.size() - std::min(m_recentLosses.size(), own);
    constexpr double msPerSecond = 1000;
    auto seconds = static_cast<double>(WorkerLoss::memory.count()) / msPerSecond;
    return static_cast<double>(others) / (seconds * static_cast<double>(std::max<size_t>(1, m_workers.size())));
}

/// Whether all workers of the rack or of the zone were lost together, so that no task is the cause.
bool TaskScheduler::isLostWithItsGroup(const WorkerLoss& lost) const
{
    auto lostAt = lost.at;
    auto isNear = [&](Instant at) {
        return at != neverInstant && at - lostAt <= WorkerLoss::sharedWindow && lostAt - at <= WorkerLoss::sharedWindow;
    };
    auto isGroupLost = [&](auto isInGroup) {
        auto isOfGroup = [&](const TaskWorkerView& view) {
            return view.service == lost.view.service && isInGroup(view.rack, view.zone);
        };
        std::vector<Instant> losses;
        for (const auto& it : m_recentLosses) {
            if (&it != &lost && isOfGroup(it.view) && isNear(it.at))
                losses.push_back(it.at);
        }
        for (const auto& [handle, worker] : m_workers) {
            if (isOfGroup(worker->view) && isNear(worker->lostAt))
                losses.push_back(worker->lostAt);
        }
        // A worker that appeared after the first of these losses may be the successor of a lost one. A loss may be
        // judged seconds later, when workers that survived it have been lost too.
        auto firstLossAt = losses.empty() ? lostAt : std::min(lostAt, std::ranges::min(losses));
        auto isSurvivor
            = [&](Instant knownSince, Instant at) { return knownSince < firstLossAt && !isNear(at) && at > lostAt; };
        bool hasSurvivor = std::ranges::any_of(m_recentLosses, [&](const WorkerLoss& it) {
            return &it != &lost && isOfGroup(it.view) && isSurvivor(it.knownSince, it.at);
        }) || std::ranges::any_of(m_workers, [&](const auto& it) {
            const auto& worker = *it.second;
            return isOfGroup(worker.view)
                && isSurvivor(worker.knownSince, worker.reachable ? Instant::max() : worker.lostAt);
        });
        if (hasSurvivor)
            return false;
        // Losses before and after this one may be up to two windows apart.
        auto lossesInWindowFrom = [&](Instant start) {
            return std::ranges::count_if(
                losses, [&](Instant at) { return at >= start && at - start <= WorkerLoss::sharedWindow; });
        };
        auto isSharedFrom = [&](Instant start) {
            return start <= lostAt && std::cmp_greater_equal(lossesInWindowFrom(start), minSharedLosses);
        };
        return isSharedFrom(lostAt) || std::ranges::any_of(losses, isSharedFrom);
    };
    const auto& view = lost.view;
    bool isRackLost
        = !view.rack.empty() && isGroupLost([&](const std::string& rack, const ZoneId&) { return rack == view.rack; });
    return isRackLost || (!view.zone.empty() && isGroupLost([&](const std::string&, const ZoneId& zone) {
        return zone == view.zone;
    }));
}

}
