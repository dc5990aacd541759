#include <LibDecision/PlacementClass.h>
#include <LibDecision/TaskScheduler.h>
#include <LibDecision/TaskWorkerEntry.h>
#include <LibDecision/TaskWorkerSearch.h>
#include <algorithm>
#include <utility>

// Chooses the workers on which tasks start.

namespace Bergamot {

/// A best-effort task starts only where it may run at this share of its full speed.
static constexpr double minStartSpeedShare = 0.8;

/// Places serving tasks of one image on the same workers, so that each best-effort image finds workers whose serving
/// tasks it does not slow down.
static constexpr double sameImageWeight = 3;
static constexpr double siblingWeight = 0.1;

/// A rack that holds the input data, or other tasks of a step that prefers one rack, outweighs any difference in free
/// processors.
static constexpr double rackWeight = 1;

/// Workers that are warming up, are slow, or ran the last failed run of the task are chosen only when there is no other
/// worker, in this order of preference.
static constexpr double warmUpPenalty = 1;
static constexpr double slowPenalty = 5;
static constexpr double failedBeforePenalty = 10;

/// An isolated run may crash its worker, so it goes where few other runs would be lost.
static constexpr double residentPenalty = 0.5;

/// A worker that is held for an isolated run already is chosen before any other.
static constexpr double heldWorkerWeight = 100;

/// A best-effort task starts on a worker only if at least this share of its requested processors is expected to be idle
/// there.
static constexpr double minIdleCpuShare = 0.7;

static bool hasLabel(const TaskWorkerView& view, const std::string& label)
{
    return std::ranges::find(view.labels, label) != view.labels.end();
}

/// The class of steps for which the same workers have room. Best-effort tasks need no processors of their own, so they
/// are a class, whatever their image.
static PlacementClass roomClassOf(const std::string& service, const StepSpec& spec)
{
    return { .service = service,
        .bestEffortImage = spec.bestEffort ? std::optional(BestEffortImage::Untracked) : std::nullopt };
}

/// Prepares the search for workers for tasks of the step, or returns nullopt if the service has no usable workers.
std::optional<TaskScheduler::WorkerSearch> TaskScheduler::prepareSearch(
    const TrackedJob& job, const ReadyStep& ready, const std::string& rack, Instant now, PlacementMode mode) const
{
    const auto& service = policyOf(job).service;
    auto candidates = m_candidates.find(service);
    // A worker that has not announced itself has an empty service too and must not match.
    if (service.empty() || candidates == m_candidates.end())
        return std::nullopt;
    const auto& spec = job.spec.steps[ready.step];
    const auto& step = job.occurrences[ready.occurrence].steps[ready.step];
    WorkerSearch search { .job = job,
        .ready = ready,
        .spec = spec,
        .now = now,
        .mode = mode,
        .rack = rack,
        .image = step.image,
        .size = reservedSize(spec),
        .service = candidates->first,
        .candidates = candidates->second,
        .countsSiblings = spec.maxPerWorker > 0 || spec.longRunning || spec.prefersSameRack };
    if (!search.countsSiblings)
        return search;
    step.tasks.forEachInMemory([&](uint32_t, const TrackedTask& other) {
        for (const auto& run : other.runs) {
            ++search.siblingRuns[run.worker];
            if (auto it = m_workers.find(run.worker); spec.prefersSameRack && it != m_workers.end())
                search.racks.insert(it->second->view.rack);
        }
    });
    return search;
}

/// Prepares the search, or returns nullopt if no usable worker is known to have room.
std::optional<TaskScheduler::WorkerSearch> TaskScheduler::beginSearch(
    const TrackedJob& job, const ReadyStep& ready, const std::string& rack, Instant now, PlacementMode mode) const
{
    const auto& spec = job.spec.steps[ready.step];
    if (m_sizesWithoutRoom.covers(roomClassOf(policyOf(job).service, spec), spec.size))
        return std::nullopt;
    return prepareSearch(job, ready, rack, now, mode);
}

/// Whether the resources that the task needs are free on the worker, or are expected to be idle.
bool TaskScheduler::hasRoom(const WorkerSearch& search, const WorkerEntry& worker)
{
    if (!search.size.fitsIn(worker.freeResources()))
        return false;
    auto minIdleMillis = minIdleCpuShare * static_cast<double>(search.spec.size.cpuMillis);
    return !search.spec.bestEffort || static_cast<double>(worker.freeBestEffortMillis()) >= minIdleMillis;
}

/// Whether the worker may take the task, as far as that does not depend on the interference of best-effort tasks.
bool TaskScheduler::isAllowed(
    const WorkerSearch& search, const TrackedTask& task, const WorkerEntry& worker, uint32_t siblings) const
{
    const auto& spec = search.spec;
    if (!search.rack.empty() && worker.view.rack != search.rack)
        return false;
    auto priority = std::get<0>(search.ready.key);
    if (search.mode != PlacementMode::Reserved && m_reservations.excludes(worker.handle, priority))
        return false;
    if (search.mode == PlacementMode::BesideIsolated && !mayStartBesideIsolated(task, worker))
        return false;
    bool isShared = search.mode == PlacementMode::Shared || search.mode == PlacementMode::Reserved;
    if (isShared && worker.isHeldForIsolation(search.now))
        return false;
    if (search.mode == PlacementMode::Isolated && !canIsolate(worker, search.job, search.ready.step, search.now))
        return false;
    if (search.mode == PlacementMode::Hold && !mayHold(search.ready, worker))
        return false;
    if (!spec.requiredLabel.empty() && !hasLabel(worker.view, spec.requiredLabel))
        return false;
    // A speculative copy on the worker of the slow run would be as slow.
    if (task.wantsSpeculativeCopy && std::ranges::count(task.runs, worker.handle, &TrackedRun::worker) > 0)
        return false;
    return spec.maxPerWorker == 0 || siblings < spec.maxPerWorker;
}

/// Returns how well the worker, which has room, suits the task, or nullopt if it cannot take it.
std::optional<double> TaskScheduler::scoreOf(
    const WorkerSearch& search, const TrackedTask& task, WorkerEntry& worker) const
{
    const auto& spec = search.spec;
    uint32_t siblings = 0;
    if (search.countsSiblings) {
        auto it = search.siblingRuns.find(worker.handle);
        siblings = it == search.siblingRuns.end() ? 0 : it->second;
    }
    if (!isAllowed(search, task, worker, siblings))
        return std::nullopt;
    double score = 0;
    if (spec.bestEffort) {
        double allowed = allowedBestEffortShare(worker, spec, search.image);
        if (allowed < minStartSpeedShare)
            return std::nullopt;
        score = static_cast<double>(worker.freeBestEffortMillis()) / worker.capacityMillis() + std::min(allowed, 3.0);
    } else {
        score = static_cast<double>(worker.freeResources().cpuMillis) / worker.capacityMillis();
        // Short tasks go to the worker with the smallest share of free processors, so that other workers keep
        // capacity for large tasks.
        if (!spec.longRunning)
            score = -score;
    }
    if (isServing(spec))
        score += sameImageWeight * sameImageShare(worker, search.image);
    score -= siblingWeight * static_cast<double>(siblings);
    if (!spec.dataRack.empty() && worker.view.rack == spec.dataRack)
        score += rackWeight;
    if (spec.prefersSameRack && search.racks.contains(worker.view.rack))
        score += rackWeight;
    if (worker.handle == task.lastFailedOn && task.failures > 0)
        score -= failedBeforePenalty;
    if (isSlow(worker, search.now))
        score -= slowPenalty;
    if (worker.view.warmUpRemainingMs > 0)
        score -= warmUpPenalty;
    bool isIsolated = search.mode == PlacementMode::Isolated || search.mode == PlacementMode::Hold;
    if (isIsolated)
        score -= residentPenalty * static_cast<double>(worker.runs.size());
    if (isIsolated && worker.heldForIsolationUntil > search.now)
        score += heldWorkerWeight;
    return score;
}

/// Returns the scores of the workers that can take the task, in the order of the candidates.
std::vector<CandidateRanking::Entry> TaskScheduler::scoreCandidates(const WorkerSearch& search, const TrackedTask& task)
{
    std::vector<CandidateRanking::Entry> scores;
    bool foundRoom = false;
    for (size_t i = 0; i < search.candidates.size(); ++i) {
        auto& worker = *search.candidates[i];
        if (!hasRoom(search, worker))
            continue;
        foundRoom = true;
        if (auto score = scoreOf(search, task, worker))
            scores.push_back({ *score, i });
    }
    if (!foundRoom)
        m_sizesWithoutRoom.add(roomClassOf(search.service, search.spec), search.spec.size);
    return scores;
}

/// Returns the best worker for the task, or nullptr. A non-empty `rack` limits the choice to its workers.
TaskScheduler::WorkerEntry* TaskScheduler::chooseWorker(const TrackedJob& job, const ReadyStep& ready,
    const TrackedTask& task, const std::string& rack, Instant now, PlacementMode mode)
{
    auto search = beginSearch(job, ready, rack, now, mode);
    if (!search)
        return nullptr;
    auto scores = scoreCandidates(*search, task);
    auto best = std::ranges::max_element(scores, {}, &CandidateRanking::Entry::score);
    return best == scores.end() ? nullptr : search->candidates[best->position];
}

/// Returns the best worker for the next task of a step, or nullptr. The task must be started there before the next
/// call with the same ranking, which has to be reset when anything else changes.
TaskScheduler::WorkerEntry* TaskScheduler::chooseNextWorker(
    std::optional<StepRanking>& ranking, const ReadyStep& ready, const TrackedTask& task, Instant now)
{
    // Which workers suit such a task depends on its earlier runs, or on the racks of all runs of the step.
    bool hasOwnScores
        = task.wantsSpeculativeCopy || task.failures > 0 || ready.job->spec.steps[ready.step].prefersSameRack;
    if (hasOwnScores) {
        ranking.reset();
        return chooseWorker(*ready.job, ready, task, {}, now);
    }
    if (!ranking) {
        auto search = beginSearch(*ready.job, ready, {}, now, PlacementMode::Shared);
        if (!search)
            return nullptr;
        CandidateRanking scores(scoreCandidates(*search, task));
        ranking.emplace(StepRanking { std::move(*search), std::move(scores) });
    } else if (!ranking->ranking.isEmpty()) {
        auto& worker = *ranking->search.candidates[ranking->ranking.best()];
        if (ranking->search.countsSiblings)
            ++ranking->search.siblingRuns[worker.handle];
        ranking->ranking.updateBest(
            hasRoom(ranking->search, worker) ? scoreOf(ranking->search, task, worker) : std::nullopt);
    }
    return ranking->ranking.isEmpty() ? nullptr : ranking->search.candidates[ranking->ranking.best()];
}

/// Returns the share of the worker's serving tasks that have this image; 0 for a worker without serving tasks.
double TaskScheduler::sameImageShare(const WorkerEntry& worker, const ImageNumber& image) const
{
    double same = 0;
    double all = 0;
    for (const auto& [key, active] : worker.runs) {
        if (!isServing(*active.spec))
            continue;
        all += 1;
        same += active.image == image ? 1 : 0;
    }
    return all > 0 ? same / all : 0;
}

}
