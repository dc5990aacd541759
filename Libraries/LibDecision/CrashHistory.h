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
/// ignored, `crashRate` is the recent number of crashes a second and worker in which the task had no part, and
/// `runTime` is the expected time of a run that no crash ends, `unlimitedRunTime` for a long-running task, and
/// `unrecordedCrashes` is the number of crashes that may have happened before the recorded ones.
class CrashHistory {
public:
    static constexpr Milliseconds unlimitedRunTime { Milliseconds::max() };

    /// A worker may have crashed this long before its loss was noticed, also before the start of the run.
    static constexpr Milliseconds crashDetectionTime { 500 };

    /// Crashes a second and worker that are assumed while none were seen.
    static constexpr double minCrashRate { 1e-4 };

    /// Whether the crash came directly after the start, so that the run is a more likely cause than older ones.
    static bool isPrompt(const CrashedRun&);

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

    /// Whether the task may have crashed a worker before its recorded crashes.
    bool mayFollowUnrecordedCrash(const TaskRef&) const;

    /// The highest rate of other crashes that is stored with a crash of the task.
    double highestOtherCrashRate(const TaskRef&) const;

    /// Whether a worker has crashed directly after a start of the task, or several workers have crashed under it.
    bool isSuspected(const TaskRef&) const;
    RunIsolation isolationOf(const TaskRef&, double crashRate, Milliseconds runTime = Milliseconds { 0 },
        size_t unrecordedCrashes = 0) const;

    /// Which crashes are judged.
    enum class Scope : uint8_t { All, Confirmed };

    /// Probability that as many workers would have crashed as early in the runs of the task if it were not the cause.
    double coincidence(
        const TaskRef&, double crashRate, Milliseconds runTime = Milliseconds { 0 }, Scope = Scope::All) const;

    /// Whether the job of the task has to be given up, because the task crashes the workers that start it.
    bool isCauseOfCrashes(const TaskRef&, double crashRate, Milliseconds runTime = Milliseconds { 0 },
        size_t unrecordedCrashes = 0) const;

    /// Whether the task must not start before its unconfirmed crashes are confirmed or withdrawn.
    bool awaitsConfirmation(const TaskRef&) const;

    /// Maximum time for which the next start waits until few other workers crash, so that a further crash would prove
    /// that the task is the cause. 0 while the task may start at once.
    Milliseconds restartBackoff(const TaskRef&, double crashRate, Milliseconds runTime = Milliseconds { 0 },
        size_t unrecordedCrashes = 0) const;

    /// Workers to be expected down at a time because of the task, if it is the cause of its crashes and its active run
    /// has lasted for `runTime`: the share of its crashes that came later than that, each weighed by the share of the
    /// time that the worker is down if it crashes that often. 1 if no crash of another run is recorded.
    double expectedWorkersDown(const TaskRef&, uint64_t activeRun, Milliseconds runTime) const;

    /// Run time after which a run shows that its task is not the cause.
    Milliseconds clearingTime(const TaskRef&) const;

private:
    size_t countPromptCrashes(const TaskRef&) const;
    bool hasRepeatedPromptCrashes(const TaskRef&, size_t unrecordedCrashes) const;
    bool hasCrashAtQuietMoment(const TaskRef&, double crashRate, Milliseconds runTime, size_t unrecordedCrashes) const;

    std::vector<CrashedRun> m_runs {};
};

}
