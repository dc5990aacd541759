#pragma once

#include <LibCore/Time.h>
#include <LibDecision/RunIsolation.h>
#include <LibDecision/TaskRef.h>
#include <LibWire/CrashedRun.h>
#include <cstddef>
#include <utility>
#include <vector>

namespace Bergamot {

/// The runs of one job under which workers crashed, and what follows from them for each task. All runs on a crashed
/// worker are suspected, but at most one of them is the cause. A suspected task therefore runs isolated from other
/// suspects until it either has run long enough to be cleared or has crashed workers while isolated. Crashes that are
/// likely anyhow at the rate at which workers crash say little of a task. In all functions, the job of a TaskRef is
/// ignored, and `crashRate` is the recent number of crashes a second and worker in which the task had no part.
class CrashHistory {
public:
    CrashHistory() = default;
    explicit CrashHistory(std::vector<CrashedRun> runs)
        : m_runs(std::move(runs))
    {
    }

    const std::vector<CrashedRun>& runs() const { return m_runs; }
    bool isEmpty() const { return m_runs.empty(); }

    /// Adds the run, or replaces the record of it, so that a repeated record counts once.
    void record(const CrashedRun&);

    /// Returns nullptr if the run has no record. The pointer is valid until the next change.
    const CrashedRun* find(const TaskRef&, uint64_t run) const;

    /// Removes the record of the run, because no crash followed. Returns whether there was one.
    bool withdraw(const TaskRef&, uint64_t run);

    /// Removes all records of the task, because it is not the cause. Returns whether there were any.
    bool clear(const TaskRef&);

    /// Number of recorded runs of the task, confirmed or not.
    size_t count(const TaskRef&) const;

    /// Whether a worker has crashed directly after a start of the task, or several workers have crashed under it.
    bool isSuspected(const TaskRef&) const;
    RunIsolation isolationOf(const TaskRef&, double crashRate) const;

    /// Probability that the workers would have crashed without the task.
    double coincidence(const TaskRef&, double crashRate) const;

    /// Whether the job of the task has to be given up, because the task crashes the workers that start it.
    bool isCauseOfCrashes(const TaskRef&, double crashRate) const;

    /// Whether the task must not start before its unconfirmed crashes are confirmed or withdrawn.
    bool awaitsConfirmation(const TaskRef&) const;

    /// Run time after which a run shows that its task is not the cause.
    Milliseconds clearingTime(const TaskRef&) const;

private:
    size_t countPromptCrashes(const TaskRef&) const;

    std::vector<CrashedRun> m_runs {};
};

}
