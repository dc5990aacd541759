#pragma once

#include <LibCore/Time.h>
#include <LibDecision/TaskWorkerView.h>
#include <cstdint>

namespace Bergamot {

enum class RunPhase : uint8_t { Starting, Running, Stopping };

/// A run that may be active on a worker.
struct TrackedRun {
    uint64_t run { 0 };
    WorkerHandle worker { 0 };
    RunPhase phase { RunPhase::Starting };
    Instant startedAt { epochInstant };

    /// The run began at a checkpoint.
    bool resumed { false };

    /// When the worker accepted the start, or listed the run; a later list without the run means that it is gone.
    Instant confirmedAt { neverInstant };

    /// When the worker last listed the run.
    Instant reportedAt { neverInstant };
    Instant progressedAt { epochInstant };
    uint32_t progressPercent { 0 };
    uint32_t speedPercent { 100 };
    int64_t recentMeasurement { 0 };

    /// Time at full speed that the run has had processors for: for a task that fills by the processors that it used.
    Milliseconds effectiveRunTime { 0 };

    /// Of a serving task: its own estimated utilisation.
    double load { 0 };

    /// Of a filling task: since when it has been paced below the share at which it should move.
    Instant throttledSince { neverInstant };
};

}
