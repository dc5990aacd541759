#pragma once

#include <LibState/JobPhase.h>
#include <LibWire/JobSubmitted.h>
#include <LibWire/RevokeReason.h>

namespace Bergamot {

/// A job and its current attempt. `submittedAtMs` and `changedAtMs` are log times.
struct JobState {
    JobSubmitted spec {};
    JobPhase phase { JobPhase::Pending };
    uint32_t attempt { 0 };
    WorkerId worker {};
    RevokeReason revokeReason { RevokeReason::Eviction };
    bool cancelRequested { false };
    std::string checkpoint {};
    std::string result {};
    uint32_t failures { 0 };
    uint32_t evictions { 0 };
    int64_t submittedAtMs { 0 };
    int64_t changedAtMs { 0 };
    LogPosition changedAt { 0 };

    /// Attempts that ended because the process of their worker ended, and those of them that ran there alone.
    uint32_t crashes { 0 };
    uint32_t crashesAlone { 0 };

    bool holdsCommitment() const { return phase == JobPhase::Placed || phase == JobPhase::Revoking; }
    void recordCrash(uint32_t crashedTasks)
    {
        crashes += crashedTasks > 0 ? 1 : 0;
        crashesAlone += crashedTasks == 1 ? 1 : 0;
    }
    bool hasEnded() const { return phase >= JobPhase::Completed; }

    bool operator==(const JobState&) const = default;
    MSGPACK_DEFINE_ARRAY(spec, phase, attempt, worker, revokeReason, cancelRequested, checkpoint, result, failures,
        evictions, submittedAtMs, changedAtMs, changedAt, crashes, crashesAlone)
};

}
