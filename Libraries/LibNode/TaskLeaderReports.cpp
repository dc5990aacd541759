#include <LibCore/Logger.h>
#include <LibHttp/EventLoop.h>
#include <LibNode/OutcomeNames.h>
#include <LibNode/TaskLeader.h>
#include <LibReport/NodeMetrics.h>
#include <algorithm>
#include <cmath>
#include <fmt/format.h>
#include <iterator>
#include <string>
#include <string_view>

// Reports what the leader does and what tasks wait for, in the log and in the metrics.

namespace Bergamot {

static std::string describeCrashes(const std::vector<CrashedRun>& runs)
{
    std::string text;
    for (const auto& crashed : runs)
        fmt::format_to(std::back_inserter(text), "{}{}.{}.{}:run={},worker={},run_ms={}{}{}", text.empty() ? "" : ";",
            crashed.occurrence, crashed.step, crashed.index, crashed.run, crashed.worker, crashed.runTimeMs,
            crashed.unanswered ? ",unanswered" : "", crashed.isolated ? ",isolated" : "");
    return text;
}

/// Logs the timeline of a job: for each step, the time until its last start and the time from that start to its end.
void TaskLeader::logJobEnd(const JobProgress& progress)
{
    auto timeline = m_scheduler.timelineOf(progress.id).value_or(JobTimeline {});
    std::string steps;
    for (const auto& step : timeline.steps)
        fmt::format_to(std::back_inserter(steps), "{}{}.{}:wait={},run={}", steps.empty() ? "" : ";", step.occurrence,
            step.step, step.waitTime.count(), step.runTime.count());
    logInfo("job_ended",
        { { "job", progress.id }, { "queue", timeline.queue }, { "state", nameOf(progress.state) },
            { "late_ms", unixMsNow() - timeline.objectiveUnixMs }, { "failed_runs", timeline.failedRuns },
            { "max_attempts", timeline.maxAttempts }, { "crashes", describeCrashes(timeline.crashedRuns) },
            { "config_version", m_configVersion }, { "steps_ms", steps } });
}

static int64_t percentOf(double share)
{
    constexpr double percent { 100 };
    return std::llround(percent * share);
}

void TaskLeader::updateGauges()
{
    auto totals = m_scheduler.totals();
    m_metrics.setQueue(totals.waitingTasks, totals.activeRuns);
    auto reachable = std::ranges::count_if(m_workers, [](const auto& it) { return it.second.session->isReachable(); });
    m_metrics.setWorkers(static_cast<size_t>(reachable), m_workers.size());
}

void TaskLeader::updateOldestWaits()
{
    auto oldest = m_scheduler.oldestWaits(m_loop.now());
    for (auto reason = PlacementDelay::EarlierLeader; reason <= PlacementDelay::OutdatedConfiguration;
         reason = static_cast<PlacementDelay>(static_cast<uint8_t>(reason) + 1)) {
        auto wait = oldest.find(reason);
        m_metrics.setOldestWait(nameOf(reason), wait == oldest.end() ? Milliseconds { 0 } : wait->second);
    }
}

/// Logs tasks that have waited for their start for more than `longWait`, with the reason.
void TaskLeader::logStepWaits()
{
    constexpr Milliseconds interval { 1000 };
    constexpr Milliseconds longWait { 3000 };
    constexpr size_t maxLines { 8 };
    auto now = m_loop.now();
    if (now - m_waitsLoggedAt < interval)
        return;
    m_waitsLoggedAt = now;
    updateOldestWaits();
    logUnsettledWorkers();
    auto use = m_scheduler.workerUse();
    auto idleJobs = m_scheduler.countJobsWithoutRun(now, longWait);
    m_metrics.setIdleJobs(idleJobs);
    m_metrics.setDeferredOccurrences(m_scheduler.deferredOccurrences());
    for (const auto& wait : m_scheduler.stepWaits(now, longWait, maxLines)) {
        auto refusals = m_scheduler.refusalsOf(wait);
        auto margin = m_scheduler.bestServingMargin(wait).value_or(ServingMargin {});
        auto worker = m_workers.find(wait.worker);
        logInfo("task_waits",
            { { "job", wait.job }, { "occurrence", wait.occurrence }, { "step", wait.step }, { "tasks", wait.tasks },
                { "index", wait.longestWaiting }, { "longest_ms", wait.longestWait.count() },
                { "reason", nameOf(wait.reason) }, { "suspect", nameOf(wait.suspectDelay) },
                { "worker",
                    worker == m_workers.end() ? std::string_view {}
                                              : std::string_view { worker->second.incarnation.id } },
                { "cpu_millis", wait.size.cpuMillis }, { "memory_mb", wait.size.memoryMb },
                { "long_running", wait.longRunning }, { "has_run", wait.hasRun },
                { "free_millis", m_scheduler.freeCpuMillis() }, { "held_free_millis", use.heldFreeMillis },
                { "largest_free_millis", use.largestFreeMillis },
                { "headroom_millis", m_scheduler.headroomCpuMillis() }, { "idle_millis", m_scheduler.idleCpuMillis() },
                { "usable_workers", use.usable }, { "isolated_workers", use.isolated },
                { "workers_without_room", refusals.noRoom },
                { "workers_without_expected_room", refusals.noExpectedRoom }, { "workers_reserved", refusals.reserved },
                { "reserved_workers", use.reserved }, { "reserved_free_millis", use.reservedFreeMillis },
                { "workers_behind_best_effort", refusals.behindBestEffort }, { "workers_not_idle", refusals.notIdle },
                { "workers_held", refusals.held }, { "workers_held_by_preference", refusals.heldByPreference },
                { "workers_excluded", refusals.constraint }, { "workers_serving", refusals.servingPressure },
                { "image", wait.bestEffortImage }, { "job_idle", wait.isJobIdle }, { "idle_jobs", idleJobs },
                { "deferred_occurrences", m_scheduler.deferredOccurrences() },
                { "best_margin", percentOf(margin.margin) }, { "best_added", percentOf(margin.added) },
                { "best_own", percentOf(margin.own) }, { "crashes", describeCrashes(wait.crashedRuns) },
                { "coincidence", fmt::format("{:.1e}", wait.coincidence) } });
    }
}

}
