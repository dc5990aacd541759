#pragma once

#include <LibCore/Time.h>
#include <LibDecision/StopReason.h>
#include <LibDecision/TaskWorkerView.h>
#include <cstdint>

namespace Bergamot {

enum class RunPhase : uint8_t { Starting, Running, Stopping };

/// A run that may be active on a worker.
struct TrackedRun {
    uint64_t run { 0 };
    WorkerHandle worker { 0 };
    RunPhase phase { RunPhase::Starting };

    /// Why the run is being stopped, in the phase Stopping.
    StopReason stopReason { StopReason::JobEnded };

    /// When the worker confirmed the start; before that, when the run was assigned to it. A start may wait behind other
    /// commands for seconds.
    Instant startedAt { epochInstant };

    /// Whether the run started from a checkpoint.
    bool resumed { false };

    /// Whether workers crashed under the task before, so that the run was recorded before it started.
    bool suspected { false };

    /// Whether the run is the only suspect on its worker, which takes no other starts until the run is cleared.
    bool isolated { false };

    /// Whether the run is isolated by preference only. False for the runs of earlier leaders, of which it is not known.
    bool isolatedByPreference { false };

    /// When the worker last acknowledged a command for the run or listed it. If a list that is requested later lacks
    /// the run, the run has ended.
    Instant confirmedAt { neverInstant };

    /// When the worker last listed the run.
    Instant reportedAt { neverInstant };
    Instant progressedAt { epochInstant };
    uint32_t progressPercent { 0 };

    /// Progress at the first report to this leader; the run may have resumed from a checkpoint.
    uint32_t firstProgressPercent { 0 };
    uint32_t speedPercent { 100 };

    /// Whether the worker is known to run it at `speedPercent`. An earlier leader may have set another speed.
    bool isSpeedKnown { true };

    /// When the speed was last changed.
    Instant speedChangedAt { neverInstant };
    int64_t recentMeasurement { 0 };

    /// Run time; for a best-effort task scaled by the share of its requested processors that it used.
    Milliseconds effectiveRunTime { 0 };

    /// For a serving task: the estimated utilisation that it causes itself.
    double load { 0 };

    /// For a best-effort task: since when it has been throttled below the speed at which it should migrate; otherwise
    /// neverInstant.
    Instant throttledSince { neverInstant };

    /// Whether the run of a job without other runs was started although it could not run at full speed. Such a run is
    /// moved only if it stays nearly paused.
    bool startedSlow { false };
};

}
