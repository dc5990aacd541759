#include <LibStandIn/PlacementChecks.h>
#include <algorithm>
#include <fmt/format.h>
#include <limits>
#include <map>

namespace Bergamot {

namespace {

    struct Period {
        int64_t fromMs { 0 };
        int64_t untilMs { std::numeric_limits<int64_t>::max() };
    };

    struct StateChange {
        int64_t atMs { 0 };
        bool isClosed { false };
    };

    using ClosedPeriods = std::map<std::string, std::vector<Period>>;

}

static ClosedPeriods closedPeriods(std::map<std::string, std::vector<StateChange>> stateChanges)
{
    ClosedPeriods closed;
    for (auto& [name, list] : stateChanges) {
        std::ranges::stable_sort(list, {}, &StateChange::atMs);
        bool isClosed = false;
        for (const auto& change : list) {
            if (change.isClosed && !isClosed)
                closed[name].push_back({ .fromMs = change.atMs + placementGraceMs });
            if (!change.isClosed && isClosed)
                closed[name].back().untilMs = change.atMs;
            isClosed = change.isClosed;
        }
    }
    return closed;
}

static const Period* closedPeriodAt(const ClosedPeriods& closed, const std::string& name, int64_t atMs)
{
    auto it = closed.find(name);
    if (it == closed.end())
        return nullptr;
    for (const auto& period : it->second) {
        if (atMs > period.fromMs && atMs < period.untilMs)
            return &period;
    }
    return nullptr;
}

CheckResult checkCommitments(const RunRecords& records)
{
    CheckResult result { .promise = "P1" };
    for (const auto& worker : records.workers) {
        ++result.examined;
        if (!worker.highest.fitsIn(worker.capacity))
            result.violations.push_back(fmt::format("worker {} was committed beyond its capacity", worker.worker));
        if (worker.overCommitAttempts > 0)
            result.violations.push_back(fmt::format(
                "worker {} rejected {} starts beyond its capacity", worker.worker, worker.overCommitAttempts));
        if (worker.highestSlots > worker.slots || worker.highestConnections > worker.connections)
            result.violations.push_back(fmt::format("worker {} used {} of {} slots and {} of {} connections",
                worker.worker, worker.highestSlots, worker.slots, worker.highestConnections, worker.connections));
    }
    return result;
}

CheckResult checkZonesOut(const RunRecords& records)
{
    CheckResult result { .promise = "P4" };
    std::map<std::string, std::vector<StateChange>> stateChanges;
    for (const auto& event : records.zones)
        stateChanges[event.zone].push_back({ event.atMs, event.isOut });
    auto closed = closedPeriods(std::move(stateChanges));
    for (const auto& task : records.tasks) {
        ++result.examined;
        if (const auto* period = closedPeriodAt(closed, task.zone, task.startMs))
            result.violations.push_back(
                fmt::format("job {} attempt {} started in zone {} at {}, {} ms after the grace period", task.task.job,
                    task.task.attempt, task.zone, task.startMs, task.startMs - period->fromMs));
    }
    return result;
}

CheckResult checkLeavingWorkers(const RunRecords& records)
{
    CheckResult result { .promise = "P8" };
    std::map<std::string, std::vector<StateChange>> stateChanges;
    for (const auto& event : records.hostStates)
        stateChanges[event.worker].push_back({ event.shownAtMs, event.state != "live" });
    auto closed = closedPeriods(std::move(stateChanges));
    for (const auto& task : records.tasks) {
        ++result.examined;
        if (const auto* period = closedPeriodAt(closed, task.worker, task.startMs))
            result.violations.push_back(fmt::format("job {} attempt {} started on {}, {} ms after the grace period",
                task.task.job, task.task.attempt, task.worker, task.startMs - period->fromMs));
    }
    for (const auto& execution : records.executions) {
        ++result.examined;
        if (const auto* period = closedPeriodAt(closed, execution.worker, execution.startMs))
            result.violations.push_back(fmt::format("request {} ran on {}, {} ms after the grace period", execution.key,
                execution.worker, execution.startMs - period->fromMs));
    }
    return result;
}

}
