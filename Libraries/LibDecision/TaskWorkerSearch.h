#pragma once

#include <LibCore/Resources.h>
#include <LibCore/Time.h>
#include <LibDecision/CandidateRanking.h>
#include <LibDecision/ImageNumber.h>
#include <LibDecision/TaskScheduler.h>
#include <cstdint>
#include <map>
#include <set>
#include <string>
#include <vector>

namespace Bergamot {

/// Whether a task of the step may find no worker although other tasks of the same size do.
inline bool hasPlacementConstraint(const StepSpec& spec)
{
    return spec.gang || spec.maxPerWorker > 0 || !spec.requiredLabel.empty();
}

/// What the score of a worker depends on, apart from the worker and the task: the step and its active runs.
struct TaskScheduler::WorkerSearch {
    const TrackedJob& job;
    const ReadyStep& ready;
    const StepSpec& spec;
    Instant now { neverInstant };
    PlacementMode mode { PlacementMode::Shared };

    /// Limits the choice to the workers of this rack unless it is empty.
    std::string rack {};
    ImageNumber image {};

    /// Resources that a run reserves.
    Resources size {};

    /// The job's service and its usable workers.
    const std::string& service;
    const std::vector<WorkerEntry*>& candidates;

    /// Runs of the same step per worker, to enforce `maxPerWorker` and to spread the step over workers; empty for steps
    /// that need neither.
    bool countsSiblings { false };
    std::map<WorkerHandle, uint32_t> siblingRuns {};

    /// Racks of the runs of the same step, if it prefers one rack.
    std::set<std::string> racks {};
};

/// The workers for the tasks of a step that are placed one after another. A start changes only the score of the worker
/// that gets it, so the scores of the others are computed once.
struct TaskScheduler::StepRanking {
    WorkerSearch search;
    CandidateRanking ranking;
};

}
